package loopback

import "testing"

func TestClockStandsStillWhileTheLoopIsLate(t *testing.T) {
	var s steadyClock
	s.punctualUntil(1000 * millisecond) // due again at 1005
	for _, c := range []struct{ look, past, want Time }{
		{1010 * millisecond, 1010 * millisecond, 1010 * millisecond}, // late, within the tolerance
		{1105 * millisecond, 1105 * millisecond, 1005 * millisecond}, // 100 ms late
		{1105 * millisecond, 1055 * millisecond, 1005 * millisecond}, // inside the stall
		{1105 * millisecond, 1002 * millisecond, 1002 * millisecond}, // before it
		{1115 * millisecond, 1115 * millisecond, 1015 * millisecond}, // it goes on
	} {
		s.detectLateness(c.look)
		if got := s.at(c.past); got != c.want {
			t.Errorf("looked at %d, %d is %d, want %d", c.look, c.past, got, c.want)
		}
	}
	s.punctualUntil(1120 * millisecond)
	s.detectLateness(1165 * millisecond) // due at 1125
	if got := s.after(1165*millisecond, 1265*millisecond); got != 1125*millisecond {
		t.Errorf("100 ms from now is %d", got)
	}
	if want := (Lag{Stalls: 2, Lost: 140 * millisecond, Worst: 100 * millisecond}); s.lag != want {
		t.Errorf("lag %v, want %v", s.lag, want)
	}
}

func TestStallsAreBoundedAndTheClockGoesOn(t *testing.T) {
	var s steadyClock
	now, last := Time(1000*second), Time(0)
	s.punctualUntil(now)
	for range 3 * maxStalls {
		now += checkInterval + tolerance + millisecond
		s.punctualUntil(now)
		if at := s.at(now); at < last {
			t.Fatalf("the clock went back from %d to %d", last, at)
		} else {
			last = at
		}
	}
	if len(s.stalls) > maxStalls || s.lag.Stalls != 3*maxStalls {
		t.Errorf("%d held of %d", len(s.stalls), s.lag.Stalls)
	}
}
