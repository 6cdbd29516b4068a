package decide

import (
	"math"
	"testing"
)

// TestMovingAverageConverges checks that an observation moves the average by 1/window of the difference, and that a
// weighted observation moves it by the weighted part.
func TestMovingAverageConverges(t *testing.T) {
	a := movingAverage{value: 1, window: 4}
	for i, want := range []float64{.75, .5625, .421875} {
		if a.observeBool(false); a.value != want {
			t.Errorf("after %d observations of 0: got %v, want %v", i+1, a.value, want)
		}
	}
	a = movingAverage{window: 4}
	if a.observeWeighted(1, .5); a.value != .125 {
		t.Errorf("after an observation of 1 with weight 0.5: got %v, want 0.125", a.value)
	}
}

// TestDecayingCounterForgets checks that a count decays to 1/e within its span and never falls below 0.
func TestDecayingCounterForgets(t *testing.T) {
	const span = 1000 * ms
	var c decayingCounter
	c.increment(0, span)
	c.increment(0, span)
	if got := c.value(0, span); got != 2 {
		t.Errorf("after two events: got a count of %v, want 2", got)
	}
	if got, want := c.value(span, span), 2/math.E; math.Abs(got-want) > 1e-12 {
		t.Errorf("one span after two events: got a count of %v, want %v", got, want)
	}
	c.decrement(10*span, span)
	if c.count != 0 || c.updatedAt != 10*span {
		t.Errorf("after a decrement at %d: got a count of %v as of %d, want 0", 10*span, c.count, c.updatedAt)
	}
}

// TestDecayOfEmptySpan checks that decay does not divide by a span of 0.
func TestDecayOfEmptySpan(t *testing.T) {
	if got := decay(0, 0); got != 1 {
		t.Errorf("after no time: got a remaining fraction of %v, want 1", got)
	}
	if got := decay(1000, 0); got != 0 {
		t.Errorf("after 1 ms: got a remaining fraction of %v, want 0", got)
	}
}
