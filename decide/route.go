// Which cache a request goes to. The order of the caches for a key stands in placement.go.

package decide

import (
	"slices"
)

// pick names the cache for the next attempt, or nil. crowded tells that only
// want of room stands in the way.
func (r *Router) pick(q *request) (to *cache, crowded bool) {
	var anyway, alone *cache // the latter left alone, and not for long any more
	home := true             // until a cache has been passed over that the key should go to
	tried := 0
	r.rank(q.Key)
	for i := range r.ready {
		if tried == rehashCap {
			break
		}
		c := r.nth(i)
		if !r.maySend(q, c) || q.triedAt(c) || !r.warmEnough(q, c) {
			continue
		}
		if r.cut(c) || r.far(q, c) { // not counted: a lost zone may hold most of the fleet
			if anyway == nil && r.hasRoom(c) {
				anyway = c
			}
			continue
		}
		tried++
		if r.now < c.aloneUntil {
			// The danger: what some caches do not serve crowds the others, and they go the same way.
			if q.why = EndpointEjected; r.moves < 1 && len(q.attempts) == 0 {
				return nil, false
			}
			if alone == nil || c.aloneUntil < alone.aloneUntil {
				alone = c
			}
			continue
		}
		switch {
		case !c.healthy || r.fails(c): // not crowded: its keys have to go elsewhere, whatever the budget
			if anyway == nil && r.hasRoom(c) {
				anyway = c
			}
		case r.fetch(q, c) && float64(r.fetching)*r.missing >= r.fetches:
			// Likely hits of other routers' keys pass. The danger: one router of many knows few
			// keys, and in sparing the origin it refuses mostly what the cache has.
			crowded, q.spares = true, true
		case !r.hasRoom(c):
			crowded = true
		case !crowded || r.mayOverflow(q, c):
			q.astray = !home
			r.moves -= float64(b2i(alone != nil))
			return c, false
		}
		home = home && (!c.healthy || r.fails(c))
	}
	q.astray = false
	if crowded {
		return nil, true
	}
	if anyway == nil && alone != nil && r.moves >= 1 {
		r.moves-- // the danger: all are left alone, and nobody finds out that one serves again
		anyway = alone
	}
	return anyway, false
}

// hasRoom reports whether the limit lets one more attempt out. A limit under one
// leaves gaps between attempts. The danger: a cache slowed down by crowding stays slow until it
// has been mostly idle, and one attempt of every router at all times is enough to keep it so.
func (r *Router) hasRoom(c *cache) bool {
	limit := c.limit
	if r.pressure.Active && r.now >= r.sentAt+r.set.DrainGrace/4 {
		return true // the danger: all limits are low, nothing is sent, and nobody finds out that they need not be
	}
	if r.pressure.Outage {
		// The danger: a cold cache is slow with one attempt, too, and gets none; and nobody finds one that is back.
		limit = max(limit, leastAway)
	}
	if limit >= 1 || c.pending > c.hung {
		return float64(c.pending-c.hung) < limit
	}
	return r.now >= c.lastSend+Time(float64(r.patience)*(1/c.limit-1))
}

// mayOverflow reports whether a request without room at its home may go to another cache: one
// that keeps its key, or any while the origin has room or the budget a token. The danger:
// overflowing keys miss wherever they go and crowd the origin.
func (r *Router) mayOverflow(q *request, c *cache) bool {
	// The danger in a storm: a fetch at each cache that is asked, while the origin can do few.
	return c.knows(q.Key) || r.originIdles() || r.budget >= 1 && !r.pressure.Active
}

func (r *Router) originIdles() bool { return float64(r.fetching) < r.fetches/2 }

// knows reports whether the cache has answered for the key lately, so that it likely keeps it.
func (c *cache) knows(key uint64) bool { return c.keeps[0][key] || c.keeps[1][key] }

func (q *request) triedAt(c *cache) bool {
	broke := len(q.attempts) == 1 && q.attempts[0].unmet && !q.attempts[0].neverRan
	return !broke && slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.to == c })
}
