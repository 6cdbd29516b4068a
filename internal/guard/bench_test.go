package guard

import (
	"container/heap"
	"strconv"
	"testing"
	"time"

	"starlingwinch/decide"
)

// BenchmarkContract serves requests with the module alone and with the module in a Contract, by turns so that what else the
// machine does falls on both. Several requests are in flight at a time.
func BenchmarkContract(b *testing.B) {
	const round, out = 500, 8
	alone, wrapped := newTraffic(b, false), newTraffic(b, true)
	alone.requests(5000, out)
	wrapped.requests(5000, out)
	b.ReportAllocs()
	b.ResetTimer()
	var elapsed [2]time.Duration
	n := 0
	for ; n < b.N; n += round {
		for i := range 2 {
			t := [2]*benchmarkTraffic{alone, wrapped}[(i+n/round)%2]
			start := time.Now()
			t.requests(round, out)
			elapsed[(i+n/round)%2] += time.Since(start)
		}
	}
	b.StopTimer()
	for k := range kindCount {
		if c := wrapped.contract.Count(k); c > 0 {
			b.Fatalf("%d times %v", c, k)
		}
	}
	each := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / float64(n) }
	b.ReportMetric(each(elapsed[0]), "module-ns/request")
	b.ReportMetric(each(elapsed[1]), "contract-ns/request")
	b.ReportMetric(each(elapsed[1]-elapsed[0]), "added-ns/request")
}

// BenchmarkOverdueAndCheck is what the loop calls once a second, with 2000 requests open.
func BenchmarkOverdueAndCheck(b *testing.B) {
	t := newTraffic(b, true)
	m := &scriptedModule{}
	t.contract.module = m
	for id := range int64(2000) {
		m.nextActions = []decide.Action{decide.Send{ID: id + 1, Cache: cacheName(int(id) % 12)}}
		t.contract.Handle(t.now, &decide.Request{ID: id + 1, Deadline: t.now + 1e6})
	}
	b.ResetTimer()
	for range b.N {
		if len(t.contract.Overdue(t.now)) > 0 {
			b.Fatal("something is overdue")
		}
		t.contract.Check(t.now, t.contract.InFlight)
	}
}

// TestSteadyTrafficAllocatesNothing checks that a Contract allocates nothing for a request once it has records to use again.
func TestSteadyTrafficAllocatesNothing(t *testing.T) {
	m := &fixedActions{}
	b := NewContract(m, nil)
	b.Handle(1, &decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
	ask, reply := &decide.Request{Deadline: testDeadline}, &decide.AttemptResult{Result: decide.Served, Last: true}
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

// fixedActions is a module that asks for the same actions at each event.
type fixedActions struct{ actions []decide.Action }

func (s *fixedActions) Handle(decide.Time, decide.Event) []decide.Action { return s.actions }

// benchmarkTraffic is the decision module under load that it can take, with a loop that costs little.
type benchmarkTraffic struct {
	module   Module
	contract *Contract
	now      decide.Time
	timers   timerHeap
	sends    []decide.Send
	id       int64

	cancelled map[int64]bool // timers that are cancelled and still in the heap
}

func newTraffic(b *testing.B, inContract bool) *benchmarkTraffic {
	b.Helper()
	m, err := decide.New(decide.Settings{
		Routers: 3, MaxAttempts: 3, AllowHedging: true, AllowCancel: true, AllowHealthChecks: true, DrainGrace: 1000 * ms,
		SlowStartWindow: 23_000 * ms, SlowStartMinCapacity: .16,
		OverloadWindow: 3000 * ms, PollInterval: 10_000 * ms, HealthCheckCost: .01,
		Classes: []decide.Class{
			{Name: "read", Semantics: decide.Idempotent, LatencyObjective: 500 * ms, ClientTimeout: 1200 * ms, PriorityWeight: 2},
		},
	}, 1)
	if err != nil {
		b.Fatal(err)
	}
	t := &benchmarkTraffic{cancelled: map[int64]bool{}, module: m, now: 1_000_000 * ms}
	if inContract {
		t.contract = NewContract(m, nil)
		t.module = t.contract
	}
	var es []decide.Endpoint
	for i := range 12 {
		es = append(es, decide.Endpoint{ID: "cache-" + strconv.Itoa(i), Zone: string(rune('a' + i%3)), Weight: 1})
	}
	t.handle(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: es})
	return t
}

func (t *benchmarkTraffic) handle(ev decide.Event) {
	for _, a := range t.module.Handle(t.now, ev) {
		switch a := a.(type) {
		case decide.Send:
			t.sends = append(t.sends, a)
		case decide.SetTimer:
			heap.Push(&t.timers, a)
		case decide.CancelTimer:
			t.cancelled[a.Token] = true
		case decide.HealthCheck:
			t.handle(&decide.HealthCheckResult{Cache: a.Cache})
		}
	}
}

// requests serves n requests with the given number of them in flight.
func (t *benchmarkTraffic) requests(n, out int) {
	for range n {
		t.id++
		t.handle(&decide.Request{ID: t.id, Class: "read", Key: uint64(t.id*t.id) % 5000, HasKey: true,
			Deadline: t.now + 1200*ms})
		t.now += 200
		for len(t.timers) > 0 && t.timers[0].At <= t.now {
			token := heap.Pop(&t.timers).(decide.SetTimer).Token
			if t.cancelled[token] {
				delete(t.cancelled, token)
				continue
			}
			t.handle(&decide.Timer{Token: token})
		}
		if len(t.sends) >= out {
			s := t.sends[0]
			t.sends = append(t.sends[:0], t.sends[1:]...)
			t.handle(&decide.AttemptResult{ID: s.ID, Result: decide.Served, Elapsed: 1000, Last: true, Load: decide.LoadReport{Utilization: -1}})
		}
	}
}
