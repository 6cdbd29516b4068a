package decide

import (
	"slices"
	"testing"
)

// newLowTrafficHarness returns one router of three hundred, before n caches.
func newLowTrafficHarness(t *testing.T, n int, change func(*Settings)) *harness {
	return newHarnessWithoutHealthChecks(t, n, func(s *Settings) {
		s.Routers, s.DialCost, s.ConnectionCost = 300, .03, .03
		if change != nil {
			change(s)
		}
	})
}

// TestRouterCountDecidesLowTraffic checks that a RouterCount changes the mode and the limits.
func TestRouterCountDecidesLowTraffic(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 5, func(s *Settings) { s.Routers = 2 })
	if b.r.lowTraffic() {
		t.Fatal("two routers count as many")
	}
	b.feed(&RouterCount{Routers: 40})
	if !b.r.lowTraffic() || b.r.soleAttemptLimit() != 1.0/40 {
		t.Errorf("after 40 routers were told it divides by %v", 1/b.r.soleAttemptLimit())
	}
}

// newZonedHarness returns one router of three hundred in zone z1, before n caches in three zones.
func newZonedHarness(t *testing.T, n int) *harness {
	b := newLowTrafficHarness(t, n, func(s *Settings) { s.Zone = "z1" })
	entries := fleet(n)
	for i := range entries {
		entries[i].Zone = []string{"z0", "z1", "z2"}[i%3]
	}
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: entries})
	return b
}

// TestAttemptIsCancelledOnce: with low traffic per router an idempotent attempt is cancelled at its latency objective too.
func TestAttemptIsCancelledOnce(t *testing.T) {
	b := newHarness(t, settings())
	b.r.settings.Routers = maxRoutersWithUsualTraffic + 1
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(1)})
	if b.request(1, "read", 1) == nil {
		t.Fatal("not sent")
	}
	acts := b.feed(&ClientGone{ID: 1})
	acts = append(slices.Clone(acts), b.advance(1000*ms)...)
	cancels := 0
	for _, a := range acts {
		if a == (Cancel{1, 0}) {
			cancels++
		}
	}
	if cancels != 1 {
		t.Errorf("cancelled %d times, want once", cancels)
	}
}
