package decide

import (
	"maps"
	"slices"
)

const (
	// maxRestoredLimit is the highest limit that Restore accepts.
	maxRestoredLimit = 1e9
	// keySampleFactor and keySampleExtra make AppendCachedKeys select more keys than requested, because a
	// random sample may be too small.
	keySampleFactor = 1.25
	keySampleExtra  = 16
)

// Snapshot is the learned state of a router, for a file that outlives the process. All values are as of one
// instant; the reader accounts for their decay with time.
type Snapshot struct {
	OriginLimit     float64            // expected misses that may be in flight at the origin
	OriginMissRatio float64            // ratio of likely misses that were true misses
	RetryBudget     float64            // tokens for retries and hedged requests
	ErrorRatio      float64            // ratio of errors among the answers of all caches
	LostRatio       float64            // ratio of lost attempts
	Zones           []ZoneSnapshot     // sorted by name
	Caches          []EndpointSnapshot // sorted by ID
}

// ZoneSnapshot is the learned state of the path to a zone.
type ZoneSnapshot struct {
	Name              string // name of the zone in the endpoint list
	FailedConnections int    // consecutive failed connections, to any cache of the zone
}

// EndpointSnapshot is the learned state of one process of a cache, identified by ID and StartedAt.
type EndpointSnapshot struct {
	ID                 string   // of the endpoint
	StartedAt          Time     // of the endpoint
	ConcurrencyLimit   float64  // attempts that may be in flight
	LateRatio          float64  // ratio of served attempts that exceeded the response timeout
	ErrorRatio         float64  // ratio of errors among its answers
	Healthy            bool     // according to its health checks
	FailedHealthChecks int      // consecutive failed health checks
	Responsive         bool     // the cache served its last likely hit in time
	CachedKeys         []uint64 // keys that the cache likely holds, sorted
}

// Snapshot returns the learned state of the router, with at most maxKeys keys per cache. The call takes time
// proportional to the size of the fleet; the event loop takes the snapshot in steps with the methods below.
func (r *Router) Snapshot(maxKeys int) Snapshot {
	s := r.SharedSnapshot()
	s.Caches = r.AppendEndpointSnapshots(nil, "", len(r.serving))
	for i := range s.Caches {
		s.Caches[i].CachedKeys = SortKeys(r.AppendCachedKeys(nil, s.Caches[i].ID, maxKeys), maxKeys)
	}
	return s
}

// SharedSnapshot returns the learned state of the router without its caches. Like the other methods that
// return snapshots, it may be called between any two events.
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

// AppendEndpointSnapshots appends the snapshots of at most limit serving caches whose IDs follow the given
// ID, sorted by ID and without their keys. Thousands of caches at once would delay requests.
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

// EndpointSnapshot returns the snapshot of one cache without its keys, and false if the cache is not listed.
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

// CachedKeyCount returns the number of keys that AppendCachedKeys visits.
func (r *Router) CachedKeyCount(id string) int {
	c := r.caches[id]
	if c == nil {
		return 0
	}
	return len(c.cachedKeys[0]) + len(c.cachedKeys[1])
}

// AppendCachedKeys appends about limit keys that a cache likely holds, in any order and possibly with
// duplicates; SortKeys sorts them later. The keys are selected by hash, because the iteration order of a map
// would make equal runs differ.
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

// SortKeys returns at most limit keys, sorted and without duplicates. It uses no router and may run in any
// goroutine.
func SortKeys(keys []uint64, limit int) []uint64 {
	slices.Sort(keys)
	keys = slices.Compact(keys)
	return keys[:min(limit, len(keys))]
}

// Restore applies a snapshot. It skips caches that are not listed, that run another process, or that this
// router has already sent a request. It ignores values out of range, such as NaN.
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
		return // the process started recently and has lost the keys of the previous one
	}
	for _, key := range s.CachedKeys {
		c.cachedKeys[1][key] = true
	}
}

// restoreValue sets a value if it is in range.
func restoreValue(to *float64, value, low, high float64) {
	if value >= low && value <= high {
		*to = value
	}
}
