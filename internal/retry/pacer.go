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
	meanDivisor         = 6   // the mean delay of many clients is this part of the bound
	jitterDivisor       = 3   // a delay differs from its mean by up to this part of it
	steadyBounds        = 3   // bounds without an answer, after which delays grow
	maxGrowth           = 4.5 // of the mean delay, so that the longest delay is the bound
	failedPollIntervals = 4   // a failed call counts for so many poll intervals

	// Up to fewClients can't keep the service busy to the end by delays that stay the same, and can't keep it busy with
	// rejections either: 32 that call once a second cost it less than it has, however long a call takes that it can admit.
	fewClients = 32
)

// Options are the parameters of a Pacer.
type Options struct {
	Clients      int  // that share the service, this one among them
	Grace        Time // within which a change that the service reports has to be acted on
	PollInterval Time // a client that has not called for so long counts as notified; 0 for never
}

// Pacer decides when one client calls again. Use NewPacer.
//
// The mean delay is a sixth of the bound, less for few clients that are rejected; that of many clients grows, up to the bound, after
// three bounds without an answer. A service that can answer one call of each client within the bound then has calls waiting, while
// those that it rejects cost it little. Exponential backoff would leave it idle in the end, as the last clients call seldom; much shorter
// delays would have it spend its time on rejections. After several bounds without an answer, the service is down for long or
// can't answer all clients within the bound.
//
// Where a client knows since when the service can be reached, the delay is a part of the time that is left: as time passes,
// fewer clients wait, and all of them together make about as many calls as before. The last ones are then rejected no more often
// than the first, and the service is not idle between their calls.
type Pacer struct {
	bound         Time // within which each client should be answered
	grace         Time // beyond the bound, within which what an answer says has to be acted on
	maxFirstDelay Time // after the loss of a watch that worked
	clients       int
	reachability  reachability
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
		grace:         o.Grace,
		clients:       max(o.Clients, 1),
		reachability:  newReachability(),
	}
	if o.PollInterval > 0 {
		p.bound = max(min(p.bound, failedPollIntervals*o.PollInterval), meanDivisor*CallPause)
	}
	return p
}

// Start returns the delay of a client's first call. Clients that start in step spread their calls over it. chance is a random
// number in [0, 1).
func (p *Pacer) Start(chance float64) Time {
	if p.clients == 1 {
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

// Failed records that a call was not answered, or that a watch was lost. chance is a random number in [0, 1).
func (p *Pacer) Failed(now Time, chance float64) Failure {
	p.reachability.recordUnanswered()
	return p.fail(now, p.steadyDelay, chance)
}

// Rejected records that the service answered a call, but is down or has too much to do. chance is a random number in [0, 1).
func (p *Pacer) Rejected(now Time, chance float64) Failure {
	p.reachability.recordRejected(now)
	return p.fail(now, p.delayAfterRejection, chance)
}

// fail counts a failure and draws the delay after it, around the mean that meanDelay returns for an instant and the time without an
// answer.
func (p *Pacer) fail(now Time, meanDelay func(now, failingFor Time) Time, chance float64) Failure {
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
		failure.Pause = jitter(meanDelay(now, failure.FailingFor), chance)
	}
	return failure
}

// firstDelay is the delay after the loss of a watch that worked. As changes are missed meanwhile, it is within half of the
// grace. It has a minimum, as a service that answers and breaks off again and again would be called without end.
func (p *Pacer) firstDelay(chance float64) Time {
	return minDelay + Time(chance*float64(p.maxFirstDelay-minDelay))
}

// steadyDelay is the mean delay where nothing is known of the service. Many clients call more seldom in the end: a service that
// can't answer all of them within several bounds would be busy with rejections for good.
func (p *Pacer) steadyDelay(_, failingFor Time) Time {
	if p.clients <= fewClients {
		return p.bound / meanDivisor
	}
	growth := float64(failingFor) / float64(steadyBounds*p.bound)
	return Time(float64(p.bound) / meanDivisor * min(max(growth, 1), maxGrowth))
}

// delayAfterRejection is the mean delay where the service has answered that it takes no call.
func (p *Pacer) delayAfterRejection(now, failingFor Time) Time {
	steady := p.steadyDelay(now, failingFor)
	if p.clients > fewClients {
		return steady
	}
	if left := p.reachability.timeLeft(now, p.bound+p.grace); left > 0 {
		return callsInTimeLeft.meanDelay(left, p.clients, p.bound)
	}
	return min(steady, callsWithinBound.meanDelay(p.bound, p.clients, p.bound))
}

// jitter draws a delay around its mean.
func jitter(mean Time, chance float64) Time {
	return Time(float64(mean) * (1 + (2*chance-1)/jitterDivisor))
}

// Answered records that a call was answered.
func (p *Pacer) Answered() {
	p.failing, p.wasAnswered = false, true
	p.reachability.recordAnswered()
}
