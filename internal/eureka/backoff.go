package eureka

import "starlingwinch/internal/machine"

const (
	pollJitter      = 0.2 // a poll interval differs from its mean by up to this fraction
	backoffJitter   = 0.5 // random fraction of a backoff
	heartbeatJitter = 0.1 // a heartbeat is early by up to this fraction of its interval
	maxDoublings    = 20  // bounds the shift in backoff; its limit applies long before
)

// randomFraction returns a random number in [0, 1).
func randomFraction(m machine.Machine) float64 { return float64(m.Entropy()>>11) / (1 << 53) }

// jittered returns a duration varied by up to a fifth either way, so that routers that start together don't poll in lockstep.
func jittered(m machine.Machine, span Time) Time {
	return Time(float64(span) * (1 - pollJitter + 2*pollJitter*randomFraction(m)))
}

// jitteredDown returns a duration shortened by up to a tenth: a heartbeat may be early but not late.
func jitteredDown(m machine.Machine, span Time) Time {
	return Time(float64(span) * (1 - heartbeatJitter*randomFraction(m)))
}

// backoff returns the delay after a number of consecutive failures. The delay doubles with each failure up to limit. Half of it
// is random, so that routers that lost a registry at the same time don't call it again at the same time.
func backoff(m machine.Machine, first, limit Time, failures int) Time {
	span := min(first<<min(failures, maxDoublings), limit)
	return Time(float64(span) * (1 - backoffJitter + backoffJitter*randomFraction(m)))
}
