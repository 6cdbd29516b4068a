package router

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"starlingwinch/internal/machine"
)

// benchMachine is a machine whose calls cost next to nothing, for benchmarks of what a router does between them: what a
// connection is to read is put there by hand, what it writes is dropped, and time goes on as the benchmark says.
type benchMachine struct {
	machine.Machine // no other call comes
	now             machine.Time
	timers          []*bareTimer
	accept          func(machine.Conn) machine.Handler
	dialed          []func()
}

type bareTimer struct {
	at  machine.Time
	f   func()
	off bool
}

func (t *bareTimer) Stop() { t.off = true }

func (m *benchMachine) Now() machine.Time    { return m.now }
func (m *benchMachine) Wall() machine.Time   { return m.now }
func (m *benchMachine) Entropy() uint64      { return 7 }
func (m *benchMachine) Late() Time           { return 0 }
func (m *benchMachine) Resumed(Time, func()) {}
func (m *benchMachine) Log(string)           {}
func (m *benchMachine) Post(f func())        { m.At(m.now, f) }

func (m *benchMachine) At(at machine.Time, f func()) machine.Timer {
	t := &bareTimer{at: at, f: f}
	m.timers = append(m.timers, t)
	return t
}

func (m *benchMachine) Listen(_ string, accept func(machine.Conn) machine.Handler) (machine.Listener, error) {
	m.accept = accept
	return bareListener{}, nil
}

func (m *benchMachine) Dial(_ string, _ machine.Time, done func(machine.Conn, error) machine.Handler) machine.Dialing {
	m.dialed = append(m.dialed, func() {
		c := &bareConn{}
		c.h = done(c, nil)
	})
	return bareDialing{}
}

// turn lets time pass and calls what is due.
func (m *benchMachine) turn(by machine.Time) {
	m.now += by
	due := m.timers[:0:0]
	m.timers = slices.DeleteFunc(m.timers, func(t *bareTimer) bool {
		if !t.off && t.at <= m.now {
			due = append(due, t)
		}
		return t.off || t.at <= m.now
	})
	for _, t := range due {
		if !t.off {
			t.f()
		}
	}
	dialed := m.dialed
	m.dialed = nil
	for _, f := range dialed {
		f()
	}
}

type bareListener struct{}

func (bareListener) Addr() string  { return "127.0.0.1:1" }
func (bareListener) Pause()        {}
func (bareListener) Resume()       {}
func (bareListener) Finish(func()) {}
func (bareListener) Close()        {}

type bareDialing struct{}

func (bareDialing) Cancel()       {}
func (bareDialing) Blocked() bool { return false }

type bareConn struct {
	h     machine.Handler
	in    []byte
	wrote int
}

func (c *bareConn) Read(b []byte) (int, error) {
	if len(c.in) == 0 {
		return 0, machine.ErrWait
	}
	n := copy(b, c.in)
	c.in = c.in[n:]
	return n, nil
}

func (c *bareConn) Write(b []byte) (int, error) {
	c.wrote += len(b)
	if b[0] == '*' && b[4] == '$' { // a command: it has four words
		carrying = append(carrying, c)
	}
	return len(b), nil
}

// carrying are the connections to caches that carry a request. Benchmarks run one at a time.
var carrying []*bareConn

func (c *bareConn) Quiet() bool       { return len(c.in) == 0 }
func (c *bareConn) End() error        { return nil }
func (c *bareConn) CloseWrite() error { return nil }
func (c *bareConn) Close()            {}
func (c *bareConn) Local() string     { return "127.0.0.1:2" }
func (c *bareConn) Remote() string    { return "127.0.0.1:3" }

// BenchmarkRouted is what a request costs from its bytes to its answer's, without the machine: 64 clients, one request
// each at a time.
func BenchmarkRouted(b *testing.B) {
	for _, caches := range []int{10, 500, 2000} {
		b.Run(fmt.Sprint(caches), func(b *testing.B) { benchmarkRouted(b, caches, 1) })
	}
	b.Run("10, pipelined by 16", func(b *testing.B) { benchmarkRouted(b, 10, 16) })
}

func benchmarkRouted(b *testing.B, caches, pipelined int) {
	var lines []string
	for i := range caches {
		lines = append(lines, host(fmt.Sprint("c", i), fmt.Sprint("127.0.0.1:", 1000+i), "in_service"))
	}
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 8192},
		"settings": json.RawMessage(testSettings), "known": json.RawMessage(hosts(1, true, lines...))})
	if err != nil {
		b.Fatal(err)
	}
	cfg, err := ParseConfig(raw)
	if err != nil {
		b.Fatal(err)
	}
	m := &benchMachine{now: 1e15}
	r, err := Start(m, cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	applyKnownList(r)
	carrying = nil
	var clients []*bareConn
	for range 64 {
		c := &bareConn{}
		c.h = m.accept(c)
		clients = append(clients, c)
	}
	var wire [][]byte
	for i := range 4096 {
		wire = append(wire, []byte(words("C.GET", fmt.Sprint("key", i%3000), fmt.Sprint("id", i), "c=read,d=20000,t=a")))
	}
	answer := []byte(served)
	next := 0
	round := func(n int) {
		for i := range n {
			c := clients[i/pipelined%len(clients)]
			c.in = append(c.in, wire[next%len(wire)]...)
			if next++; (i+1)%pipelined == 0 || i == n-1 {
				c.h.Readable()
			}
		}
		for len(carrying) > 0 {
			was := carrying
			carrying = nil
			for _, c := range was {
				c.in = answer
				c.h.Readable()
			}
			if m.turn(1300); r.openRequests > 0 && len(carrying) == 0 {
				m.turn(5000)
			}
		}
		m.turn(1300)
	}
	for range 400 { // connections come up, and keys get known
		round(64 * pipelined)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; {
		n := min(64*pipelined, b.N-done)
		round(n)
		done += n
	}
	b.StopTimer()
	if r.openRequests > 0 || r.contract.Breaches() > 0 {
		b.Fatalf("%d requests are open, %d breaches", r.openRequests, r.contract.Breaches())
	}
}
