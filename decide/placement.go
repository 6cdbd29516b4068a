package decide

import (
	"math"
	"slices"
	"strings"

	"starlingwinch/internal/ranks"
)

// The order of the caches for a key: size-weighted rendezvous hashing (Thaler and Ravishankar; the
// weights after Schindelhauer and Schomaker). A cache that leaves gives up its own keys only, and each
// key has its fallbacks. Routers agree, as the list's contents alone decide.
//
// The score of a cache is -ln(u)/size, with u from a hash of key and cache. Among caches of one size the
// order of scores is that of the hashes, so that a request costs a comparison for each cache, and a
// logarithm for each size. In a large fleet the first ranks of keys lately placed are remembered.

const (
	firstRanks = ranks.Most // of an order that are found in one pass; few are asked for
	mostOrders = 64         // whole orders that are kept
)

// sizeGroup holds the ready caches of one size, by id.
type sizeGroup struct {
	size   float64
	hashes []uint64
	caches []*cache
}

// order is that of the ready caches for one key.
type order struct {
	key   uint64
	first []ranked // the first ranks
	all   []*cache // nil until it is asked for
	swap  int      // rank that stands first in place of the first one
}

// place takes over whether a cache may be sent work, and its size.
func (r *Router) place(c *cache) {
	size := 0.0
	if c.Condition == Up {
		size = c.Size
	} else if c.Condition == Removed {
		delete(r.caches, c.ID) // attempts that are out keep hold of it
	}
	if size == c.listed {
		return
	}
	if c.listed > 0 {
		r.numbers.Give(c.number)
		r.ready = slices.DeleteFunc(r.ready, func(x *cache) bool { return x == c })
		r.group(c.listed).remove(c)
	}
	if c.listed = size; size > 0 {
		at, _ := slices.BinarySearchFunc(r.ready, c.ID, byID)
		r.ready = slices.Insert(r.ready, at, c)
		r.group(size).add(c)
		c.number = r.numbers.Take(c)
	}
	r.warm.whole = 0
	clear(r.orders)
	r.memo.Forget()
}

func byID(c *cache, id string) int { return strings.Compare(c.ID, id) }

// group is that of a size, made where there is none. One that is empty stays: sizes are few.
func (r *Router) group(size float64) *sizeGroup {
	for i := range r.sizes {
		if r.sizes[i].size == size {
			return &r.sizes[i]
		}
	}
	r.sizes = slices.DeleteFunc(r.sizes, func(g sizeGroup) bool { return len(g.caches) == 0 })
	r.sizes = append(r.sizes, sizeGroup{size: size})
	return &r.sizes[len(r.sizes)-1]
}

func (g *sizeGroup) add(c *cache) {
	at, _ := slices.BinarySearchFunc(g.caches, c.ID, byID)
	g.caches, g.hashes = slices.Insert(g.caches, at, c), slices.Insert(g.hashes, at, c.hash)
}

func (g *sizeGroup) remove(c *cache) {
	if at, found := slices.BinarySearchFunc(g.caches, c.ID, byID); found {
		g.caches, g.hashes = slices.Delete(g.caches, at, at+1), slices.Delete(g.hashes, at, at+1)
	}
}

// draw is the part of a hash that scores go by.
func draw(key, hash uint64) uint64 { return mix(key^hash) >> 11 }

func score(draw uint64, size float64) float64 {
	return -math.Log(float64(draw)/(1<<53)+1e-18) / size
}

// ranked is a cache with its score for a key.
type ranked struct {
	c     *cache
	score float64
}

func compare(a, b ranked) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return strings.Compare(a.c.ID, b.c.ID)
}

// first puts the first ranks for a key into a list that holds those of other sizes, in order.
func (g *sizeGroup) first(key uint64, list []ranked) []ranked {
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
		c := ranked{g.caches[at[i]], score(draws[i], g.size)}
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

// rank orders the ready caches for a key; nth tells which has a rank.
func (r *Router) rank(key uint64) {
	o := &r.order
	o.key, o.first, o.all, o.swap = key, o.first[:0], nil, 0
	k := min(r.spread(key), len(r.ready))
	if k > 1 {
		// The danger: a hot key drowns its cache, and the cache's other keys go elsewhere and
		// miss. It is shared by its first ranks, where it soon is a hit.
		o.swap = int(r.random() * float64(k))
	}
	if o.swap >= firstRanks {
		o.all = r.whole(key)
		return
	}
	large := len(r.ready) > fewCaches && r.numbers.Most() <= math.MaxUint16
	if large {
		for _, n := range r.memo.Get(key) {
			o.first = append(o.first, ranked{c: r.numbers.Of(int(n))})
		}
		if len(o.first) > 0 {
			return
		}
	}
	for i := range r.sizes {
		o.first = r.sizes[i].first(key, o.first)
	}
	if large {
		var list ranks.List
		for i := range o.first {
			list[i] = uint16(o.first[i].c.number)
		}
		r.memo.Put(key, list[:len(o.first)])
	}
}

// whole is the order of all ready caches for a key. The danger: to find the ranks of a hot key over and
// over costs more than all else; the orders of the latest such keys are kept until the list changes.
func (r *Router) whole(key uint64) []*cache {
	if all, kept := r.orders[key]; kept {
		return all
	}
	scored := make([]ranked, 0, len(r.ready))
	for i := range r.sizes {
		g := &r.sizes[i]
		for j, c := range g.caches {
			scored = append(scored, ranked{c, score(draw(key, g.hashes[j]), g.size)})
		}
	}
	slices.SortFunc(scored, compare)
	all := make([]*cache, len(scored))
	for i, s := range scored {
		all[i] = s.c
	}
	if len(r.orders) >= mostOrders {
		clear(r.orders)
	}
	r.orders[key] = all
	return all
}

// nth is the cache of rank i for the key that was ranked last.
func (r *Router) nth(i int) *cache {
	o := &r.order
	switch i {
	case 0:
		i = o.swap
	case o.swap:
		i = 0
	}
	if o.all == nil && i >= len(o.first) {
		o.all = r.whole(o.key)
	}
	if o.all != nil {
		return o.all[i]
	}
	return o.first[i].c
}

// Homes returns the cache that a key goes to first, by the key's hash, among caches of which all take
// work and none is hot, full or in trouble. There has to be one. It is for stand-ins that hold what the
// caches of a running fleet hold, and for plans for one that changes.
func Homes(caches []Entry) func(key uint64) string {
	r := &Router{caches: map[string]*cache{}, keys: [2]map[uint64]int{{}, {}}, orders: map[uint64][]*cache{}}
	for _, e := range caches {
		if e.Size <= 0 {
			e.Size = 1
		}
		e.Condition = Up
		r.place(&cache{Entry: e, hash: hash(e.ID)})
	}
	return func(key uint64) string {
		r.rank(key)
		return r.nth(0).ID
	}
}
