package decide

const (
	// overdueChecksPerTimeout is the number of repeated checks of an overdue attempt per response timeout.
	overdueChecksPerTimeout = 4
	// reversedLateRatio makes one attempt in time raise a limit by as much as a late attempt lowers it.
	reversedLateRatio = .5
)

// handleAttemptOverdue handles an attempt whose response timeout has passed. If later attempts have overtaken
// the attempt, it is presumed lost; otherwise it counts as late.
func (r *Router) handleAttemptOverdue(q *request, n int) {
	a := &q.attempts[n]
	if !a.inFlight() {
		return
	}
	objectiveAt := a.sentAt + q.class.LatencyObjective
	a.timers.objective = r.schedule(objectiveAt, timer{kind: objectiveReached, attempt: n, request: q})
	if q.finished {
		return
	}
	if r.lossDetector.detected() && r.wasOvertaken(q, a) {
		r.markOvertaken(a)
	} else {
		r.recordTimeliness(a, false)
		r.attributeOverdue(q, n)
	}
	r.hedge(q, n)
	r.checkOverdueAgain(q, n)
}

// handleAttemptStillOverdue checks an overdue attempt again, because later attempts may have overtaken it
// since the previous check.
func (r *Router) handleAttemptStillOverdue(q *request, n int) {
	a := &q.attempts[n]
	if !a.inFlight() || q.finished {
		return
	}
	if r.lossDetector.detected() && r.wasOvertaken(q, a) {
		r.markOvertaken(a)
		a.cache.limit.adjust(true, reversedLateRatio) // reverses the decrease from when it counted as late
		r.hedge(q, n)
	}
	r.checkOverdueAgain(q, n)
}

// checkOverdueAgain schedules the next check of an overdue attempt while loss of attempts is detected.
func (r *Router) checkOverdueAgain(q *request, n int) {
	a := &q.attempts[n] // read again: a hedged request may have reallocated q.attempts
	if !r.lossDetector.detected() || a.overtaken {
		return
	}
	at := r.now + q.class.responseTimeout()/overdueChecksPerTimeout
	a.timers.overdue = r.schedule(at, timer{kind: attemptStillOverdue, attempt: n, request: q})
}

// attributeOverdue counts an overdue attempt against the origin if the attempt is a likely miss and the cache
// served its last likely hit in time, and against the cache otherwise. A cache that warms up is slow itself
// and has few hits.
func (r *Router) attributeOverdue(q *request, n int) {
	a := &q.attempts[n]
	c := a.cache
	if a.likelyMiss && c.responsive && (!c.slowStart.warming(r.now) || r.storm.Outage) {
		lateAt := a.sentAt + Time(originObjectiveFraction*float64(q.class.LatencyObjective))
		a.timers.attribution = r.schedule(lateAt, timer{kind: originOverdue, attempt: n, request: q})
		return
	}
	c.responsive = false
	if c.limit.value > r.soleAttemptLimit() {
		r.adjustLimits(c, false)
		return
	}
	// If all caches are inherently slow, lower limits make none of them faster. A sole attempt may therefore
	// take its whole latency objective.
	lateAt := a.sentAt + q.class.LatencyObjective
	a.timers.attribution = r.schedule(lateAt, timer{kind: soleAttemptOverdue, attempt: n, request: q})
}

// handleObjectiveReached handles an attempt that is still in flight after its latency objective.
//
// Low traffic per router: an idempotent attempt is cancelled, because it keeps a cache overloaded and its
// answer is worth little after the objective.
func (r *Router) handleObjectiveReached(q *request, n int) {
	a := &q.attempts[n]
	if !a.overtaken && r.wasOvertaken(q, a) {
		r.lossDetector.ratio.observe(1)
		return
	}
	if r.lowTraffic() && r.settings.AllowCancel && !q.streaming && q.class.Semantics == Idempotent {
		r.cancel(q, n)
	}
}
