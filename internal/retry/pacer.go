// Package retry paces the calls of many clients to one service that they share, such as discovery: how long a call may take
// (Timeouts), and how long a client waits before it calls again (Pacer).
//
// It holds no clock, timer or connection: the time and the random number come in with each call. Clients don't communicate, so
// that each one does what is best if all the others do it too.
package retry

// Time is an instant or a span in microseconds.
type Time = int64

// notifiedAfterReachable bounds how long a client may be without the service: it counts as notified of a change so long after the
// service had the change and could be reached.
const notifiedAfterReachable Time = 6_000_000

// Parameters of the pace. docs/design/retry.md has the measurements behind them.
const (
	meanDivisor         = 6   // the mean delay is this part of the bound
	jitterDivisor       = 3   // a delay differs from its mean by up to this part of it
	steadyBounds        = 3   // bounds without an answer, after which delays grow
	maxGrowth           = 4.5 // of the mean delay, so that the longest delay is the bound
	failedPollIntervals = 4   // a failed call counts for so many poll intervals
)

// Options are the parameters of a Pacer.
type Options struct {
	Clients      int  // that share the service, this one among them
	Grace        Time // within which a change that the service reports has to be acted on
	PollInterval Time // a client that has not called for so long counts as notified; 0 for never
}

// Pacer decides when one client calls again. Use NewPacer.
//
// The mean delay is a sixth of the bound, and grows, up to the bound, only after three bounds without an answer. A service that can answer one call
// of each client within the bound then always has calls waiting, while those that it rejects cost it little. Exponential backoff
// would leave it idle in the end, as the last clients call seldom; much shorter delays would have it spend its time on
// rejections. After several bounds without an answer, the service is down for long or can't answer all clients within the bound.
type Pacer struct {
	bound         Time // within which each client should be answered
	maxFirstDelay Time // after the loss of a watch that worked
	isOnlyClient  bool
	wasAnswered   bool // a call was ever answered
	failing       bool // no call was answered since failingSince
	failingSince  Time
	failedCalls   int  // since failingSince
	wasOverdue    bool // Failure.Overdue was set since failingSince
}

// NewPacer returns the pacer of one client.
func NewPacer(o Options) *Pacer {
	p := &Pacer{
		bound:         notifiedAfterReachable,
		maxFirstDelay: max(o.Grace/2, CallPause),
		isOnlyClient:  o.Clients <= 1,
	}
	if o.PollInterval > 0 {
		p.bound = max(min(p.bound, failedPollIntervals*o.PollInterval), meanDivisor*CallPause)
	}
	return p
}

// Start returns the delay of a client's first call. Clients that start in step spread their calls over it. chance is a random
// number in [0, 1).
func (p *Pacer) Start(chance float64) Time {
	if p.isOnlyClient {
		return 0
	}
	return Time(chance * float64(p.maxFirstDelay))
}

// Failure says what to do after a failed call.
type Failure struct {
	Pause       Time // until the next call
	First       bool // it is the first failure since an answer
	Overdue     bool // it is the first failure later than the bound
	FailingFor  Time // since the first failure
	FailedCalls int  // that have failed in this time
}

// Failed records that a call failed or a watch was lost. chance is a random number in [0, 1).
func (p *Pacer) Failed(now Time, chance float64) Failure {
	failure := Failure{First: !p.failing}
	if failure.First {
		p.failing, p.failingSince, p.failedCalls, p.wasOverdue = true, now, 0, false
	}
	p.failedCalls++
	failure.FailingFor, failure.FailedCalls = now-p.failingSince, p.failedCalls
	failure.Overdue = !p.wasOverdue && failure.FailingFor >= p.bound
	p.wasOverdue = p.wasOverdue || failure.Overdue
	if failure.First && p.wasAnswered {
		failure.Pause = p.firstDelay(chance)
	} else {
		failure.Pause = p.delay(failure.FailingFor, chance)
	}
	return failure
}

// firstDelay is the delay after the loss of a watch that worked. As changes are missed meanwhile, it is within half of the
// grace. It has a minimum, as a service that answers and breaks off again and again would be called without end.
func (p *Pacer) firstDelay(chance float64) Time {
	return minDelay + Time(chance*float64(p.maxFirstDelay-minDelay))
}

// delay is the delay after a failed call, without an answer for so long.
func (p *Pacer) delay(failingFor Time, chance float64) Time {
	mean := float64(p.bound) / meanDivisor
	growth := float64(failingFor) / float64(steadyBounds*p.bound)
	if growth > 1 {
		mean *= min(growth, maxGrowth)
	}
	return Time(mean * (1 + (2*chance-1)/jitterDivisor))
}

// Answered records that a call was answered.
func (p *Pacer) Answered() { p.failing, p.wasAnswered = false, true }
