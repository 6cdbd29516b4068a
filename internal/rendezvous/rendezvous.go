// Package rendezvous orders items for a key by weighted rendezvous hashing (Thaler and Ravishankar, "A name-based mapping scheme
// for rendezvous", 1996; the weights after Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005). An item that
// is removed gives up its own keys only, each key has its fallbacks, and all who hold the same items find the same order.
//
// The score of an item is -ln(u)/size, with u from a hash of key and id, and the lowest score comes first. Among items of one
// size the order of scores is that of the hashes, so that an order costs a comparison for each item and a logarithm for each
// size. In a large set the first ranks of keys ordered lately are remembered. The package does arithmetic alone: what an order
// is used for is decided elsewhere.
package rendezvous

import (
	"math"
	"slices"
	"strings"

	"starlingwinch/internal/rankcache"
)

const (
	// firstRanks is the number of ranks that are found in one pass. Few callers need more.
	firstRanks = rankcache.MaxRanks
	// maxFullOrders is the number of full orders that are kept.
	maxFullOrders = 64
	// minSizeForCache is the number of items from which on first ranks are remembered. Fewer cost less than a look-up.
	minSizeForCache = 64
)

// Set holds items, each with a unique id and a size above 0. Its zero value is empty.
type Set[T any] struct {
	groups     []group[T]                    // the items by size
	size       int                           // number of items
	current    order[T]                      // of the key that was ranked last
	fullOrders map[uint64][]T                // by key; cleared when the set changes
	rankCache  rankcache.Cache               // first ranks of keys; cleared when the set changes
	numbers    rankcache.Numbering[*item[T]] // by which rankCache refers to items
}

// item is an item with what is computed once.
type item[T any] struct {
	id     string
	hash   uint64 // of the id
	number int    // in Set.numbers
	value  T
}

// group holds the items of one size, by id.
type group[T any] struct {
	size   float64
	hashes []uint64 // of the items' ids: the loop over a large group reads nothing else
	items  []*item[T]
}

// order is the order of all items for one key.
type order[T any] struct {
	key   uint64
	first []ranked[T] // the first ranks
	full  []T         // nil until a later rank is needed
}

// ranked is an item with its score for a key.
type ranked[T any] struct {
	item  *item[T]
	score float64
}

// Len returns the number of items.
func (s *Set[T]) Len() int { return s.size }

// Add adds an item.
func (s *Set[T]) Add(id string, size float64, value T) {
	added := &item[T]{id: id, hash: Hash(id), value: value}
	added.number = s.numbers.Assign(added)
	g := s.group(size)
	at, _ := slices.BinarySearchFunc(g.items, id, compareID[T])
	g.items = slices.Insert(g.items, at, added)
	g.hashes = slices.Insert(g.hashes, at, added.hash)
	s.size++
	s.forgetOrders()
}

// Remove removes the item that was added with this id and size, if there is one.
func (s *Set[T]) Remove(id string, size float64) {
	g := s.group(size)
	at, found := slices.BinarySearchFunc(g.items, id, compareID[T])
	if !found {
		return
	}
	s.numbers.Release(g.items[at].number)
	g.items = slices.Delete(g.items, at, at+1)
	g.hashes = slices.Delete(g.hashes, at, at+1)
	s.size--
	s.forgetOrders()
}

// forgetOrders drops what was remembered of the set before a change.
func (s *Set[T]) forgetOrders() {
	clear(s.fullOrders)
	s.rankCache.Forget()
}

// compareID orders items by id.
func compareID[T any](i *item[T], id string) int { return strings.Compare(i.id, id) }

// group returns the group of a size, and makes it where there is none. Empty groups are removed only then, as sizes are few.
func (s *Set[T]) group(size float64) *group[T] {
	for i := range s.groups {
		if s.groups[i].size == size {
			return &s.groups[i]
		}
	}
	s.groups = slices.DeleteFunc(s.groups, func(g group[T]) bool { return len(g.items) == 0 })
	s.groups = append(s.groups, group[T]{size: size})
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

// drawBits is the number of bits of a draw: as many as a float64 represents exactly.
const drawBits = 53

// draw returns the number that an item with a hash draws for a key. Among items of one size, the highest draw comes first.
func draw(key, hash uint64) uint64 { return Mix(key^hash) >> (64 - drawBits) }

// score returns the score that a draw gives an item of a size.
func score(draw uint64, size float64) float64 {
	const minimum = 1e-18 // the logarithm of 0 is not finite
	return -math.Log(float64(draw)/(1<<drawBits)+minimum) / size
}

// compareRanked orders items by score, and items of one score by id.
func compareRanked[T any](a, b ranked[T]) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return strings.Compare(a.item.id, b.item.id)
}

// Rank orders the items for a key; Ranked then returns them.
func (s *Set[T]) Rank(key uint64) {
	o := &s.current
	o.key, o.first, o.full = key, o.first[:0], nil
	cached := s.size > minSizeForCache && s.numbers.Max() <= math.MaxUint16
	if cached {
		for _, number := range s.rankCache.Get(key) {
			o.first = append(o.first, ranked[T]{item: s.numbers.Of(int(number))})
		}
		if len(o.first) > 0 {
			return
		}
	}
	for i := range s.groups {
		o.first = s.groups[i].mergeFirst(key, o.first)
	}
	if cached {
		var list rankcache.List
		for i := range o.first {
			list[i] = uint16(o.first[i].item.number)
		}
		s.rankCache.Put(key, list[:len(o.first)])
	}
}

// mergeFirst merges the group's first ranks for a key into those of other groups, which are in order.
func (g *group[T]) mergeFirst(key uint64, merged []ranked[T]) []ranked[T] {
	var draws [firstRanks]uint64
	var places [firstRanks]int
	count := g.highestDraws(key, &draws, &places)
	for i := range count {
		candidate := ranked[T]{g.items[places[i]], score(draws[i], g.size)}
		if len(merged) == firstRanks && compareRanked(candidate, merged[firstRanks-1]) > 0 {
			break // the group's others come later still
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

// highestDraws finds the highest draws of the group for a key, in order, with the places of their items. Items of one draw stay
// in the order of their ids. It returns their number.
func (g *group[T]) highestDraws(key uint64, draws *[firstRanks]uint64, places *[firstRanks]int) (count int) {
	for i, hash := range g.hashes {
		drawn := draw(key, hash)
		if count == firstRanks && drawn <= draws[count-1] {
			continue
		}
		at := min(count, firstRanks-1)
		count = at + 1
		for ; at > 0 && draws[at-1] < drawn; at-- {
			draws[at], places[at] = draws[at-1], places[at-1]
		}
		draws[at], places[at] = drawn, i
	}
	return count
}

// Ranked returns the item of rank i, from 0, for the key of the last call of Rank. There must be more than i items.
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

// fullOrder returns the order of all items for a key. The orders of a few keys are kept until the set changes: sorting a large
// set at each request for a hot key would cost more than everything else.
func (s *Set[T]) fullOrder(key uint64) []T {
	if full, found := s.fullOrders[key]; found {
		return full
	}
	scored := make([]ranked[T], 0, s.size)
	for i := range s.groups {
		g := &s.groups[i]
		for j, scoredItem := range g.items {
			scored = append(scored, ranked[T]{scoredItem, score(draw(key, g.hashes[j]), g.size)})
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
