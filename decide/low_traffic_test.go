package decide

import (
	"testing"
)

// sparseBench is one router of three hundred, among so many caches.
func sparseBench(t *testing.T, n int, change func(*Settings)) *bench {
	return quietBench(t, n, func(s *Settings) {
		s.Routers, s.DialCost, s.ConnectionCost = 300, .03, .03
		if change != nil {
			change(s)
		}
	})
}

// TestRouterCountDecidesLowTraffic checks that a RouterCount changes the mode and the limits.
func TestRouterCountDecidesLowTraffic(t *testing.T) {
	b := quietBench(t, 5, func(s *Settings) { s.Routers = 2 })
	if b.r.lowTraffic() {
		t.Fatal("two routers count as many")
	}
	b.feed(&RouterCount{Routers: 40})
	if !b.r.lowTraffic() || b.r.soleAttemptLimit() != 1.0/40 {
		t.Errorf("after 40 routers were told it divides by %v", 1/b.r.soleAttemptLimit())
	}
}

// zonedBench is one router of three hundred in zone z1, among caches in three zones.
func zonedBench(t *testing.T, n int) *bench {
	b := sparseBench(t, n, func(s *Settings) { s.Zone = "z1" })
	entries := fleet(n)
	for i := range entries {
		entries[i].Zone = []string{"z0", "z1", "z2"}[i%3]
	}
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: entries})
	return b
}
