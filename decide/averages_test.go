package decide

import (
	"math"
	"testing"
)

// TestMovingAverageConverges checks that an average moves by the part of its window that an observation has.
func TestMovingAverageConverges(t *testing.T) {
	a := movingAverage{value: 1, window: 4}
	for i, want := range []float64{.75, .5625, .421875} {
		if a.observeBool(false); a.value != want {
			t.Errorf("after %d observations of 0: %v, want %v", i+1, a.value, want)
		}
	}
	a = movingAverage{window: 4}
	if a.observeWeighted(1, .5); a.value != .125 {
		t.Errorf("after half an observation of 1: %v, want 0.125", a.value)
	}
}

// TestDecayingCounterForgets checks that a count falls to 1/e within its span, and that it does not fall below 0.
func TestDecayingCounterForgets(t *testing.T) {
	const span = 1000 * ms
	var c decayingCounter
	c.increment(0, span)
	c.increment(0, span)
	if got := c.value(0, span); got != 2 {
		t.Errorf("two events count as %v", got)
	}
	if got, want := c.value(span, span), 2/math.E; math.Abs(got-want) > 1e-12 {
		t.Errorf("two events count as %v after the span, want %v", got, want)
	}
	c.decrement(10*span, span)
	if c.count != 0 || c.updatedAt != 10*span {
		t.Errorf("%v is left, as of %d", c.count, c.updatedAt)
	}
}

// TestDecayOfEmptySpan checks that a span of 0 does not divide by 0.
func TestDecayOfEmptySpan(t *testing.T) {
	if got := decay(0, 0); got != 1 {
		t.Errorf("%v is left at once, want 1", got)
	}
	if got := decay(1000, 0); got != 0 {
		t.Errorf("%v is left after a while", got)
	}
}
