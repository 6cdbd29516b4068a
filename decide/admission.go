package decide

const (
	// admittedPerTimelyAttempt is the number of requests admitted for each attempt recently served in time.
	// It is above 1 so that the ratio can recover.
	admittedPerTimelyAttempt = 1.2
	// assumedTimelyAttempts is the number of attempts in time that are added to the observed ones.
	assumedTimelyAttempts = 5
)

// timeliness counts the attempts at all caches and the attempts served in time. Both counts decay within the
// overload window and are maintained only in low traffic per router.
type timeliness struct {
	attempts  float64 // as of updatedAt
	inTime    float64 // as of updatedAt
	updatedAt Time
}

func (t *timeliness) observe(inTime bool, now, timeConstant Time) {
	remaining := decay(now-t.updatedAt, timeConstant)
	t.attempts = t.attempts*remaining + 1
	t.inTime = t.inTime*remaining + float64(boolToInt(inTime))
	t.updatedAt = now
}

// countLatestInTime counts the latest attempt as in time after all.
func (t *timeliness) countLatestInTime() { t.inTime = min(t.inTime+1, t.attempts) }

// ratio returns the ratio of recent attempts that were served in time.
func (t *timeliness) ratio() float64 {
	return (t.inTime + assumedTimelyAttempts) / (t.attempts + assumedTimelyAttempts)
}

// admits reports whether a new request is admitted.
//
// Low traffic per router: requests beyond the number that all caches serve in time are rejected at once.
// Requests that cannot be served in time still use the caches' time, and their clients retry, so that almost
// nothing would be served for long after a burst.
func (r *Router) admits() bool {
	return !r.lowTraffic() || r.random.next() < admittedPerTimelyAttempt*r.timeliness.ratio()
}

// recordTimeliness records whether an attempt was served within its response timeout.
//
// Low traffic per router: the attempt also counts for the ejection of its cache. Otherwise nothing is
// recorded.
func (r *Router) recordTimeliness(a *attempt, inTime bool) {
	if !r.lowTraffic() {
		return
	}
	r.timeliness.observe(inTime, r.now, r.settings.OverloadWindow)
	r.ejectIfOutlier(a, inTime)
}
