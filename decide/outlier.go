package decide

import "math"

const (
	// maxEjections is the highest count of ejections of a cache. Each counted ejection doubles the duration
	// of the next one.
	maxEjections = 8
	// ejectionWindowFraction is the shortest ejection, as a fraction of the key window.
	ejectionWindowFraction = 1.0 / 4

	// maxFailoverTokens is the number of requests that may move from ejected caches in one burst.
	maxFailoverTokens = 10
	// maxFailoverRatio is the ratio of requests that may move if healthyTimelyRatio of attempts are in time.
	maxFailoverRatio = .6
	// minFailoverRatio is the ratio of requests that may always move, so that recovered caches are detected.
	minFailoverRatio = .1
	// healthyTimelyRatio is the ratio of attempts in time from which maxFailoverRatio applies.
	healthyTimelyRatio = .9
	// overloadedTimelyRatio is the ratio of attempts in time below which only minFailoverRatio applies.
	overloadedTimelyRatio = .7
)

// outlierState is the outlier ejection state of one cache.
type outlierState struct {
	ejectedUntil Time // no requests are sent before this time
	ejections    int  // ejections, less one for each later attempt in time
}

// ejected reports whether the cache is currently ejected and receives no requests.
func (o *outlierState) ejected(now Time) bool { return now < o.ejectedUntil }

// ejectIfOutlier ejects a cache whose attempt is late and which has answered nothing since the attempt was
// sent. If the cache has answered other attempts since, only this attempt was late, and the cache is not
// ejected. ejectIfOutlier is called in low traffic per router only.
//
// The first ejection lasts as long as the mean time between this router's requests to the cache, and each
// further ejection lasts twice as long as the previous one. Each ejection halves the load of the cache,
// regardless of this router's share of the load.
func (r *Router) ejectIfOutlier(a *attempt, inTime bool) {
	c := a.cache
	if inTime {
		c.outlier.ejections = max(0, c.outlier.ejections-1)
		return
	}
	if c.lastAnswerAt > a.sentAt && a.inFlight() {
		return
	}
	minDuration := float64(r.keyWindow()) * ejectionWindowFraction
	duration := max(float64(r.now-c.listedAt)/float64(c.attemptsSent), minDuration)
	duration = min(duration*math.Exp2(float64(c.outlier.ejections)), float64(r.settings.SlowStartWindow))
	c.outlier.ejectedUntil = max(c.outlier.ejectedUntil, r.now+Time(duration))
	c.outlier.ejections = min(c.outlier.ejections+1, maxEjections)
}

// failoverBudget limits the requests that move from ejected caches to other caches. Without the limit, the
// load of the ejected caches would overload the others, and they would be ejected too.
type failoverBudget struct {
	tokens float64
}

// earn adds the tokens that one request earns, based on the ratio of attempts served in time at all caches.
func (b *failoverBudget) earn(timelyRatio float64) {
	healthy := min(1, (timelyRatio-overloadedTimelyRatio)/(healthyTimelyRatio-overloadedTimelyRatio))
	b.tokens = min(b.tokens+max(minFailoverRatio, maxFailoverRatio*healthy), maxFailoverTokens)
}

// allows reports whether one more request may move.
func (b *failoverBudget) allows() bool { return b.tokens >= 1 }

// spend removes the token of a request that moves.
func (b *failoverBudget) spend() { b.tokens-- }
