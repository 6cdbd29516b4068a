// Package rendezvous orders things for a key by size-weighted rendezvous hashing (Thaler and Ravishankar, "A name-based
// mapping scheme for rendezvous", 1996; the weights after Schindelhauer and Schomaker, "Weighted distributed hash tables",
// 2005). A thing that leaves gives up its own keys only, each key has its fallbacks, and all who hold the same things find the
// same order.
//
// The score of a thing is -ln(u)/size, with u from a hash of key and id. Among things of one size the order of scores is that
// of the hashes, so that an order costs a comparison for each thing and a logarithm for each size. In a large set the first
// ranks of keys lately ordered are remembered. It is arithmetic: what an order is used for is decided elsewhere.
package rendezvous

import (
	"math"
	"slices"
	"strings"

	"starlingwinch/internal/rankcache"
)

const (
	firstRanks  = rankcache.MaxRanks // of an order that are found in one pass; few are asked for
	mostOrders  = 64                 // whole orders that are kept
	rememberFor = 64                 // things from which on first ranks are remembered: below that they cost less than a look
)

// Set holds things, each with an id of its own and a size above 0. Its zero value is empty.
type Set[T any] struct {
	groups  []group[T] // the things by size
	n       int
	order   order[T]                       // of the key that was ranked last
	orders  map[uint64][]T                 // whole orders, while the set stays as it is
	memo    rankcache.Cache                // first ranks of keys, likewise
	numbers rankcache.Numbering[*thing[T]] // by which the memo names them
}

type thing[T any] struct {
	id     string
	hash   uint64
	number int
	value  T
}

// group holds the things of one size, by id.
type group[T any] struct {
	size   float64
	hashes []uint64
	things []*thing[T]
}

// order is that of all things for one key.
type order[T any] struct {
	key   uint64
	first []ranked[T] // the first ranks
	all   []T         // nil until it is asked for
}

// ranked is a thing with its score for a key.
type ranked[T any] struct {
	t     *thing[T]
	score float64
}

// Len is how many things there are.
func (s *Set[T]) Len() int { return s.n }

// Add takes a thing in.
func (s *Set[T]) Add(id string, size float64, value T) {
	t := &thing[T]{id: id, hash: Hash(id), value: value}
	t.number = s.numbers.Assign(t)
	g := s.group(size)
	at, _ := slices.BinarySearchFunc(g.things, id, byID[T])
	g.things, g.hashes = slices.Insert(g.things, at, t), slices.Insert(g.hashes, at, t.hash)
	s.n++
	s.forget()
}

// Remove takes a thing out that was added with that size.
func (s *Set[T]) Remove(id string, size float64) {
	g := s.group(size)
	if at, found := slices.BinarySearchFunc(g.things, id, byID[T]); found {
		s.numbers.Release(g.things[at].number)
		g.things, g.hashes = slices.Delete(g.things, at, at+1), slices.Delete(g.hashes, at, at+1)
		s.n--
		s.forget()
	}
}

func (s *Set[T]) forget() {
	clear(s.orders)
	s.memo.Forget()
}

func byID[T any](t *thing[T], id string) int { return strings.Compare(t.id, id) }

// group is that of a size, made where there is none. One that is empty stays: sizes are few.
func (s *Set[T]) group(size float64) *group[T] {
	for i := range s.groups {
		if s.groups[i].size == size {
			return &s.groups[i]
		}
	}
	s.groups = slices.DeleteFunc(s.groups, func(g group[T]) bool { return len(g.things) == 0 })
	s.groups = append(s.groups, group[T]{size: size})
	return &s.groups[len(s.groups)-1]
}

// Mix is the finaliser of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Hash maps an id to a number, by FNV-1a and Mix.
func Hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return Mix(h)
}

// draw is the part of a hash that scores go by.
func draw(key, hash uint64) uint64 { return Mix(key^hash) >> 11 }

func score(draw uint64, size float64) float64 {
	return -math.Log(float64(draw)/(1<<53)+1e-18) / size
}

func compare[T any](a, b ranked[T]) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return strings.Compare(a.t.id, b.t.id)
}

// first puts the first ranks for a key into a list that holds those of other sizes, in order.
func (g *group[T]) first(key uint64, list []ranked[T]) []ranked[T] {
	var draws [firstRanks]uint64
	var at [firstRanks]int
	n := 0
	for i, h := range g.hashes {
		d := draw(key, h)
		if n == firstRanks && d <= draws[n-1] {
			continue
		}
		k := min(n, firstRanks-1)
		n = k + 1
		for ; k > 0 && draws[k-1] < d; k-- { // equal ones stay in the order of ids
			draws[k], at[k] = draws[k-1], at[k-1]
		}
		draws[k], at[k] = d, i
	}
	for i := range n {
		c := ranked[T]{g.things[at[i]], score(draws[i], g.size)}
		if len(list) == firstRanks && compare(c, list[firstRanks-1]) > 0 {
			break // so are the group's others
		}
		k := min(len(list), firstRanks-1)
		if len(list) < firstRanks {
			list = append(list, c)
		}
		for ; k > 0 && compare(c, list[k-1]) < 0; k-- {
			list[k] = list[k-1]
		}
		list[k] = c
	}
	return list
}

// Rank orders the things for a key; At tells which has a rank.
func (s *Set[T]) Rank(key uint64) {
	o := &s.order
	o.key, o.first, o.all = key, o.first[:0], nil
	large := s.n > rememberFor && s.numbers.Max() <= math.MaxUint16
	if large {
		for _, n := range s.memo.Get(key) {
			o.first = append(o.first, ranked[T]{t: s.numbers.Of(int(n))})
		}
		if len(o.first) > 0 {
			return
		}
	}
	for i := range s.groups {
		o.first = s.groups[i].first(key, o.first)
	}
	if large {
		var list rankcache.List
		for i := range o.first {
			list[i] = uint16(o.first[i].t.number)
		}
		s.memo.Put(key, list[:len(o.first)])
	}
}

// Ranked is the thing of rank i, from 0, for the key that was ranked last.
func (s *Set[T]) Ranked(i int) T {
	o := &s.order
	if o.all == nil && i >= len(o.first) {
		o.all = s.whole(o.key)
	}
	if o.all != nil {
		return o.all[i]
	}
	return o.first[i].t.value
}

// whole is the order of all things for a key. The danger: to find the ranks of a hot key over and over costs more than all
// else; the orders of the latest such keys are kept until the set changes.
func (s *Set[T]) whole(key uint64) []T {
	if all, kept := s.orders[key]; kept {
		return all
	}
	scored := make([]ranked[T], 0, s.n)
	for i := range s.groups {
		g := &s.groups[i]
		for j, t := range g.things {
			scored = append(scored, ranked[T]{t, score(draw(key, g.hashes[j]), g.size)})
		}
	}
	slices.SortFunc(scored, compare[T])
	all := make([]T, len(scored))
	for i, r := range scored {
		all[i] = r.t.value
	}
	if len(s.orders) >= mostOrders {
		clear(s.orders)
	}
	if s.orders == nil {
		s.orders = map[uint64][]T{}
	}
	s.orders[key] = all
	return all
}
