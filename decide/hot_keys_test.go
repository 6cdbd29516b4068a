package decide

import (
	"testing"
)

// TestHotKeyIsSpread checks that requests for a hot key are spread over several caches, and go to one cache again
// when the key is no longer hot.
func TestHotKeyIsSpread(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 10, nil)
	used := map[string]int{}
	for id := range int64(400) {
		key := uint64(id)
		if id%3 == 0 {
			key = 5
		}
		if s := h.request(id+1, "read", key); s != nil && key == 5 {
			used[s.Cache]++
		}
		h.serve(id+1, 0)
	}
	if len(used) < 4 {
		t.Fatalf("a key with a third of the requests was sent to %v, want at least 4 caches", used)
	}
	h.advance(5 * h.router.keyWindow())
	if n := h.router.replicaCount(5); n != 1 {
		t.Fatalf("got %d replicas of a key that is no longer hot, want 1", n)
	}
}

// TestHotKeyIsSpreadEvenlyOverItsFirstRanks checks that each of the replicas of a hot key gets about the same
// number of its requests.
func TestHotKeyIsSpreadEvenlyOverItsFirstRanks(t *testing.T) {
	s := testSettings()
	s.AllowHealthChecks = false
	h := newHarness(t, s)
	endpoints := weightedFleet(200, 1)
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	const key, share = 42, 0.25
	h.router.hotKeys.requests[0][key], h.router.hotKeys.total[0] = 250, 1000
	replicas := h.router.replicaCount(key)
	if want := 1 + int(share*200/hotKeyCapacityFraction); replicas != want {
		t.Fatalf("got %d replicas, want %d", replicas, want)
	}
	order, used := plainRendezvousOrder(endpoints, key), map[string]int{}
	for range 100 * replicas {
		h.router.rankCaches(key)
		used[h.router.placement.ranked(0).ID]++
		if h.router.placement.ranked(h.router.placement.first).ID != order[0] && h.router.placement.first > 0 {
			t.Fatal("the cache of rank 0 is not in the position of the cache that is tried first")
		}
	}
	for i, id := range order {
		if n := used[id]; i < replicas && (n < 50 || n > 160) || i >= replicas && n > 0 {
			t.Errorf("the cache of rank %d was tried first %d times of %d, want 50 to 160 times for a replica and never otherwise", i, n, 100*replicas)
		}
	}
}

// TestLowTrafficSpreadsKeysOfNewRouters checks that 300 routers that have just started, and know no hot keys, don't
// all send a key to the same cache.
func TestLowTrafficSpreadsKeysOfNewRouters(t *testing.T) {
	toFirstRanked := 0
	for seed := range 300 {
		h := newLowTrafficHarness(t, 100, nil)
		h.router.random = randomSource(uint64(seed) * 77)
		if s := h.request(1, "read", 42); s == nil {
			t.Fatal("the request was not sent")
		} else if s.Cache == h.firstRanked(42) {
			toFirstRanked++
		}
	}
	if toFirstRanked < 15 || toFirstRanked > 55 {
		t.Errorf("%d of 300 routers sent the first request for a key to its first-ranked cache, want 15 to 55", toFirstRanked)
	}
}

// TestLowTrafficReplicasFollowKeyFrequency checks the number of replicas of a key by its frequency, where each
// router sees few requests for the key.
func TestLowTrafficReplicasFollowKeyFrequency(t *testing.T) {
	h := newLowTrafficHarness(t, 100, nil)
	h.router.hotKeys.total[0] = 1000
	for _, c := range []struct {
		requests int
		min, max float64
	}{{1, 1, 1.4}, {11, 32, 36}, {51, 160, 168}} {
		h.router.hotKeys.requests[0][5] = c.requests
		if got := h.router.replicas(5); got < c.min || got > c.max {
			t.Errorf("%d of 1,000 requests, 100 caches: got %.2f replicas, want %v to %v", c.requests, got, c.min, c.max)
		}
	}
	h.router.hotKeys.requests[0][5], h.router.origin.inFlight = 11, 100 // the origin is busy, and each further cache would miss first
	if got := h.router.replicas(5); got > 10 {
		t.Errorf("11 of 1,000 requests, 100 caches, busy origin: got %.2f replicas, want at most 10", got)
	}
	usual := newHarnessWithoutHealthChecks(t, 9, nil)
	usual.router.hotKeys.requests[0][5], usual.router.hotKeys.total[0] = 1, 1000
	if got := usual.router.replicas(5); got != 1 {
		t.Errorf("two routers, 1 of 1,000 requests: got %v replicas, want 1", got)
	}
}
