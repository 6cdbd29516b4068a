package decide

import "math"

const (
	// maxEjections is where the count of ejections of a cache stops, each of which doubles the next span.
	maxEjections = 8
	// ejectionWindowFraction is the shortest ejection, as a fraction of the key window.
	ejectionWindowFraction = 1.0 / 4

	// maxFailoverTokens is the number of requests that may move from ejected caches in one burst.
	maxFailoverTokens = 10
	// maxFailoverRatio is the ratio of requests that may move where healthyTimelyRatio of attempts are in
	// time.
	maxFailoverRatio = .6
	// minFailoverRatio is the ratio of requests that may always move, so that caches that serve again are
	// found.
	minFailoverRatio = .1
	// healthyTimelyRatio is the ratio of attempts in time from which maxFailoverRatio holds.
	healthyTimelyRatio = .9
	// overloadedTimelyRatio is the ratio of attempts in time below which only minFailoverRatio is left.
	overloadedTimelyRatio = .7
)

// outlierState is what outlier ejection knows of one cache.
type outlierState struct {
	ejectedUntil Time // no requests are sent before
	ejections    int  // ejections that later answers in time have not made up for
}

// ejected reports whether the cache gets no requests now.
func (o *outlierState) ejected(now Time) bool { return now < o.ejectedUntil }

// ejectIfOutlier ejects a cache that has kept an attempt waiting and has answered nothing since; where it has
// answered others meanwhile, only this attempt was late. It is called in low traffic per router only.
//
// The first ejection lasts as long as this router usually goes without a request for the cache, and each
// further one twice as long as the one before. The load of the cache falls by half each time, whatever this
// router's part of it is.
func (r *Router) ejectIfOutlier(a *attempt, inTime bool) {
	c := a.cache
	if inTime {
		c.outlier.ejections = max(0, c.outlier.ejections-1)
		return
	}
	if c.lastAnswerAt > a.sentAt && a.isOut() {
		return
	}
	minSpan := float64(r.keyWindow()) * ejectionWindowFraction
	span := max(float64(r.now-c.listedAt)/float64(c.attemptsSent), minSpan)
	span = min(span*math.Exp2(float64(c.outlier.ejections)), float64(r.settings.SlowStartWindow))
	c.outlier.ejectedUntil = max(c.outlier.ejectedUntil, r.now+Time(span))
	c.outlier.ejections = min(c.outlier.ejections+1, maxEjections)
}

// failoverBudget limits the requests that move from ejected caches to others. What ejected caches don't serve
// would otherwise overload the others, and they would be ejected too.
type failoverBudget struct {
	tokens float64
}

// earn adds what one request earns, by the ratio of attempts served in time at all caches.
func (b *failoverBudget) earn(timelyRatio float64) {
	healthy := min(1, (timelyRatio-overloadedTimelyRatio)/(healthyTimelyRatio-overloadedTimelyRatio))
	b.tokens = min(b.tokens+max(minFailoverRatio, maxFailoverRatio*healthy), maxFailoverTokens)
}

// allows reports whether one more request may move.
func (b *failoverBudget) allows() bool { return b.tokens >= 1 }

// spend takes the token of a request that moves.
func (b *failoverBudget) spend() { b.tokens-- }
