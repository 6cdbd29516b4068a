package decide

const (
	// admittedPerTimelyAttempt is the number of requests admitted for each attempt lately served in time.
	// Above 1, so that the ratio can recover.
	admittedPerTimelyAttempt = 1.2
	// assumedTimelyAttempts is the number of attempts in time that count beside the observed ones.
	assumedTimelyAttempts = 5
)

// timeliness counts attempts at all caches and those served in time; both fade within the overload window. It
// is kept in low traffic per router only.
type timeliness struct {
	attempts  float64 // as of updatedAt
	inTime    float64 // as of updatedAt
	updatedAt Time
}

func (t *timeliness) observe(inTime bool, now, span Time) {
	remaining := decay(now-t.updatedAt, span)
	t.attempts = t.attempts*remaining + 1
	t.inTime = t.inTime*remaining + float64(boolToInt(inTime))
	t.updatedAt = now
}

// correct counts the latest attempt as in time after all.
func (t *timeliness) correct() { t.inTime = min(t.inTime+1, t.attempts) }

// ratio returns the ratio of attempts that were lately served in time.
func (t *timeliness) ratio() float64 {
	return (t.inTime + assumedTimelyAttempts) / (t.attempts + assumedTimelyAttempts)
}

// admits reports whether a new request is sent on at all.
//
// Low traffic per router: requests beyond what all caches serve in time are rejected at once. What can't be
// served in time still takes the caches' time, and its clients come back, so that next to nothing is served
// long after a burst.
func (r *Router) admits() bool {
	return !r.lowTraffic() || r.random.next() < admittedPerTimelyAttempt*r.timeliness.ratio()
}

// learnTimeliness takes in whether an attempt was served within its response timeout.
//
// Low traffic per router: this is where caches are ejected; otherwise nothing is kept.
func (r *Router) learnTimeliness(a *attempt, inTime bool) {
	if !r.lowTraffic() {
		return
	}
	r.timeliness.observe(inTime, r.now, r.settings.OverloadWindow)
	r.ejectIfOutlier(a, inTime)
}
