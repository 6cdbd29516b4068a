package decide

import (
	"testing"
)

// TestHotKeyIsSpread checks that a hot key goes to several caches while it is hot.
func TestHotKeyIsSpread(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 10, nil)
	used := map[string]int{}
	for id := range int64(400) {
		key := uint64(id)
		if id%3 == 0 {
			key = 5
		}
		if s := b.request(id+1, "read", key); s != nil && key == 5 {
			used[s.Cache]++
		}
		b.serve(id+1, 0)
	}
	if len(used) < 4 {
		t.Fatalf("a third of the traffic went to %v", used)
	}
	b.advance(5 * b.r.keyWindow())
	if n := b.r.replicaCount(5); n != 1 {
		t.Fatalf("still spread over %d when no longer hot", n)
	}
}

// TestHotKeyIsSpreadEvenlyOverItsFirstRanks checks that the caches of a hot key get about equal parts of
// its requests.
func TestHotKeyIsSpreadEvenlyOverItsFirstRanks(t *testing.T) {
	s := settings()
	s.AllowHealthChecks = false
	b := newHarness(t, s)
	es := sizedFleet(200, 1)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	const key, share = 42, 0.25
	b.r.hotKeys.requests[0][key], b.r.hotKeys.total[0] = 250, 1000
	k := b.r.replicaCount(key)
	if want := 1 + int(share*200/hotKeyCapacityFraction); k != want {
		t.Fatalf("it goes to %d caches, want %d", k, want)
	}
	order, used := plainOrder(es, key), map[string]int{}
	for range 100 * k {
		b.r.rankCaches(key)
		used[b.r.placement.ranked(0).ID]++
		if b.r.placement.ranked(b.r.placement.first).ID != order[0] && b.r.placement.first > 0 {
			t.Fatal("the first rank has not taken the place of the one that stands first")
		}
	}
	for i, id := range order {
		if n := used[id]; i < k && (n < 50 || n > 160) || i >= k && n > 0 {
			t.Errorf("rank %d was first %d times of %d", i, n, 100*k)
		}
	}
}

// TestLowTrafficSpreadsKeysBeforeAnythingIsKnown checks that three hundred routers that have just started
// don't send a key to the same cache.
func TestLowTrafficSpreadsKeysBeforeAnythingIsKnown(t *testing.T) {
	home := 0
	for seed := range 300 {
		b := newLowTrafficHarness(t, 100, nil)
		b.r.random = randomSource(uint64(seed) * 77)
		if s := b.request(1, "read", 42); s == nil {
			t.Fatal("nothing was sent")
		} else if s.Cache == b.home(42) {
			home++
		}
	}
	if home < 15 || home > 55 {
		t.Errorf("%d of 300 routers sent the first request for a key to its first cache", home)
	}
}

// TestLowTrafficReplicasFollowKeyFrequency checks over how many caches a key goes, of which each router
// sees little.
func TestLowTrafficReplicasFollowKeyFrequency(t *testing.T) {
	b := newLowTrafficHarness(t, 100, nil)
	b.r.hotKeys.total[0] = 1000
	for _, c := range []struct {
		n        int
		min, max float64
	}{{1, 1, 1.4}, {11, 32, 36}, {51, 160, 168}} {
		b.r.hotKeys.requests[0][5] = c.n
		if w := b.r.replicas(5); w < c.min || w > c.max {
			t.Errorf("a key of %d requests in 1,000 goes to %.2f of 100 caches, want %v to %v", c.n, w, c.min, c.max)
		}
	}
	b.r.hotKeys.requests[0][5], b.r.origin.inFlight = 11, 100 // the origin has much to do: each further cache misses first
	if w := b.r.replicas(5); w > 10 {
		t.Errorf("a key of 11 requests in 1,000 goes to %.2f of 100 caches while the origin is busy", w)
	}
	few := newHarnessWithoutHealthChecks(t, 9, nil)
	few.r.hotKeys.requests[0][5], few.r.hotKeys.total[0] = 1, 1000
	if w := few.r.replicas(5); w != 1 {
		t.Errorf("with two routers a key asked for once goes to %v caches", w)
	}
}
