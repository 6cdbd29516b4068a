package decide

// finishedAttempt is an attempt with its result, as the rules learn from it.
type finishedAttempt struct {
	*attempt
	request *request
	result  Result
	miss    bool // the cache reported a miss
	elapsed Time // since the attempt was sent, by this router's clock; µs
	onTime  bool // served within the response timeout
}

// handleAttemptResult takes in the result of an attempt: each rule learns from it, and the request goes on.
// Results of unknown requests, and second results of an attempt, are ignored.
func (r *Router) handleAttemptResult(ev *AttemptResult) {
	q := r.requests[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.attempts) || !q.attempts[ev.Attempt].isOut() {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.end(ev.Result)
	r.cancelTimers(a.timers.overdue, a.timers.objective, a.timers.blame)
	r.countEnded(a)

	elapsed := r.now - a.sentAt
	r.learn(&finishedAttempt{
		attempt: a,
		request: q,
		result:  ev.Result,
		miss:    ev.Miss,
		elapsed: elapsed,
		onTime:  ev.Result == Served && elapsed < q.class.responseTimeout(),
	})
	r.proceed(q, ev.Last)
	r.dispatchQueued()
}

// learn has each rule take in a result. learnErrors comes before learnOrigin, which uses the error ratios.
func (r *Router) learn(result *finishedAttempt) {
	r.learnConnection(result)
	r.closeIdleConnections(result.cache)
	r.learnOutcome(result)
	r.learnLoss(result)
	r.learnResponsiveness(result)
	r.learnZoneLatency(result)
	r.learnErrors(result)
	r.learnOrigin(result)
	r.learnConcurrency(result)
	r.learnServed(result)
}

// learnConnection takes in whether an attempt reached its cache.
func (r *Router) learnConnection(result *finishedAttempt) {
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

// learnOutcome takes in whether an attempt was served in time. One that is overdue was counted as late when
// its response timeout passed. If it is served within its latency objective all the same, that is corrected:
// where work takes long beside the objective, nearly everything would seem late.
func (r *Router) learnOutcome(result *finishedAttempt) {
	overdue := result.elapsed >= result.request.class.responseTimeout()
	if !overdue && result.result != Cancelled && result.result != NotSent {
		r.learnTimeliness(result.attempt, result.onTime)
	}
	if overdue && result.result == Served && result.elapsed < result.request.class.LatencyObjective {
		r.timeliness.correct()
	}
}

// learnResponsiveness notes that a cache serves its likely hits in time.
func (r *Router) learnResponsiveness(result *finishedAttempt) {
	if result.onTime && !result.likelyMiss {
		result.cache.responsive = true
	}
}

// proceed sends a request on after one of its attempts has ended, or answers it. A last result is the final
// answer.
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
