// Package retry paces the calls of many clients to one service that they share, such as discovery: how long a call may take
// (Spans), and how long a client waits before it calls again (Pacer).
//
// It holds no clock, timer or connection: the time and the chance come in with each call. Clients exchange no word, so that
// each has to do what is best if all the others do it too.
package retry

// Time is an instant or a span in microseconds.
type Time = int64

// The operators' pages bound how long a client may be without the service: a change counts as told toldAfterReachable after
// the service had it and could be reached, whatever else is allowed.
const toldAfterReachable = 6_000_000

// Figures of the pace. docs/design/retry.md has what was measured, and what would change them.
const (
	meanPart    = 6   // of the bound: the mean pause
	jitter      = 3   // a pause differs from its mean by up to this part of it
	steadyFor   = 3   // bounds without an answer until pauses grow
	longestPart = 4.5 // times the usual mean that they grow to, so that the longest pause is the bound
	askFailed   = 4   // times PollInterval for which a failed call counts
)

// Options say who calls.
type Options struct {
	Clients      int  // that share the service, this one among them
	Grace        Time // within which news of the service has to be acted on
	PollInterval Time // a client that has not called for so long counts as told; 0 for never
}

// Pacer says when one client calls again. Use NewPacer.
//
// Pauses neither grow with each failure nor shrink: the mean stays at a sixth of the bound. A service that takes one call
// of each client within the bound then always has calls waiting, while those that it turns away cost it little. Exponential
// backoff leaves it idle in the end, as the last clients call seldom. Pauses that are much shorter have it spend its time
// on turning calls away. Only after several bounds without an answer, when the service can't take all clients within the bound
// or is down for long, do they grow, up to the bound.
type Pacer struct {
	bound   Time
	first   Time // longest pause after the loss of a watch that worked
	alone   bool
	lostAt  Time // since when no call was answered
	lost    bool
	heard   bool // a call was answered once
	refused int  // calls that failed since lostAt
	said    bool
}

// NewPacer returns the pacer of one client.
func NewPacer(o Options) *Pacer {
	p := &Pacer{bound: toldAfterReachable, first: max(o.Grace/2, CallPause), alone: o.Clients <= 1}
	if o.PollInterval > 0 {
		p.bound = max(min(p.bound, askFailed*o.PollInterval), meanPart*CallPause)
	}
	return p
}

// Start is the pause before a client's first call. Clients that start in step spread their calls over it; chance is in [0, 1).
func (p *Pacer) Start(chance float64) Time {
	if p.alone {
		return 0
	}
	return Time(chance * float64(p.first))
}

// Failure is what to do about a call that failed.
type Failure struct {
	Pause   Time // until the next call
	Lost    bool // it is the first one since an answer
	Overdue bool // it is the first one that fails after the bound
	For     Time // since the last call that was answered
	Calls   int  // that failed in this time
}

// Failed takes in that a call failed or a watch was lost; chance is in [0, 1).
func (p *Pacer) Failed(now Time, chance float64) Failure {
	f := Failure{Lost: !p.lost}
	if f.Lost {
		p.lost, p.lostAt, p.refused, p.said = true, now, 0, false
	}
	p.refused++
	f.For, f.Calls = now-p.lostAt, p.refused
	if f.Overdue = !p.said && f.For >= p.bound; f.Overdue {
		p.said = true
	}
	if f.Lost && p.heard {
		// A watch that worked was lost, and what changes meanwhile is missed: this client asks within half of the grace.
		// Without a least pause, a service that answers and breaks off again and again would be called without end.
		f.Pause = minSpan + Time(chance*float64(p.first-minSpan))
		return f
	}
	mean := float64(p.bound) / meanPart
	if grown := float64(f.For) / float64(steadyFor*p.bound); grown > 1 {
		mean *= min(grown, longestPart)
	}
	f.Pause = Time(mean * (1 + (2*chance-1)/jitter))
	return f
}

// Answered takes in that a call was answered.
func (p *Pacer) Answered() { p.lost, p.heard = false, true }
