package decide

import "slices"

// maxCachesTried is the maximum number of caches that are considered for one attempt. Caches in unreachable
// or too distant zones do not count.
const maxCachesTried = 4

// selection is the intermediate state of a selection among the caches of a key.
type selection struct {
	tried       int
	fallback    *cache // first cache with capacity that is unreachable, too distant, unhealthy or failing
	ejected     *cache // ejected cache whose ejection ends first
	overloaded  bool   // a cache that could serve the request, or the origin, lacked capacity
	noneSkipped bool   // no healthy cache was passed over for lack of capacity
}

// selectCache returns the cache for the next attempt of a request, or nil. overloaded reports that only a
// lack of capacity prevents the attempt.
func (r *Router) selectCache(q *request) (to *cache, overloaded bool) {
	s := selection{noneSkipped: true}
	r.rankCaches(q.Key)
	for i := range r.serving {
		if s.tried == maxCachesTried {
			break
		}
		c := r.placement.ranked(i)
		if !r.maySend(q, c) || q.excludes(c) || !r.admitsDuringSlowStart(q, c) {
			continue
		}
		if c.zone.unreachable(r.now) || r.tooDistant(q, c) {
			r.considerFallback(&s, c) // not counted as tried: an unreachable zone may hold most of the fleet
			continue
		}
		s.tried++
		if c.outlier.ejected(r.now) {
			q.reason = EndpointEjected
			if !r.failover.allows() && len(q.attempts) == 0 {
				return nil, false
			}
			s.considerEjected(c)
			continue
		}
		if r.considerServing(&s, q, c) {
			q.overflowed = !s.noneSkipped
			if s.ejected != nil {
				r.failover.spend()
			}
			return c, false
		}
		s.noneSkipped = s.noneSkipped && (!c.health.healthy || r.answersErrors(c))
	}
	q.overflowed = false
	return r.selectFallback(&s)
}

// considerServing reports whether a cache that is neither ejected nor unreachable is selected, and records
// the obstacle if it is not.
func (r *Router) considerServing(s *selection, q *request, c *cache) bool {
	if !c.health.healthy || r.answersErrors(c) {
		r.considerFallback(s, c) // its keys must go elsewhere, regardless of the retry budget
		return false
	}
	if q.likelyMiss(c) && r.origin.full() {
		s.overloaded = true
		q.originLimited = true
		return false
	}
	if !r.hasCapacity(c) {
		s.overloaded = true
		return false
	}
	return !s.overloaded || r.mayOverflow(q, c)
}

// considerFallback records a cache that is used if no better cache is found.
func (r *Router) considerFallback(s *selection, c *cache) {
	if s.fallback == nil && r.hasCapacity(c) {
		s.fallback = c
	}
}

// considerEjected records an ejected cache that is used if all caches are ejected.
func (s *selection) considerEjected(c *cache) {
	if s.ejected == nil || c.outlier.ejectedUntil < s.ejected.outlier.ejectedUntil {
		s.ejected = c
	}
}

// selectFallback returns the cache to use if no cache passed all checks. If all caches are ejected, some
// requests go to the cache whose ejection ends first, because no router would otherwise detect its recovery.
func (r *Router) selectFallback(s *selection) (to *cache, overloaded bool) {
	if s.overloaded {
		return nil, true
	}
	if s.fallback == nil && s.ejected != nil && r.failover.allows() {
		r.failover.spend()
		return s.ejected, false
	}
	return s.fallback, false
}

// mayOverflow reports whether a request without capacity at its first caches may go to the given cache. It
// may if the cache holds its key, if the origin is idle, or if the retry budget has a token. At other caches
// the key misses and loads the origin. During a retry storm a token does not suffice, because each request
// would miss at every cache that it is sent to.
func (r *Router) mayOverflow(q *request, c *cache) bool {
	if c.cachedKeys.likelyCached(q.Key) || r.origin.idle() {
		return true
	}
	return r.retryBudget.allows() && !r.storm.Active
}

// overflowCostsToken reports whether a first attempt uses a token of the retry budget. It does if it
// overflows to a cache where its key misses, while the origin is not idle.
func (r *Router) overflowCostsToken(q *request, c *cache) bool {
	return len(q.attempts) == 0 && q.overflowed && !r.origin.idle() && !c.cachedKeys.likelyCached(q.Key)
}

// excludes reports whether a cache is ruled out because the request has been sent to it before. After a first
// connection that broke at once, the same cache is tried again, because the key would miss at any other
// cache.
func (q *request) excludes(c *cache) bool {
	if len(q.attempts) == 1 && q.attempts[0].connectionBroke && !q.attempts[0].provenNotRun() {
		return false
	}
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.cache == c })
}
