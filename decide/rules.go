// The operators' rules: what may be sent, repeated and refused.

package decide

import (
	"slices"
)

// maySend is the one answer to "may this request be sent (again), to this cache?".
func (r *Router) maySend(q *request, c *cache) bool {
	if q.done || q.streams || r.now >= q.Deadline || len(q.attempts) >= r.set.MaxAttempts ||
		c.Status != Serving { // drains are kept from the moment they are known
		return false
	}
	for _, a := range q.attempts {
		if a.pending && !r.set.AllowHedging {
			return false
		}
		if a.neverRan || q.class.Semantics == Idempotent {
			continue
		}
		// It may have run: its effect must not happen twice.
		if q.class.Semantics == NonIdempotent ||
			!sameGroup(q.class.DeduplicationScope, a.to, c) ||
			r.now >= q.class.remembers(a.sent) {
			return false
		}
	}
	return true
}

// remembered is until when the caches remember the earlier attempts of a keyed request that may have
// run, those before the n-th; 0 where there is none. The danger: the next one waits for a connection
// and is written when its repeat is no longer dropped.
func (q *request) remembered(n int) (until Time) {
	for _, a := range q.attempts[:n] {
		if q.class.Semantics != IdempotentByKey || a.neverRan {
			continue
		}
		if t := q.class.remembers(a.sent); until == 0 || t < until {
			until = t
		}
	}
	return until
}

// remembers is until when a repeat of what was sent may be written: it takes its way, the clock stands still
// in a turn, and the router may be held up before it writes.
func (c *Class) remembers(sent Time) Time {
	window := min(Time(windowPart*float64(c.IdempotencyWindow)), c.IdempotencyWindow-MaxSchedulingDelay)
	return sent + max(0, window)
}

func sameGroup(s DeduplicationScope, a, b *cache) bool {
	return s == DeduplicatedEverywhere ||
		s == DeduplicatedInZone && a.Zone == b.Zone ||
		s == DeduplicatedInCell && a.Cell == b.Cell
}

// mayRefuse is the one answer to "may it be refused, or only failed?": a
// refusal tells the client that trying again is harmless.
func (r *Router) mayRefuse(q *request) bool {
	if q.class.Semantics == Idempotent ||
		q.class.Semantics == IdempotentByKey && q.class.DeduplicationScope == DeduplicatedEverywhere {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.neverRan })
}
