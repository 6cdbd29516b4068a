package loopback

import (
	"fmt"
	"slices"
)

// Tolerances of the harness for itself.
const (
	beat      = 5 * millisecond  // how often the loop's punctuality is looked at
	tolerance = 20 * millisecond // by which the loop may be late without a word
	mostHeld  = 1000             // stalls that are remembered
)

// Lag is how late the harness's own loop was.
type Lag struct {
	Stalls int  // of more than 20 ms
	Lost   Time // in all of them
	Worst  Time
}

func (l Lag) String() string {
	return fmt.Sprintf("the harness ran late %d times, by %d ms in all and %d ms at the worst: "+
		"the watcher's clock stood still meanwhile", l.Stalls, l.Lost/millisecond, l.Worst/millisecond)
}

// steady is a clock that stands still while the loop of this process is late.
//
// The danger: a machine that is short of time has the stand-ins read an answer long after the router has written
// it, and the router would be blamed. Each limit that runs over a stall is so long as the stall longer.
type steady struct {
	due    Time // when the next beat is to be
	lag    Lag
	stalls []stall
}

type stall struct {
	from, to Time
	before   Time // lost in the stalls before
}

// look finds out whether the loop is late. It is called before anything is judged at now.
func (s *steady) look(now Time) {
	late := now - s.due
	if s.due == 0 || late <= tolerance {
		return
	}
	if len(s.stalls) == mostHeld {
		s.stalls = slices.Delete(s.stalls, 0, mostHeld/2)
	}
	s.stalls = append(s.stalls, stall{s.due, now, s.lag.Lost})
	s.lag.Stalls++
	s.lag.Lost += late
	s.lag.Worst = max(s.lag.Worst, late)
	s.due = now
}

// beaten says that the loop has been punctual up to now.
func (s *steady) beaten(now Time) {
	s.look(now)
	s.due = now + beat
}

// at is an instant that is not to come as this clock had it.
func (s *steady) at(t Time) Time {
	for _, st := range slices.Backward(s.stalls) {
		if st.from < t {
			return t - st.before - (min(t, st.to) - st.from)
		}
	}
	if len(s.stalls) > 0 {
		return t - s.stalls[0].before
	}
	return t
}

// after is an instant to come, seen from now.
func (s *steady) after(now, t Time) Time {
	if t <= now {
		return s.at(t)
	}
	return s.at(now) + t - now
}
