package planted

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
)

// InMachine are the defects that need no more than a stand between a router and its machine: what it sends, reads and
// gives back is not what it should be.
func InMachine() []Defect {
	return []Defect{
		tampered("every fortieth answer given twice", "answered twice", func(t *tamper) {
			t.clientWrite = nth(40, func(c machine.Conn, b []byte) (int, error) {
				if n, err := c.Write(b); n < len(b) || err != nil {
					return n, err
				}
				c.Write(b)
				return len(b), nil
			})
		}),
		tampered("every fortieth answer not sent", "lost", func(t *tamper) {
			t.clientWrite = nth(40, func(_ machine.Conn, b []byte) (int, error) { return len(b), nil })
		}),
		tampered("every fortieth value that of a request before", "wrong value", func(t *tamper) {
			var before []byte
			swap := nth(40, func(c machine.Conn, b []byte) (int, error) {
				if b[0] != '$' || before == nil {
					return c.Write(b)
				}
				if n, err := c.Write(before); n < len(before) || err != nil {
					return n, err
				}
				return len(b), nil
			})
			t.clientWrite = func(c machine.Conn, b []byte) (int, error) {
				n, err := swap(c, b)
				if b[0] == '$' {
					before = bytes.Clone(b)
				}
				return n, err
			}
		}),
		tampered("every fortieth answer spoilt in its middle", "wrong value", func(t *tamper) {
			t.clientWrite = nth(40, func(c machine.Conn, b []byte) (int, error) {
				if b[0] == '$' && len(b) > 40 {
					b = bytes.Clone(b)
					b[len(b)/3] ^= 1
				}
				return c.Write(b)
			})
		}),
		tampered("commands sent on with a letter changed", "bad command", func(t *tamper) {
			t.cacheWrite = nth(60, func(c machine.Conn, b []byte) (int, error) {
				b = bytes.Clone(b)
				if i := bytes.IndexByte(b, ','); i > 0 {
					b[i] = ';'
				}
				return c.Write(b)
			})
		}),
		tampered("a client's connection not read after its twentieth event", "lost", func(t *tamper) { t.deafAfter = 20 }),
		tampered("connections to caches never closed", "left behind", func(t *tamper) { t.keepsOpen = true }),
		long(12*time.Second, tampered("the list read once and never again", "late drain", func(t *tamper) { t.listOnce = true })),
		tampered("a client's departure not seen", "sent after its client had left", func(t *tamper) { t.blindToEnd = true }),
		long(12*time.Second, wrap("a watch that has failed never opened anew", "late drain", func() filter {
			opened := false
			return filter{action: func(a decide.Action) []decide.Action {
				if _, ok := a.(decide.Watch); ok {
					if opened {
						return nil
					}
					opened = true
				}
				return []decide.Action{a}
			}}
		})),
		configured("windows taken for five times as long", "keyed request sent again", func(settings map[string]any) {
			for _, c := range settings["categories"].([]any) {
				if c := c.(map[string]any); c["keyTtl"] != nil {
					c["keyTtl"] = c["keyTtl"].(float64) * 5
				}
			}
		}),
		ending("a drain that ends with the aims", "lost", func(m machine.Machine, n lab.Node) {
			m.At(m.Now()+700_000, func() { n.(interface{ Close() }).Close() })
		}),
		{Name: "what waits at the listener dropped with it", Rule: "lost", Apply: func(o *lab.Options) {
			start := o.Node
			o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
				t := &tamper{Machine: m, dropsQueue: true}
				n, err := start(t, c)
				return atDrain{n, func() { t.listener.Pause() }}, err
			}
		}},
		{Name: "all dropped on SIGTERM", Rule: "lost", Apply: func(o *lab.Options) {
			start := o.Node
			o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
				n, err := start(m, c)
				return abrupt{n}, err
			}
		}},
	}
}

// atDrain is a router that does something else first when it is asked to drain.
type atDrain struct {
	lab.Node
	first func()
}

// Drain implements lab.Node.
func (a atDrain) Drain(done func()) {
	a.first()
	a.Node.Drain(done)
}

func ending(name, rule string, at func(machine.Machine, lab.Node)) Defect {
	return Defect{Name: name, Rule: rule, Apply: func(o *lab.Options) {
		start := o.Node
		o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
			n, err := start(m, c)
			return atDrain{n, func() { at(m, n) }}, err
		}
	}}
}

// configured is a defect of a router that takes its settings for others.
func configured(name, rule string, change func(settings map[string]any)) Defect {
	return Defect{Name: name, Rule: rule, Apply: func(o *lab.Options) {
		start := o.Node
		o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
			var file map[string]any
			if err := json.Unmarshal(c.JSON, &file); err != nil {
				return nil, err
			}
			change(file["settings"].(map[string]any))
			var err error
			if c.JSON, err = json.Marshal(file); err != nil {
				return nil, err
			}
			return start(m, c)
		}
	}}
}

// abrupt is a router that ends at once when it is asked to drain.
type abrupt struct{ lab.Node }

// Drain implements lab.Node.
func (a abrupt) Drain(done func()) {
	if c, ok := a.Node.(interface{ Close() }); ok {
		c.Close()
	}
	done()
}

// write stands in for a connection's Write.
type write func(c machine.Conn, b []byte) (int, error)

// nth has every n-th write done otherwise.
func nth(n int, other write) write {
	count := 0
	return func(c machine.Conn, b []byte) (int, error) {
		if count++; count%n == 0 && len(b) > 0 {
			return other(c, b)
		}
		return c.Write(b)
	}
}

// tamper is a machine that does some things wrong. What is not set is done right.
type tamper struct {
	machine.Machine
	clientWrite, cacheWrite write
	deafAfter               int
	keepsOpen               bool
	blindToEnd              bool // a client's end is not told
	dropsQueue              bool // a listener does not take in what waits before it ends
	listener                machine.Listener
	keepsWorkers            bool
	listOnce                bool
	// registryRead changes what was read of a registry.
	registryRead func(now machine.Time, b []byte)
}

// long is a defect that shows late.
func long(length time.Duration, d Defect) Defect {
	d.Length = length
	return d
}

func tampered(name, rule string, with func(*tamper)) Defect {
	return Defect{Name: name, Rule: rule, Apply: func(o *lab.Options) {
		start := o.Node
		o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
			t := &tamper{Machine: m}
			with(t)
			return start(t, c)
		}
	}}
}

// Listen implements machine.Machine.
func (t *tamper) Listen(addr string, accept func(machine.Conn) machine.Handler) (machine.Listener, error) {
	ln, err := t.Machine.Listen(addr, func(c machine.Conn) machine.Handler {
		k := &wrongConn{Conn: c, write: t.clientWrite, blind: t.blindToEnd}
		h := accept(k)
		if h == nil || t.deafAfter == 0 {
			return h
		}
		return &deaf{Handler: h, left: t.deafAfter}
	})
	if t.dropsQueue && err == nil {
		ln = dropping{ln, t.Machine}
	}
	t.listener = ln
	return ln, err
}

// dropping is a listener that ends with what waits in its queue.
type dropping struct {
	machine.Listener
	m machine.Machine
}

// Finish implements machine.Listener.
func (d dropping) Finish(done func()) {
	d.Close()
	d.m.Post(done)
}

// Dial implements machine.Machine.
func (t *tamper) Dial(addr string, timeout machine.Time, done func(machine.Conn, error) machine.Handler) machine.Dialing {
	return t.Machine.Dial(addr, timeout, func(c machine.Conn, err error) machine.Handler {
		if err != nil {
			return done(c, err)
		}
		if t.registryRead != nil && strings.HasSuffix(addr, registryPort) {
			return done(&wrongRegistry{Conn: c, t: t}, nil)
		}
		return done(&wrongConn{Conn: c, write: t.cacheWrite, keepsOpen: t.keepsOpen, listOnce: t.listOnce}, nil)
	})
}

// deaf is a handler that is told of so many events and of no more.
type deaf struct {
	machine.Handler
	left int
}

// Readable implements machine.Handler.
func (d *deaf) Readable() {
	if d.left--; d.left >= 0 {
		d.Handler.Readable()
	}
}

// wrongConn is a connection of a tampered machine.
type wrongConn struct {
	machine.Conn
	write     write
	keepsOpen bool
	listOnce  bool
	blind     bool
	asked     int // calls for the list on it
}

var callForList = []byte("GET /discovery")

// Write implements machine.Conn.
func (c *wrongConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, callForList) {
		if c.asked++; c.listOnce && c.asked > 1 {
			return len(b), nil // which nobody hears
		}
		return c.Conn.Write(b)
	}
	if c.write == nil {
		return c.Conn.Write(b)
	}
	return c.write(c.Conn, b)
}

// Read implements machine.Conn.
func (c *wrongConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blind && err != nil {
		err = machine.ErrWait
	}
	return n, err
}

// EndError implements machine.Conn.
func (c *wrongConn) EndError() error {
	if c.blind {
		return nil
	}
	return c.Conn.EndError()
}

// Close implements machine.Conn.
func (c *wrongConn) Close() {
	if !c.keepsOpen || c.asked > 0 {
		c.Conn.Close()
	}
}

// Abort implements machine.Conn.
func (c *wrongConn) Abort() {
	if !c.keepsOpen || c.asked > 0 {
		c.Conn.Abort()
	}
}
