package decide

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/rendezvous"
)

// TestPlacementIsIndependentOfListOrder checks that routers place keys alike whether the list arrives as one full update
// or as one update per cache in another order.
func TestPlacementIsIndependentOfListOrder(t *testing.T) {
	endpoints := fleet(9)
	shuffled := append([]Endpoint(nil), endpoints...)
	rand.New(rand.NewSource(1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	first, second := newHarness(t, testSettings()), newHarness(t, testSettings())
	first.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	for _, e := range shuffled {
		second.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
	}
	for k := range uint64(300) {
		sent, other := first.request(int64(k), "read", k), second.request(int64(k), "read", k)
		if sent == nil || other == nil || sent.Cache != other.Cache {
			t.Fatalf("key %d: got sends %v and %v, want the same cache", k, sent, other)
		}
		first.serve(int64(k), 0)
		second.serve(int64(k), 0)
	}
}

// TestNewPlacementAgreesWithRouter checks that a router sends each key to the cache that NewPlacement returns.
func TestNewPlacementAgreesWithRouter(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 9, nil)
	var endpoints []Endpoint
	for _, c := range h.router.serving {
		endpoints = append(endpoints, c.Endpoint)
	}
	preferred := NewPlacement(endpoints)
	used := map[string]int{}
	for id := range int64(200) {
		key := mix(uint64(id))
		s := h.request(id+1, "read", key)
		if s == nil {
			t.Fatalf("request %d was not sent", id+1)
		}
		if want := preferred(key); s.Cache != want {
			t.Errorf("key %d was sent to %s, want %s", key, s.Cache, want)
		}
		used[s.Cache]++
		h.serve(id+1, 0)
	}
	if len(used) != 9 {
		t.Errorf("got requests at %d of 9 caches, want all", len(used))
	}
}

// plainRendezvousOrder ranks caches by textbook rendezvous hashing: it sorts them by a score for each.
func plainRendezvousOrder(caches []Endpoint, key uint64) []string {
	type scored struct {
		id    string
		score float64
	}
	var all []scored
	for _, e := range caches {
		all = append(all, scored{e.ID, -math.Log(unitInterval(mix(key^rendezvous.Hash(e.ID)))+1e-18) / e.Weight})
	}
	slices.SortFunc(all, func(x, y scored) int {
		if x.score != y.score {
			if x.score < y.score {
				return -1
			}
			return 1
		}
		return strings.Compare(x.id, y.id)
	})
	var ids []string
	for _, s := range all {
		ids = append(ids, s.id)
	}
	return ids
}

// TestOrderMatchesPlainRendezvousHashing compares the order with that of textbook rendezvous hashing, for several sizes
// of fleet and numbers of different weights, and after caches were added, removed or changed their weight.
func TestOrderMatchesPlainRendezvousHashing(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct{ n, weights int }{{1, 1}, {3, 1}, {9, 1}, {14, 2}, {40, 3}, {40, 40}, {300, 1}, {300, 7}} {
		s := testSettings()
		s.AllowHealthChecks = false
		h := newHarness(t, s)
		endpoints := weightedFleet(c.n, c.weights)
		h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
		var keys [50]uint64 // the same keys after each change, which makes the orders cached for them invalid
		for i := range keys {
			keys[i] = rng.Uint64()
		}
		for change := range 4 {
			serving := slices.DeleteFunc(slices.Clone(endpoints), func(e Endpoint) bool { return e.Status != Serving })
			for _, key := range keys {
				want := plainRendezvousOrder(serving, key)
				for range 2 { // computed, and then from the cached order
					h.router.rankCaches(key)
					for _, i := range rng.Perm(len(serving)) {
						if got := h.router.placement.ranked(i).ID; got != want[i] {
							t.Fatalf("%+v, change %d, rank %d: got %s, want %s", c, change, i, got, want[i])
						}
					}
				}
			}
			i := rng.Intn(len(endpoints))
			endpoints[i].Status = Status(rng.Intn(3))
			j := rng.Intn(len(endpoints))
			endpoints[j].Weight = 3.25
			changed := []Endpoint{endpoints[i]}
			if j != i {
				changed = append(changed, endpoints[j])
			}
			h.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: changed})
			endpoints = slices.DeleteFunc(endpoints, func(e Endpoint) bool { return e.Status == Removed })
			if len(endpoints) == 0 {
				break
			}
		}
	}
}

// TestLowTrafficPrefersOwnZoneAmongReplicas checks that a hot key is sent to a replica in the router's zone first, and
// any other key to its first-ranked cache.
func TestLowTrafficPrefersOwnZoneAmongReplicas(t *testing.T) {
	h := newZonedHarness(t, 90)
	for key := range uint64(300) {
		h.router.hotKeys.requests[0][key], h.router.hotKeys.total[0] = 30, 1000 // a hot key with many replicas among 90 caches
		h.router.rankCaches(key)
		if c := h.router.placement.ranked(0); c.Zone != "z1" {
			t.Fatalf("hot key %d is sent to %s in zone %s first, want zone z1", key, c.ID, c.Zone)
		}
	}
	// A key with one replica is sent to its first-ranked cache in any zone. 1e6 requests for no key outweigh
	// the assumed requests, so that almost every key has one replica.
	h.router.hotKeys.requests, h.router.hotKeys.total = [2]map[uint64]int{{}, {}}, [2]int{1e6, 0}
	for key := range uint64(300) {
		h.router.rankCaches(key)
		if c, preferred := h.router.placement.ranked(0).ID, h.router.placement.order.Ranked(0).ID; c != preferred {
			t.Fatalf("key %d is sent to %s first, want %s", key, c, preferred)
		}
	}
}
