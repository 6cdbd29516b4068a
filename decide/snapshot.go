package decide

import (
	"maps"
	"slices"
)

const (
	// maxRestoredLimit is the highest limit that Restore takes over.
	maxRestoredLimit = 1e9
	// keySampleFactor and keySampleExtra make AppendCachedKeys select more keys than are wanted: chance may
	// select too few.
	keySampleFactor = 1.25
	keySampleExtra  = 16
)

// Snapshot is what a router has learned of its fleet, for a file that outlives the process. All values are as
// of one instant; how they fade with time is up to the reader.
type Snapshot struct {
	OriginLimit     float64            // expected misses that may be out at the origin
	OriginMissRatio float64            // ratio of likely misses that were true ones
	RetryBudget     float64            // tokens for retries and hedged requests
	ErrorRatio      float64            // ratio of errors among the answers of all caches
	LostRatio       float64            // ratio of lost attempts
	Zones           []ZoneSnapshot     // by name
	Caches          []EndpointSnapshot // by id
}

// ZoneSnapshot is what a router has learned of the path to a zone.
type ZoneSnapshot struct {
	Name              string // as the endpoint list names it
	FailedConnections int    // failed connections in a row, to any cache of the zone
}

// EndpointSnapshot is what a router has learned of one process of a cache, which ID and StartedAt identify.
type EndpointSnapshot struct {
	ID                 string   // of the endpoint
	StartedAt          Time     // of the endpoint
	ConcurrencyLimit   float64  // attempts that may be out
	LateRatio          float64  // ratio of served attempts that exceeded the response timeout
	ErrorRatio         float64  // ratio of errors among its answers
	Healthy            bool     // by its health checks
	FailedHealthChecks int      // failed health checks in a row
	Responsive         bool     // it served its last likely hit in time
	CachedKeys         []uint64 // keys that it likely holds, in order
}

// Snapshot returns what the router has learned, with at most so many keys of each cache. It takes time in
// proportion to the fleet; the loop uses the methods below to do it in steps.
func (r *Router) Snapshot(maxKeys int) Snapshot {
	s := r.SharedSnapshot()
	s.Caches = r.AppendEndpointSnapshots(nil, "", len(r.serving))
	for i := range s.Caches {
		s.Caches[i].CachedKeys = SortKeys(r.AppendCachedKeys(nil, s.Caches[i].ID, maxKeys), maxKeys)
	}
	return s
}

// SharedSnapshot returns what the router has learned, without its caches. It may be called between any two
// events, as may the other methods that return snapshots.
func (r *Router) SharedSnapshot() Snapshot {
	s := Snapshot{
		OriginLimit:     r.origin.limit.value,
		OriginMissRatio: r.origin.missRatio.value,
		RetryBudget:     r.retryBudget.tokens,
		ErrorRatio:      r.errorRatio.value,
		LostRatio:       r.lossDetector.ratio.value,
	}
	for _, name := range slices.Sorted(maps.Keys(r.zones)) {
		s.Zones = append(s.Zones, ZoneSnapshot{name, r.zones[name].failedConnections})
	}
	return s
}

// AppendEndpointSnapshots appends the snapshots of at most limit serving caches whose ids come after the
// given one, by id and without their keys. Thousands of caches at once would hold up requests.
func (r *Router) AppendEndpointSnapshots(to []EndpointSnapshot, id string, limit int) []EndpointSnapshot {
	first, found := slices.BinarySearchFunc(r.serving, id, compareID)
	if found {
		first++
	}
	end := min(first+limit, len(r.serving))
	for _, c := range r.serving[first:end] {
		to = append(to, r.endpointSnapshot(c))
	}
	return to
}

// EndpointSnapshot returns the snapshot of one cache without its keys, and false if it is not listed.
func (r *Router) EndpointSnapshot(id string) (EndpointSnapshot, bool) {
	c := r.caches[id]
	if c == nil {
		return EndpointSnapshot{}, false
	}
	return r.endpointSnapshot(c), true
}

func (r *Router) endpointSnapshot(c *cache) EndpointSnapshot {
	return EndpointSnapshot{
		ID:                 c.ID,
		StartedAt:          c.StartedAt,
		ConcurrencyLimit:   c.limit.value,
		LateRatio:          c.lateRatio.value,
		ErrorRatio:         r.errorRatioOf(c),
		Healthy:            c.health.healthy,
		FailedHealthChecks: c.health.failures,
		Responsive:         c.responsive,
	}
}

// CachedKeyCount returns how many keys AppendCachedKeys has to visit.
func (r *Router) CachedKeyCount(id string) int {
	c := r.caches[id]
	if c == nil {
		return 0
	}
	return len(c.cachedKeys[0]) + len(c.cachedKeys[1])
}

// AppendCachedKeys appends about limit keys that a cache likely holds, in any order and some perhaps twice;
// SortKeys puts them in order later. Hashes select the keys, as the order of a map would make equal runs
// differ.
func (r *Router) AppendCachedKeys(to []uint64, id string, limit int) []uint64 {
	c, n := r.caches[id], r.CachedKeyCount(id)
	if n == 0 || limit <= 0 {
		return to
	}
	fraction := (float64(limit)*keySampleFactor + keySampleExtra) / float64(n)
	for _, window := range c.cachedKeys {
		for key := range window { // any order: SortKeys sorts them
			if fraction >= 1 || unitInterval(mix(key)) < fraction {
				to = append(to, key)
			}
		}
	}
	return to
}

// SortKeys returns at most limit keys, in order and without repeats. It uses no router and may run in any
// goroutine.
func SortKeys(keys []uint64, limit int) []uint64 {
	slices.Sort(keys)
	keys = slices.Compact(keys)
	return keys[:min(limit, len(keys))]
}

// Restore takes over a snapshot. Nothing is taken of caches that are not listed, whose process is another
// one, or that have been sent a request. Values out of range, such as NaN, are ignored.
func (r *Router) Restore(s Snapshot) {
	restoreValue(&r.origin.limit.value, s.OriginLimit, minOriginConcurrency, maxRestoredLimit)
	restoreValue(&r.origin.missRatio.value, s.OriginMissRatio, 0, 1)
	restoreValue(&r.retryBudget.tokens, s.RetryBudget, 0, maxRetryTokens)
	restoreValue(&r.errorRatio.value, s.ErrorRatio, 0, 1)
	restoreValue(&r.lossDetector.ratio.value, s.LostRatio, 0, 1)
	for _, z := range s.Zones {
		known := r.zones[z.Name]
		if known != nil && z.FailedConnections >= maxFailedConnections {
			known.failedConnections = maxFailedConnections
			known.trialAt = r.now
		}
	}
	for i := range s.Caches {
		r.restoreEndpoint(&s.Caches[i])
	}
}

func (r *Router) restoreEndpoint(s *EndpointSnapshot) {
	c := r.caches[s.ID]
	if c == nil || c.StartedAt != s.StartedAt || c.attemptsSent > 0 {
		return
	}
	restoreValue(&c.limit.value, s.ConcurrencyLimit, minConcurrency, maxRestoredLimit)
	restoreValue(&c.lateRatio.value, s.LateRatio, 0, 1)
	restoreValue(&c.errors.ratio, s.ErrorRatio, 0, 1)
	if c.errors.ratio > 0 {
		c.errors.updatedAt = r.now
	}
	c.health.healthy = s.Healthy
	c.responsive = s.Responsive
	if s.FailedHealthChecks > 0 {
		c.health.failures = min(s.FailedHealthChecks, maxFailedHealthChecks)
	}
	if c.slowStart.warming(r.now) {
		return // its process has started since, and has lost what it held
	}
	for _, key := range s.CachedKeys {
		c.cachedKeys[1][key] = true
	}
}

// restoreValue takes over a value that is in range.
func restoreValue(to *float64, value, low, high float64) {
	if value >= low && value <= high {
		*to = value
	}
}
