package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

const ms = 1000

func testSettings() Settings {
	return Settings{
		Routers: 2, MaxAttempts: 3, AllowHedging: true, AllowCancel: true, AllowHealthChecks: true,
		DrainGrace: 1000 * ms, SlowStartWindow: 10000 * ms, SlowStartMinCapacity: 0.2,
		OverloadWindow: 2000 * ms, PollInterval: 10000 * ms, HealthCheckCost: 0.01, MaxRetryAfter: 1000 * ms,
		Classes: []Class{
			{Name: "read", Semantics: Idempotent, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 2},
			{Name: "all", Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: 500 * ms, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
			{Name: "zone", Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedInZone, IdempotencyWindow: 500 * ms, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
			{Name: "cell", Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedInCell, IdempotencyWindow: 500 * ms, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
			{Name: "once", Semantics: NonIdempotent, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
		},
	}
}

// harness feeds events to one router and fires the timers that the router sets.
type harness struct {
	t       *testing.T
	router  *Router
	now     Time
	timers  []SetTimer
	actions []Action // returned for the last event
}

func newHarness(t *testing.T, s Settings) *harness {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, router: r, now: 1e9}
}

// feed passes an event to the router, updates the set of timers and returns the actions.
func (h *harness) feed(ev Event) []Action {
	h.actions = h.router.Handle(h.now, ev)
	for _, a := range h.actions {
		switch a := a.(type) {
		case SetTimer:
			h.timers = append(h.timers, a)
		case CancelTimer:
			at := slices.IndexFunc(h.timers, func(t SetTimer) bool { return t.Token == a.Token })
			if at < 0 {
				h.t.Fatalf("the router cancelled timer %d, which is not set", a.Token)
			}
			h.timers = slices.Delete(h.timers, at, at+1)
		}
	}
	return h.actions
}

// advance moves the clock by d, fires the timers that come due and returns the actions of all of them.
func (h *harness) advance(d Time) []Action {
	var all []Action
	end := h.now + d
	for {
		k := -1
		for i, tm := range h.timers {
			if tm.At <= end && (k < 0 || tm.At < h.timers[k].At) {
				k = i
			}
		}
		if k < 0 {
			break
		}
		tm := h.timers[k]
		h.timers = append(h.timers[:k], h.timers[k+1:]...)
		h.now = max(h.now, tm.At)
		all = append(all, h.feed(&Timer{tm.Token})...)
	}
	h.now = end
	return all
}

// fleet returns n caches of equal weight in the zones a and b and in four cells.
func fleet(n int) []Endpoint {
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("c%02d", i), Zone: string(rune('a' + i%2)), Cell: i % 4, Weight: 1})
	}
	return endpoints
}

func sends(actions []Action) []Send {
	var s []Send
	for _, a := range actions {
		if x, ok := a.(Send); ok {
			s = append(s, x)
		}
	}
	return s
}

func healthCheckedCaches(actions []Action) []string {
	var s []string
	for _, a := range actions {
		if x, ok := a.(HealthCheck); ok {
			s = append(s, x.Cache)
		}
	}
	return s
}

func countFinalAnswers(actions []Action) int {
	n := 0
	for _, a := range actions {
		switch a.(type) {
		case Reject, Fail:
			n++
		}
	}
	return n
}

// request feeds a request with a deadline in 800 ms and returns its first Send, or nil if the router sent nothing.
func (h *harness) request(id int64, class string, key uint64) *Send {
	s := sends(h.feed(&Request{ID: id, Class: class, Key: key, HasKey: true, Deadline: h.now + 800*ms}))
	if len(s) == 0 {
		return nil
	}
	return &s[0]
}

// serve ends an attempt with Served, which is the final answer.
func (h *harness) serve(id int64, attempt int) {
	h.feed(&AttemptResult{ID: id, Attempt: attempt, Result: Served, Elapsed: 1, Final: true, Load: LoadReport{Utilization: -1}})
}

// endAttempt ends an attempt with a result. If last is set, the result is the final answer.
func (h *harness) endAttempt(id int64, attempt int, res Result, last bool) []Action {
	return h.feed(&AttemptResult{ID: id, Attempt: attempt, Result: res, Final: last, Load: LoadReport{Utilization: -1}})
}

// logText returns the log lines among the actions.
func logText(actions []Action) string {
	var s []string
	for _, a := range actions {
		if l, ok := a.(Log); ok {
			s = append(s, l.String())
		}
	}
	return strings.Join(s, "\n")
}

// newHarnessWithoutHealthChecks returns a harness of a router in front of n caches. The router learns the state of the caches
// from attempts alone.
func newHarnessWithoutHealthChecks(t *testing.T, n int, change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	s.AllowHealthChecks = false
	if change != nil {
		change(&s)
	}
	h := newHarness(t, s)
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(n)})
	return h
}

// preferredCache returns the id of the cache that the router tries first for a key. For a hot key, this is one of several.
func (r *Router) preferredCache(key uint64) string {
	r.rankCaches(key)
	return r.placement.ranked(0).ID
}

// weightedFleet returns n caches with the given number of different weights.
func weightedFleet(n, weights int) []Endpoint {
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("s-%08x", uint32(mix(uint64(i)))), Zone: "a", Weight: 1 + float64(i%weights)/2})
	}
	return endpoints
}

// keyRankedFirstAt returns the lowest key, not below from, that ranks the cache first.
func (h *harness) keyRankedFirstAt(cache string, from uint64) uint64 {
	for key := from; ; key++ {
		if h.router.placement.order.Rank(key); h.router.placement.order.Ranked(0).ID == cache {
			return key
		}
	}
}

// timeOutRequest leaves the attempts of a request unanswered until its deadline and then ends them with Cancelled.
func (h *harness) timeOutRequest(id int64) {
	h.advance(800 * ms)
	for n := range 3 {
		h.feed(&AttemptResult{ID: id, Attempt: n, Result: Cancelled, Elapsed: 800 * ms, Final: true, Load: LoadReport{Utilization: -1}})
	}
}

// firstRanked returns the id of the cache that ranks first for a key, whether or not the key is hot.
func (h *harness) firstRanked(key uint64) string {
	h.router.placement.order.Rank(key)
	return h.router.placement.order.Ranked(0).ID
}
