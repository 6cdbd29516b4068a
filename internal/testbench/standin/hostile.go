package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// Harm is what a hostile client does with a connection.
type Harm string

// Kinds of harm.
const (
	BadBytes     Harm = "bytes"    // BadBytes sends bytes of no form.
	EndlessLine  Harm = "line"     // EndlessLine sends a line without an end.
	HalfCommand  Harm = "half"     // HalfCommand sends a command without its last bytes.
	SilentClient Harm = "silent"   // SilentClient sends nothing.
	Abandons     Harm = "abandons" // Abandons sends forty reads and closes the connection at once.
	NeverReads   Harm = "deaf"     // NeverReads sends reads without taking their replies.
)

// HostileOptions describe a hostile client.
type HostileOptions struct {
	Harm           Harm
	Every          Time            // from one connection to the next
	HoldFor        Time            // a connection is closed after this, if the router has not; 0 for never
	MaxConnections int             // open at once; 0 stands for 64
	Class          Class           // of the reads that it sends
	Keys           *Keys           // of the reads that it sends
	Routers        func() []Target // that take connections now
}

// Hostile is a client that tries to harm the routers.
type Hostile struct {
	m          machine.Machine
	options    HostileOptions
	rng        *rand.Rand
	observer   rules.Observer
	timer      machine.Timer
	conns      []*hostileConn
	nextRouter int
	// Ended is the number of connections that the routers have ended.
	Ended int
}

type hostileConn struct {
	stream
	client *Hostile
	timer  machine.Timer
	sent   int
}

// defaultHostileConnections is the default of HostileOptions.MaxConnections.
const defaultHostileConnections = 64

// NewHostile returns a hostile client that is not started yet.
func NewHostile(m machine.Machine, o HostileOptions, rng *rand.Rand, obs rules.Observer) *Hostile {
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultHostileConnections
	}
	return &Hostile{m: m, options: o, rng: rng, observer: observerOrBlind(obs)}
}

// Start opens a connection, and another one after each interval.
func (h *Hostile) Start() {
	h.timer = h.m.At(h.m.Now()+h.options.Every, h.Start)
	routers := h.options.Routers()
	if len(h.conns) >= h.options.MaxConnections || len(routers) == 0 {
		return
	}
	h.nextRouter++
	to := routers[h.nextRouter%len(routers)]
	h.m.Dial(to.Addr, Second, func(conn machine.Conn, err error) machine.Handler {
		if err != nil {
			return nil
		}
		c := &hostileConn{stream: stream{conn: conn}, client: h}
		if h.timer == nil {
			c.close()
			return c
		}
		h.conns = append(h.conns, c)
		if h.options.HoldFor > 0 {
			c.timer = h.m.At(h.m.Now()+h.options.HoldFor, c.drop)
		}
		c.start(to.Name)
		return c
	})
}

// Stop opens no more connections and closes those there are.
func (h *Hostile) Stop() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	for _, c := range slices.Clone(h.conns) {
		c.drop()
	}
}

// Open returns the number of open connections.
func (h *Hostile) Open() int { return len(h.conns) }

// Bounds of what a connection is sent, in bytes or reads.
const (
	maxLineBytes   = 4 << 20
	abandonedReads = 40
	unreadReads    = 200
)

// start does the harm that can be done as the connection is up.
func (c *hostileConn) start(router string) {
	switch c.client.options.Harm {
	case BadBytes:
		b := make([]byte, 256)
		for i := range b {
			b[i] = byte(c.client.rng.Uint32())
		}
		c.send(b)
	case EndlessLine:
		c.sendEndlessLine()
	case HalfCommand:
		b, _ := c.encodeRead()
		c.send(b[:len(b)-3])
	case Abandons:
		c.sendReads(router, abandonedReads, false)
		c.drop()
	case NeverReads:
		c.sendReads(router, unreadReads, true)
	}
}

// encodeRead returns one read as a client writes it, and its attempt.
func (c *hostileConn) encodeRead() (b []byte, t *clientAttempt) {
	h := c.client
	client := &Client{m: h.m, options: ClientOptions{Tenant: "hostile"}}
	t = &clientAttempt{id: fmt.Sprintf("%016x", h.rng.Uint64()), deadline: h.m.Now() + h.options.Class.ClientTimeout}
	t.request = &request{client: client, class: &h.options.Class, key: h.options.Keys.Draw(h.rng)}
	return t.encode(h.m.Now()), t
}

// sendReads sends n pipelined reads. The observer is told that nobody waits for their replies.
func (c *hostileConn) sendReads(router string, n int, stays bool) {
	now := c.client.m.Now()
	for range n {
		b, t := c.encodeRead()
		if c.send(b) != nil || len(c.unsent) > 0 {
			return // it was not written whole
		}
		c.client.observer.Asked(now, rules.Request{ID: t.id, Router: router, Class: c.client.options.Class.Name, Key: t.request.key, Sent: now,
			Deadline: t.deadline, Forgone: stays})
		if !stays {
			c.client.observer.Left(now, t.id)
		}
	}
}

// sendEndlessLine sends more of a line without an end, as fast as the connection takes it.
func (c *hostileConn) sendEndlessLine() {
	piece := []byte(strings.Repeat("x", 1024))
	for c.sent < maxLineBytes && len(c.unsent) == 0 && !c.closed {
		c.sent += len(piece)
		if c.send(piece) != nil {
			c.routerEnded()
		}
	}
}

// Writable is called by the machine when the connection takes more bytes.
func (c *hostileConn) Writable() {
	if c.closed {
		return
	}
	if c.flush() != nil {
		c.routerEnded()
		return
	}
	if c.client.options.Harm == EndlessLine {
		c.sendEndlessLine()
	}
}

// Readable discards what arrives, and notices the end of the connection.
func (c *hostileConn) Readable() {
	if c.closed || c.client.options.Harm == NeverReads {
		return
	}
	for c.moreToRead = true; c.moreToRead; {
		c.received = c.received[:0]
		if c.fill(maxCommandBytes) != nil {
			c.routerEnded()
			return
		}
	}
}

// routerEnded counts a connection that the router has closed.
func (c *hostileConn) routerEnded() {
	c.client.Ended++
	c.drop()
}

// drop closes the connection.
func (c *hostileConn) drop() {
	if c.closed {
		return
	}
	c.close()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.client.conns = removeFirst(c.client.conns, c)
}
