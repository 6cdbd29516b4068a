package decide

const (
	// rejectionValidityDivisor divides the drain grace. The quotient is the time for which the rejection of a
	// first try shows that caches lack capacity.
	rejectionValidityDivisor = 2
	// sendingDivisor divides the drain grace. The quotient is the time for which the latest attempt shows
	// that requests are being sent.
	sendingDivisor = 10
)

// stormState is the current retry storm, and the evidence that caches lack capacity for first tries.
type stormState struct {
	RetryStorm
	lastFirstTryRejectedAt Time // when a request that is not a client's retry was last rejected
}

// budgetFraction returns the fraction of the retry budget that remains available.
func (s *stormState) budgetFraction() float64 {
	if s.Active {
		return s.RetryBudgetFraction
	}
	return 1
}

// rejectsLateRetry reports whether a client's retry is rejected at once during a storm, because it can no
// longer be served in time while first tries are being rejected.
//
// Clients retry a rejected request until they give up. If the capacity of the caches goes to requests whose
// clients have waited long, these requests are served too late. If all first tries are served, the caches
// have capacity for the retries as well.
func (r *Router) rejectsLateRetry(q *request) bool {
	s := &r.storm
	grace := r.settings.DrainGrace
	lacksCapacity := r.now < s.lastFirstTryRejectedAt+grace/rejectionValidityDivisor
	sending := s.Outage || r.now < r.lastSendAt+grace/sendingDivisor // otherwise the caches have spare capacity
	return r.now >= q.queueDeadline() && lacksCapacity && sending && r.mayReject(q)
}

// reject rejects a request with a time to wait before the next try. During a storm the times vary, because
// clients that are rejected together would otherwise retry together.
func (r *Router) reject(q *request) {
	retryAfter := min(r.settings.MaxRetryAfter, q.class.LatencyObjective)
	if r.storm.Active {
		jitter := min(r.storm.RetryAfterJitter, r.settings.MaxRetryAfter-retryAfter/2)
		position := unitInterval(mix(q.Key ^ mix(uint64(q.ID))))
		retryAfter = retryAfter/2 + Time(position*float64(jitter))
	}
	r.emit(Reject{ID: q.ID, RetryAfter: retryAfter, Reason: q.reason})
}
