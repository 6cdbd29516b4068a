package decide

import (
	"slices"
	"strings"

	"starlingwinch/internal/rendezvous"
)

// The order of the caches for a key is that of size-weighted rendezvous hashing, by package rendezvous.
// Routers agree, as the list's contents alone decide.

// place takes over whether a cache may be sent work, and its size.
func (r *Router) place(c *cache) {
	size := 0.0
	if c.Status == Serving {
		size = c.Weight
	} else if c.Status == Removed {
		delete(r.caches, c.ID) // attempts that are out keep hold of it
	}
	if size == c.listed {
		return
	}
	if c.listed > 0 {
		r.ready = slices.DeleteFunc(r.ready, func(x *cache) bool { return x == c })
		r.order.Remove(c.ID, c.listed)
	}
	if c.listed = size; size > 0 {
		at, _ := slices.BinarySearchFunc(r.ready, c.ID, byID)
		r.ready = slices.Insert(r.ready, at, c)
		r.order.Add(c.ID, size, c)
	}
	r.warm.whole = 0
}

func byID(c *cache, id string) int { return strings.Compare(c.ID, id) }

// rank orders the ready caches for a key; nth tells which has a rank.
func (r *Router) rank(key uint64) {
	r.swap = 0
	k, own := min(r.spread(key), len(r.ready)), 0.0
	if k > 1 {
		// The danger: a hot key drowns its cache, and the cache's other keys go elsewhere and
		// miss. It is shared by its first ranks, where it soon is a hit.
		r.swap = int(r.random() * float64(k))
	}
	r.order.Rank(key)
	for i := 0; i < k && r.sparse(); i++ {
		// One of the router's own zone, where there is one. The danger: where routers are many, connections
		// can't be kept, and one to another zone takes longer to come up than an answer may.
		if r.order.Ranked(i).Zone == r.set.Zone {
			if own++; r.random()*own < 1 {
				r.swap = i
			}
		}
	}
}

// nth is the cache of rank i for the key that was ranked last.
func (r *Router) nth(i int) *cache {
	switch i {
	case 0:
		i = r.swap
	case r.swap:
		i = 0
	}
	return r.order.Ranked(i)
}

// NewPlacement returns the cache that a key goes to first, by the key's hash, among caches of which all take
// work and none is hot, full or in trouble. There has to be one. It is for stand-ins that hold what the
// caches of a running fleet hold, and for plans for one that changes.
func NewPlacement(caches []Endpoint) func(key uint64) string {
	var order rendezvous.Set[string]
	for _, e := range caches {
		if e.Weight <= 0 {
			e.Weight = 1
		}
		order.Add(e.ID, e.Weight, e.ID)
	}
	return func(key uint64) string {
		order.Rank(key)
		return order.Ranked(0)
	}
}
