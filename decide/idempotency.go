package decide

import "slices"

// idempotencyWindowFraction is the fraction of the idempotency window in which a repeat may be written. The
// rest of the window is for its transit to the cache.
const idempotencyWindowFraction = .95

// maySend reports whether a request may be sent, or sent again, to a cache. Every attempt must pass this
// check.
func (r *Router) maySend(q *request, c *cache) bool {
	if q.finished || q.streaming || r.now >= q.Deadline || len(q.attempts) >= r.settings.MaxAttempts {
		return false
	}
	if c.Status != Serving {
		return false // applies as soon as the drain is known, not only after the grace
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.inFlight() && !r.settings.AllowHedging {
			return false
		}
		if !a.provenNotRun() && !r.mayRunAgain(q.class, a, c) {
			return false
		}
	}
	return true
}

// mayRunAgain reports whether a request may be sent to a cache after an earlier attempt that may have run.
// The effect of the request must not happen twice.
func (r *Router) mayRunAgain(class *Class, earlier *attempt, c *cache) bool {
	switch class.Semantics {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	dropped := inDeduplicationScope(class.DeduplicationScope, earlier.cache, c)
	return dropped && r.now < class.repeatDeadline(earlier.sentAt)
}

// writeDeadline returns the latest time at which the n-th attempt of a request may be written; 0 means no
// limit. The caches remember earlier attempts only for a limited time, and an attempt may have to wait for a
// connection.
func (q *request) writeDeadline(n int) Time {
	if q.class.Semantics != IdempotentByKey {
		return 0
	}
	deadline := Time(0)
	for i := range q.attempts[:n] {
		a := &q.attempts[i]
		if a.provenNotRun() {
			continue
		}
		if d := q.class.repeatDeadline(a.sentAt); deadline == 0 || d < deadline {
			deadline = d
		}
	}
	return deadline
}

// repeatDeadline returns the latest time at which a repeat of an attempt may be written, according to a clock
// reading before the write. The router may be suspended for MaxSchedulingDelay between the reading and the
// write.
func (c *Class) repeatDeadline(sentAt Time) Time {
	transitLimit := Time(idempotencyWindowFraction * float64(c.IdempotencyWindow))
	delayLimit := c.IdempotencyWindow - MaxSchedulingDelay
	return sentAt + max(0, min(transitLimit, delayLimit))
}

// inDeduplicationScope reports whether two caches drop each other's repeats.
func inDeduplicationScope(scope DeduplicationScope, a, b *cache) bool {
	switch scope {
	case DeduplicatedEverywhere:
		return true
	case DeduplicatedInZone:
		return a.Zone == b.Zone
	case DeduplicatedInCell:
		return a.Cell == b.Cell
	}
	return false
}

// mayReject reports whether a request may be rejected instead of failed. A rejection guarantees to the client
// that a retry is safe.
func (r *Router) mayReject(q *request) bool {
	if q.class.Semantics == Idempotent {
		return true
	}
	if q.class.Semantics == IdempotentByKey && q.class.DeduplicationScope == DeduplicatedEverywhere {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.provenNotRun() })
}
