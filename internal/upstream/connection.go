package upstream

import (
	"errors"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// maxReadsPerTurn is the maximum number of reads from one connection in one turn: a read may return as little as one byte.
const maxReadsPerTurn = 64

// connection is one connection to a cache. It carries one attempt at a time.
type connection struct {
	cache     *cache
	addr      string          // address that was dialed; the cache's address may have changed since
	dialing   machine.Dialing // nil once the dial has ended
	socket    machine.Conn    // nil until the connection is established
	attempt   *Attempt        // attempt in flight on the connection; nil while the connection is idle
	unwritten []byte          // part of the attempt's command that the socket has not accepted yet
	received  []byte          // part of the reply that has arrived
	history   replyHistory    // replies of which a duplicate may still arrive
	idleSince Time            // when the connection last became idle
	closed    bool
}

// close closes the connection and removes it from its cache. The caller must finish the connection's attempt.
func (conn *connection) close() {
	if conn.closed {
		return
	}
	conn.closed = true
	c := conn.cache
	if i := slices.Index(c.connections, conn); i >= 0 {
		c.connections = slices.Delete(c.connections, i, i+1)
	}
	c.removeIdle(conn)
	if conn.dialing != nil {
		conn.dialing.Cancel()
		conn.dialing = nil
		c.dialing--
	}
	if conn.socket != nil {
		conn.socket.Abort() // a cache that hangs would otherwise run the rest of an attempt that was given up, whenever it goes on
	}
	conn.received, conn.unwritten = nil, nil
	c.pool.releaseDescriptor()
	c.scheduleDispatch()
	c.dropIfUnused()
}

// write writes a waiting attempt, as much of its command as the socket accepts at once, which is nearly always all of
// it. Nothing else runs between the last check of the attempt and its first byte. write returns false if the socket accepted no
// byte: the attempt has not started then, and must be checked again before the next write.
func (conn *connection) write(a *Attempt) bool {
	c := conn.cache
	p := c.pool
	p.writeBuffer = a.encode(p.writeBuffer[:0], p.machine.Now())
	n, err := conn.socket.Write(p.writeBuffer)
	if n == 0 && err != nil {
		conn.close() // the cache had closed the connection: the attempt may use another one, as no byte was written
		return true
	}
	if n == 0 {
		c.returnIdle(conn)
		return false
	}
	c.removeWaiting(a)
	conn.history.forgetUntil(p.machine.Now() - maxDuplicateDelay)
	conn.attempt, a.connection = a, conn
	written := err == nil && n == len(p.writeBuffer)
	if a.Request != nil {
		now := p.machine.Now()
		a.Request.WriteStarted(now, a.Deadline-now, written)
	}
	switch {
	case err != nil:
		a.state = stateWriting
		conn.fail()
	case written:
		a.state = stateWritten
	default:
		a.state = stateWriting
		conn.unwritten = append(conn.unwritten[:0], p.writeBuffer[n:]...)
	}
	return true
}

// Writable implements machine.Handler: it writes the rest of a command when the socket accepts bytes again. The cache may have hung
// for long in the meantime, and another one may have run the request.
func (conn *connection) Writable() {
	defer conn.cache.pool.owner.ProcessEvents()
	a := conn.attempt
	if a == nil || a.state != stateWriting {
		return
	}
	if a.Request != nil && !a.Request.MayFinish(conn.cache.pool.machine.Now()) {
		a.Abort(decide.NotSent)
		return
	}
	n, err := conn.socket.Write(conn.unwritten)
	conn.unwritten = conn.unwritten[n:]
	switch {
	case err != nil:
		conn.fail()
	case len(conn.unwritten) == 0:
		a.state, conn.unwritten = stateWritten, nil
		if a.Request != nil {
			a.Request.WriteCompleted()
		}
	}
}

// fail closes a connection that has ended or is unusable, and finishes its attempt.
func (conn *connection) fail() {
	conn.close()
	a := conn.attempt
	if a == nil {
		return
	}
	if a.state == stateWriting {
		a.finish(decide.ConnectFailed, nil) // the last byte was not written
	} else {
		a.finish(decide.ConnectionLost, nil)
	}
}

// Readable implements machine.Handler: it reads a reply, or data that the cache sent without a request.
func (conn *connection) Readable() {
	defer conn.cache.pool.owner.ProcessEvents()
	if conn.attempt != nil && conn.attempt.state == stateWritten {
		conn.readReply()
		return
	}
	if conn.socket.HasNothingUnread() {
		return
	}
	conn.fail() // data after unsolicited bytes can't be matched to requests
}

// readReply reads as much of the attempt's reply as has arrived.
func (conn *connection) readReply() {
	buffer := conn.cache.pool.readBuffer
	for range maxReadsPerTurn {
		n, err := conn.socket.Read(buffer)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if err != nil {
			conn.fail()
			return
		}
		if conn.parseReply(buffer[:n]) {
			return
		}
	}
	conn.scheduleRead()
}

// parseReply parses the reply with the bytes that have arrived, and reports whether the reply is complete or invalid.
func (conn *connection) parseReply(arrived []byte) bool {
	if len(conn.received) > 0 {
		conn.received = append(conn.received, arrived...)
		arrived = conn.received
	}
	reply := &conn.cache.pool.reply
	used, err := reply.Next(arrived)
	switch {
	case err != nil || used == 0 && len(arrived) >= resp.MaxReplyBytes:
		conn.fail()
		return true
	case used > 0:
		conn.received = nil
		conn.handleReply(reply, used == len(arrived))
		return true
	case len(conn.received) == 0:
		conn.received = append(conn.received, arrived...)
	}
	return false
}

// scheduleRead schedules reading the rest of a reply that arrives in many pieces in a separate turn.
func (conn *connection) scheduleRead() {
	a := conn.attempt
	conn.cache.pool.machine.Post(func() {
		if !conn.closed && conn.attempt == a {
			conn.Readable()
		}
	})
}

// handleReply finishes the attempt with its reply. clean reports that no bytes have arrived after the reply.
func (conn *connection) handleReply(reply *resp.Reply, clean bool) {
	a := conn.attempt
	isHealthCheck := a.Request == nil
	isReplyOfWrongKind := reply.Pong != isHealthCheck && (reply.Pong || reply.Value != nil)
	result := reply.Result
	switch {
	case isReplyOfWrongKind && result != decide.Rejected:
		conn.fail()
		return
	case reply.Pong:
		result = decide.Served
	}
	duplicate := conn.isDuplicate(a.Request, reply)
	if duplicate && (reply.Value != nil || !a.Request.Idempotent()) {
		conn.fail()
		return
	}
	a.finish(result, reply)
	if duplicate || !clean { // a refusal or an error leaves an idempotent request free to be sent again, whichever request it answers
		conn.close()
		return
	}
	conn.cache.release(conn, conn.cache.pool.machine.Now())
}
