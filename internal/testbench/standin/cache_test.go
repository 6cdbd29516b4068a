package standin

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/testbench/rules"
)

// notes is a rules.Observer that records each event as one line.
type notes struct {
	Blind
	l     *lab
	lines []string
}

func (n *notes) add(format string, args ...any) {
	n.lines = append(n.lines, fmt.Sprintf(format, args...))
}

func (n *notes) Began(_ Time, a rules.Attempt) {
	n.add("began %s at %s from %s", a.ID, a.Cache, a.Router)
}
func (n *notes) Bad(_ Time, cache, why string)      { n.add("bad %s: %s", cache, why) }
func (n *notes) Ended(_ Time, cache, id string)     { n.add("ended %s", id) }
func (n *notes) CacheDown(_ Time, c string, f bool) { n.add("down %s fallen %t", c, f) }
func (n *notes) StoreFell(Time)                     { n.add("store fell") }
func (n *notes) Ran(_ Time, a rules.Attempt, repeat bool) {
	n.add("ran %s repeat %t", a.ID, repeat)
}
func (n *notes) Replied(_ Time, cache, id string, kind rules.Answer, value string) {
	n.add("replied %s %s", id, kind)
}
func (n *notes) Listed(_ Time, router, cache string, works bool) {
	n.add("listed %s %s %t", router, cache, works)
}
func (n *notes) Asked(_ Time, a rules.Request) {
	if n.add("asked %s", a.Class); a.Forgone {
		n.add("forgone")
	}
}
func (n *notes) Answered(_ Time, _ string, kind rules.Answer, _ string) {
	n.add("answered %s", kind)
}
func (n *notes) Left(Time, string)   { n.add("left") }
func (n *notes) Broken(Time, string) { n.add("broken") }

func (n *notes) count(line string) int {
	c := 0
	for _, l := range n.lines {
		if l == line {
			c++
		}
	}
	return c
}

func (n *notes) has(t *testing.T, line string, want int) {
	t.Helper()
	if got := n.count(line); got != want {
		t.Errorf("got %q %d times, want %d, in:\n%s", line, got, want, strings.Join(n.lines, "\n"))
	}
}

// cacheFixture is a cache with its store in a lab. The work of a class is constant.
type cacheFixture struct {
	*lab
	c     *Cache
	store *Store
	notes *notes
	parts CacheParts
	addr  string
}

func steady() []Class {
	classes := DefaultClasses()
	for i := range classes {
		classes[i].CV = 0
	}
	return classes
}

func cacheOptions() CacheOptions {
	return CacheOptions{Name: "s-1", Zone: "rajkot", Cancel: CancelAll, MemoryKeys: 100,
		Capacity: Capacity{Cores: 6, ConcurrentRequests: 48, Queue: 1000, SlowStartMinCapacity: 0.16, SlowStartWindow: 20 * Second,
			OverloadMultiple: 3, OverloadWindow: 3 * Second}}
}

func newCacheFixture(t *testing.T, o CacheOptions) *cacheFixture {
	t.Helper()
	l := newLab()
	s := &cacheFixture{lab: l, notes: &notes{l: l}}
	s.store = NewStore(l, StoreOptions{Concurrency: 4, Latency: 80 * Millisecond, Queue: 100}, newTestRand(2), s.notes)
	s.parts = CacheParts{Workload: NewWorkload(steady(), newTestRand(3)), Store: s.store, Repeats: NewRepeats(),
		Observer: s.notes}
	s.c, s.addr = s.another(t, o)
	return s
}

func (s *cacheFixture) another(t *testing.T, o CacheOptions) (*Cache, string) {
	t.Helper()
	c := NewCache(s.lab, o, s.parts, newTestRand(1))
	addr, err := c.Open("127.0.0.1:0", "r-1")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(false); err != nil {
		t.Fatal(err)
	}
	return c, addr
}

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func TestCacheMissIsFetchedThenHit(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	w := s.dial(t, s.addr)
	w.send(t, get("k1", "i1"))
	s.run(t, 139*Millisecond)
	expect(t, "before 80 ms of fetch and 60 of work", w.take(), "")
	s.run(t, 2*Millisecond)
	expect(t, "first answer", w.take(), hit("k1", "i1", "miss"))
	w.send(t, get("k1", "i2"))
	s.run(t, 61*Millisecond)
	expect(t, "second answer", w.take(), hit("k1", "i2", "hit"))
	s.notes.has(t, "began i1 at s-1 from r-1", 1)
	s.notes.has(t, "ran i1 repeat false", 1)
	s.notes.has(t, "replied i2 served", 1)
}

func TestValuePaddedToRequestedSize(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	w := s.dial(t, s.addr)
	w.send(t, words("C.GET", "k1", "i1", "c=call-lookup,t=a,d=1200,size=500,h=12,r=1"))
	s.run(t, Second)
	if got := w.take(); !strings.HasPrefix(got, "*3\r\n$500\r\nv:i1:k1:....") {
		t.Errorf("got %.40q", got)
	}
}

func TestCacheRepliesInCommandOrder(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	s.c.Warm([]string{"k2"})
	w := s.dial(t, s.addr)
	w.send(t, get("k1", "slow")+get("k2", "fast")+words("PING"))
	s.run(t, 100*Millisecond)
	expect(t, "while the first one waits", w.take(), "")
	s.notes.has(t, "ran fast repeat false", 1)
	s.run(t, 100*Millisecond)
	expect(t, "all", w.take(), hit("k1", "slow", "miss")+hit("k2", "fast", "hit")+"+PONG\r\n")
}

func TestConnectionBoundsStreams(t *testing.T) {
	o := cacheOptions()
	o.Streams = 2
	s := newCacheFixture(t, o)
	s.c.Warm([]string{"k"})
	w := s.dial(t, s.addr)
	w.send(t, get("k", "a")+get("k", "b")+get("k", "c"))
	s.run(t, 59*Millisecond)
	if got := s.c.Holds(); got != 2 {
		t.Errorf("got %d running requests, want 2", got)
	}
	s.run(t, 70*Millisecond)
	s.notes.has(t, "replied c served", 1)
}

func TestCacheAnswersOtherCommands(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	for _, c := range []struct{ in, want string }{
		{words("PING"), "+PONG\r\n"},
		{words("CLIENT", "SETINFO"), "+OK\r\n"},
		{words("SELECT", "0"), "+OK\r\n"},
		{words("HELLO", "3"), "-ERR"},
		{words("INFO", "load"), "-NOPERM"},
		{words("C.GET", "k", "i"), "-SYNTAX"},
		{words("C.GET", "", "i", "c=x,d=5"), "-SYNTAX"},
		{words("C.GET", "k", "i", "c=call-lookup,t=a"), "-SYNTAX"},
		{words("C.GET", "k", "i", "c=call-lookup,d=+5"), "-SYNTAX"},
		{words("C.GET", "k", "i", "c=call-lookup,d=5,d=6"), "-SYNTAX"},
		{words("C.GET", "k", "i", "c=call-lookup,d=5,colour=red"), "-SYNTAX"},
		{words("C.SET", "k", "i", "c=add-contact,d=5"), "-SYNTAX"},
		{words("C.GET", "k", "i", "c=call-lookup,d=0"), "-BUSY"},
		{"PING\r\n", "-SYNTAX"},
		{"*1\r\n$99999\r\n", "-SYNTAX"},
		{"*17\r\n", "-SYNTAX"},
		{"*1\r\n$-1\r\n", "-SYNTAX"},
		{"*1\r\n$04\r\nPING\r\n", "-SYNTAX"},
	} {
		w := s.dial(t, s.addr)
		w.send(t, c.in)
		s.run(t, Second)
		if got := w.take(); !strings.HasPrefix(got, c.want) {
			t.Errorf("reply to %q: got %q, want %s", c.in, got, c.want)
		}
	}
}

func TestCommandStartsWithItsLastByte(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	w := s.dial(t, s.addr)
	text := get("k", "i")
	w.send(t, text[:len(text)-1])
	s.run(t, Second)
	s.notes.has(t, "began i at s-1 from r-1", 0)
	w.send(t, text[len(text)-1:])
	s.run(t, 0)
	s.notes.has(t, "began i at s-1 from r-1", 1)
}

func TestCancelAllStopsWorkOfClosedConnection(t *testing.T) {
	for _, c := range []struct {
		cancel Cancel
		ran    int
	}{{CancelAll, 0}, {CancelQueued, 1}, {CancelNone, 1}} {
		o := cacheOptions()
		o.Cancel = c.cancel
		s := newCacheFixture(t, o)
		w := s.dial(t, s.addr)
		w.send(t, get("k", "i"))
		s.run(t, 10*Millisecond)
		w.conn.CloseWrite()
		s.run(t, Second)
		s.notes.has(t, "ended i", 1)
		s.notes.has(t, "ran i repeat false", c.ran)
		if s.c.Holds() != 0 || s.store.Busy() != 0 || s.c.Connections() != 0 {
			t.Errorf("cancel %d: got %d requests, %d fetches, %d connections, want none", c.cancel, s.c.Holds(),
				s.store.Busy(), s.c.Connections())
		}
	}
}

func TestCancelQueuedDropsQueuedRequests(t *testing.T) {
	o := cacheOptions()
	o.Cancel, o.Capacity.ConcurrentRequests = CancelQueued, 1
	s := newCacheFixture(t, o)
	s.c.Warm([]string{"k"})
	first, second := s.dial(t, s.addr), s.dial(t, s.addr)
	first.send(t, get("k", "runs"))
	second.send(t, get("k", "waits"))
	s.run(t, 10*Millisecond)
	second.conn.Close()
	s.run(t, Second)
	s.notes.has(t, "ran runs repeat false", 1)
	s.notes.has(t, "ran waits repeat false", 0)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	o := cacheOptions()
	o.IdleFor = 60 * Second
	s := newCacheFixture(t, o)
	w := s.dial(t, s.addr)
	s.run(t, 50*Second)
	w.send(t, get("k", "i"))
	s.run(t, 59*Second)
	if w.end != nil {
		t.Fatal("connection in use was closed, want open")
	}
	s.run(t, 2*Second)
	if w.end == nil || s.c.Connections() != 0 {
		t.Error("idle connection is open, want closed")
	}
}

func TestConnectionsBeyondLimitAreRejected(t *testing.T) {
	for _, rejects := range []bool{false, true} {
		o := cacheOptions()
		o.RejectsWhenFull = rejects
		s := newCacheFixture(t, o)
		for range 90 {
			if w := s.dial(t, s.addr); w.end != nil {
				t.Fatal("connection below the limit was closed, want open")
			}
		}
		w := s.dial(t, s.addr)
		s.run(t, 0)
		if w.end == nil || (w.take() == "-BUSY\r\n") != rejects {
			t.Errorf("reject with -BUSY %t: got end %v", rejects, w.end)
		}
	}
}

func TestHandshakeCostsWorkAndTime(t *testing.T) {
	o := cacheOptions()
	o.HandshakeWork, o.HandshakeTime = 16*Millisecond, 5*Millisecond
	s := newCacheFixture(t, o)
	s.c.Warm([]string{"k"})
	w := s.dial(t, s.addr)
	w.send(t, get("k", "a"))
	s.run(t, 75*Millisecond)
	expect(t, "before handshake and work", w.take(), "")
	s.run(t, 2*Millisecond)
	expect(t, "after", w.take(), hit("k", "a", "hit"))
	w.send(t, get("k", "b"))
	s.run(t, 61*Millisecond)
	expect(t, "the second request", w.take(), hit("k", "b", "hit"))
}

func TestHealthCheckCostsWork(t *testing.T) {
	o := cacheOptions()
	o.Probes, o.ProbeWork, o.Reports = true, 2*Millisecond, true
	s := newCacheFixture(t, o)
	w := s.dial(t, s.addr)
	w.send(t, words("PING"))
	s.run(t, Millisecond)
	expect(t, "at once", w.take(), "")
	s.run(t, 2*Millisecond)
	expect(t, "after its work", w.take(), "+PONG\r\n")
	w.send(t, words("INFO", "load"))
	s.run(t, 3*Millisecond)
	expect(t, "the report", w.take(), "$28\r\ninflight=0,queue=0,util=0.00\r\n")
}

func TestUnsentRepliesAreBounded(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	s.c.Warm([]string{"k"})
	w := s.dial(t, s.addr)
	w.reads = false
	for i := range 50 {
		w.send(t, words("C.GET", "k", fmt.Sprint(i), "c=call-lookup,t=a,d=1200,size=60000"))
	}
	s.run(t, 10*Second)
	if got := len(s.c.conns[0].unsent); got == 0 || got > maxUnsentBytes+maxCommandBytes {
		t.Errorf("got %d unsent bytes, want a bounded number", got)
	}
	w.reads = true
	w.Readable()
	s.run(t, 10*Second)
	if got := strings.Count(w.take(), "v:"); got != 50 {
		t.Errorf("got %d of 50 replies", got)
	}
}

func TestStoppedCacheResetsAndRefusesConnections(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	w := s.dial(t, s.addr)
	w.send(t, get("k", "i"))
	s.run(t, 10*Millisecond)
	s.c.Stop()
	s.run(t, Second)
	if w.end == nil || s.dial(t, s.addr).err == nil {
		t.Error("after Stop: connection is open or a new one was accepted, want a reset and a refusal")
	}
	s.notes.has(t, "ran i repeat false", 0)
	s.notes.has(t, "down s-1 fallen false", 1)
	if err := s.c.Restart(true); err != nil {
		t.Fatal(err)
	}
	if w := s.dial(t, s.addr); w.err != nil || !s.c.WarmingUp() {
		t.Errorf("after the restart: %v, cold %t", w.err, s.c.WarmingUp())
	}
	s.run(t, 21*Second)
	if s.c.WarmingUp() {
		t.Error("cache is in slow start after its window, want warm")
	}
}

func FuzzReadCommand(f *testing.F) {
	for _, seed := range []string{get("k", "i"), put("k", "i", "x"), "*1\r\n$4\r\nPING\r\n", "*2\r\n$-1\r\n", "*x"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		args, used, err := readCommand(b)
		if used > len(b) || err != nil && used != 0 || used > 0 && len(args) == 0 {
			t.Fatalf("%q: used %d of %d, %d words, %v", b, used, len(b), len(args), err)
		}
		if used == 0 {
			return
		}
		var again []string
		for _, a := range args {
			again = append(again, string(a))
		}
		if words(again...) != string(b[:used]) {
			t.Fatalf("%q was parsed as %q", b[:used], again)
		}
		parseRequest(args)
	})
}
