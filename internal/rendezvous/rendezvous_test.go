package rendezvous

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// referenceOrder orders ids as rendezvous hashing is defined: a score for each, sorted.
func referenceOrder(sizes map[string]float64, key uint64) (ids []string) {
	score := map[string]float64{}
	for id, size := range sizes {
		score[id] = -math.Log(float64(Mix(key^Hash(id))>>11)/(1<<53)+1e-18) / size
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if score[a] != score[b] {
			if score[a] < score[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ids
}

// TestOrderMatchesReference checks sets with any number of items and sizes, after changes, computed and remembered, and with
// ranks requested in any order.
func TestOrderMatchesReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct{ n, sizes int }{{1, 1}, {9, 1}, {14, 2}, {40, 40}, {300, 1}, {300, 7}} {
		var s Set[string]
		sizes := map[string]float64{}
		for i := range c.n {
			id := fmt.Sprintf("s-%08x", uint32(Mix(uint64(i))))
			sizes[id] = 1 + float64(i%c.sizes)/2
			s.Add(id, sizes[id], id)
		}
		keys := make([]uint64, 20)
		for i := range keys {
			keys[i] = rng.Uint64()
		}
		for change := 0; len(sizes) > 0 && change < 4; change++ {
			for _, key := range keys {
				want := referenceOrder(sizes, key)
				for range 2 {
					s.Rank(key)
					for _, i := range rng.Perm(len(want)) {
						if got := s.Ranked(i); got != want[i] {
							t.Fatalf("%+v, change %d: rank %d is %s, want %s", c, change, i, got, want[i])
						}
					}
				}
			}
			gone := referenceOrder(sizes, keys[0])[0]
			s.Remove(gone, sizes[gone])
			delete(sizes, gone)
			if s.Len() != len(sizes) {
				t.Fatalf("%d items, want %d", s.Len(), len(sizes))
			}
		}
	}
}

// TestFullOrdersAreBoundedAndForgotten checks that few full orders are kept, and that none outlives a change of the set.
func TestFullOrdersAreBoundedAndForgotten(t *testing.T) {
	var s Set[int]
	for i := range 100 {
		s.Add(fmt.Sprint(i), 1, i)
	}
	for key := range uint64(1000) {
		s.Rank(key)
		s.Ranked(99)
		if len(s.fullOrders) > maxFullOrders {
			t.Fatalf("%d whole orders are kept", len(s.fullOrders))
		}
	}
	s.Remove("7", 1)
	if len(s.fullOrders) != 0 {
		t.Errorf("%d whole orders outlive a change", len(s.fullOrders))
	}
}
