package sim

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"starlingwinch/internal/machine"
)

func panics(f func()) (did bool) {
	defer func() { did = recover() != nil }()
	f()
	return false
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	seen := map[uint64]uint64{}
	for seed := range uint64(50) {
		runtime.GOMAXPROCS(1)
		first := busyRun(t, seed, Second/3)
		for _, procs := range []int{1, 2, 8} {
			runtime.GOMAXPROCS(procs)
			if again := busyRun(t, seed, Second/3); again != first {
				t.Fatalf("seed %d on %d cores: %+v, then %+v", seed, procs, first, again)
			}
		}
		if other, ok := seen[first.hash]; ok {
			t.Errorf("seeds %d and %d give the same run", other, seed)
		}
		seen[first.hash] = seed
	}
}

func TestRunAndStepReachSameState(t *testing.T) {
	whole, steps := busyWorld(t, 7), busyWorld(t, 7)
	whole.Run(Start + Second)
	for at := Start; at <= Start+Second; at += 777 {
		steps.Run(min(at, Start+Second))
	}
	steps.Run(Start + Second)
	if whole.TraceHash() != steps.TraceHash() || whole.Steps() != steps.Steps() || whole.Now() != steps.Now() {
		t.Errorf("%x after %d steps, %x after %d", whole.TraceHash(), whole.Steps(), steps.TraceHash(), steps.Steps())
	}
}

func TestOnEventSeesEveryEventInOrder(t *testing.T) {
	w := busyWorld(t, 3)
	var n int64
	last := w.Now()
	kinds := map[Kind]bool{}
	w.OnEvent = func(e Event) {
		n++
		kinds[e.Kind] = true
		if e.At < last {
			t.Errorf("%s at %d comes after %d", e.Kind, e.At, last)
		}
		last = e.At
	}
	w.Run(Start + 3*Second)
	if n != w.Steps() || n < 1000 {
		t.Errorf("%d events told of %d", n, w.Steps())
	}
	for k := range HostResumed + 1 {
		if !kinds[k] {
			t.Errorf("the busy run has no event of kind %q: it tries too little", k)
		}
	}
	quiet := busyRun(t, 3, 3*Second)
	if w.TraceHash() != quiet.hash {
		t.Error("telling of events changes the run")
	}
}

func TestRandStreamsAreIndependent(t *testing.T) {
	a, b := New(1), New(1)
	a.Rand("x").Uint64()
	if a.Rand("y").Uint64() != b.Rand("y").Uint64() {
		t.Error("a draw from one stream changed another")
	}
	if a.Rand("x").Uint64() == b.Rand("x").Uint64() {
		t.Error("a stream starts again with each call")
	}
	if New(1).Rand("x").Uint64() == New(2).Rand("x").Uint64() {
		t.Error("two seeds give one stream")
	}
}

// TestShuffleTiesTriesBothOrders has the server close in the very instant in which the client's bytes arrive.
func TestShuffleTiesTriesBothOrders(t *testing.T) {
	orders := map[bool]int{}
	for seed := range uint64(40) {
		f := newTestNetwork(t, HostOptions{}, HostOptions{})
		f.World.seed = seed
		f.ShuffleTies = true
		near, far := f.pair()
		at := f.now + 5*Millisecond
		f.server.Machine().At(at, func() { far.conn.Close() })
		f.client.Machine().At(at-Millisecond, func() { near.write(t, "x") })
		f.after(Second)
		orders[len(far.got) == 1]++
	}
	if orders[true] < 5 || orders[false] < 5 {
		t.Errorf("bytes before the close %d times, after it %d times", orders[true], orders[false])
	}
}

func TestShuffleTiesKeepsMachineOrder(t *testing.T) {
	for seed := range uint64(20) {
		w := New(seed)
		w.ShuffleTies = true
		m := w.Host("a", "10.0.0.1", HostOptions{}).Machine()
		var timers, posts []int
		for i := range 10 {
			m.At(w.Now()+5, func() { timers = append(timers, i) })
			m.Post(func() { posts = append(posts, i) })
		}
		w.Run(w.Now() + 5)
		if !slices.IsSorted(timers) || !slices.IsSorted(posts) || len(timers) != 10 || len(posts) != 10 {
			t.Errorf("seed %d: timers %v, posts %v", seed, timers, posts)
		}
	}
}

func TestStoppedTimersAreSwept(t *testing.T) {
	w := New(1)
	h := w.Host("a", "10.0.0.1", HostOptions{})
	m := h.Machine()
	var next Time
	for i := range 100_000 {
		timer := m.At(w.Now()+Second+Time(i%100), func() { t.Error("fired") })
		if i%1000 == 0 {
			m.At(w.Now()+Second/2+Time(i), func() {
				if w.Now() < next {
					t.Error("out of order")
				}
				next = w.Now()
			})
		}
		timer.Stop()
	}
	if h.Pending() != 100 || len(w.queue) > 3000 {
		t.Errorf("%d timers pending, %d entries in the heap", h.Pending(), len(w.queue))
	}
	w.Run(w.Now() + 2*Second)
	if h.Pending() != 0 || next != Start+Second/2+99_000 || w.Steps() != 100 {
		t.Errorf("%d pending; the last fired at %d", h.Pending(), next-Start)
	}
}

func TestStopAfterFiringStopsNoOtherTimer(t *testing.T) {
	w := New(1)
	m := w.Host("a", "10.0.0.1", HostOptions{}).Machine()
	old := m.At(w.Now(), func() {})
	w.Run(w.Now())
	fired := false
	m.At(w.Now()+1, func() { fired = true }) // has the event of the old one
	old.Stop()
	w.Run(w.Now() + 1)
	if !fired {
		t.Error("the new timer was stopped")
	}
}

func TestMisusePanics(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	m := f.client.Machine()
	tells := func(what string, f func()) {
		t.Helper()
		if !panics(f) {
			t.Errorf("no panic at %s", what)
		}
	}
	tells("a second host at an address", func() { f.Host("x", "10.0.0.1", HostOptions{}) })
	tells("a Step within a callback", func() {
		m.Post(func() { f.Step() })
		f.after(1)
	})
	tells("a call to the machine by the work of Work", func() {
		defer f.idle()
		m.Work(func() { m.Now() }, func() {})
	})
	tells("an open connection without a handler", func() {
		f.server.Machine().Listen("10.0.0.1:81", func(machine.Conn) machine.Handler { return nil })
		m.Dial("10.0.0.1:81", Second, func(machine.Conn, error) machine.Handler { return &testConn{} })
		f.after(Second)
	})
}

func TestKilledProcessMayOnlyReleaseResources(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, _ := f.pair()
	m := f.client.Machine()
	timer := m.At(f.now+Second, func() { t.Error("a timer fired after death") })
	dial := m.Dial(serverAddr, Second, func(machine.Conn, error) machine.Handler {
		t.Error("a dial was told after death")
		return nil
	})
	l, err := m.Listen("10.0.0.2:1", func(machine.Conn) machine.Handler { return &testConn{} })
	if err != nil {
		t.Fatal(err)
	}
	pc, err := m.ListenPacket("10.0.0.2:1", func(string, []byte) {})
	if err != nil {
		t.Fatal(err)
	}
	m.Post(func() { t.Error("a post ran after death") })
	f.client.Kill()
	f.client.Restart()
	calls := []func(){
		func() { m.Now() },
		func() { m.Wall() },
		func() { m.Entropy() },
		func() { m.At(0, func() {}) },
		func() { m.Post(func() {}) },
		func() { m.Work(func() {}, func() {}) },
		func() { m.Listen("10.0.0.2:2", nil) },
		func() { m.Dial(serverAddr, 1, nil) },
		func() { m.ListenPacket("10.0.0.2:2", nil) },
		func() { m.ReadFile("x", 1) },
		func() { m.OnSignal(nil) },
		func() { m.Log("x") },
		func() { near.conn.Read(make([]byte, 1)) },
		func() { near.conn.Write([]byte("x")) },
		func() { near.conn.CloseWrite() },
		func() { l.Pause() },
		func() { l.Resume() },
		func() { pc.Send(serverAddr, nil) },
	}
	for i, call := range calls {
		if !panics(call) {
			t.Errorf("call %d does not panic", i)
		}
	}
	timer.Stop()
	dial.Cancel()
	l.Close()
	pc.Close()
	near.conn.Close()
	f.after(2 * Second)
	if f.client.Pending() != 0 || f.client.Descriptors() != 0 {
		t.Errorf("the new process has %d timers and %d descriptors", f.client.Pending(), f.client.Descriptors())
	}
}

func TestWorldContinuesAfterCallbackPanic(t *testing.T) {
	w := New(1)
	h := w.Host("a", "10.0.0.1", HostOptions{})
	h.Machine().Post(func() { panic("a mistake") })
	if !panics(func() { w.Run(w.Now() + 1) }) || w.Acting() != h {
		t.Fatal("the panic did not come through, or nobody is to blame")
	}
	h.Kill()
	done := false
	h.Restart().Post(func() { done = true })
	w.Run(w.Now() + 1)
	if !done {
		t.Error("the restarted process does not run")
	}
}

type outcome struct {
	hash  uint64
	steps int64
}

func busyRun(t *testing.T, seed uint64, span Time) outcome {
	w := busyWorld(t, seed)
	w.Run(Start + span)
	for _, h := range w.Hosts() {
		checkDescriptors(t, h)
	}
	return outcome{w.TraceHash(), w.Steps()}
}

// checkDescriptors fails where a host counts other descriptors than those that are held.
func checkDescriptors(t *testing.T, h *Host) {
	p := h.process
	held := len(p.conns) + len(p.listeners) + len(p.packets)
	for _, d := range p.dials {
		if d.hasDescriptor {
			held++
		}
	}
	if h.Descriptors() != held || held > h.options.Descriptors {
		t.Errorf("%s counts %d descriptors and holds %d", h.Name(), h.Descriptors(), held)
	}
}

// busyWorld is a world with all there is: echo servers, clients that write, close and reset, datagrams, and
// troubles of every kind.
func busyWorld(t *testing.T, seed uint64) *World {
	w := New(seed)
	w.ShuffleTies = seed%2 == 1
	w.SilentAfter = 100 * Millisecond
	w.Far.Loss, w.Far.Twice, w.Far.Late, w.Far.LateBy = 0.1, 0.1, 0.1, 20*Millisecond
	w.Far.Latency = 2 * Millisecond
	zones := []string{"a", "b", "c"}
	var servers, clients []*Host
	for i, zone := range zones {
		s := w.Host("server "+zone, fmt.Sprintf("10.0.0.%d", i+1), HostOptions{Zone: zone, Window: 4096, Backlog: 4})
		servers = append(servers, s)
		serve(t, s)
		c := w.Host("client "+zone, fmt.Sprintf("10.0.1.%d", i+1), HostOptions{Zone: zone, Descriptors: 12})
		clients = append(clients, c)
		ask(t, c)
	}
	r := w.Rand("troubles")
	var trouble func()
	trouble = func() {
		s, c := servers[r.IntN(len(servers))], clients[r.IntN(len(clients))]
		from, to := zones[r.IntN(3)], zones[r.IntN(3)]
		over := w.Now() + r.Int64N(200*Millisecond)
		switch r.IntN(11) {
		case 0:
			w.Cut(from, to)
			w.At(over, func() { w.Heal(from, to) })
		case 1:
			s.Kill()
			w.At(over, func() {
				s.Restart()
				serve(t, s)
			})
		case 2:
			s.Silence(true)
			w.At(over, func() { s.Silence(false) })
		case 3:
			s.Stall(over - w.Now())
		case 4:
			s.Vanish()
			w.At(over, s.Return)
		case 5:
			s.DropIdleConns(r.IntN(2) == 0)
		case 6:
			w.Slow(from, to, 3, 100)
			w.At(over, func() { w.Slow(from, to, 1, 0) })
		case 7:
			s.RefuseAll(true)
			w.At(over, func() { s.RefuseAll(false) })
		case 8:
			s.ResetOnAccept(true)
			w.At(over, func() { s.ResetOnAccept(false) })
		case 9:
			c.Signal(machine.HangUp)
		case 10:
			c.Stall(over - w.Now())
		}
		w.At(w.Now()+r.Int64N(40*Millisecond), trouble)
	}
	w.At(w.Now()+50*Millisecond, trouble)
	return w
}

// serve starts an echo server.
func serve(t *testing.T, h *Host) {
	m := h.Machine()
	addr := h.IP() + ":80"
	if _, err := m.Listen(addr, func(c machine.Conn) machine.Handler { return &echo{conn: c} }); err != nil {
		t.Error(err)
	}
	var pc machine.PacketConn
	pc, err := m.ListenPacket(addr, func(from string, b []byte) {
		m.Log("datagram from " + from)
		pc.Send(from, b)
	})
	if err != nil {
		t.Error(err)
	}
}

// echo writes back what it reads, as far as there is room.
type echo struct {
	conn machine.Conn
	left []byte
}

func (e *echo) Readable() {
	for len(e.left) == 0 {
		var b [1000]byte
		n, err := e.conn.Read(b[:])
		if err == machine.ErrWait {
			return
		}
		if err != nil {
			e.conn.Close()
			return
		}
		e.left = append(e.left, b[:n]...)
		e.push()
	}
}

func (e *echo) Writable() {
	e.push()
	e.Readable()
}

func (e *echo) push() {
	n, err := e.conn.Write(e.left)
	if err != nil {
		e.left = nil
		return
	}
	e.left = e.left[n:]
}

// ask starts a client that dials, writes, and checks that what comes back is what it sent.
func ask(t *testing.T, h *Host) {
	m := h.Machine()
	w := h.world
	r := w.Rand("asks of " + h.Name())
	pc, err := m.ListenPacket(h.IP()+":0", func(string, []byte) {})
	if err != nil {
		t.Error(err)
	}
	m.OnSignal(func(machine.Signal) { m.Log("signal") })
	pool := make([]byte, 40_000) // of bytes to send
	for i := range pool {
		pool[i] = byte(r.Uint64())
	}
	var next func()
	next = func() {
		addr := fmt.Sprintf("10.0.0.%d:80", 1+r.IntN(3))
		pc.Send(addr, []byte{byte(r.Uint64())})
		m.Work(func() {}, func() { m.Post(func() {}) })
		d := m.Dial(addr, 30*Millisecond, func(c machine.Conn, err error) machine.Handler {
			if err != nil {
				return nil
			}
			from := m.Entropy() % uint64(len(pool)/2)
			a := &asker{t: t, conn: c, sent: pool[from : from+1+r.Uint64N(uint64(len(pool)/2))]}
			a.Writable()
			m.At(m.Now()+r.Int64N(60*Millisecond), func() { a.leave(r.IntN(3)) })
			return a
		})
		if r.IntN(10) == 0 {
			d.Cancel()
		}
		m.At(m.Now()+r.Int64N(8*Millisecond), next)
	}
	m.At(m.Now(), next)
}

// asker sends bytes to an echo server.
type asker struct {
	t    *testing.T
	conn machine.Conn
	sent []byte
	put  int
	got  int
}

func (a *asker) Readable() {
	var b [700]byte
	for {
		n, err := a.conn.Read(b[:])
		if err != nil {
			return
		}
		if a.got+n > a.put || string(b[:n]) != string(a.sent[a.got:a.got+n]) {
			a.t.Error("what came back is not what was sent")
		}
		a.got += n
	}
}

func (a *asker) Writable() {
	n, _ := a.conn.Write(a.sent[a.put:])
	a.put += n
}

func (a *asker) leave(how int) {
	switch how {
	case 0:
		a.conn.CloseWrite()
		a.Readable()
		a.conn.Close()
	case 1:
		a.conn.(interface{ Reset() }).Reset()
	default:
		a.conn.Close()
	}
}
