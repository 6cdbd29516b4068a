package policy

const (
	suspensionScore   = 5.0  // failure score at which a hook is suspended
	probationScore    = 4.0  // failure score after a suspension: the next failure suspends the hook again
	successCredit     = 0.02 // taken off the failure score by a call that went well
	callFailureWeight = 1.0  // added to the failure score by a call that failed
	workerLossWeight  = 2.0  // added to the failure score by a worker that was lost

	minSuspension Time = 1 << 20   // the first suspension; each one after it is twice as long
	maxSuspension Time = 300 << 20 // the longest suspension
)

// suspension decides when a hook that keeps failing is left out, and for how long: each suspension lasts twice as long as
// the one before, until calls have gone well for a while.
type suspension struct {
	score float64 // weight of recent failures; falls with each success
	span  Time    // length of the last suspension; 0 once the score has fallen to 0
	until Time    // end of the present suspension; 0 where there is none
}

// recordSuccess notes a call that went well.
func (s *suspension) recordSuccess() {
	s.score = max(0, s.score-successCredit)
	if s.score == 0 {
		s.span = 0
	}
}

// recordFailure notes a failure, and reports whether the hook is to be suspended.
func (s *suspension) recordFailure(weight float64) bool {
	s.score += weight
	return !(s.score < suspensionScore)
}

// start begins a suspension.
func (s *suspension) start(now Time) {
	s.span = min(maxSuspension, max(minSuspension, 2*s.span))
	s.until = now + s.span
}

// active reports whether the hook is suspended.
func (s *suspension) active() bool { return s.until > 0 }

// endIfDue ends a suspension whose time is over, and reports whether it did.
func (s *suspension) endIfDue(now Time) bool {
	if s.until == 0 || s.until > now {
		return false
	}
	s.until = 0
	s.score = probationScore
	return true
}
