package decide

const (
	// overdueChecksPerTimeout is how many times in a response timeout an overdue attempt is checked again.
	overdueChecksPerTimeout = 4
	// reversedLateRatio makes one attempt in time raise a limit by what a late one lowers it.
	reversedLateRatio = .5
)

// handleAttemptOverdue looks after an attempt whose response timeout has passed: either later attempts have
// overtaken it, and it is taken for lost, or it counts as late.
func (r *Router) handleAttemptOverdue(q *request, n int) {
	a := &q.attempts[n]
	if !a.isOut() {
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
		r.learnTimeliness(a, false)
		r.blameOverdue(q, n)
	}
	r.hedge(q, n)
	r.checkOverdueAgain(q, n)
}

// handleAttemptStillOverdue looks after an overdue attempt again, as it may have been overtaken meanwhile.
func (r *Router) handleAttemptStillOverdue(q *request, n int) {
	a := &q.attempts[n]
	if !a.isOut() || q.finished {
		return
	}
	if r.lossDetector.detected() && r.wasOvertaken(q, a) {
		r.markOvertaken(a)
		a.cache.limit.adjust(true, reversedLateRatio) // it had lowered the limit
		r.hedge(q, n)
	}
	r.checkOverdueAgain(q, n)
}

// checkOverdueAgain schedules the next check of an overdue attempt while attempts get lost.
func (r *Router) checkOverdueAgain(q *request, n int) {
	a := &q.attempts[n] // a hedged request may have moved the record
	if !r.lossDetector.detected() || a.overtaken {
		return
	}
	at := r.now + q.class.responseTimeout()/overdueChecksPerTimeout
	a.timers.overdue = r.schedule(at, timer{kind: attemptStillOverdue, attempt: n, request: q})
}

// blameOverdue counts an overdue attempt against the origin if it is a likely miss and the cache served its
// last likely hit in time, and otherwise against the cache. A cache that warms up is slow itself and has few
// hits.
func (r *Router) blameOverdue(q *request, n int) {
	a := &q.attempts[n]
	c := a.cache
	if a.likelyMiss && c.responsive && (!c.slowStart.warming(r.now) || r.storm.Outage) {
		lateAt := a.sentAt + Time(originObjectiveFraction*float64(q.class.LatencyObjective))
		a.timers.blame = r.schedule(lateAt, timer{kind: originOverdue, attempt: n, request: q})
		return
	}
	c.responsive = false
	if c.limit.value > r.soleAttemptLimit() {
		r.adjustLimits(c, false)
		return
	}
	// Where all caches are slow by themselves, a lower limit makes none of them faster. A sole attempt may
	// take its whole latency objective.
	lateAt := a.sentAt + q.class.LatencyObjective
	a.timers.blame = r.schedule(lateAt, timer{kind: soleAttemptOverdue, attempt: n, request: q})
}

// handleObjectiveReached looks after an attempt that is out past its latency objective.
//
// Low traffic per router: an idempotent one is cancelled, as it keeps a cache overloaded and is worth little
// by now.
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
