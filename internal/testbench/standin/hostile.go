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
	BadBytes     Harm = "bytes"    // bytes of no form
	EndlessLine  Harm = "line"     // a line without an end
	HalfCommand  Harm = "half"     // a command without its last bytes
	SilentClient Harm = "silent"   // nothing
	Abandons     Harm = "abandons" // forty reads, and then the end at once
	NeverReads   Harm = "deaf"     // reads on and on, whose answers it does not take
)

// HostileOptions describe a hostile client.
type HostileOptions struct {
	Harm           Harm
	Every          Time // from one connection to the next
	HoldFor        Time // a connection is closed after this, if the router has not; 0 for never
	MaxConnections int  // connections held at once; 0 stands for 64
	Class          Class
	Keys           *Keys
	Routers        func() []Target
}

// Hostile is a client that means harm.
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

// NewHostile is a hostile client that does nothing yet.
func NewHostile(m machine.Machine, o HostileOptions, rng *rand.Rand, obs rules.Observer) *Hostile {
	if o.MaxConnections == 0 {
		o.MaxConnections = 64
	}
	return &Hostile{m: m, options: o, rng: rng, observer: observerOrBlind(obs)}
}

// Start has it begin.
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

// Stop ends it and its connections.
func (h *Hostile) Stop() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	for _, c := range slices.Clone(h.conns) {
		c.drop()
	}
}

// Open is the number of connections that it holds.
func (h *Hostile) Open() int { return len(h.conns) }

// Bounds of what a connection is sent.
const (
	maxLineBytes   = 4 << 20
	abandonedReads = 40
	unreadReads    = 200
)

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

// encodeRead is one read as a client writes it.
func (c *hostileConn) encodeRead() (b []byte, t *clientAttempt) {
	h := c.client
	client := &Client{m: h.m, options: ClientOptions{Tenant: "hostile"}}
	t = &clientAttempt{id: fmt.Sprintf("%016x", h.rng.Uint64()), deadline: h.m.Now() + h.options.Class.ClientTimeout}
	t.request = &request{client: client, class: &h.options.Class, key: h.options.Keys.Draw(h.rng)}
	return t.encode(h.m.Now()), t
}

// sendReads writes whole reads, one behind the other. It waits for none of them: nothing is owed for them.
func (c *hostileConn) sendReads(router string, n int, stays bool) {
	now := c.client.m.Now()
	for range n {
		b, t := c.encodeRead()
		if c.send(b) != nil || len(c.unsent) > 0 {
			return // it did not go out whole
		}
		c.client.observer.Asked(now, rules.Request{ID: t.id, Router: router, Class: c.client.options.Class.Name, Key: t.request.key, Sent: now,
			Deadline: t.deadline, Forgone: stays})
		if !stays {
			c.client.observer.Left(now, t.id)
		}
	}
}

// sendEndlessLine sends more of a line without an end.
func (c *hostileConn) sendEndlessLine() {
	piece := []byte(strings.Repeat("x", 1024))
	for c.sent < maxLineBytes && len(c.unsent) == 0 && !c.closed {
		c.sent += len(piece)
		if c.send(piece) != nil {
			c.routerEnded()
		}
	}
}

// Writable writes on.
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

// Readable takes no notice of what comes, but for the end.
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

func (c *hostileConn) routerEnded() {
	c.client.Ended++
	c.drop()
}

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
