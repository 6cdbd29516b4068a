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
	dialing        machine.Dialing
	attempts       []*clientAttempt // that wait for their answers, in order
	answers        int              // that have come
	pinging        bool             // a PING waits for its answer
	lastAnsweredID string           // id of the request that was answered last
}

// assign finds a connection for a try: one that rests, one that is busy where clients pipeline, or a
// new one.
func (c *Client) assign(t *clientAttempt) {
	for i := len(c.conns) - 1; i >= 0; i-- {
		if cc := c.conns[i]; cc.connected && len(cc.attempts) == 0 && !cc.pinging {
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

// redialDelay is how long a client waits when no router takes its connection.
const redialDelay = 20 * Millisecond

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

// Connect opens a connection before there is anything to ask, and asks PING on it, as client libraries do.
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

// Reconnect ends all connections, as a network does that is gone and back, and connects anew. What was asked on them
// is asked once more.
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

// reassign places a try whose connection did not come up.
func (c *Client) reassign(t *clientAttempt) {
	if !t.finished {
		c.assign(t)
	}
}

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

func (cc *clientConn) enqueue(t *clientAttempt) {
	t.conn = cc
	cc.attempts = append(cc.attempts, t)
}

// write writes a try. It counts as asked once its last byte is with the machine.
func (cc *clientConn) write(t *clientAttempt) {
	c := cc.client
	now := c.m.Now()
	if now+minAttemptTime >= t.deadline {
		t.conn = nil // it was long in coming up; nobody waits long enough for an answer any more
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

// Writable writes on.
func (cc *clientConn) Writable() {
	if !cc.closed && cc.flush() != nil {
		cc.connectionLost()
	}
}

// Readable takes the answers that have come.
func (cc *clientConn) Readable() {
	for more := true; more && !cc.closed; {
		err := cc.fill(2 * maxCommandBytes)
		more = cc.moreToRead
		for !cc.closed && cc.nextReply() {
		}
		if err != nil || cc.moreToRead && len(cc.received) >= 2*maxCommandBytes {
			cc.connectionLost() // at its end, or at an answer that is longer than any may be
		}
	}
}

// nextReply takes one answer.
func (cc *clientConn) nextReply() bool {
	a, used, err := readReply(cc.received)
	if err != nil {
		// What can't be read is an answer of the kind that promises nothing, and the last that counts.
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
		// The danger: a second answer to a request would be taken for the next one's.
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

// defaultCloseRaceWindow is how soon after a request was written the end of a resting connection is taken to have
// been on its way already, where the router is near.
const defaultCloseRaceWindow = 5 * Millisecond

// maxResends is how often a request is sent once more. The danger: a router that closes whatever it gets.
const maxResends = 3

// connectionLost is called when the router has ended the connection.
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
			t.handleReply(clientReply{kind: rules.Failed}) // it is plain that the value is not whole
		case now-t.sentAt <= c.options.CloseRaceWindow && r.resends < maxResends: // also the first on it: nothing was sent on
			r.resends++
			r.tally.Resent++
			t.resend()
		case now-t.sentAt <= c.options.CloseRaceWindow: // as before: a fleet that ends all at once is no fault of the last router
			t.leave()
			r.retry(0, &r.tally.Failed)
		default:
			t.stop()
			c.observer.Broken(now, t.id)
			r.retry(0, &r.tally.Lost)
		}
	}
}

// drop closes the connection.
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
