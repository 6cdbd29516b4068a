package stubrouter

import (
	"sync/atomic"

	"starlingwinch/internal/machine"
)

// Traffic counts what routers exchange with one kind of peer. Messages are writes out, and bytes both ways.
type Traffic struct {
	Messages, Out, In atomic.Int64
}

// Sample is a Traffic at one moment.
type Sample struct {
	Messages, Out, In int64
}

// Sample reads the counters.
func (t *Traffic) Sample() Sample { return Sample{t.Messages.Load(), t.Out.Load(), t.In.Load()} }

// Since is what has come since an earlier sample.
func (s Sample) Since(before Sample) Sample {
	return Sample{s.Messages - before.Messages, s.Out - before.Out, s.In - before.In}
}

// counting is a router's machine whose connections to others are counted, by who is at the other end.
type counting struct {
	machine.Machine
	discovery       string // its address
	lists, caches   *Traffic
	connectionsOpen *atomic.Int64
}

// Dial implements machine.Machine.
func (m *counting) Dial(addr string, timeout machine.Time, done func(machine.Conn, error) machine.Handler) machine.Dialing {
	traffic := m.caches
	if addr == m.discovery {
		traffic = m.lists
	}
	return m.Machine.Dial(addr, timeout, func(c machine.Conn, err error) machine.Handler {
		if err != nil {
			return done(nil, err)
		}
		m.connectionsOpen.Add(1)
		return done(&countedConn{Conn: c, traffic: traffic, open: m.connectionsOpen}, nil)
	})
}

// countedConn counts what passes on a connection.
type countedConn struct {
	machine.Conn
	traffic *Traffic
	open    *atomic.Int64
	closed  bool
}

// Read implements machine.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write implements machine.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Out.Add(int64(n))
	c.traffic.Messages.Add(1)
	return n, err
}

// Close implements machine.Conn.
func (c *countedConn) Close() {
	c.countClosed()
	c.Conn.Close()
}

// Abort implements machine.Conn.
func (c *countedConn) Abort() {
	c.countClosed()
	c.Conn.Abort()
}

func (c *countedConn) countClosed() {
	if !c.closed {
		c.closed = true
		c.open.Add(-1)
	}
}
