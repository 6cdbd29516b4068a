package decide

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/rendezvous"
)

// TestHomesAreWhereARouterSends: a router that has nothing against any cache sends each key to its home.
func TestHomesAreWhereARouterSends(t *testing.T) {
	b := quietBench(t, 9, nil)
	var entries []Endpoint
	for _, c := range b.r.serving {
		entries = append(entries, c.Endpoint)
	}
	home := NewPlacement(entries)
	used := map[string]int{}
	for id := range int64(200) {
		key := mix(uint64(id))
		s := b.ask(id+1, "read", key)
		if s == nil {
			t.Fatalf("request %d was not sent", id+1)
		}
		if want := home(key); s.Cache != want {
			t.Errorf("key %d went to %s, its home is %s", key, s.Cache, want)
		}
		used[s.Cache]++
		b.settle(id+1, 0)
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

// sizedFleet is a fleet of caches of so many sizes.
func sizedFleet(n, sizes int) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{ID: fmt.Sprintf("s-%08x", uint32(mix(uint64(i)))), Zone: "a", Weight: 1 + float64(i%sizes)/2})
	}
	return es
}

// TestOrderIsThatOfPlainRendezvousHashing, at any size of fleet and number of sizes, and after caches
// have come, gone and changed their size.
func TestOrderIsThatOfPlainRendezvousHashing(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct{ n, sizes int }{{1, 1}, {3, 1}, {9, 1}, {14, 2}, {40, 3}, {40, 40}, {300, 1}, {300, 7}} {
		s := settings()
		s.AllowHealthChecks = false
		b := newBench(t, s)
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

// TestHotKeyGoesToItsFirstRanksAlike.
func TestHotKeyGoesToItsFirstRanksAlike(t *testing.T) {
	s := settings()
	s.AllowHealthChecks = false
	b := newBench(t, s)
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

// largeBench is a router before a fleet without limits.
func largeBench(b *testing.B, n int) *Router {
	s := settings()
	s.AllowHealthChecks, s.Routers = false, 3
	r, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	r.Handle(1e9, &EndpointList{Kind: FullUpdate, Endpoints: sizedFleet(n, 1)})
	for _, c := range r.caches {
		c.limit.value = 1e9
	}
	r.origin.limit.value = 1e9
	return r
}

var fleets = []int{10, 100, 500, 2000}

// BenchmarkRequest has requests of many keys asked and served.
func BenchmarkRequest(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchRequests(b, largeBench(b, n), func(i int) uint64 { return mix(uint64(i)) }) })
	}
}

// BenchmarkHotRequest has a quarter of them ask for one key.
func BenchmarkHotRequest(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			benchRequests(b, largeBench(b, n), func(i int) uint64 {
				if i%4 == 0 {
					return 42
				}
				return mix(uint64(i))
			})
		})
	}
}

func benchRequests(b *testing.B, r *Router, key func(int) uint64) {
	b.ReportAllocs()
	now := Time(1e9)
	for i := range b.N {
		now += 50
		id := int64(i + 1)
		r.Handle(now, &Request{ID: id, Class: "read", Key: key(i), HasKey: true, Deadline: now + 800*ms})
		r.Handle(now+1, &AttemptResult{ID: id, Result: Served, Elapsed: 1, Last: true, Load: LoadReport{Utilization: -1}})
	}
}

// BenchmarkListChange has one cache of many drain and come back.
func BenchmarkListChange(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			r := largeBench(b, n)
			e := sizedFleet(n, 1)[n/2]
			for i := range b.N {
				e.Status = Status(i % 2)
				r.Handle(Time(2e9+i), &EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
			}
		})
	}
}
