package eureka

import "starlingwinch/internal/machine"

const (
	pollJitter      = 0.2 // a poll interval differs from its mean by up to this fraction
	backoffJitter   = 0.5 // fraction of a backoff that is random
	heartbeatJitter = 0.1 // a heartbeat may come early by up to this fraction
	maxDoublings    = 20  // of a backoff: it has reached its bound by then
)

// randomFraction is a number from 0 up to 1.
func randomFraction(m machine.Machine) float64 { return float64(m.Entropy()>>11) / (1 << 53) }

// jittered is a span give or take a fifth, so that routers that were started together do not call in step.
func jittered(m machine.Machine, span Time) Time {
	return Time(float64(span) * (1 - pollJitter + 2*pollJitter*randomFraction(m)))
}

// jitteredDown is a span or up to a tenth less: a heartbeat may come early but not late.
func jitteredDown(m machine.Machine, span Time) Time {
	return Time(float64(span) * (1 - heartbeatJitter*randomFraction(m)))
}

// backoff is how long to wait after so many failures in a row. It doubles with each one up to a bound. Half of it is random, so
// that routers that lost a registry together do not return together.
func backoff(m machine.Machine, first, limit Time, failures int) Time {
	span := min(first<<min(failures, maxDoublings), limit)
	return Time(float64(span) * (1 - backoffJitter + backoffJitter*randomFraction(m)))
}
