package guard

import (
	"container/heap"
	"strconv"
	"testing"
	"time"

	"starlingwinch/decide"
)

// BenchmarkContract serves requests with the module alone and with the module in a Contract. It alternates between the two, so that
// other load on the machine affects both. Several requests are in flight at a time.
func BenchmarkContract(b *testing.B) {
	const round, inFlight = 500, 8
	alone, wrapped := newTraffic(b, false), newTraffic(b, true)
	alone.serveRequests(5000, inFlight)
	wrapped.serveRequests(5000, inFlight)
	b.ReportAllocs()
	b.ResetTimer()
	var elapsed [2]time.Duration
	n := 0
	for ; n < b.N; n += round {
		for i := range 2 {
			traffic := [2]*benchmarkTraffic{alone, wrapped}[(i+n/round)%2]
			start := time.Now()
			traffic.serveRequests(round, inFlight)
			elapsed[(i+n/round)%2] += time.Since(start)
		}
	}
	b.StopTimer()
	for kind := range kindCount {
		if count := wrapped.contract.Count(kind); count > 0 {
			b.Fatalf("counted %d breaches of kind %v, want 0", count, kind)
		}
	}
	perRequest := func(elapsed time.Duration) float64 { return float64(elapsed.Nanoseconds()) / float64(n) }
	b.ReportMetric(perRequest(elapsed[0]), "module-ns/request")
	b.ReportMetric(perRequest(elapsed[1]), "contract-ns/request")
	b.ReportMetric(perRequest(elapsed[1]-elapsed[0]), "added-ns/request")
}

// BenchmarkOverdueAndCheck measures the two methods that the loop calls once a second, with 2000 open requests.
func BenchmarkOverdueAndCheck(b *testing.B) {
	traffic := newTraffic(b, true)
	module := &scriptedModule{}
	traffic.contract.module = module
	for id := range int64(2000) {
		module.nextActions = []decide.Action{decide.Send{ID: id + 1, Cache: cacheName(int(id) % 12)}}
		traffic.contract.Handle(traffic.now, &decide.Request{ID: id + 1, Deadline: traffic.now + 1e6})
	}
	b.ResetTimer()
	for range b.N {
		if len(traffic.contract.OverdueEvents(traffic.now)) > 0 {
			b.Fatal("Overdue returned events, want none")
		}
		traffic.contract.CheckCounts(traffic.now, traffic.contract.InFlight)
	}
}

// TestSteadyTrafficAllocatesNothing checks that a Contract makes no allocation for a request once it has records to reuse.
func TestSteadyTrafficAllocatesNothing(t *testing.T) {
	module := &fixedActions{}
	contract := NewContract(module, nil)
	contract.Handle(1, &decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
	request, result := &decide.Request{Deadline: testDeadline}, &decide.AttemptResult{Result: decide.Served, Final: true}
	timer := &decide.Timer{}
	module.actions = []decide.Action{nil, nil}
	run := func() {
		request.ID++
		result.ID = request.ID
		timer.Token++
		module.actions[0], module.actions[1] = decide.Send{ID: request.ID, Cache: "a"}, decide.SetTimer{Token: timer.Token}
		contract.Handle(2, request)
		module.actions[0], module.actions[1] = nil, nil
		contract.Handle(3, result)
		contract.Handle(4, timer)
	}
	for range 1000 {
		run()
	}
	// The test makes two allocations itself: it converts two actions to interface values.
	if n := testing.AllocsPerRun(1000, run); n > 2 {
		t.Errorf("%v allocations per request, want at most the test's own 2", n)
	}
}

// fixedActions is a Module that returns the same actions at each event.
type fixedActions struct{ actions []decide.Action }

func (f *fixedActions) Handle(decide.Time, decide.Event) []decide.Action { return f.actions }

// benchmarkTraffic is a minimal loop that drives the decision module at a load that the module can sustain.
type benchmarkTraffic struct {
	module   Module
	contract *Contract
	now      decide.Time
	timers   timerHeap
	sends    []decide.Send
	id       int64

	cancelled map[int64]bool // tokens of cancelled timers that are still in the heap
}

func newTraffic(b *testing.B, inContract bool) *benchmarkTraffic {
	b.Helper()
	module, err := decide.New(decide.Settings{
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
	traffic := &benchmarkTraffic{cancelled: map[int64]bool{}, module: module, now: 1_000_000 * ms}
	if inContract {
		traffic.contract = NewContract(module, nil)
		traffic.module = traffic.contract
	}
	var endpoints []decide.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, decide.Endpoint{ID: "cache-" + strconv.Itoa(i), Zone: string(rune('a' + i%3)), Weight: 1})
	}
	traffic.handle(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: endpoints})
	return traffic
}

func (traffic *benchmarkTraffic) handle(ev decide.Event) {
	for _, action := range traffic.module.Handle(traffic.now, ev) {
		switch action := action.(type) {
		case decide.Send:
			traffic.sends = append(traffic.sends, action)
		case decide.SetTimer:
			heap.Push(&traffic.timers, action)
		case decide.CancelTimer:
			traffic.cancelled[action.Token] = true
		case decide.HealthCheck:
			traffic.handle(&decide.HealthCheckResult{Cache: action.Cache})
		}
	}
}

// serveRequests serves n requests with inFlight requests in flight.
func (traffic *benchmarkTraffic) serveRequests(n, inFlight int) {
	for range n {
		traffic.id++
		traffic.handle(&decide.Request{ID: traffic.id, Class: "read", Key: uint64(traffic.id*traffic.id) % 5000, HasKey: true,
			Deadline: traffic.now + 1200*ms})
		traffic.now += 200
		for len(traffic.timers) > 0 && traffic.timers[0].At <= traffic.now {
			token := heap.Pop(&traffic.timers).(decide.SetTimer).Token
			if traffic.cancelled[token] {
				delete(traffic.cancelled, token)
				continue
			}
			traffic.handle(&decide.Timer{Token: token})
		}
		if len(traffic.sends) >= inFlight {
			send := traffic.sends[0]
			traffic.sends = append(traffic.sends[:0], traffic.sends[1:]...)
			traffic.handle(&decide.AttemptResult{ID: send.ID, Result: decide.Served, Elapsed: 1000, Final: true, Load: decide.LoadReport{Utilization: -1}})
		}
	}
}
