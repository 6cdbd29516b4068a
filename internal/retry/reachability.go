package retry

// reachability records when a client first reached the service again after an outage. A rejection shows that the service is
// reachable, but not for how long: the rejection dates the service's return only if the previous call was not answered.
type reachability struct {
	unanswered      bool // the latest call was not answered, or no call was made yet
	returnKnown     bool // firstRejectedAt approximates the time of the service's return
	firstRejectedAt Time // the time of the first rejection after the service's return
}

// newReachability returns the reachability for a client that starts. Its first call may be rejected because other clients start
// at the same time.
func newReachability() reachability { return reachability{unanswered: true} }

// recordUnanswered records that a call was not answered or that a watch was lost.
func (r *reachability) recordUnanswered() { *r = reachability{unanswered: true} }

// recordAnswered records that a call was answered.
func (r *reachability) recordAnswered() { *r = reachability{} }

// recordRejected records that the service rejected a call.
func (r *reachability) recordRejected(now Time) {
	if r.unanswered {
		r.returnKnown, r.firstRejectedAt = true, now
	}
	r.unanswered = false
}

// timeLeft returns the remainder of a span that begins at the service's return, or 0 if the time of the return is unknown.
func (r *reachability) timeLeft(now, span Time) Time {
	if !r.returnKnown {
		return 0
	}
	return max(0, r.firstRejectedAt+span-now)
}
