package decide

import "math"

// movingAverage is an exponentially weighted moving average of observations, such as a ratio of attempts.
type movingAverage struct {
	value  float64
	window float64 // number of observations over which an observation decays
}

// observe adds one observation.
func (a *movingAverage) observe(value float64) { a.value += (value - a.value) / a.window }

// observeWeighted adds an observation that counts as a fraction of a full one.
func (a *movingAverage) observeWeighted(value, fraction float64) {
	a.value += (value - a.value) / a.window * fraction
}

// observeBool adds 1 for true and 0 for false, so that the average is a ratio.
func (a *movingAverage) observeBool(value bool) { a.observe(float64(boolToInt(value))) }

// decayingCounter counts events with exponential decay over time. All its methods must receive the same time
// constant, the time in which a count falls to 1/e; µs.
type decayingCounter struct {
	count     float64 // as of updatedAt
	updatedAt Time
}

// value returns the count as of now.
func (c *decayingCounter) value(now, timeConstant Time) float64 {
	return c.count * decay(now-c.updatedAt, timeConstant)
}

// increment counts one event.
func (c *decayingCounter) increment(now, timeConstant Time) {
	c.count = c.value(now, timeConstant) + 1
	c.updatedAt = now
}

// decrement removes one event.
func (c *decayingCounter) decrement(now, timeConstant Time) {
	c.count = max(0, c.value(now, timeConstant)-1)
	c.updatedAt = now
}

// decay returns the factor by which a value decays in the elapsed time. The factor is 1/e after the time
// constant. A time constant below 1 µs counts as 1 µs.
func decay(elapsed, timeConstant Time) float64 {
	return math.Exp(-float64(elapsed) / float64(max(timeConstant, 1)))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
