package pacing

import (
	"math"

	"starlingwinch/internal/retry"
)

// Strategy says when one client calls a shared service again. chance is in [0, 1).
type Strategy interface {
	// StartDelay is the pause before the first call.
	StartDelay(chance float64) Time
	// Failed is the pause after a call that failed. rejected says that discovery answered that it is down or has too much to do.
	Failed(now Time, rejected bool, chance float64) Time
	// Answered takes in that a call was answered, and how long that took.
	Answered(took Time)
}

// Kind is a strategy by its name.
type Kind struct {
	Name string
	Doc  string
	New  func(clients int) Strategy
}

// Kinds are the strategies that are compared: the one before, those of the field, and the router's own, last.
func Kinds() []Kind {
	return []Kind{
		{"before", "doubled from 0.25 s to 4 s with half of it drawn, first calls at once", func(int) Strategy { return &doubling{base: second / 4, most: 4 * second, fixed: 0.5} }},
		{"full-jitter", "drawn from 0 to a span doubled from 0.25 s to 8 s", func(int) Strategy { return &doubling{base: second / 4, most: 8 * second} }},
		{"decorrelated", "drawn from 0.25 s to three times the pause before, 8 s at most", func(int) Strategy { return &decorrelated{last: second / 4} }},
		{"aimd", "a rate that is halved by a refusal and grows with each answer", func(int) Strategy { return &aimd{rate: 2} }},
		{"rate", "a rate from the number of clients and the shortest answer seen", func(clients int) Strategy { return &rate{clients: clients} }},
		{"steady", "a sixth of the bound, a third more or less, grown after three bounds", func(int) Strategy { return &steady{} }},
		{"router", "package retry's: by the number of clients and the time that is left", func(clients int) Strategy {
			return router{retry.NewPacer(retry.Options{Clients: clients, Grace: grace, PollInterval: pollInterval})}
		}},
	}
}

// Settings of the clients: those of one of the operators' deployments.
const (
	grace        = second / 2
	pollInterval = 10 * second
)

// doubling is exponential backoff. Of each span, the fixed share is waited for and the rest drawn.
type doubling struct {
	base, most Time
	fixed      float64
	failures   int
}

// StartDelay implements Strategy.
func (d *doubling) StartDelay(float64) Time { return 0 }

// Failed implements Strategy.
func (d *doubling) Failed(_ Time, _ bool, chance float64) Time {
	span := math.Min(float64(d.most), float64(d.base)*math.Exp2(float64(d.failures)))
	d.failures++
	return Time(span * (d.fixed + (1-d.fixed)*chance))
}

// Answered implements Strategy.
func (d *doubling) Answered(Time) { d.failures = 0 }

// decorrelated draws each pause from the one before.
type decorrelated struct{ last Time }

// StartDelay implements Strategy.
func (d *decorrelated) StartDelay(float64) Time { return 0 }

// Failed implements Strategy.
func (d *decorrelated) Failed(_ Time, _ bool, chance float64) Time {
	const least, most = second / 4, 8 * second
	d.last = min(most, least+Time(chance*float64(3*d.last-least)))
	return d.last
}

// Answered implements Strategy.
func (d *decorrelated) Answered(Time) { d.last = second / 4 }

// aimd keeps a rate of calls a second.
type aimd struct{ rate float64 }

// StartDelay implements Strategy.
func (a *aimd) StartDelay(float64) Time { return 0 }

// Failed implements Strategy.
func (a *aimd) Failed(_ Time, _ bool, chance float64) Time {
	const least = 0.125
	a.rate = max(least, a.rate/2)
	return Time(float64(second) / a.rate * (0.5 + chance))
}

// Answered implements Strategy.
func (a *aimd) Answered(Time) {
	const most, step = 4, 0.25
	a.rate = min(most, a.rate+step)
}

// rate has all clients together make so many calls in the time that the service needs for one of each. What it needs for one is the
// shortest answer seen; without any, what the bound allows for.
type rate struct {
	clients  int
	shortest Time
}

const callsEach = 6

// StartDelay implements Strategy.
func (r *rate) StartDelay(float64) Time { return 0 }

// Failed implements Strategy.
func (r *rate) Failed(_ Time, _ bool, chance float64) Time {
	const least, most = second / 5, 6 * second
	mean := most / callsEach
	if r.shortest > 0 {
		mean = min(max(Time(r.clients)*r.shortest/callsEach, least), most)
	}
	return Time(float64(mean) * (2./3 + chance*2/3))
}

// Answered implements Strategy.
func (r *rate) Answered(took Time) {
	if r.shortest == 0 || took < r.shortest {
		r.shortest = took
	}
}

// steady has all clients wait for as long, whatever their number.
type steady struct {
	failing bool
	since   Time // of the first failure without an answer since
}

// Figures of the steady delays.
const (
	bound        = 6 * second
	steadyDelay  = bound / 6
	steadyTime   = 3 * bound // after which delays grow
	steadyGrowth = 4.5       // at most
	steadyJitter = 1. / 3
)

// StartDelay implements Strategy.
func (s *steady) StartDelay(chance float64) Time { return Time(chance * float64(grace) / 2) }

// Failed implements Strategy.
func (s *steady) Failed(now Time, _ bool, chance float64) Time {
	if !s.failing {
		s.failing, s.since = true, now
	}
	growth := min(max(1, float64(now-s.since)/float64(steadyTime)), steadyGrowth)
	return Time(float64(steadyDelay) * growth * (1 + (2*chance-1)*steadyJitter))
}

// Answered implements Strategy.
func (s *steady) Answered(Time) { s.failing = false }

// router is the router's own.
type router struct{ *retry.Pacer }

// Answered implements Strategy.
func (r router) Answered(Time) { r.Pacer.Answered() }

// Failed implements Strategy.
func (r router) Failed(now Time, rejected bool, chance float64) Time {
	if rejected {
		return r.Pacer.Rejected(now, chance).Delay
	}
	return r.Pacer.Failed(now, chance).Delay
}
