package upstream

import (
	"errors"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// maxReadsPerTurn bounds the reads of one connection in one turn: each may bring as little as a byte.
const maxReadsPerTurn = 64

// connection is one connection to a cache. It carries one attempt at a time.
type connection struct {
	cache     *cache
	addr      string          // that it was dialled at; the cache may have moved since
	dialing   machine.Dialing // while it comes up; nil afterwards
	socket    machine.Conn    // nil until it is up
	attempt   *Attempt        // the one that is out on it; nil while it is idle
	unwritten []byte          // the part of the attempt's command that the socket has not taken
	received  []byte          // the part of its reply that has arrived
	lastReply replyDigest     // of the reply before
	idleSince Time            // when it last became idle
	closed    bool
}

// close ends the connection. Its attempt gets its result from the caller.
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
		conn.socket.Close()
	}
	conn.received, conn.unwritten = nil, nil
	c.pool.releaseDescriptor()
	c.scheduleDispatch()
	c.forgetIfUnused()
}

// write writes the attempt that has waited longest, as much of it as the socket takes at once, nearly always all: so nothing
// comes between its last check and its first byte. It reports false where the socket took no byte: then the attempt has not
// begun, and is checked again before it does.
func (conn *connection) write(a *Attempt) bool {
	c := conn.cache
	p := c.pool
	p.writeBuffer = a.encode(p.writeBuffer[:0], p.machine.Now())
	n, err := conn.socket.Write(p.writeBuffer)
	if n == 0 && err != nil {
		conn.close() // the cache had closed it: the attempt may have another connection, as it has not begun
		return true
	}
	if n == 0 {
		c.returnIdle(conn)
		return false
	}
	c.waiting = slices.Delete(c.waiting, 0, 1)
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

// Writable writes the rest of a command. The machine calls it when the socket takes bytes again.
func (conn *connection) Writable() {
	defer conn.cache.pool.owner.ProcessEvents()
	a := conn.attempt
	if a == nil || a.state != stateWriting {
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

// fail closes a connection that has ended or is of no further use, and gives its attempt the result.
func (conn *connection) fail() {
	conn.close()
	a := conn.attempt
	if a == nil {
		return
	}
	if a.state == stateWriting {
		a.finish(decide.ConnectFailed, nil) // its last byte was never written
	} else {
		a.finish(decide.ConnectionLost, nil)
	}
}

// Readable reads a reply, or what has arrived without a request. The machine calls it.
func (conn *connection) Readable() {
	defer conn.cache.pool.owner.ProcessEvents()
	if conn.attempt != nil && conn.attempt.state == stateWritten {
		conn.readReply()
		return
	}
	if conn.socket.Quiet() {
		return
	}
	if conn.attempt == nil {
		conn.checkUnrequested()
	}
	conn.fail() // what else arrives can't be matched to requests either
}

// readReply reads the reply to the attempt, as far as it has arrived.
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

// parseReply takes bytes that have arrived, and reports whether the reply has ended with them, or was invalid.
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

// scheduleRead reads the rest of a reply that arrives in many pieces, in a turn of its own.
func (conn *connection) scheduleRead() {
	a := conn.attempt
	conn.cache.pool.machine.Post(func() {
		if !conn.closed && conn.attempt == a {
			conn.Readable()
		}
	})
}

// handleReply gives the attempt its result. clean reports that nothing has arrived behind the reply.
func (conn *connection) handleReply(reply *resp.Reply, clean bool) {
	a := conn.attempt
	isHealthCheck := a.Request == nil
	isReplyOfOtherKind := reply.Pong != isHealthCheck && (reply.Pong || reply.Value != nil)
	result := reply.Result
	switch {
	case isReplyOfOtherKind && result != decide.Rejected:
		conn.fail()
		return
	case reply.Pong:
		result = decide.Served
	case conn.isRepeat(a.Request, reply.Value):
		conn.fail()
		return
	}
	a.finish(result, reply)
	if !clean {
		conn.close()
		return
	}
	conn.cache.release(conn, conn.cache.pool.machine.Now())
}
