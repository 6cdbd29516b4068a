package decide

import (
	"fmt"
	"reflect"
	"testing"
)

// TestDrainingCacheGetsNoRequests checks that draining and removed caches get no requests, and that a cache gets
// requests again once it is listed as serving.
func TestDrainingCacheGetsNoRequests(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(2)})
	h.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c00", Status: Draining}}})
	h.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c01", Status: Removed}}})
	h.advance(1001 * ms)
	if s := h.request(1, "read", 1); s != nil {
		t.Fatalf("a request was sent to %s after the drain grace", s.Cache)
	}
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(1)})
	if s := h.request(2, "read", 1); s == nil || s.Cache != "c00" {
		t.Fatalf("after c00 was listed as serving again: got %v, want a request to c00", s)
	}
}

// TestListCallsAreRepeatedWithJitter checks that routers with different seeds don't call for the list at the same times.
func TestListCallsAreRepeatedWithJitter(t *testing.T) {
	s := testSettings()
	s.WatchRequired = true
	watches := func(seed uint64) []Time {
		r, _ := New(s, seed)
		h := &harness{t: t, router: r, now: 1e9}
		h.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(2)})
		untilWatch := func() Time {
			start := h.now
			for {
				for _, a := range h.advance(1 * ms) {
					if a == (Watch{}) {
						return h.now - start
					}
				}
			}
		}
		pauses := []Time{untilWatch()} // before the first call; the others are before the calls after a failed one
		for range 5 {
			h.feed(&EndpointList{Kind: FailedUpdate})
			pauses = append(pauses, untilWatch())
		}
		return pauses
	}
	first, second := watches(1), watches(2)
	if reflect.DeepEqual(first, second) {
		t.Fatal("two routers with different seeds have the same pauses between calls")
	}
	for _, pauses := range [][]Time{first, second} {
		if pauses[0] > 501*ms {
			t.Errorf("got the first call after %d µs, want it within half of the drain grace", pauses[0])
		}
		for i, pause := range pauses[1:] {
			// No call was answered, so that none of the pauses is the short one after a working watch.
			if pause < 666*ms || pause > 1335*ms {
				t.Errorf("pause %d: got %d µs, want 1 s give or take a third", i, pause)
			}
		}
	}
}

// TestWeightsThatFollowLoadDoNotMoveKeys checks that keys stay at their caches when weights fall with the load
// and the settings say so, and that keys move with the weights otherwise.
func TestWeightsThatFollowLoadDoNotMoveKeys(t *testing.T) {
	for _, followLoad := range []bool{true, false} {
		t.Run(fmt.Sprint("weights follow load ", followLoad), func(t *testing.T) {
			h := newHarnessWithoutHealthChecks(t, 8, func(s *Settings) { s.WeightsFollowLoad = followLoad })
			moved := 0
			for key := range uint64(200) {
				endpoints := fleet(8)
				for i := range endpoints {
					endpoints[i].Weight = 2
				}
				h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
				preferred := h.router.preferredCache(key)
				for i := range endpoints {
					endpoints[i].Weight /= float64(1 + (int(key)+i)%3) // weights that differ with the load of each cache
				}
				h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
				if h.router.preferredCache(key) != preferred {
					moved++
				}
			}
			if followLoad && moved > 0 || !followLoad && moved == 0 {
				t.Errorf("WeightsFollowLoad %v: %d of 200 keys moved, want none if set and some if not", followLoad, moved)
			}
		})
	}
}

// TestRemovedCachesAreForgotten checks that the router holds no state of removed caches, and that late results for
// them have no effect.
func TestRemovedCachesAreForgotten(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 3, nil)
	s := h.request(1, "read", 9)
	for i := range 50 {
		h.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: fmt.Sprint("x", i), Zone: "a", Weight: 1}}})
		h.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: fmt.Sprint("x", i), Status: Removed}}})
	}
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)[:0]})
	if len(h.router.caches) != 0 {
		t.Errorf("got %d caches after all were removed, want none", len(h.router.caches))
	}
	h.feed(&HealthCheckResult{Cache: s.Cache, Result: Served})
	h.endAttempt(1, 0, Served, true)
	if len(h.router.requests) != 0 {
		t.Errorf("got %d open requests after the last result, want none", len(h.router.requests))
	}
}

// failAttempts ends one attempt at each of the given number of caches with a result, and returns the number of calls for
// the list among the actions of the last timer within the span.
func (h *harness) failAttempts(result Result, caches int, within Time) (calls int) {
	for i := range caches {
		id := int64(1000*h.router.now) + int64(i)
		s := h.request(id, "read", h.keyRankedFirstAt(h.router.serving[i].ID, uint64(id)))
		if s == nil {
			continue
		}
		h.feed(&AttemptResult{ID: id, Result: result, Final: true, Load: LoadReport{Utilization: -1}})
	}
	h.actions = nil
	h.advance(within)
	for _, a := range h.actions {
		if _, ok := a.(Watch); ok {
			calls++
		}
	}
	return calls
}

// TestUnreachableCachesDoNotRenewTheWatch checks that the router does not call for the list while a watch is
// open, however many caches fail. If discovery rejected that call, the open watch would end with it.
func TestUnreachableCachesDoNotRenewTheWatch(t *testing.T) {
	watching := func(s *Settings) { s.WatchRequired, s.PollInterval = true, 4000*ms }
	for _, result := range []Result{ConnectFailed, Rejected} {
		t.Run(fmt.Sprint("result ", result), func(t *testing.T) {
			h := newLowTrafficHarness(t, 20, watching)
			h.advance(3000 * ms)
			for range 3 {
				if n := h.failAttempts(result, 20, 2500*ms); n != 0 {
					t.Errorf("after result %d at all caches: got %d calls for the list, want none", result, n)
				}
			}
		})
	}
}

// TestFirstCallAfterLostWatchComesWithinGrace checks that the router calls for the list within half of the drain
// grace after a watch has failed, for any poll interval. With a longer pause the router would miss a drain.
func TestFirstCallAfterLostWatchComesWithinGrace(t *testing.T) {
	for _, pollInterval := range []Time{1000 * ms, 10_000 * ms, 60_000 * ms, 600_000 * ms} {
		t.Run(fmt.Sprint(pollInterval/ms, " ms"), func(t *testing.T) {
			s := testSettings()
			s.PollInterval, s.DrainGrace, s.WatchRequired, s.AllowHealthChecks = pollInterval, 500*ms, true, false
			h := newHarness(t, s)
			h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
			h.advance(s.DrainGrace) // past the first call
			h.timers = nil
			h.feed(&EndpointList{Kind: FailedUpdate})
			if len(h.timers) != 1 || h.timers[0].At > h.now+s.DrainGrace/2 {
				t.Errorf("poll interval of %d ms: got timers %v at %d, want one call within half of the drain grace", pollInterval/ms, h.timers, h.now)
			}
		})
	}
}
