package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

const ms = 1000

func settings() Settings {
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

// harness drives one router and keeps its timers.
type harness struct {
	t      *testing.T
	r      *Router
	now    Time
	timers []SetTimer
	acts   []Action // of the last step
}

func newHarness(t *testing.T, s Settings) *harness {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, r: r, now: 1e9}
}

func (b *harness) feed(ev Event) []Action {
	b.acts = b.r.Handle(b.now, ev)
	for _, a := range b.acts {
		switch a := a.(type) {
		case SetTimer:
			b.timers = append(b.timers, a)
		case CancelTimer:
			at := slices.IndexFunc(b.timers, func(t SetTimer) bool { return t.Token == a.Token })
			if at < 0 {
				b.t.Fatalf("timer %d is dropped and was not set", a.Token)
			}
			b.timers = slices.Delete(b.timers, at, at+1)
		}
	}
	return b.acts
}

// advance fires the timers due until the clock has moved on by d.
func (b *harness) advance(d Time) []Action {
	var all []Action
	end := b.now + d
	for {
		k := -1
		for i, tm := range b.timers {
			if tm.At <= end && (k < 0 || tm.At < b.timers[k].At) {
				k = i
			}
		}
		if k < 0 {
			break
		}
		tm := b.timers[k]
		b.timers = append(b.timers[:k], b.timers[k+1:]...)
		b.now = max(b.now, tm.At)
		all = append(all, b.feed(&Timer{tm.Token})...)
	}
	b.now = end
	return all
}

func fleet(n int) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{ID: fmt.Sprintf("c%02d", i), Zone: string(rune('a' + i%2)), Cell: i % 4, Weight: 1})
	}
	return es
}

func sends(acts []Action) []Send {
	var s []Send
	for _, a := range acts {
		if x, ok := a.(Send); ok {
			s = append(s, x)
		}
	}
	return s
}

func healthChecksOf(acts []Action) []string {
	var s []string
	for _, a := range acts {
		if x, ok := a.(HealthCheck); ok {
			s = append(s, x.Cache)
		}
	}
	return s
}

func finalAnswers(acts []Action) int {
	n := 0
	for _, a := range acts {
		switch a.(type) {
		case Reject, Fail:
			n++
		}
	}
	return n
}

func (b *harness) request(id int64, class string, key uint64) *Send {
	s := sends(b.feed(&Request{ID: id, Class: class, Key: key, HasKey: true, Deadline: b.now + 800*ms}))
	if len(s) == 0 {
		return nil
	}
	return &s[0]
}

// serve ends an attempt as served, which is the final answer.
func (b *harness) serve(id int64, attempt int) {
	b.feed(&AttemptResult{ID: id, Attempt: attempt, Result: Served, Elapsed: 1, Last: true, Load: LoadReport{Utilization: -1}})
}

// end ends an attempt with a result; a last one is the final answer.
func (b *harness) end(id int64, attempt int, res Result, last bool) []Action {
	return b.feed(&AttemptResult{ID: id, Attempt: attempt, Result: res, Last: last, Load: LoadReport{Utilization: -1}})
}

func logs(acts []Action) string {
	var s []string
	for _, a := range acts {
		if l, ok := a.(Log); ok {
			s = append(s, l.String())
		}
	}
	return strings.Join(s, "\n")
}

// newHarnessWithoutHealthChecks returns a router before so many caches that learns from attempts alone.
func newHarnessWithoutHealthChecks(t *testing.T, n int, change func(*Settings)) *harness {
	t.Helper()
	s := settings()
	s.AllowHealthChecks = false
	if change != nil {
		change(&s)
	}
	b := newHarness(t, s)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(n)})
	return b
}

// home returns the id of the cache that a key goes to first, hot keys included.
func (r *Router) home(key uint64) string {
	r.rankCaches(key)
	return r.placement.ranked(0).ID
}

// sizedFleet returns n caches with so many different weights.
func sizedFleet(n, sizes int) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{ID: fmt.Sprintf("s-%08x", uint32(mix(uint64(i)))), Zone: "a", Weight: 1 + float64(i%sizes)/2})
	}
	return es
}

// keyOf returns the first key from a number on whose first rank is the cache.
func (b *harness) keyOf(cache string, from uint64) uint64 {
	for key := from; ; key++ {
		if b.r.placement.order.Rank(key); b.r.placement.order.Ranked(0).ID == cache {
			return key
		}
	}
}

// timeOut lets the attempts of a request go unanswered until its deadline, past which they end as cancelled.
func (b *harness) timeOut(id int64) {
	b.advance(800 * ms)
	for n := range 3 {
		b.feed(&AttemptResult{ID: id, Attempt: n, Result: Cancelled, Elapsed: 800 * ms, Last: true, Load: LoadReport{Utilization: -1}})
	}
}

func (b *harness) home(key uint64) string {
	b.r.placement.order.Rank(key)
	return b.r.placement.order.Ranked(0).ID
}
