package decide

import "math"

// movingAverage is an exponentially weighted moving average of observations, such as a ratio of attempts.
type movingAverage struct {
	value  float64
	window float64 // number of observations over which one fades
}

// observe takes in one observation.
func (a *movingAverage) observe(value float64) { a.value += (value - a.value) / a.window }

// observeWeighted takes in an observation that counts as a fraction of one.
func (a *movingAverage) observeWeighted(value, fraction float64) {
	a.value += (value - a.value) / a.window * fraction
}

// observeBool takes in 1 for true and 0 for false, so that the average is a ratio.
func (a *movingAverage) observeBool(value bool) { a.observe(float64(boolToInt(value))) }

// decayingCounter counts events and forgets them exponentially with time. All its methods take the same span,
// the time in which a count falls to 1/e; µs.
type decayingCounter struct {
	count     float64 // as of updatedAt
	updatedAt Time
}

// value returns the count as of now.
func (c *decayingCounter) value(now, span Time) float64 {
	return c.count * decay(now-c.updatedAt, span)
}

// increment counts one event.
func (c *decayingCounter) increment(now, span Time) {
	c.count = c.value(now, span) + 1
	c.updatedAt = now
}

// decrement takes one event back.
func (c *decayingCounter) decrement(now, span Time) {
	c.count = max(0, c.value(now, span)-1)
	c.updatedAt = now
}

// decay returns what is left of 1 after a time, where 1/e is left after span. A span under 1 µs counts as 1
// µs.
func decay(elapsed, span Time) float64 {
	return math.Exp(-float64(elapsed) / float64(max(span, 1)))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
