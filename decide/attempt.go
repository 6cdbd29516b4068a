package decide

// attemptState is the progress of an attempt. An attempt moves from attemptPending to one of the last two
// states, either directly or by way of attemptCancelling.
type attemptState uint8

const (
	attemptPending    attemptState = iota // sent
	attemptCancelling                     // a Cancel was emitted; the result is still due
	attemptNotRun                         // ended, and proven not to have run
	attemptMayHaveRun                     // ended, and may have run
)

// attempt is one transmission of a request to one cache.
type attempt struct {
	cache  *cache
	sentAt Time
	state  attemptState
	// likelyMiss is set at the start if the origin likely has to serve the request.
	likelyMiss bool
	// connectionBroke is set at the end if no connection was established, or if it broke shortly after.
	connectionBroke bool
	// overtaken is set while the attempt is in flight if later attempts have been served in time, so that
	// this attempt is presumed lost.
	overtaken bool
	timers    attemptTimers
}

// attemptTimers holds the tokens of an attempt's timers; 0 means no timer.
type attemptTimers struct {
	overdue     int64 // the response timeout, and the repeated checks after it
	objective   int64 // the latency objective
	attribution int64 // when lateness counts against the origin or a cache with a sole attempt
}

// inFlight reports whether the result of the attempt is still due.
func (a *attempt) inFlight() bool { return a.state == attemptPending || a.state == attemptCancelling }

// provenNotRun reports whether the attempt has ended and is known not to have executed the request.
func (a *attempt) provenNotRun() bool { return a.state == attemptNotRun }

// end sets the final state from the result.
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
		r.postponeTrial(c.zone) // this attempt is the trial request
	}
	r.emit(Send{ID: q.ID, Cache: c.ID, AttemptDeadline: q.Deadline, WriteDeadline: q.writeDeadline(n)})
	overdueAt := r.now + q.class.responseTimeout()
	a.timers.overdue = r.schedule(overdueAt, timer{kind: attemptOverdue, attempt: n, request: q})
}

// countSent updates the counters for an attempt that starts.
func (r *Router) countSent(a *attempt) {
	c := a.cache
	c.inFlight++
	c.attemptsSent++
	r.attemptsSent++
	c.sent.increment(r.now, r.settings.OverloadWindow)
	r.lastSendAt = r.now
	r.origin.inFlight += boolToInt(a.likelyMiss)
}

// countEnded updates the counters for an attempt that has ended.
func (r *Router) countEnded(a *attempt) {
	a.cache.inFlight--
	r.origin.inFlight -= boolToInt(a.likelyMiss)
	a.cache.overtaken -= boolToInt(a.overtaken)
}

// cancel stops waiting for an attempt, whose result is still due. An attempt is cancelled only once.
func (r *Router) cancel(q *request, n int) {
	if q.attempts[n].state == attemptCancelling {
		return
	}
	q.attempts[n].state = attemptCancelling
	r.emit(Cancel{q.ID, n})
}
