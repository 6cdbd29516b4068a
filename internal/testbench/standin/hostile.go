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
	BadBytes     Harm = "bytes"    // BadBytes sends random bytes.
	EndlessLine  Harm = "line"     // EndlessLine sends a line that does not end.
	HalfCommand  Harm = "half"     // HalfCommand sends a truncated command.
	SilentClient Harm = "silent"   // SilentClient sends nothing.
	Abandons     Harm = "abandons" // Abandons sends forty reads and closes the connection at once.
	NeverReads   Harm = "deaf"     // NeverReads sends reads and does not read the replies.
)

// HostileOptions describe a hostile client.
type HostileOptions struct {
	Harm           Harm
	Every          Time            // interval between connections
	HoldFor        Time            // time after which the client closes a connection that the router has not closed; 0 for never
	MaxConnections int             // maximum of open connections; 0 stands for 64
	Class          Class           // of the reads that it sends
	Keys           *Keys           // of the reads that it sends
	Routers        func() []Target // routers that currently accept connections
}

// Hostile is a client that misuses its connections to the routers.
type Hostile struct {
	m          machine.Machine
	options    HostileOptions
	rng        *rand.Rand
	observer   rules.Observer
	timer      machine.Timer
	conns      []*hostileConn
	nextRouter int
	// Ended is the number of connections that the routers have closed.
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

// NewHostile returns a stopped hostile client.
func NewHostile(m machine.Machine, o HostileOptions, rng *rand.Rand, obs rules.Observer) *Hostile {
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultHostileConnections
	}
	return &Hostile{m: m, options: o, rng: rng, observer: observerOrBlind(obs)}
}

// Start opens a connection, and another connection after each interval.
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

// Stop stops opening connections and closes the open connections.
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

// Limits of the bytes or reads that the client sends on a connection.
const (
	maxLineBytes   = 4 << 20
	abandonedReads = 40
	unreadReads    = 200
)

// start begins the configured misuse of a new connection.
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

// encodeRead returns an encoded read and its attempt.
func (c *hostileConn) encodeRead() (b []byte, t *clientAttempt) {
	h := c.client
	client := &Client{m: h.m, options: ClientOptions{Tenant: "hostile"}}
	t = &clientAttempt{id: fmt.Sprintf("%016x", h.rng.Uint64()), deadline: h.m.Now() + h.options.Class.ClientTimeout}
	t.request = &request{client: client, class: &h.options.Class, key: h.options.Keys.Draw(h.rng)}
	return t.encode(h.m.Now()), t
}

// sendReads sends n pipelined reads, and reports to the observer that no client waits for their replies.
func (c *hostileConn) sendReads(router string, n int, stays bool) {
	now := c.client.m.Now()
	for range n {
		b, t := c.encodeRead()
		if c.send(b) != nil || len(c.unsent) > 0 {
			return // the read was not written completely
		}
		c.client.observer.Asked(now, rules.Request{ID: t.id, Router: router, Class: c.client.options.Class.Name, Key: t.request.key, Sent: now,
			Deadline: t.deadline, Forgone: stays})
		if !stays {
			c.client.observer.Left(now, t.id)
		}
	}
}

// sendEndlessLine sends more of a line that does not end, as fast as the connection accepts it.
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

// Readable discards received bytes and detects the end of the connection.
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
