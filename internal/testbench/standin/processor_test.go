package standin

import (
	"fmt"
	"strings"
	"testing"
)

// finish requests n keys in memory at once and returns the time until the last reply.
func (s *cacheFixture) finish(t *testing.T, n int) Time {
	t.Helper()
	w := s.dial(t, s.addr)
	began := s.now
	for i := range n {
		s.c.Warm([]string{"k"})
		w.send(t, get("k", fmt.Sprintf("%d-%d", began, i)))
	}
	for len(w.take()) >= 0 && s.c.Holds() > 0 || s.now == began {
		s.run(t, Millisecond)
		if s.now-began > 100*Second {
			t.Fatal("requests did not finish")
		}
	}
	return s.now - began
}

func near(t *testing.T, what string, got, want, slack Time) {
	t.Helper()
	if got < want-slack || got > want+slack {
		t.Errorf("%s took %d µs, want %d ± %d", what, got, want, slack)
	}
}

func TestProcessorSharesCores(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	near(t, "one request of 60 ms", s.finish(t, 1), 60*Millisecond, 2*Millisecond)
	near(t, "six on six cores", s.finish(t, 6), 60*Millisecond, 2*Millisecond)
	near(t, "twelve on six cores", s.finish(t, 12), 120*Millisecond, 2*Millisecond)
}

func TestRequestsQueueForSlotsThenAreRejected(t *testing.T) {
	o := cacheOptions()
	o.Capacity.ConcurrentRequests, o.Capacity.Queue = 2, 3
	s := newCacheFixture(t, o)
	s.c.Warm([]string{"k"})
	w := s.dial(t, s.addr)
	for i := range 7 {
		w.send(t, get("k", fmt.Sprint(i)))
	}
	s.run(t, Second)
	for i := range 7 {
		want := "served"
		if i >= 5 {
			want = "refused"
		}
		s.notes.has(t, fmt.Sprintf("replied %d %s", i, want), 1)
	}
}

func TestSlowStartRisesLinearly(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	if err := s.c.Restart(true); err != nil {
		t.Fatal(err)
	}
	near(t, "six at the start", s.finish(t, 6), 359*Millisecond, 8*Millisecond)
	s.run(t, 10*Second-375*Millisecond)
	near(t, "six half way", s.finish(t, 6), 103*Millisecond, 3*Millisecond)
	s.run(t, 10*Second)
	near(t, "six when warm", s.finish(t, 6), 60*Millisecond, 2*Millisecond)
}

func TestLoadedCacheThrashes(t *testing.T) {
	o := cacheOptions()
	o.Capacity.Thrash, o.Capacity.ThrashAt = 0.5, 2
	s := newCacheFixture(t, o)
	near(t, "twelve, two a core", s.finish(t, 12), 120*Millisecond, 2*Millisecond)
	if got := s.finish(t, 24); got < 300*Millisecond {
		t.Errorf("24 requests took %d µs, want a slowdown by thrashing", got)
	}
}

// overload sends work at a multiple of a cold cache's capacity for a time, and reports whether the cache crashed.
func overload(t *testing.T, multiple float64, d Time) bool {
	t.Helper()
	o := cacheOptions()
	o.Capacity.SlowStartWindow, o.Streams = 1000*Second, 10_000 // so long that the capacity is nearly constant
	s := newCacheFixture(t, o)
	s.c.Restart(true)
	const each = 60 * Millisecond
	gap := Time(float64(each) / (multiple * 6 * 0.16))
	w := s.dial(t, s.addr)
	for at := Time(0); at < d && s.c.Up(); at += gap {
		w.send(t, get("k", fmt.Sprint(at)))
		s.run(t, gap)
		w.take()
	}
	if s.c.Up() {
		return false
	}
	s.notes.has(t, "down s-1 fallen true", 1)
	s.run(t, 60*Second)
	if s.c.Up() || w.end == nil || s.dial(t, s.addr).err == nil {
		t.Error("crashed cache is up, want down")
	}
	return true
}

func TestCacheCrashesUnderOverload(t *testing.T) {
	for _, c := range []struct {
		multiple float64
		d        Time
		falls    bool
	}{{3.2, 3500 * Millisecond, true}, {2.5, 30 * Second, false}, {3.2, 2500 * Millisecond, false},
		{8, 1500 * Millisecond, true}} {
		if got := overload(t, c.multiple, c.d); got != c.falls {
			t.Errorf("%.1f times the capacity for %d µs: got crashed %t, want %t", c.multiple, c.d, got, c.falls)
		}
	}
}

func TestCongestedCacheSlowUntilIdle(t *testing.T) {
	o := cacheOptions()
	o.Capacity.Congestion = Congestion{Threshold: 4, Window: Second, Slowdown: 3, RecoveryUtilization: 0.3,
		RecoveryWindow: 3 * Second, MaxDuration: 30 * Second}
	s := newCacheFixture(t, o)
	s.c.Warm([]string{"k"})
	w := s.dial(t, s.addr)
	for i := range 300 {
		w.send(t, get("k", fmt.Sprint(i)))
	}
	s.run(t, 4*Second)
	if s.c.processor.congestionFactor != 3 {
		t.Fatal("no congestion after 300 requests for three seconds")
	}
	for s.c.Holds() > 0 {
		s.run(t, 100*Millisecond)
	}
	near(t, "right after the crowd", s.finish(t, 1), 180*Millisecond, 2*Millisecond)
	s.run(t, 4*Second)
	near(t, "after its rest", s.finish(t, 1), 60*Millisecond, 2*Millisecond)
	s.c.Stop()
	s.run(t, Second)
	for _, e := range s.events {
		if e.f != nil && e.at < s.now+10*Second {
			t.Error("stopped cache has a timer, want none")
		}
	}
}

func TestMemoryEvictsLeastRecentlyUsed(t *testing.T) {
	m := newLRUMemory(2)
	m.add("a")
	m.add("b")
	m.use("a")
	m.add("c")
	if !m.use("a") || m.use("b") || !m.use("c") {
		t.Error("least recently used key b was not evicted, or another key was")
	}
	m.remove("a")
	if m.use("a") {
		t.Error("removed key a is in memory")
	}
}

func TestWorkloadIsTheSameAtEveryCache(t *testing.T) {
	classes := DefaultClasses()
	w := NewWorkload(classes, newTestRand(5))
	if first, again := w.Of("log-page", "x"), w.Of("log-page", "x"); first != again || first == w.Of("log-page", "y") {
		t.Error("work does not depend on the id alone")
	}
	sum := Time(0)
	const n = 200_000
	for i := range n {
		sum += w.Of("call-lookup", fmt.Sprint(i))
	}
	near(t, "the mean", sum/n, classes[0].Work, classes[0].Work/20)
}

func TestConcurrentMissesCoalesce(t *testing.T) {
	for _, coalesce := range []bool{true, false} {
		o := cacheOptions()
		o.Coalesce = coalesce
		s := newCacheFixture(t, o)
		w := s.dial(t, s.addr)
		w.send(t, get("k", "a")+get("k", "b"))
		s.run(t, Millisecond)
		want := 2
		if coalesce {
			want = 1
		}
		if s.store.Busy() != want {
			t.Errorf("coalesce %t: got %d fetches in flight", coalesce, s.store.Busy())
		}
		s.run(t, Second)
		expect(t, "answers", w.take(), hit("k", "a", "miss")+hit("k", "b", "pending"))
	}
}

func TestWriteInvalidatesAllCaches(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	o := cacheOptions()
	o.Name = "s-2"
	other, addr := s.another(t, o)
	other.Warm([]string{"k"})
	w, v := s.dial(t, s.addr), s.dial(t, addr)
	w.send(t, put("k", "i1", "x"))
	s.run(t, Second)
	expect(t, "receipt", w.take(), served("w", "k", "i1", ""))
	v.send(t, get("k", "i2"))
	s.run(t, Second)
	expect(t, "the read after it", v.take(), hit("k", "i2", "miss"))
}

func TestFetchOfKeyWrittenDuringFetchIsNotStored(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	w := s.dial(t, s.addr)
	w.send(t, get("k", "a"))
	s.run(t, 10*Millisecond)
	s.c.invalidate("k")
	s.run(t, Second)
	w.send(t, get("k", "b"))
	s.run(t, Second)
	expect(t, "answers", w.take(), hit("k", "a", "miss")+hit("k", "b", "miss"))
}

func TestRepeatDroppedInsideIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		after  Time
		repeat bool
	}{{50 * Millisecond, true}, {1100 * Millisecond, true}, {1300 * Millisecond, false}} {
		s := newCacheFixture(t, cacheOptions())
		o := cacheOptions()
		o.Name = "s-2"
		_, addr := s.another(t, o)
		w, v := s.dial(t, s.addr), s.dial(t, addr)
		w.send(t, put("k", "i1", "x"))
		s.run(t, c.after)
		v.send(t, put("k", "i2", "x"))
		s.run(t, 2*Second)
		s.notes.has(t, "ran i1 repeat false", 1)
		s.notes.has(t, fmt.Sprintf("ran i2 repeat %t", c.repeat), 1)
		expect(t, "the repeat's answer", v.take(), served("w", "k", "i2", ""))
	}
}

func TestCancelledWriteIsNotARepeat(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	w, v := s.dial(t, s.addr), s.dial(t, s.addr)
	w.send(t, put("k", "i1", "x"))
	s.run(t, 50*Millisecond) // half of its work
	w.conn.Close()
	v.send(t, put("k", "i2", "x"))
	s.run(t, Second)
	s.notes.has(t, "ran i1 repeat false", 0)
	s.notes.has(t, "ran i2 repeat false", 1)
}

func TestStoreFailsCallsBeyondQueue(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	s.store.options.Concurrency, s.store.options.Queue = 1, 1
	w := s.dial(t, s.addr)
	w.send(t, get("a", "1")+get("b", "2")+get("c", "3"))
	s.run(t, 2*Second)
	expect(t, "answers", w.take(), hit("a", "1", "miss")+hit("b", "2", "miss")+"-ERR failed\r\n")
}

func TestStoreOutageUnderOverload(t *testing.T) {
	for _, multiple := range []float64{2.5, 3.2} {
		l := newLab()
		n := &notes{l: l}
		s := NewStore(l, StoreOptions{Concurrency: 2, Latency: 80 * Millisecond, Queue: 1000, OverloadMultiple: 3,
			OverloadWindow: 3 * Second, MinDowntime: 5 * Second, MaxDowntime: 5 * Second}, newTestRand(1), n)
		ok, failed := 0, 0
		gap := Time(float64(80*Millisecond) / (2 * multiple))
		for at := Time(0); at < 4*Second && !s.Down(); at += gap {
			s.start("k", false, "c", func(done bool) {
				if done {
					ok++
				} else {
					failed++
				}
			})
			l.run(t, gap)
		}
		n.has(t, "store fell", map[bool]int{true: 1}[multiple > 3])
		l.run(t, 6*Second)
		if s.Down() || ok == 0 || (failed > 0) != (multiple > 3) {
			t.Errorf("%.1f times the capacity: got down %t, %d done, %d failed", multiple, s.Down(), ok, failed)
		}
	}
}

func TestStoreFinishesAbandonedWork(t *testing.T) {
	for _, finishAbandoned := range []bool{false, true} {
		s := newCacheFixture(t, cacheOptions())
		s.store.options.FinishAbandonedWork = finishAbandoned
		w := s.dial(t, s.addr)
		w.send(t, get("k", "i"))
		s.run(t, Millisecond)
		w.conn.Close()
		s.run(t, Millisecond)
		if got := s.store.Busy() == 1; got != finishAbandoned {
			t.Errorf("finish abandoned work %t: got %d fetches in flight", finishAbandoned, s.store.Busy())
		}
	}
}

func TestFetchTimeout(t *testing.T) {
	o := cacheOptions()
	o.FetchTimeout = 50 * Millisecond
	s := newCacheFixture(t, o)
	w := s.dial(t, s.addr)
	w.send(t, get("k", "i"))
	s.run(t, 51*Millisecond)
	expect(t, "answer", w.take(), "-ERR failed\r\n")
}

func TestMissOccupiesSlot(t *testing.T) {
	for _, occupies := range []bool{false, true} {
		o := cacheOptions()
		o.MissOccupiesSlot, o.Capacity.ConcurrentRequests = occupies, 1
		s := newCacheFixture(t, o)
		s.c.Warm([]string{"warm"})
		w, v := s.dial(t, s.addr), s.dial(t, s.addr)
		w.send(t, get("cold", "a"))
		v.send(t, get("warm", "b"))
		s.run(t, 70*Millisecond)
		if got := strings.HasPrefix(v.take(), "*"); got == occupies {
			t.Errorf("miss occupies slot %t: got second request served %t during the fetch", occupies, got)
		}
	}
}
