package policy

const (
	suspensionScore   = 5.0  // failure score at which a hook is suspended
	probationScore    = 4.0  // failure score after a suspension, at which one more failure suspends the hook again
	successCredit     = 0.02 // subtracted from the failure score for each successful call
	callFailureWeight = 1.0  // added to the failure score for each failed call
	workerLossWeight  = 2.0  // added to the failure score for each lost worker

	minSuspension Time = 1 << 20   // µs; first suspension; each following one is twice as long
	maxSuspension Time = 300 << 20 // µs
)

// suspension decides when to suspend a hook that fails repeatedly, and for how long. Each suspension lasts twice as long as the
// previous one, up to maxSuspension. Successful calls reset the length once they have reduced the failure score to 0.
type suspension struct {
	score float64 // failure score; falls with each success
	span  Time    // length of the last suspension; reset to 0 when the score reaches 0
	until Time    // end of the present suspension; 0 for none
}

// recordSuccess records a successful call.
func (s *suspension) recordSuccess() {
	s.score = max(0, s.score-successCredit)
	if s.score == 0 {
		s.span = 0
	}
}

// recordFailure records a failure and reports whether the hook must be suspended.
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

// endIfDue ends the suspension if its time has passed, and reports whether it ended the suspension.
func (s *suspension) endIfDue(now Time) bool {
	if s.until == 0 || s.until > now {
		return false
	}
	s.until = 0
	s.score = probationScore
	return true
}
