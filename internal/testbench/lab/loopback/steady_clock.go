package loopback

import (
	"fmt"
	"slices"
)

// Tolerances of the harness for itself.
const (
	checkInterval = 5 * millisecond  // how often the loop's punctuality is looked at
	tolerance     = 20 * millisecond // by which the loop may be late without a word
	maxStalls     = 1000             // stalls that are remembered
)

// Lag is how late the harness's own loop was.
type Lag struct {
	Stalls int  // of more than 20 ms
	Lost   Time // in all of them
	Worst  Time
}

// String describes the lag in one line of a report.
func (l Lag) String() string {
	return fmt.Sprintf("the harness ran late %d times, by %d ms in all and %d ms at the worst: "+
		"the watcher's clock stood still meanwhile", l.Stalls, l.Lost/millisecond, l.Worst/millisecond)
}

// steadyClock is a clock that stands still while the loop of this process is late.
//
// On a busy machine the stand-ins may read an answer long after the router has written it, which must not count against
// the router. Each limit that spans a stall is longer by the length of the stall.
type steadyClock struct {
	due    Time // when the next beat is to be
	lag    Lag
	stalls []stall
}

type stall struct {
	from, to Time
	before   Time // lost in the stalls before
}

// detectLateness finds out whether the loop is late. It is called before anything is judged at now.
func (s *steadyClock) detectLateness(now Time) {
	late := now - s.due
	if s.due == 0 || late <= tolerance {
		return
	}
	if len(s.stalls) == maxStalls {
		s.stalls = slices.Delete(s.stalls, 0, maxStalls/2)
	}
	s.stalls = append(s.stalls, stall{s.due, now, s.lag.Lost})
	s.lag.Stalls++
	s.lag.Lost += late
	s.lag.Worst = max(s.lag.Worst, late)
	s.due = now
}

// punctualUntil says that the loop has been punctual up to now.
func (s *steadyClock) punctualUntil(now Time) {
	s.detectLateness(now)
	s.due = now + checkInterval
}

// at is an instant that is not to come as this clock had it.
func (s *steadyClock) at(t Time) Time {
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
func (s *steadyClock) after(now, t Time) Time {
	if t <= now {
		return s.at(t)
	}
	return s.at(now) + t - now
}
