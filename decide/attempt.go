package decide

// attemptState is how far an attempt is. It goes from pending to one of the last two, at once or by way of
// cancelling.
type attemptState uint8

const (
	attemptPending    attemptState = iota // sent
	attemptCancelling                     // a Cancel was emitted, and the result is still due
	attemptNotRun                         // ended, and proven not to have run
	attemptMayHaveRun                     // ended, and may have run
)

// attempt is one sending of a request to one cache.
type attempt struct {
	cache  *cache
	sentAt Time
	state  attemptState
	// likelyMiss is set at the start if the origin likely has to serve it.
	likelyMiss bool
	// connectionBroke is set at the end if no connection came about, or it broke at once.
	connectionBroke bool
	// overtaken is set while it is out, when later attempts have been answered in time.
	overtaken bool
	timers    attemptTimers
}

// attemptTimers are the tokens of the timers of an attempt; 0 for none.
type attemptTimers struct {
	overdue   int64 // the response timeout, and later checks
	objective int64 // the latency objective
	blame     int64 // when lateness counts against the origin, or against a cache with a sole attempt
}

// isOut reports whether the result of the attempt is still due.
func (a *attempt) isOut() bool { return a.state == attemptPending || a.state == attemptCancelling }

// provenNotRun reports whether the request was not carried out by this attempt.
func (a *attempt) provenNotRun() bool { return a.state == attemptNotRun }

// end takes in the result.
func (a *attempt) end(result Result) {
	a.state = attemptMayHaveRun
	if result.NeverRan() {
		a.state = attemptNotRun
	}
}

// send starts the next attempt of a request.
func (r *Router) send(q *request, c *cache) {
	if q.costsRetryToken() || r.overflowCostsToken(q, c) {
		r.retryBudget.spend()
	}
	n := len(q.attempts)
	q.attempts = append(q.attempts, attempt{cache: c, sentAt: r.now, likelyMiss: q.likelyMiss(c)})
	a := &q.attempts[n]
	r.countSent(a)
	if c.zone.outage() {
		r.postponeTrial(c.zone) // this attempt is the trial
	}
	r.emit(Send{ID: q.ID, Cache: c.ID, AttemptDeadline: q.Deadline, WriteDeadline: q.writeDeadline(n)})
	overdueAt := r.now + q.class.responseTimeout()
	a.timers.overdue = r.schedule(overdueAt, timer{kind: attemptOverdue, attempt: n, request: q})
}

// countSent counts an attempt that begins.
func (r *Router) countSent(a *attempt) {
	c := a.cache
	c.inFlight++
	c.attemptsSent++
	r.attemptsSent++
	c.sent.increment(r.now, r.settings.OverloadWindow)
	r.lastSendAt = r.now
	r.origin.inFlight += boolToInt(a.likelyMiss)
}

// countEnded counts an attempt that has ended.
func (r *Router) countEnded(a *attempt) {
	a.cache.inFlight--
	r.origin.inFlight -= boolToInt(a.likelyMiss)
	a.cache.overtaken -= boolToInt(a.overtaken)
}

// cancel ends the wait on an attempt; its result is still due. An attempt is cancelled once.
func (r *Router) cancel(q *request, n int) {
	if q.attempts[n].state == attemptCancelling {
		return
	}
	q.attempts[n].state = attemptCancelling
	r.emit(Cancel{q.ID, n})
}
