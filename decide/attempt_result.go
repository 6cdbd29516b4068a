package decide

// finishedAttempt is an attempt with its result, as passed to the rules.
type finishedAttempt struct {
	*attempt
	request *request
	result  Result
	miss    bool // the cache reported a miss
	elapsed Time // time since the attempt was sent, by this router's clock; µs
	onTime  bool // served within the response timeout
}

// handleAttemptResult processes the result of an attempt: each rule updates its state, and the request is
// retried, queued or answered. Results for unknown requests and repeated results of an attempt are ignored.
func (r *Router) handleAttemptResult(ev *AttemptResult) {
	q := r.requests[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.attempts) || !q.attempts[ev.Attempt].inFlight() {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.end(ev.Result)
	r.cancelTimers(a.timers.overdue, a.timers.objective, a.timers.attribution)
	r.countEnded(a)

	elapsed := r.now - a.sentAt
	r.recordResult(&finishedAttempt{
		attempt: a,
		request: q,
		result:  ev.Result,
		miss:    ev.Miss,
		elapsed: elapsed,
		onTime:  ev.Result == Served && elapsed < q.class.responseTimeout(),
	})
	r.proceed(q, ev.Final)
	r.dispatchQueued()
}

// recordResult passes a result to each rule. recordErrors runs before updateOriginLimit, which uses the error
// ratios.
func (r *Router) recordResult(result *finishedAttempt) {
	r.recordConnection(result)
	r.closeIdleConnections(result.cache)
	r.recordOutcome(result)
	r.updateLossDetector(result)
	r.updateResponsiveness(result)
	r.recordZoneLatency(result)
	r.recordErrors(result)
	r.updateOriginLimit(result)
	r.updateConcurrencyLimit(result)
	r.recordServed(result)
}

// recordConnection records whether an attempt reached its cache.
func (r *Router) recordConnection(result *finishedAttempt) {
	switch result.result {
	case Served, Errored, Rejected:
		result.cache.lastAnswerAt = r.now
		r.connectionSucceeded(result.cache)
	case ConnectFailed:
		result.connectionBroke = true
		r.connectionFailed(result.cache)
	case ConnectionLost:
		result.connectionBroke = result.elapsed < result.request.class.responseTimeout()/2
	}
}

// recordOutcome records whether an attempt was served in time. An overdue attempt was counted as late when
// its response timeout passed. If the attempt is nevertheless served within its latency objective, the count
// is corrected: with work that takes long relative to the objective, nearly every attempt would otherwise
// count as late.
func (r *Router) recordOutcome(result *finishedAttempt) {
	overdue := result.elapsed >= result.request.class.responseTimeout()
	if !overdue && result.result != Cancelled && result.result != NotSent {
		r.recordTimeliness(result.attempt, result.onTime)
	}
	if overdue && result.result == Served && result.elapsed < result.request.class.LatencyObjective {
		r.timeliness.countLatestInTime()
	}
}

// updateResponsiveness sets responsive when a cache serves a likely hit in time.
func (r *Router) updateResponsiveness(result *finishedAttempt) {
	if result.onTime && !result.likelyMiss {
		result.cache.responsive = true
	}
}

// proceed retries, queues or answers a request after one of its attempts has ended. If last is set, the
// result was the final answer.
func (r *Router) proceed(q *request, last bool) {
	switch {
	case last || q.finished:
		r.finish(q)
	case r.now >= q.Deadline:
		r.handleRequestDeadline(q)
	default:
		r.forward(q)
	}
}
