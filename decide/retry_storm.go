package decide

const (
	// rejectionValidityDivisor: for a drain grace divided by it, the rejection of a first try shows that
	// caches lack capacity.
	rejectionValidityDivisor = 2
	// sendingDivisor: for a drain grace divided by it, the latest attempt shows that requests are sent.
	sendingDivisor = 10
)

// stormState is the present retry storm, and what decides whether first tries lack capacity.
type stormState struct {
	RetryStorm
	lastFirstTryRejectedAt Time // when a request that is no client's retry was last rejected
}

// budgetFraction returns the fraction of the retry budget that is left.
func (s *stormState) budgetFraction() float64 {
	if s.Active {
		return s.RetryBudgetFraction
	}
	return 1
}

// rejectsLateRetry reports whether a client's retry is rejected at once during a storm: one that can't be
// served in time any more, while first tries are rejected.
//
// A rejected request comes back until its client gives up. If the caches' capacity goes to requests whose
// clients have long waited, these are served too late; if all first tries are served, the caches have
// capacity for them.
func (r *Router) rejectsLateRetry(q *request) bool {
	s := &r.storm
	grace := r.settings.DrainGrace
	lacksCapacity := r.now < s.lastFirstTryRejectedAt+grace/rejectionValidityDivisor
	sending := s.Outage || r.now < r.lastSendAt+grace/sendingDivisor // otherwise the caches have capacity by now
	return r.now >= q.queueDeadline() && lacksCapacity && sending && r.mayReject(q)
}

// reject rejects a request, with a time to stay away. During a storm the times differ, as clients that are
// rejected together would come back together.
func (r *Router) reject(q *request) {
	retryAfter := min(r.settings.MaxRetryAfter, q.class.LatencyObjective)
	if r.storm.Active {
		jitter := min(r.storm.RetryAfterJitter, r.settings.MaxRetryAfter-retryAfter/2)
		position := unitInterval(mix(q.Key ^ mix(uint64(q.ID))))
		retryAfter = retryAfter/2 + Time(position*float64(jitter))
	}
	r.emit(Reject{ID: q.ID, RetryAfter: retryAfter, Reason: q.reason})
}
