package standin

import (
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// clientConn is a client's connection to a router.
type clientConn struct {
	stream
	client         *Client
	target         Target
	connected      bool
	dialing        machine.Dialing  // nil once it is connected or has failed
	attempts       []*clientAttempt // attempts that wait for replies, in order
	answers        int              // replies so far
	pinging        bool             // a PING waits for its reply
	lastAnsweredID string           // id of the last attempt that received a reply
}

// assign finds a connection for an attempt: an idle one, a busy one to pipeline on, or a new one.
func (c *Client) assign(t *clientAttempt) {
	for i := len(c.conns) - 1; i >= 0; i-- {
		cc := c.conns[i]
		if cc.connected && len(cc.attempts) == 0 && !cc.pinging {
			cc.write(t)
			return
		}
	}
	full := len(c.conns) >= c.options.Connections
	if len(c.conns) > 0 && (full || chance(c.rng, c.options.Pipeline)) {
		cc := c.conns[c.rng.IntN(len(c.conns))]
		if cc.connected {
			cc.write(t)
		} else {
			cc.enqueue(t)
		}
		return
	}
	c.dial(t)
}

// redialDelay is how long a client waits before it dials again.
const redialDelay = 20 * Millisecond

// dial opens a connection for an attempt.
func (c *Client) dial(t *clientAttempt) {
	routers := c.options.Routers()
	if len(routers) == 0 {
		c.m.At(c.m.Now()+redialDelay, func() { c.reassign(t) })
		return
	}
	c.nextRouter++
	cc := &clientConn{client: c, target: routers[c.nextRouter%len(routers)]}
	c.conns = append(c.conns, cc)
	cc.enqueue(t)
	cc.dialing = c.m.Dial(cc.target.Addr, c.options.DialTimeout, cc.dialed)
}

// Connect opens a connection and sends PING on it, as client libraries do before the first request.
func (c *Client) Connect() {
	routers := c.options.Routers()
	if len(routers) == 0 || c.closed {
		return
	}
	c.nextRouter++
	cc := &clientConn{client: c, target: routers[c.nextRouter%len(routers)], pinging: true}
	c.conns = append(c.conns, cc)
	cc.dialing = c.m.Dial(cc.target.Addr, c.options.DialTimeout, cc.dialed)
}

// Reconnect closes all connections, as after a network failure, opens a new connection and resends the attempts in flight.
func (c *Client) Reconnect() {
	for _, cc := range slices.Clone(c.conns) {
		tries := cc.attempts
		cc.attempts = nil
		cc.drop()
		for _, t := range tries {
			t.resend()
		}
	}
	c.Connect()
}

// reassign assigns another connection to an attempt whose connection failed.
func (c *Client) reassign(t *clientAttempt) {
	if !t.finished {
		c.assign(t)
	}
}

// dialed is called by the machine when the connection is up or has failed.
func (cc *clientConn) dialed(conn machine.Conn, err error) machine.Handler {
	tries := cc.attempts
	cc.attempts = nil
	cc.dialing = nil
	if err != nil {
		cc.drop()
		for _, t := range tries {
			t.conn = nil
			cc.client.m.At(cc.client.m.Now()+redialDelay, func() { cc.client.reassign(t) })
		}
		return nil
	}
	cc.conn, cc.connected = conn, true
	if cc.pinging && cc.send([]byte("*1\r\n$4\r\nPING\r\n")) != nil {
		c := cc.client
		c.m.At(c.m.Now(), cc.connectionLost)
	}
	for i, t := range tries {
		if cc.closed {
			for _, left := range tries[i:] {
				left.conn = nil
				cc.client.m.At(cc.client.m.Now(), func() { cc.client.reassign(left) })
			}
			break
		}
		cc.write(t)
	}
	return cc
}

// enqueue appends an attempt to those that wait on the connection.
func (cc *clientConn) enqueue(t *clientAttempt) {
	t.conn = cc
	cc.attempts = append(cc.attempts, t)
}

// write sends an attempt, and reports it as asked once the machine has its last byte.
func (cc *clientConn) write(t *clientAttempt) {
	c := cc.client
	now := c.m.Now()
	if now+minAttemptTime >= t.deadline {
		t.conn = nil // connecting took too long: the remaining time is too short for an attempt
		return
	}
	cc.enqueue(t)
	r := t.request
	err := cc.send(t.encode(now))
	t.sentAt = now
	r.tally.Tries++
	ask := rules.Request{ID: t.id, Router: cc.target.Name, Class: r.class.Name, Key: r.key, IdemKey: r.idempotencyKey,
		Sent: now, Deadline: t.deadline, Write: r.class.Write}
	if conn, virtual := cc.conn.(interface{ Ended() bool }); virtual {
		ask.Ended = conn.Ended
	}
	c.observer.Asked(now, ask)
	if err != nil {
		c.m.At(now, cc.connectionLost)
	}
}

// Writable is called by the machine when the connection takes more bytes.
func (cc *clientConn) Writable() {
	if !cc.closed && cc.flush() != nil {
		cc.connectionLost()
	}
}

// Readable is called by the machine when there is something to read.
func (cc *clientConn) Readable() {
	for more := true; more && !cc.closed; {
		err := cc.fill(2 * maxCommandBytes)
		more = cc.moreToRead
		for !cc.closed && cc.nextReply() {
		}
		if err != nil || cc.moreToRead && len(cc.received) >= 2*maxCommandBytes {
			cc.connectionLost() // closed by the router, or the reply exceeds the maximum length
		}
	}
}

// nextReply parses one reply from the received bytes, and reports whether there was one.
func (cc *clientConn) nextReply() bool {
	a, used, err := readReply(cc.received)
	if err != nil {
		// A malformed reply counts as failed, which promises nothing about the request; the bytes after it are not read.
		if len(cc.attempts) > 0 {
			t := cc.attempts[0]
			cc.attempts = cc.attempts[1:]
			cc.received = nil
			t.handleReply(clientReply{kind: rules.Failed})
		}
		cc.connectionLost()
		return false
	}
	if used == 0 {
		return false
	}
	cc.consume(used)
	if cc.pinging {
		cc.pinging = false
		return true
	}
	cc.answers++
	if len(cc.attempts) == 0 {
		// A reply without a waiting attempt is reported as a second reply to the last attempt. The connection can't be reused,
		// as further bytes would be taken for the replies of later attempts.
		cc.client.observer.Answered(cc.client.m.Now(), cc.lastAnsweredID, a.kind, a.value)
		cc.drop()
		return false
	}
	t := cc.attempts[0]
	cc.attempts = append(cc.attempts[:0], cc.attempts[1:]...)
	cc.lastAnsweredID = t.id
	t.handleReply(a)
	return true
}

// defaultCloseRaceWindow suits nearby routers: if the connection ends within this time after a request was written, the close
// is assumed to have been in transit before the request arrived.
const defaultCloseRaceWindow = 5 * Millisecond

// maxResends bounds the resends of a request, because a router may close every connection at once.
const maxResends = 3

// connectionLost is called when the router has closed the connection. The client resends each attempt on it, or counts the attempt as lost.
func (cc *clientConn) connectionLost() {
	if cc.closed {
		return
	}
	c := cc.client
	now := c.m.Now()
	tries, partly := cc.attempts, len(cc.received) > 0
	cc.attempts = nil
	cc.drop()
	for i, t := range tries {
		r := t.request
		switch {
		case partly && i == 0:
			t.handleReply(clientReply{kind: rules.Failed}) // part of a reply has come
		case now-t.sentAt <= c.options.CloseRaceWindow && r.resends < maxResends:
			r.resends++
			r.tally.Resent++
			if r.resends > 1 {
				r.tally.ResentAgain++
			}
			t.resend()
		case now-t.sentAt <= c.options.CloseRaceWindow: // not read either, but resent too often
			t.leave()
			r.retry(0, &r.tally.Failed)
		default:
			t.stop()
			c.observer.Broken(now, t.id)
			r.retry(0, &r.tally.Lost)
		}
	}
}

// drop closes the connection and removes it from the pool.
func (cc *clientConn) drop() {
	if cc.closed {
		return
	}
	cc.closed = true
	if cc.dialing != nil {
		cc.dialing.Cancel()
	}
	if cc.conn != nil {
		cc.conn.Close()
	}
	at := slices.Index(cc.client.conns, cc)
	cc.client.conns = slices.Delete(cc.client.conns, at, at+1)
}
