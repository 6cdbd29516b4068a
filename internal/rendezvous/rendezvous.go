// Package rendezvous orders items for a key by weighted rendezvous hashing (Thaler and Ravishankar, "A name-based mapping scheme
// for rendezvous", 1996; the weights after Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005). Removing an
// item moves only the keys of that item, each key has an ordered list of fallbacks, and all holders of the same items compute the
// same order.
//
// The score of an item is -ln(u)/weight, where u is derived from a hash of the key and the item's id; the item with the lowest
// score comes first. Among items of equal weight, the hashes determine the order of the scores, so that finding the order costs a
// comparison per item and a few logarithms per distinct weight. A large set caches the first ranks of recently ordered keys. The
// package only computes orders; its callers decide how to use them.
package rendezvous

import (
	"math"
	"slices"
	"strings"

	"starlingwinch/internal/rankcache"
)

const (
	// firstRanks is the number of ranks that one pass over the items computes. Few callers need more.
	firstRanks = rankcache.MaxRanks
	// maxFullOrders is the maximum number of cached full orders.
	maxFullOrders = 64
	// minItemsForCache is the number of items above which a set caches first ranks. Ordering fewer items costs less than a look-up.
	minItemsForCache = 64
)

// Set holds items, each with a unique id and a positive weight. The zero value is an empty set.
type Set[T any] struct {
	groups     []group[T]                    // the items, grouped by weight
	size       int                           // number of items
	current    order[T]                      // order for the key of the last call of Rank
	fullOrders map[uint64][]T                // full orders by key; cleared when the set changes
	rankCache  rankcache.Cache               // first ranks by key; cleared when the set changes
	numbers    rankcache.Numbering[*item[T]] // numbers that identify items in rankCache
}

// item is an item of a Set, with its precomputed hash.
type item[T any] struct {
	id     string
	hash   uint64 // hash of the id
	number int    // number in Set.numbers
	value  T
}

// group holds the items of one weight, sorted by id.
type group[T any] struct {
	weight float64
	hashes []uint64 // hashes of the items' ids, in a separate slice so that the loop over a large group reads only these
	items  []*item[T]
}

// order is the order of the items for one key.
type order[T any] struct {
	key   uint64
	first []ranked[T] // the first ranks
	full  []T         // the order of all items; nil until a rank beyond first is requested
}

// ranked is an item with its score for a key.
type ranked[T any] struct {
	item  *item[T]
	score float64
}

// Len returns the number of items.
func (s *Set[T]) Len() int { return s.size }

// Add adds an item with the given id and weight.
func (s *Set[T]) Add(id string, weight float64, value T) {
	added := &item[T]{id: id, hash: Hash(id), value: value}
	added.number = s.numbers.Assign(added)
	g := s.group(weight)
	at, _ := slices.BinarySearchFunc(g.items, id, compareID[T])
	g.items = slices.Insert(g.items, at, added)
	g.hashes = slices.Insert(g.hashes, at, added.hash)
	s.size++
	s.clearOrders()
}

// Remove removes the item with the given id and weight, if there is one.
func (s *Set[T]) Remove(id string, weight float64) {
	g := s.group(weight)
	at, found := slices.BinarySearchFunc(g.items, id, compareID[T])
	if !found {
		return
	}
	s.numbers.Release(g.items[at].number)
	g.items = slices.Delete(g.items, at, at+1)
	g.hashes = slices.Delete(g.hashes, at, at+1)
	s.size--
	s.clearOrders()
}

// clearOrders clears the cached orders, which are invalid after the set has changed.
func (s *Set[T]) clearOrders() {
	clear(s.fullOrders)
	s.rankCache.Clear()
}

// compareID orders items by id.
func compareID[T any](i *item[T], id string) int { return strings.Compare(i.id, id) }

// group returns the group of a weight, and creates the group if it does not exist. Empty groups are removed only when a group is
// created, because there are few distinct weights.
func (s *Set[T]) group(weight float64) *group[T] {
	for i := range s.groups {
		if s.groups[i].weight == weight {
			return &s.groups[i]
		}
	}
	s.groups = slices.DeleteFunc(s.groups, func(g group[T]) bool { return len(g.items) == 0 })
	s.groups = append(s.groups, group[T]{weight: weight})
	return &s.groups[len(s.groups)-1]
}

// Mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Hash returns a hash of an id: 64-bit FNV-1a, followed by Mix.
func Hash(id string) uint64 {
	const offsetBasis, prime = 14695981039346656037, 1099511628211
	hash := uint64(offsetBasis)
	for i := 0; i < len(id); i++ {
		hash = (hash ^ uint64(id[i])) * prime
	}
	return Mix(hash)
}

// drawBits is the number of bits of a draw: the precision of a float64.
const drawBits = 53

// draw returns the pseudorandom number for a key and an item's hash. Among items of equal weight, the highest draw comes first.
func draw(key, hash uint64) uint64 { return Mix(key^hash) >> (64 - drawBits) }

// score returns the score of an item with the given draw and weight.
func score(draw uint64, weight float64) float64 {
	const minimum = 1e-18 // avoids the logarithm of 0, which is not finite
	return -math.Log(float64(draw)/(1<<drawBits)+minimum) / weight
}

// compareRanked orders items by score, and items with equal scores by id.
func compareRanked[T any](a, b ranked[T]) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return strings.Compare(a.item.id, b.item.id)
}

// Rank computes the order of the items for a key. Ranked returns the items in that order.
func (s *Set[T]) Rank(key uint64) {
	o := &s.current
	o.key, o.first, o.full = key, o.first[:0], nil
	useCache := s.size > minItemsForCache && s.numbers.UpperBound() <= math.MaxUint16
	if useCache {
		for _, number := range s.rankCache.Get(key) {
			o.first = append(o.first, ranked[T]{item: s.numbers.Item(int(number))})
		}
		if len(o.first) > 0 {
			return
		}
	}
	for i := range s.groups {
		o.first = s.groups[i].mergeFirstRanks(key, o.first)
	}
	if useCache {
		var list rankcache.List
		for i := range o.first {
			list[i] = uint16(o.first[i].item.number)
		}
		s.rankCache.Put(key, list[:len(o.first)])
	}
}

// mergeFirstRanks merges the group's first ranks for a key into the sorted first ranks of other groups, and returns the result.
func (g *group[T]) mergeFirstRanks(key uint64, merged []ranked[T]) []ranked[T] {
	var draws [firstRanks]uint64
	var indices [firstRanks]int
	count := g.highestDraws(key, &draws, &indices)
	for i := range count {
		candidate := ranked[T]{g.items[indices[i]], score(draws[i], g.weight)}
		if len(merged) == firstRanks && compareRanked(candidate, merged[firstRanks-1]) > 0 {
			break // the group's remaining items have higher scores
		}
		at := min(len(merged), firstRanks-1)
		if len(merged) < firstRanks {
			merged = append(merged, candidate)
		}
		for ; at > 0 && compareRanked(candidate, merged[at-1]) < 0; at-- {
			merged[at] = merged[at-1]
		}
		merged[at] = candidate
	}
	return merged
}

// highestDraws finds the group's firstRanks highest draws for a key (all of them in a smaller group), in descending order, and the
// indices of their items. Items with equal draws are ordered by id. highestDraws returns the number of draws found.
func (g *group[T]) highestDraws(key uint64, draws *[firstRanks]uint64, indices *[firstRanks]int) (count int) {
	for i, hash := range g.hashes {
		drawn := draw(key, hash)
		if count == firstRanks && drawn <= draws[count-1] {
			continue
		}
		at := min(count, firstRanks-1)
		count = at + 1
		for ; at > 0 && draws[at-1] < drawn; at-- {
			draws[at], indices[at] = draws[at-1], indices[at-1]
		}
		draws[at], indices[at] = drawn, i
	}
	return count
}

// Ranked returns the item at rank i, counted from 0, for the key of the last call of Rank. The set must have more than i items.
func (s *Set[T]) Ranked(i int) T {
	o := &s.current
	if o.full == nil && i >= len(o.first) {
		o.full = s.fullOrder(o.key)
	}
	if o.full != nil {
		return o.full[i]
	}
	return o.first[i].item.value
}

// fullOrder returns the order of all items for a key. It caches the orders of up to maxFullOrders keys until the set changes:
// sorting a large set at each request for a hot key would dominate the cost of the request.
func (s *Set[T]) fullOrder(key uint64) []T {
	if full, found := s.fullOrders[key]; found {
		return full
	}
	scored := make([]ranked[T], 0, s.size)
	for i := range s.groups {
		g := &s.groups[i]
		for j, scoredItem := range g.items {
			scored = append(scored, ranked[T]{scoredItem, score(draw(key, g.hashes[j]), g.weight)})
		}
	}
	slices.SortFunc(scored, compareRanked[T])
	full := make([]T, len(scored))
	for i := range scored {
		full[i] = scored[i].item.value
	}
	if len(s.fullOrders) >= maxFullOrders {
		clear(s.fullOrders)
	}
	if s.fullOrders == nil {
		s.fullOrders = map[uint64][]T{}
	}
	s.fullOrders[key] = full
	return full
}
