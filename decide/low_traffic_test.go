package decide

import (
	"slices"
	"testing"
)

// newLowTrafficHarness returns a harness of one of 300 routers in front of n caches.
func newLowTrafficHarness(t *testing.T, n int, change func(*Settings)) *harness {
	return newHarnessWithoutHealthChecks(t, n, func(s *Settings) {
		s.Routers, s.DialCost, s.ConnectionCost = 300, .03, .03
		if change != nil {
			change(s)
		}
	})
}

// TestRouterCountDecidesLowTraffic checks that a RouterCount event decides whether the rules for low traffic per
// router hold, and changes the limit of a sole attempt.
func TestRouterCountDecidesLowTraffic(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 5, func(s *Settings) { s.Routers = 2 })
	if h.router.lowTraffic() {
		t.Fatal("two routers count as low traffic per router")
	}
	h.feed(&RouterCount{Routers: 40})
	if !h.router.lowTraffic() || h.router.soleAttemptLimit() != 1.0/40 {
		t.Errorf("after a RouterCount of 40: got low traffic %v and a sole-attempt limit of 1/%v, want true and 1/40",
			h.router.lowTraffic(), 1/h.router.soleAttemptLimit())
	}
}

// newZonedHarness returns a harness of one of 300 routers, in zone z1, in front of n caches in three zones.
func newZonedHarness(t *testing.T, n int) *harness {
	h := newLowTrafficHarness(t, n, func(s *Settings) { s.Zone = "z1" })
	endpoints := fleet(n)
	for i := range endpoints {
		endpoints[i].Zone = []string{"z0", "z1", "z2"}[i%3]
	}
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	return h
}

// TestAttemptIsCancelledOnce checks that an attempt that was cancelled when its client went away is not cancelled
// a second time. In low traffic per router, an idempotent attempt is also cancelled at its latency objective.
func TestAttemptIsCancelledOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	h.router.settings.Routers = maxRoutersWithUsualTraffic + 1
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(1)})
	if h.request(1, "read", 1) == nil {
		t.Fatal("the request was not sent")
	}
	actions := h.feed(&ClientGone{ID: 1})
	actions = append(slices.Clone(actions), h.advance(1000*ms)...)
	cancels := 0
	for _, a := range actions {
		if a == (Cancel{1, 0}) {
			cancels++
		}
	}
	if cancels != 1 {
		t.Errorf("got %d cancellations, want 1", cancels)
	}
}
