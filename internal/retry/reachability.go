package retry

// reachability is what a client knows of since when the service can be reached. A rejected call shows that the service can be
// reached, but not for how long: only where no answer had come before does the rejection date the service's return.
type reachability struct {
	unanswered bool // the latest call was not answered, or no call was made yet
	isKnown    bool // rejectedAt is about when the service could be reached again
	rejectedAt Time // the first rejection since the service could be reached again
}

// newReachability is what a client knows that starts: its first call may be rejected because other clients start in step.
func newReachability() reachability { return reachability{unanswered: true} }

// recordUnanswered records that a call was not answered, or that a watch broke.
func (r *reachability) recordUnanswered() { *r = reachability{unanswered: true} }

// recordAnswered records that a call was answered.
func (r *reachability) recordAnswered() { *r = reachability{} }

// recordRejected records that the service has rejected a call.
func (r *reachability) recordRejected(now Time) {
	if r.unanswered {
		r.isKnown, r.rejectedAt = true, now
	}
	r.unanswered = false
}

// timeLeft is how much of a span from the service's return is left; 0 where the return is not known.
func (r *reachability) timeLeft(now, span Time) Time {
	if !r.isKnown {
		return 0
	}
	return max(0, r.rejectedAt+span-now)
}
