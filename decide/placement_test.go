package decide

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/rendezvous"
)

// TestPlacementIsIndependentOfListOrder checks that routers agree however the list reached them.
func TestPlacementIsIndependentOfListOrder(t *testing.T) {
	es := fleet(9)
	back := append([]Endpoint(nil), es...)
	rand.New(rand.NewSource(1)).Shuffle(len(back), func(i, j int) { back[i], back[j] = back[j], back[i] })
	a, b := newHarness(t, settings()), newHarness(t, settings())
	a.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	for _, e := range back {
		b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
	}
	for k := range uint64(300) {
		x, y := a.request(int64(k), "read", k), b.request(int64(k), "read", k)
		if x == nil || y == nil || x.Cache != y.Cache {
			t.Fatalf("key %d: %v and %v", k, x, y)
		}
		a.serve(int64(k), 0)
		b.serve(int64(k), 0)
	}
}

// TestNewPlacementAgreesWithRouter checks that a router sends each key to the cache that NewPlacement
// names.
func TestNewPlacementAgreesWithRouter(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 9, nil)
	var entries []Endpoint
	for _, c := range b.r.serving {
		entries = append(entries, c.Endpoint)
	}
	home := NewPlacement(entries)
	used := map[string]int{}
	for id := range int64(200) {
		key := mix(uint64(id))
		s := b.request(id+1, "read", key)
		if s == nil {
			t.Fatalf("request %d was not sent", id+1)
		}
		if want := home(key); s.Cache != want {
			t.Errorf("key %d went to %s, its first cache is %s", key, s.Cache, want)
		}
		used[s.Cache]++
		b.serve(id+1, 0)
	}
	if len(used) != 9 {
		t.Errorf("%d of 9 caches were used", len(used))
	}
}

// plainOrder ranks caches as rendezvous hashing is written down: a score for each, sorted.
func plainOrder(caches []Endpoint, key uint64) []string {
	type scored struct {
		id    string
		score float64
	}
	var all []scored
	for _, e := range caches {
		all = append(all, scored{e.ID, -math.Log(unitInterval(mix(key^rendezvous.Hash(e.ID)))+1e-18) / e.Weight})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score < b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	var ids []string
	for _, s := range all {
		ids = append(ids, s.id)
	}
	return ids
}

// TestOrderIsThatOfPlainRendezvousHashing checks the order against the textbook form, at any size of fleet
// and number of weights, and after caches have come, gone and changed their weight.
func TestOrderIsThatOfPlainRendezvousHashing(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct{ n, sizes int }{{1, 1}, {3, 1}, {9, 1}, {14, 2}, {40, 3}, {40, 40}, {300, 1}, {300, 7}} {
		s := settings()
		s.AllowHealthChecks = false
		b := newHarness(t, s)
		es := sizedFleet(c.n, c.sizes)
		b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
		var keys [50]uint64 // the same ones over all changes: what was remembered of them holds no more
		for i := range keys {
			keys[i] = rng.Uint64()
		}
		for change := range 4 {
			up := slices.DeleteFunc(slices.Clone(es), func(e Endpoint) bool { return e.Status != Serving })
			for _, key := range keys {
				want := plainOrder(up, key)
				for range 2 { // worked out, and remembered
					b.r.rankCaches(key)
					for _, i := range rng.Perm(len(up)) {
						if got := b.r.placement.ranked(i).ID; got != want[i] {
							t.Fatalf("%+v, change %d: rank %d is %s, want %s", c, change, i, got, want[i])
						}
					}
				}
			}
			i := rng.Intn(len(es))
			es[i].Status = Status(rng.Intn(3))
			j := rng.Intn(len(es))
			es[j].Weight = 3.25
			changed := []Endpoint{es[i]}
			if j != i {
				changed = append(changed, es[j])
			}
			b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: changed})
			es = slices.DeleteFunc(es, func(e Endpoint) bool { return e.Status == Removed })
			if len(es) == 0 {
				break
			}
		}
	}
}

// TestLowTrafficPrefersOwnZoneAmongReplicas checks that a hot key goes to a cache in the router's zone
// first, and any other key to its first cache.
func TestLowTrafficPrefersOwnZoneAmongReplicas(t *testing.T) {
	b := newZonedHarness(t, 90)
	for key := range uint64(300) {
		b.r.hotKeys.requests[0][key], b.r.hotKeys.total[0] = 30, 1000 // among 90 caches it goes to many
		b.r.rankCaches(key)
		if c := b.r.placement.ranked(0); c.Zone != "z1" {
			t.Fatalf("key %d goes to %s in zone %s first", key, c.ID, c.Zone)
		}
	}
	// A key that goes to one cache goes to it, wherever it is.
	b.r.hotKeys.requests, b.r.hotKeys.total = [2]map[uint64]int{{}, {}}, [2]int{1e6, 0}
	for key := range uint64(300) {
		b.r.rankCaches(key)
		if c, home := b.r.placement.ranked(0).ID, b.r.placement.order.Ranked(0).ID; c != home {
			t.Fatalf("key %d goes to %s, not to its first cache %s", key, c, home)
		}
	}
}
