package decide

import "slices"

// maxCachesTried is the number of caches that are considered for one attempt, unreachable zones not counted.
const maxCachesTried = 4

// selection is what has been found so far on the way through the caches of a key.
type selection struct {
	tried      int
	fallback   *cache // first one with capacity that is unreachable, too distant, unhealthy or failing
	ejected    *cache // the one whose ejection ends first
	overloaded bool   // one that could serve the request lacked capacity, or the origin did
	atHome     bool   // no cache was passed over that the key should have gone to
}

// selectCache returns the cache for the next attempt of a request, or nil. overloaded reports that only a
// lack of capacity stands in the way.
func (r *Router) selectCache(q *request) (to *cache, overloaded bool) {
	s := selection{atHome: true}
	r.rankCaches(q.Key)
	for i := range r.serving {
		if s.tried == maxCachesTried {
			break
		}
		c := r.placement.ranked(i)
		if !r.maySend(q, c) || q.avoids(c) || !r.admitsDuringSlowStart(q, c) {
			continue
		}
		if c.zone.unreachable(r.now) || r.tooDistant(q, c) {
			r.considerFallback(&s, c) // not counted: an unreachable zone may hold most of the fleet
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
			q.overflowed = !s.atHome
			if s.ejected != nil {
				r.failover.spend()
			}
			return c, false
		}
		s.atHome = s.atHome && (!c.health.healthy || r.answersErrors(c))
	}
	q.overflowed = false
	return r.selectFallback(&s)
}

// considerServing reports whether a cache that is neither ejected nor unreachable gets the attempt, and notes
// what stands in the way.
func (r *Router) considerServing(s *selection, q *request, c *cache) bool {
	if !c.health.healthy || r.answersErrors(c) {
		r.considerFallback(s, c) // its keys have to go elsewhere, whatever the retry budget
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

// considerFallback notes a cache that is used if no better one is found.
func (r *Router) considerFallback(s *selection, c *cache) {
	if s.fallback == nil && r.hasCapacity(c) {
		s.fallback = c
	}
}

// considerEjected notes an ejected cache that is used if all are ejected.
func (s *selection) considerEjected(c *cache) {
	if s.ejected == nil || c.outlier.ejectedUntil < s.ejected.outlier.ejectedUntil {
		s.ejected = c
	}
}

// selectFallback returns what is left if no cache is as it should be. Where all caches are ejected, some
// requests go to the one whose ejection ends first, as nobody would notice otherwise that it serves again.
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

// mayOverflow reports whether a request without capacity at its first caches may go to another one: one that
// holds its key, or any while the origin is idle or the retry budget has a token. Elsewhere the key misses
// and loads the origin. During a retry storm the budget does not help, as each request would miss at each
// cache that it is sent to.
func (r *Router) mayOverflow(q *request, c *cache) bool {
	if c.cachedKeys.likelyCached(q.Key) || r.origin.idle() {
		return true
	}
	return r.retryBudget.allows() && !r.storm.Active
}

// overflowCostsToken reports whether a first attempt takes a token of the retry budget: one that overflows to
// a cache where it misses, while the origin is not idle.
func (r *Router) overflowCostsToken(q *request, c *cache) bool {
	return len(q.attempts) == 0 && q.overflowed && !r.origin.idle() && !c.cachedKeys.likelyCached(q.Key)
}

// avoids reports whether a request has been sent to the cache before. After a first connection that broke at
// once, the same cache is tried again: elsewhere the key would miss.
func (q *request) avoids(c *cache) bool {
	if len(q.attempts) == 1 && q.attempts[0].connectionBroke && !q.attempts[0].provenNotRun() {
		return false
	}
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.cache == c })
}
