package decide

const (
	// lateWindow is the number of served attempts over which the late ratio of a cache decays.
	lateWindow = 48
	// maxUnloadedLateRatio is the late ratio below which a cache is not overloaded.
	maxUnloadedLateRatio = .25
	// lossWindow is the number of attempts over which the ratio of lost attempts decays.
	lossWindow = 48
	// overtakenWeight is the weight of an overtaken attempt in the ratio of lost attempts. Its answer might
	// still arrive late.
	overtakenWeight = .5
	// minLossRatio is the ratio of lost attempts above which overtaken attempts are hedged without a limit.
	minLossRatio = .08
)

// lossDetector estimates the ratio of lost attempts at all caches. A cache, or the network path to it, may
// lose part of the requests and serve the rest as fast as usual. If this loss counted as overload, it would
// lower the limit of the cache until hardly any requests were sent.
type lossDetector struct {
	ratio movingAverage
}

func newLossDetector() lossDetector { return lossDetector{movingAverage{window: lossWindow}} }

// detected reports whether the ratio of lost attempts is so high that an overtaken attempt is presumed lost.
func (l *lossDetector) detected() bool { return l.ratio.value > minLossRatio }

// wasOvertaken reports whether the cache has served later attempts in time, although it has not answered this
// one and is not overloaded. For a request that the origin has to serve, the origin must also have served a
// later attempt in time.
func (r *Router) wasOvertaken(q *request, a *attempt) bool {
	c := a.cache
	if c.lastTimelySentAt <= a.sentAt || !(c.lateRatio.value < maxUnloadedLateRatio) {
		return false
	}
	servedByCache := !a.likelyMiss && !q.Write
	return servedByCache || r.origin.lastTimelySentAt > a.sentAt
}

// markOvertaken presumes an attempt lost, so that it no longer counts as in flight at its cache.
func (r *Router) markOvertaken(a *attempt) {
	a.overtaken = true
	a.cache.overtaken++
	r.lossDetector.ratio.observeWeighted(1, overtakenWeight)
}

// updateLossDetector records the send times of attempts served in time, which are compared with those of
// attempts in flight, and updates the late ratio of the cache and the ratio of lost attempts.
func (r *Router) updateLossDetector(result *finishedAttempt) {
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

// hedge sends a hedged request for an overdue attempt if the attempt was overtaken, or if its cache has
// answered nothing since the attempt was sent. A cache that hangs accepts requests and answers none until its
// health checks have failed. Late answers do not justify a hedged request, because in an overload all answers
// are late.
func (r *Router) hedge(q *request, n int) {
	if q.finished || !r.settings.AllowHedging || r.storm.Active {
		return
	}
	a := &q.attempts[n]
	if a.overtaken {
		r.retryBudget.provide() // the cache is not overloaded, and the lost attempt does not load it
	} else if a.cache.lastAnswerAt > a.sentAt || !r.retryBudget.allows() {
		return
	}
	if c, _ := r.selectCache(q); c != nil {
		r.send(q, c)
	}
}
