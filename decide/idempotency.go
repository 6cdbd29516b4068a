package decide

import "slices"

// idempotencyWindowFraction is the fraction of the idempotency window in which a repeat may be written, as it
// takes time to arrive.
const idempotencyWindowFraction = .95

// maySend reports whether a request may be sent, or sent again, to a cache. No attempt starts without this
// check.
func (r *Router) maySend(q *request, c *cache) bool {
	if q.finished || q.streaming || r.now >= q.Deadline || len(q.attempts) >= r.settings.MaxAttempts {
		return false
	}
	if c.Status != Serving {
		return false // from the moment the drain is known, not only after the grace
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.isOut() && !r.settings.AllowHedging {
			return false
		}
		if !a.provenNotRun() && !r.mayRunAgain(q.class, a, c) {
			return false
		}
	}
	return true
}

// mayRunAgain reports whether a request may be sent to a cache after an attempt that may have run: its effect
// must not happen twice.
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

// writeDeadline returns until when the n-th attempt of a request may be written. The caches remember the
// earlier ones only for a time, and an attempt may have to wait for a connection. It is 0 if there is no
// limit.
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

// repeatDeadline returns until when a repeat of an attempt may be written, by a clock that is read before the
// write. The router may stand still for MaxSchedulingDelay in between.
func (c *Class) repeatDeadline(sentAt Time) Time {
	arriving := Time(idempotencyWindowFraction * float64(c.IdempotencyWindow))
	undelayed := c.IdempotencyWindow - MaxSchedulingDelay
	return sentAt + max(0, min(arriving, undelayed))
}

// inDeduplicationScope reports whether two caches drop one another's repeats.
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

// mayReject reports whether a request may be rejected, and not only failed: a rejection tells the client that
// another try does no harm.
func (r *Router) mayReject(q *request) bool {
	if q.class.Semantics == Idempotent {
		return true
	}
	if q.class.Semantics == IdempotentByKey && q.class.DeduplicationScope == DeduplicatedEverywhere {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.provenNotRun() })
}
