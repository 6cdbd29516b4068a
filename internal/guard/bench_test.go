package guard

import (
	"container/heap"
	"strconv"
	"testing"
	"time"

	"starlingwinch/decide"
)

// BenchmarkBooks has requests asked, sent and served by the bare module and by the module in books, by
// turns so that what else the machine does falls on both. Several requests are out at a time.
func BenchmarkBooks(b *testing.B) {
	const round, out = 500, 8
	bare, wrapped := newTraffic(b, false), newTraffic(b, true)
	bare.requests(5000, out)
	wrapped.requests(5000, out)
	b.ReportAllocs()
	b.ResetTimer()
	var took [2]time.Duration
	n := 0
	for ; n < b.N; n += round {
		for i := range 2 {
			t := [2]*traffic{bare, wrapped}[(i+n/round)%2]
			start := time.Now()
			t.requests(round, out)
			took[(i+n/round)%2] += time.Since(start)
		}
	}
	b.StopTimer()
	for k := range kinds {
		if c := wrapped.books.Count(k); c > 0 {
			b.Fatalf("%d times %v", c, k)
		}
	}
	each := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / float64(n) }
	b.ReportMetric(each(took[0]), "bare-ns/request")
	b.ReportMetric(each(took[1]), "books-ns/request")
	b.ReportMetric(each(took[1]-took[0]), "added-ns/request")
}

// BenchmarkSweep is what the loop asks of the books once a second, with 2000 requests open.
func BenchmarkSweep(b *testing.B) {
	t := newTraffic(b, true)
	m := &script{}
	t.books.module = m
	for id := range int64(2000) {
		m.onNext = []decide.Action{decide.Send{ID: id + 1, Cache: cacheName(int(id) % 12)}}
		t.books.Handle(t.now, &decide.Request{ID: id + 1, Deadline: t.now + 1e6})
	}
	b.ResetTimer()
	for range b.N {
		if len(t.books.Overdue(t.now)) > 0 {
			b.Fatal("something is overdue")
		}
		t.books.Check(t.now, t.books.InFlight)
	}
}

// Once the records are there, the books make nothing new for a request.
func TestSteadyTrafficTakesNoMemory(t *testing.T) {
	m := &steady{}
	b := NewContract(m, nil)
	b.Handle(1, &decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
	ask, reply := &decide.Request{Deadline: wanted}, &decide.AttemptResult{Result: decide.Served, Last: true}
	timer := &decide.Timer{}
	m.actions = []decide.Action{nil, nil}
	run := func() {
		ask.ID++
		reply.ID = ask.ID
		timer.Token++
		m.actions[0], m.actions[1] = decide.Send{ID: ask.ID, Cache: "a"}, decide.SetTimer{Token: timer.Token}
		b.Handle(2, ask)
		m.actions[0], m.actions[1] = nil, nil
		b.Handle(3, reply)
		b.Handle(4, timer)
	}
	for range 1000 {
		run()
	}
	// Two of them are the script's own: an action in an interface each.
	if n := testing.AllocsPerRun(1000, run); n > 2 {
		t.Errorf("%v allocations a request, want the script's 2", n)
	}
}

type steady struct{ actions []decide.Action }

func (s *steady) Handle(decide.Time, decide.Event) []decide.Action { return s.actions }

// traffic is a module under load that it can take, with a loop that costs little.
type traffic struct {
	module Module
	books  *Contract
	now    decide.Time
	timers timerHeap
	sends  []decide.Send
	id     int64

	dropped map[int64]bool // timers that are still in the heap
}

func newTraffic(b *testing.B, inBooks bool) *traffic {
	b.Helper()
	m, err := decide.New(decide.Settings{
		Routers: 3, MaxAttempts: 3, AllowHedging: true, AllowCancel: true, AllowHealthChecks: true, DrainGrace: 1000 * ms,
		SlowStartWindow: 23_000 * ms, SlowStartMinCapacity: .16, OverloadWindow: 3000 * ms, PollInterval: 10_000 * ms, HealthCheckCost: .01,
		Classes: []decide.Class{{Name: "read", Semantics: decide.Idempotent, LatencyObjective: 500 * ms, ClientTimeout: 1200 * ms, PriorityWeight: 2}},
	}, 1)
	if err != nil {
		b.Fatal(err)
	}
	t := &traffic{dropped: map[int64]bool{}, module: m, now: 1_000_000 * ms}
	if inBooks {
		t.books = NewContract(m, nil)
		t.module = t.books
	}
	var es []decide.Endpoint
	for i := range 12 {
		es = append(es, decide.Endpoint{ID: "cache-" + strconv.Itoa(i), Zone: string(rune('a' + i%3)), Weight: 1})
	}
	t.tell(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: es})
	return t
}

func (t *traffic) tell(ev decide.Event) {
	for _, a := range t.module.Handle(t.now, ev) {
		switch a := a.(type) {
		case decide.Send:
			t.sends = append(t.sends, a)
		case decide.SetTimer:
			heap.Push(&t.timers, a)
		case decide.CancelTimer:
			t.dropped[a.Token] = true
		case decide.HealthCheck:
			t.tell(&decide.HealthCheckResult{Cache: a.Cache})
		}
	}
}

// requests has n requests served, so many being out at a time.
func (t *traffic) requests(n, out int) {
	for range n {
		t.id++
		t.tell(&decide.Request{ID: t.id, Class: "read", Key: uint64(t.id*t.id) % 5000, HasKey: true,
			Deadline: t.now + 1200*ms})
		t.now += 200
		for len(t.timers) > 0 && t.timers[0].At <= t.now {
			token := heap.Pop(&t.timers).(decide.SetTimer).Token
			if t.dropped[token] {
				delete(t.dropped, token)
				continue
			}
			t.tell(&decide.Timer{Token: token})
		}
		if len(t.sends) >= out {
			s := t.sends[0]
			t.sends = append(t.sends[:0], t.sends[1:]...)
			t.tell(&decide.AttemptResult{ID: s.ID, Result: decide.Served, Elapsed: 1000, Last: true, Load: decide.LoadReport{Utilization: -1}})
		}
	}
}
