package rendezvous

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// referenceOrder computes an order directly from the definition of rendezvous hashing: it sorts the ids by score.
func referenceOrder(weights map[string]float64, key uint64) (ids []string) {
	score := map[string]float64{}
	for id, weight := range weights {
		score[id] = -math.Log(float64(Mix(key^Hash(id))>>11)/(1<<53)+1e-18) / weight
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

// TestOrderMatchesReference checks orders for several numbers of items and weights, after changes of the set, both computed and
// cached, and with ranks requested in random order.
func TestOrderMatchesReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct{ n, distinctWeights int }{{1, 1}, {9, 1}, {14, 2}, {40, 40}, {300, 1}, {300, 7}} {
		var s Set[string]
		weights := map[string]float64{}
		for i := range c.n {
			id := fmt.Sprintf("s-%08x", uint32(Mix(uint64(i))))
			weights[id] = 1 + float64(i%c.distinctWeights)/2
			s.Add(id, weights[id], id)
		}
		keys := make([]uint64, 20)
		for i := range keys {
			keys[i] = rng.Uint64()
		}
		for change := 0; len(weights) > 0 && change < 4; change++ {
			for _, key := range keys {
				want := referenceOrder(weights, key)
				for range 2 {
					s.Rank(key)
					for _, i := range rng.Perm(len(want)) {
						if got := s.Ranked(i); got != want[i] {
							t.Fatalf("%+v, change %d: got %s at rank %d, want %s", c, change, got, i, want[i])
						}
					}
				}
			}
			first := referenceOrder(weights, keys[0])[0]
			s.Remove(first, weights[first])
			delete(weights, first)
			if s.Len() != len(weights) {
				t.Fatalf("got %d items, want %d", s.Len(), len(weights))
			}
		}
	}
}

// TestFullOrdersAreBoundedAndCleared checks that the number of cached full orders is bounded, and that a change of the set clears
// them.
func TestFullOrdersAreBoundedAndCleared(t *testing.T) {
	var s Set[int]
	for i := range 100 {
		s.Add(fmt.Sprint(i), 1, i)
	}
	for key := range uint64(1000) {
		s.Rank(key)
		s.Ranked(99)
		if len(s.fullOrders) > maxFullOrders {
			t.Fatalf("got %d cached full orders, want at most %d", len(s.fullOrders), maxFullOrders)
		}
	}
	s.Remove("7", 1)
	if len(s.fullOrders) != 0 {
		t.Errorf("got %d cached full orders after a change, want 0", len(s.fullOrders))
	}
}
