package decide

import (
	"slices"
	"strings"

	"starlingwinch/internal/rendezvous"
)

// keyPlacement orders the serving caches for a key by weighted rendezvous hashing. All routers use the same
// order, because it depends only on the endpoint list.
type keyPlacement struct {
	order rendezvous.Set[*cache]
	first int // rank that is tried first; it is swapped with rank 0
}

// ranked returns the cache of rank i for the key of the latest call to order.Rank.
func (p *keyPlacement) ranked(i int) *cache {
	switch i {
	case 0:
		i = p.first
	case p.first:
		i = 0
	}
	return p.order.Ranked(i)
}

// updatePlacement applies the status and the weight of a cache after the cache was listed, or was missing
// from the list.
func (r *Router) updatePlacement(c *cache) {
	weight := 0.0
	if c.Status == Serving {
		weight = c.Weight
	} else if c.Status == Removed {
		delete(r.caches, c.ID) // attempts in flight still refer to the cache
	}
	if weight == c.placedWeight {
		return
	}
	if c.placedWeight > 0 {
		r.serving = slices.DeleteFunc(r.serving, func(x *cache) bool { return x == c })
		r.placement.order.Remove(c.ID, c.placedWeight)
	}
	if c.placedWeight = weight; weight > 0 {
		at, _ := slices.BinarySearchFunc(r.serving, c.ID, compareID)
		r.serving = slices.Insert(r.serving, at, c)
		r.placement.order.Add(c.ID, weight, c)
	}
	r.warmTraffic.invalidate()
}

func compareID(c *cache, id string) int { return strings.Compare(c.ID, id) }

// rankCaches orders the serving caches for a key; placement.ranked then returns them. Requests for a hot key
// are spread over its first ranks, where the key soon is a hit.
//
// Low traffic per router: a cache in the router's own zone is preferred among the first ranks. Connections
// cannot be kept open in this mode, and a connection to another zone takes longer to establish than an answer
// may take.
func (r *Router) rankCaches(key uint64) {
	r.placement.first = 0
	replicas := min(r.replicaCount(key), len(r.serving))
	if replicas > 1 {
		r.placement.first = int(r.random.next() * float64(replicas))
	}
	r.placement.order.Rank(key)
	if !r.lowTraffic() {
		return
	}
	inOwnZone := 0.0
	for i := range replicas {
		if r.placement.order.Ranked(i).Zone != r.settings.Zone {
			continue
		}
		inOwnZone++
		if r.random.next()*inOwnZone < 1 {
			r.placement.first = i
		}
	}
}

// NewPlacement returns a function that maps the hash of a key to the ID of the first cache for the key, under
// the condition that the key is not hot, and that every cache serves, has warmed up, is healthy and has
// capacity. There must be at least one cache. The simulated caches of the test bench use it to hold the keys
// that a running fleet would hold.
func NewPlacement(caches []Endpoint) func(key uint64) string {
	var order rendezvous.Set[string]
	for _, e := range caches {
		if e.Weight <= 0 {
			e.Weight = defaultWeight
		}
		order.Add(e.ID, e.Weight, e.ID)
	}
	return func(key uint64) string {
		order.Rank(key)
		return order.Ranked(0)
	}
}
