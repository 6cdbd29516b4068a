package decide

import (
	"cmp"
	"maps"
	"slices"
)

// What a Router has learned, as data: for whoever keeps it over a restart. It decides nothing; what the
// figures mean, and how fast they fade, is not known here.

// Snapshot is what a router has learned of its fleet. All figures are as of one instant.
type Snapshot struct {
	OriginLimit     float64 // likely misses that may be out
	OriginMissRatio float64 // share of likely misses that were true ones
	RetryBudget     float64 // of retries
	ErrorRatio      float64 // share of errors among answers
	LostRatio       float64 // share of lost attempts
	Zones           []ZoneSnapshot
	Caches          []EndpointSnapshot // by id
}

// ZoneSnapshot is what is known of the way to a zone.
type ZoneSnapshot struct {
	Name              string
	FailedConnections int // failed connections in a row
}

// EndpointSnapshot is what is known of one cache's process, which its id and its start name.
type EndpointSnapshot struct {
	ID                 string
	StartedAt          Time
	ConcurrencyLimit   float64 // attempts out at most
	LateRatio          float64 // share of answers that came after the patience
	ErrorRatio         float64 // share of errors among its answers
	Healthy            bool
	FailedHealthChecks int // failed probes in a row
	Responsive         bool
	CachedKeys         []uint64 // keys that it likely keeps, in order
}

// Snapshot tells what the router has learned, with at most so many keys of each cache. A router that has
// just been made and told the list tells what it takes for granted.
func (r *Router) Snapshot(keys int) Snapshot {
	l := r.SharedSnapshot()
	l.Caches = r.AppendEndpointSnapshots(nil, "", len(r.ready))
	for i := range l.Caches {
		l.Caches[i].CachedKeys = SortKeys(r.AppendCachedKeys(nil, l.Caches[i].ID, keys), keys)
	}
	return l
}

// SharedSnapshot tells what it has learned beside that of single caches. It may be called at any time, as all that tells.
func (r *Router) SharedSnapshot() Snapshot {
	l := Snapshot{OriginLimit: r.fetches, OriginMissRatio: r.missing, RetryBudget: r.budget, ErrorRatio: r.erring, LostRatio: r.lost}
	for _, name := range slices.Sorted(maps.Keys(r.zones)) {
		l.Zones = append(l.Zones, ZoneSnapshot{name, r.zones[name].fails})
	}
	return l
}

// AppendEndpointSnapshots appends what it has learned of the caches behind an id, in their order, of so many at most and without
// their keys. The danger: of thousands of caches, all at once holds up what the router is for.
func (r *Router) AppendEndpointSnapshots(to []EndpointSnapshot, id string, most int) []EndpointSnapshot {
	i, found := slices.BinarySearchFunc(r.ready, id, func(c *cache, id string) int { return cmp.Compare(c.ID, id) })
	if found {
		i++
	}
	for _, c := range r.ready[i:min(i+most, len(r.ready))] {
		to = append(to, r.learned(c))
	}
	return to
}

// EndpointSnapshot tells what it has learned of one cache, without its keys; false where that is not listed.
func (r *Router) EndpointSnapshot(id string) (EndpointSnapshot, bool) {
	c := r.caches[id]
	if c == nil {
		return EndpointSnapshot{}, false
	}
	return r.learned(c), true
}

func (r *Router) learned(c *cache) EndpointSnapshot {
	return EndpointSnapshot{ID: c.ID, StartedAt: c.StartedAt, ConcurrencyLimit: c.limit, LateRatio: c.late, ErrorRatio: r.errors(c),
		Healthy: c.healthy, FailedHealthChecks: c.fails, Responsive: c.prompt}
}

// CachedKeyCount is how many keys AppendCachedKeys has to look at.
func (r *Router) CachedKeyCount(id string) int {
	c := r.caches[id]
	if c == nil {
		return 0
	}
	return len(c.keeps[0]) + len(c.keeps[1])
}

// AppendCachedKeys appends keys that a cache likely keeps, about so many, in any order and some perhaps twice: SortKeys is for
// when there is time. Which are told their hashes decide: with the order of a map, equal runs would differ.
func (r *Router) AppendCachedKeys(to []uint64, id string, most int) []uint64 {
	c, n := r.caches[id], r.CachedKeyCount(id)
	if n == 0 || most <= 0 {
		return to
	}
	share := (float64(most)*1.25 + 16) / float64(n) // some more than are wanted, by chance too few
	for _, window := range c.keeps {
		for key := range window { // any order: whoever shows them sorts them
			if share >= 1 || unit(mix(key)) < share {
				to = append(to, key)
			}
		}
	}
	return to
}

// SortKeys puts keys in order, each once and so many at most. It may be done anywhere.
func SortKeys(keys []uint64, most int) []uint64 {
	slices.Sort(keys)
	keys = slices.Compact(keys)
	return keys[:min(most, len(keys))]
}

// Restore takes over what was learned before. Of caches that are not listed, or whose process is another one, nothing
// is taken. Figures out of range, as NaN is of all, are left as they are.
func (r *Router) Restore(l Snapshot) {
	figure := func(to *float64, v, lo, hi float64) {
		if v >= lo && v <= hi {
			*to = v
		}
	}
	figure(&r.fetches, l.OriginLimit, 1, 1e9)
	figure(&r.missing, l.OriginMissRatio, 0, 1)
	figure(&r.budget, l.RetryBudget, 0, retryBurst)
	figure(&r.erring, l.ErrorRatio, 0, 1)
	figure(&r.lost, l.LostRatio, 0, 1)
	for _, z := range l.Zones {
		if known := r.zones[z.Name]; known != nil && z.FailedConnections >= zoneThreshold {
			known.fails = zoneThreshold
			known.trialAt = r.now // one request is the trial, as after any time without one
		}
	}
	for _, lc := range l.Caches {
		c := r.caches[lc.ID]
		if c == nil || c.StartedAt != lc.StartedAt || c.uses > 0 {
			continue // the danger: what is known of an old process speaks for a new one
		}
		figure(&c.limit, lc.ConcurrencyLimit, leastLimit, 1e9)
		figure(&c.late, lc.LateRatio, 0, 1)
		if figure(&c.erring, lc.ErrorRatio, 0, 1); c.erring > 0 {
			c.erredAt = r.now
		}
		c.healthy, c.prompt = lc.Healthy, lc.Responsive
		if lc.FailedHealthChecks > 0 {
			c.fails = min(lc.FailedHealthChecks, threshold)
		}
		if r.now >= c.warmAt { // a cold one has lost what it kept
			for _, key := range lc.CachedKeys {
				c.keeps[1][key] = true
			}
		}
	}
}
