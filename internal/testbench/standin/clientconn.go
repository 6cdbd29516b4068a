package standin

import (
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// clientConn is a client's connection to a router.
type clientConn struct {
	stream
	c       *Client
	target  Target
	up      bool
	dialing machine.Dialing
	tries   []*try // that wait for their answers, in order
	answers int    // that have come
	pinging bool   // a PING waits for its answer
	last    string // id of the request that was answered last
}

// place finds a connection for a try: one that rests, one that is busy where clients pipeline, or a
// new one.
func (c *Client) place(t *try) {
	for i := len(c.conns) - 1; i >= 0; i-- {
		if cc := c.conns[i]; cc.up && len(cc.tries) == 0 && !cc.pinging {
			cc.write(t)
			return
		}
	}
	full := len(c.conns) >= c.o.Connections
	if len(c.conns) > 0 && (full || chance(c.rng, c.o.Pipeline)) {
		cc := c.conns[c.rng.IntN(len(c.conns))]
		if cc.up {
			cc.write(t)
		} else {
			cc.queue(t)
		}
		return
	}
	c.dial(t)
}

// redialAfter is how long a client waits when no router takes its connection.
const redialAfter = 20 * Millisecond

func (c *Client) dial(t *try) {
	routers := c.o.Routers()
	if len(routers) == 0 {
		c.m.At(c.m.Now()+redialAfter, func() { c.replace(t) })
		return
	}
	c.next++
	cc := &clientConn{c: c, target: routers[c.next%len(routers)]}
	c.conns = append(c.conns, cc)
	cc.queue(t)
	cc.dialing = c.m.Dial(cc.target.Addr, c.o.DialTimeout, cc.dialed)
}

// Connect opens a connection before there is anything to ask, and asks PING on it, as client libraries do.
func (c *Client) Connect() {
	routers := c.o.Routers()
	if len(routers) == 0 || c.closed {
		return
	}
	c.next++
	cc := &clientConn{c: c, target: routers[c.next%len(routers)], pinging: true}
	c.conns = append(c.conns, cc)
	cc.dialing = c.m.Dial(cc.target.Addr, c.o.DialTimeout, cc.dialed)
}

// Reconnect ends all connections, as a network does that is gone and back, and connects anew. What was asked on them
// is asked once more.
func (c *Client) Reconnect() {
	for _, cc := range slices.Clone(c.conns) {
		tries := cc.tries
		cc.tries = nil
		cc.drop()
		for _, t := range tries {
			t.move()
		}
	}
	c.Connect()
}

// replace places a try whose connection did not come up.
func (c *Client) replace(t *try) {
	if !t.over {
		c.place(t)
	}
}

func (cc *clientConn) dialed(conn machine.Conn, err error) machine.Handler {
	tries := cc.tries
	cc.tries = nil
	cc.dialing = nil
	if err != nil {
		cc.drop()
		for _, t := range tries {
			t.conn = nil
			cc.c.m.At(cc.c.m.Now()+redialAfter, func() { cc.c.replace(t) })
		}
		return nil
	}
	cc.conn, cc.up = conn, true
	if cc.pinging && cc.send([]byte("*1\r\n$4\r\nPING\r\n")) != nil {
		c := cc.c
		c.m.At(c.m.Now(), cc.broken)
	}
	for i, t := range tries {
		if cc.closed {
			for _, left := range tries[i:] {
				left.conn = nil
				cc.c.m.At(cc.c.m.Now(), func() { cc.c.replace(left) })
			}
			break
		}
		cc.write(t)
	}
	return cc
}

func (cc *clientConn) queue(t *try) {
	t.conn = cc
	cc.tries = append(cc.tries, t)
}

// write writes a try. It counts as asked once its last byte is with the machine.
func (cc *clientConn) write(t *try) {
	c := cc.c
	now := c.m.Now()
	if now+hopeless >= t.deadline {
		t.conn = nil // it was long in coming up; nobody waits long enough for an answer any more
		return
	}
	cc.queue(t)
	r := t.req
	err := cc.send(t.words(now))
	t.sent = now
	r.tally.Tries++
	ask := rules.Request{ID: t.id, Router: cc.target.Name, Class: r.class.Name, Key: r.key, IdemKey: r.idem,
		Sent: now, Deadline: t.deadline, Write: r.class.Write}
	if conn, virtual := cc.conn.(interface{ Ended() bool }); virtual {
		ask.Ended = conn.Ended
	}
	c.obs.Asked(now, ask)
	if err != nil {
		c.m.At(now, cc.broken)
	}
}

// Writable writes on.
func (cc *clientConn) Writable() {
	if !cc.closed && cc.flush() != nil {
		cc.broken()
	}
}

// Readable takes the answers that have come.
func (cc *clientConn) Readable() {
	for more := true; more && !cc.closed; {
		err := cc.fill(2 * mostCommand)
		more = cc.left
		for !cc.closed && cc.next() {
		}
		if err != nil || cc.left && len(cc.in) >= 2*mostCommand {
			cc.broken() // at its end, or at an answer that is longer than any may be
		}
	}
}

// next takes one answer.
func (cc *clientConn) next() bool {
	a, used, err := readAnswer(cc.in)
	if err != nil {
		// What can't be read is an answer of the kind that promises nothing, and the last that counts.
		if len(cc.tries) > 0 {
			t := cc.tries[0]
			cc.tries = cc.tries[1:]
			cc.in = nil
			t.answered(answer{kind: rules.Failed})
		}
		cc.broken()
		return false
	}
	if used == 0 {
		return false
	}
	cc.take(used)
	if cc.pinging {
		cc.pinging = false
		return true
	}
	cc.answers++
	if len(cc.tries) == 0 {
		// The danger: a second answer to a request would be taken for the next one's.
		cc.c.obs.Answered(cc.c.m.Now(), cc.last, a.kind, a.value)
		cc.drop()
		return false
	}
	t := cc.tries[0]
	cc.tries = append(cc.tries[:0], cc.tries[1:]...)
	cc.last = t.id
	t.answered(a)
	return true
}

// usualCrossing is how soon after a request was written the end of a resting connection is taken to have
// been on its way already, where the router is near.
const usualCrossing = 5 * Millisecond

// mostCrossings is how often a request is sent once more. The danger: a router that closes whatever it gets.
const mostCrossings = 3

// broken is called when the router has ended the connection.
func (cc *clientConn) broken() {
	if cc.closed {
		return
	}
	c := cc.c
	now := c.m.Now()
	tries, partly := cc.tries, len(cc.in) > 0
	cc.tries = nil
	cc.drop()
	for i, t := range tries {
		r := t.req
		switch {
		case partly && i == 0:
			t.answered(answer{kind: rules.Failed}) // it is plain that the value is not whole
		case now-t.sent <= c.o.Crossing && r.resent < mostCrossings: // also the first on it: nothing was sent on
			r.resent++
			r.tally.Resent++
			t.move()
		case now-t.sent <= c.o.Crossing: // as before: a fleet that ends all at once is no fault of the last router
			t.left()
			r.again(0, &r.tally.Failed)
		default:
			t.end()
			c.obs.Broken(now, t.id)
			r.again(0, &r.tally.Lost)
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
	at := slices.Index(cc.c.conns, cc)
	cc.c.conns = slices.Delete(cc.c.conns, at, at+1)
}
