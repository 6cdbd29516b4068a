package decide

const (
	// lateWindow is the number of served attempts over which the late ratio of a cache fades.
	lateWindow = 48
	// maxUnloadedLateRatio is the late ratio below which a cache is not overloaded.
	maxUnloadedLateRatio = .25
	// lossWindow is the number of attempts over which the ratio of lost ones fades.
	lossWindow = 48
	// overtakenWeight is how much an attempt counts as lost when it was overtaken by its response timeout: it
	// might still have come late.
	overtakenWeight = .5
	// minLossRatio is the ratio of lost attempts from which overtaken ones are hedged without a limit.
	minLossRatio = .08
)

// lossDetector estimates the ratio of attempts that get lost, at all caches. A cache, or the path to it, may
// lose part of what it is sent and serve the rest as quickly as ever. Taken for overload, that would lower
// its limit until hardly anything is sent.
type lossDetector struct {
	ratio movingAverage
}

func newLossDetector() lossDetector { return lossDetector{movingAverage{window: lossWindow}} }

// detected reports whether so many attempts get lost that an overtaken one is taken for lost.
func (l *lossDetector) detected() bool { return l.ratio.value > minLossRatio }

// wasOvertaken reports whether later attempts were served in time, though this one was not and its cache is
// not overloaded. For what the origin has to serve, it must have served a later one in time too.
func (r *Router) wasOvertaken(q *request, a *attempt) bool {
	c := a.cache
	if c.lastTimelySentAt <= a.sentAt || !(c.lateRatio.value < maxUnloadedLateRatio) {
		return false
	}
	servedByCache := !a.likelyMiss && !q.Write
	return servedByCache || r.origin.lastTimelySentAt > a.sentAt
}

// markOvertaken takes an attempt for lost: it does not count as out at its cache any more.
func (r *Router) markOvertaken(a *attempt) {
	a.overtaken = true
	a.cache.overtaken++
	r.lossDetector.ratio.observeWeighted(1, overtakenWeight)
}

// learnLoss takes in when attempts were served, for the comparison with those that are out.
func (r *Router) learnLoss(result *finishedAttempt) {
	c := result.cache
	if result.result == Served {
		c.lateRatio.observeBool(!result.onTime)
	}
	if !result.onTime {
		return
	}
	c.lastTimelySentAt = max(c.lastTimelySentAt, result.sentAt)
	if result.miss || result.request.Write {
		r.origin.lastTimelySentAt = max(r.origin.lastTimelySentAt, result.sentAt)
	}
	r.lossDetector.ratio.observe(0)
}

// hedge sends a request a second time whose attempt is overdue, if the attempt was overtaken, or its cache
// has answered nothing since. A cache that hangs takes requests and answers none until its health checks have
// failed. Late answers are no reason: in an overload, all of them are late.
func (r *Router) hedge(q *request, n int) {
	if q.finished || !r.settings.AllowHedging || r.storm.Active {
		return
	}
	a := &q.attempts[n]
	if a.overtaken {
		r.retryBudget.provide() // it takes nothing from the cache, which is not overloaded either
	} else if a.cache.lastAnswerAt > a.sentAt || !r.retryBudget.allows() {
		return
	}
	if c, _ := r.selectCache(q); c != nil {
		r.send(q, c)
	}
}
