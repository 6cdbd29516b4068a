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
	Harm    Harm
	Every   Time // from one connection to the next
	HoldFor Time // a connection is closed after this, if the router has not; 0 for never
	Most    int  // connections held at once; 0 stands for 64
	Class   Class
	Keys    *Keys
	Routers func() []Target
}

// Hostile is a client that means harm.
type Hostile struct {
	m     machine.Machine
	o     HostileOptions
	rng   *rand.Rand
	obs   rules.Observer
	timer machine.Timer
	conns []*hostileConn
	next  int
	// Ended is the number of connections that the routers have ended.
	Ended int
}

type hostileConn struct {
	stream
	h     *Hostile
	timer machine.Timer
	sent  int
}

// NewHostile is a hostile client that does nothing yet.
func NewHostile(m machine.Machine, o HostileOptions, rng *rand.Rand, obs rules.Observer) *Hostile {
	if o.Most == 0 {
		o.Most = 64
	}
	return &Hostile{m: m, o: o, rng: rng, obs: seen(obs)}
}

// Start has it begin.
func (h *Hostile) Start() {
	h.timer = h.m.At(h.m.Now()+h.o.Every, h.Start)
	routers := h.o.Routers()
	if len(h.conns) >= h.o.Most || len(routers) == 0 {
		return
	}
	h.next++
	to := routers[h.next%len(routers)]
	h.m.Dial(to.Addr, Second, func(conn machine.Conn, err error) machine.Handler {
		if err != nil {
			return nil
		}
		c := &hostileConn{stream: stream{conn: conn}, h: h}
		if h.timer == nil {
			c.close()
			return c
		}
		h.conns = append(h.conns, c)
		if h.o.HoldFor > 0 {
			c.timer = h.m.At(h.m.Now()+h.o.HoldFor, c.drop)
		}
		c.harm(to.Name)
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
	mostHarm  = 4 << 20
	abandoned = 40
	deafReads = 200
)

func (c *hostileConn) harm(router string) {
	switch c.h.o.Harm {
	case BadBytes:
		b := make([]byte, 256)
		for i := range b {
			b[i] = byte(c.h.rng.Uint32())
		}
		c.send(b)
	case EndlessLine:
		c.more()
	case HalfCommand:
		b, _ := c.read()
		c.send(b[:len(b)-3])
	case Abandons:
		c.reads(router, abandoned, false)
		c.drop()
	case NeverReads:
		c.reads(router, deafReads, true)
	}
}

// read is one read as a client writes it.
func (c *hostileConn) read() (b []byte, t *try) {
	h := c.h
	client := &Client{m: h.m, o: ClientOptions{Tenant: "hostile"}}
	t = &try{id: fmt.Sprintf("%016x", h.rng.Uint64()), deadline: h.m.Now() + h.o.Class.Deadline}
	t.req = &request{c: client, class: &h.o.Class, key: h.o.Keys.Draw(h.rng)}
	return t.words(h.m.Now()), t
}

// reads writes whole reads, one behind the other. It waits for none of them: nothing is owed for them.
func (c *hostileConn) reads(router string, n int, stays bool) {
	now := c.h.m.Now()
	for range n {
		b, t := c.read()
		if c.send(b) != nil || len(c.out) > 0 {
			return // it did not go out whole
		}
		c.h.obs.Asked(now, rules.Request{ID: t.id, Router: router, Class: c.h.o.Class.Name, Key: t.req.key, Sent: now,
			Deadline: t.deadline, Forgone: stays})
		if !stays {
			c.h.obs.Left(now, t.id)
		}
	}
}

// more sends more of a line without an end.
func (c *hostileConn) more() {
	piece := []byte(strings.Repeat("x", 1024))
	for c.sent < mostHarm && len(c.out) == 0 && !c.closed {
		c.sent += len(piece)
		if c.send(piece) != nil {
			c.ended()
		}
	}
}

// Writable writes on.
func (c *hostileConn) Writable() {
	if c.closed {
		return
	}
	if c.flush() != nil {
		c.ended()
		return
	}
	if c.h.o.Harm == EndlessLine {
		c.more()
	}
}

// Readable takes no notice of what comes, but for the end.
func (c *hostileConn) Readable() {
	if c.closed || c.h.o.Harm == NeverReads {
		return
	}
	for c.left = true; c.left; {
		c.in = c.in[:0]
		if c.fill(mostCommand) != nil {
			c.ended()
			return
		}
	}
}

func (c *hostileConn) ended() {
	c.h.Ended++
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
	c.h.conns = without(c.h.conns, c)
}
