// Package retry paces the calls of many clients to one shared service, such as discovery. Timeouts limit the duration of a call;
// a Pacer computes the delay before a client's next call.
//
// The package holds no clock, timer or connection: the caller passes the time and a random number to each function. Clients don't
// communicate with each other, so each client follows the rule that is best if all clients follow it.
package retry

// Time is an instant or a span in microseconds.
type Time = int64

// notifiedAfterReachable limits the time that a client may be without the service. A client counts as notified of a change at this
// time after the service has the change and is reachable.
const notifiedAfterReachable Time = 6_000_000

// Parameters of the delays.
const (
	meanDivisor                = 6   // the mean delay of many clients is the bound divided by it
	jitterDivisor              = 3   // a delay differs from its mean by at most the mean divided by it
	boundsBeforeGrowth         = 3   // delays grow after this number of bounds without an answer
	maxGrowth                  = 4.5 // maximum factor of the mean delay; with the jitter, the longest delay is the bound
	pollIntervalsPerFailedCall = 4   // after a failed call, a client counts as notified after this number of poll intervals

	// Up to maxFewClients clients with constant delays can't keep the service busy until the last one is answered. Their rejected
	// calls can't saturate the service either: rejecting 32 clients that call once a second costs less than the service's
	// capacity, regardless of how long a call takes that the service can admit.
	maxFewClients = 32
)

// Options are the parameters of a Pacer.
type Options struct {
	Clients      int  // number of clients that share the service, including this one
	Grace        Time // time within which a client must act on a change that the service reports
	PollInterval Time // a client that has not called for this time counts as notified; 0 for never
}

// Pacer computes the delays between the calls of one client. Use NewPacer.
//
// The mean delay is a sixth of the bound, and shorter for few clients whose calls are rejected. The mean delay of many clients
// grows after three bounds without an answer, up to three quarters of the bound, so that the longest delay with the jitter is the
// bound. With these delays, a service that can answer one call of each client within the bound always has calls waiting, and
// rejections cost the service little. Exponential backoff would leave the service idle near the end, because the last clients call
// rarely. With much shorter delays, the service would spend its time on rejections. After several bounds without an answer, the
// service has a long outage or can't answer all clients within the bound.
//
// If a client knows the time of the service's return, the delay is a fraction of the time that is left: as time passes, fewer
// clients wait, and all of them together make about as many calls as before. The last clients are then rejected no more often
// than the first ones, and the service is not idle between their calls.
type Pacer struct {
	bound           Time // time within which each client should receive an answer
	grace           Time // time after the bound within which the client must act on an answer
	maxFirstDelay   Time // longest delay after the loss of a watch that was answered
	clients         int
	reachability    reachability
	wasAnswered     bool // at least one call was answered
	failing         bool // no call was answered since failingSince
	failingSince    Time
	failedCalls     int  // since failingSince
	overdueReported bool // Failure.Overdue was set since failingSince
}

// NewPacer returns the pacer of one client.
func NewPacer(o Options) *Pacer {
	p := &Pacer{
		bound:         notifiedAfterReachable,
		maxFirstDelay: max(o.Grace/2, MinCallInterval),
		grace:         o.Grace,
		clients:       max(o.Clients, 1),
		reachability:  newReachability(),
	}
	if o.PollInterval > 0 {
		p.bound = max(min(p.bound, pollIntervalsPerFailedCall*o.PollInterval), meanDivisor*MinCallInterval)
	}
	return p
}

// StartDelay returns the delay of a client's first call, which spreads the calls of clients that start at the same time. random is
// a random number in [0, 1).
func (p *Pacer) StartDelay(random float64) Time {
	if p.clients == 1 {
		return 0
	}
	return Time(random * float64(p.maxFirstDelay))
}

// Failure describes a failed call and the delay that follows it.
type Failure struct {
	Delay       Time // delay before the next call
	First       bool // the call is the first to fail since the last answer
	Overdue     bool // the call is the first to fail later than the bound
	FailingFor  Time // time since the first failure
	FailedCalls int  // number of failed calls in this time
}

// Failed records that a call was not answered or that a watch was lost. random is a random number in [0, 1).
func (p *Pacer) Failed(now Time, random float64) Failure {
	p.reachability.recordUnanswered()
	return p.fail(now, p.steadyDelay, random)
}

// Rejected records that the service is reachable but rejected a call. random is a random number in [0, 1).
func (p *Pacer) Rejected(now Time, random float64) Failure {
	p.reachability.recordRejected(now)
	return p.fail(now, p.delayAfterRejection, random)
}

// fail counts a failure and draws the delay after it. meanDelay returns the mean of this delay for the current time and the time
// without an answer.
func (p *Pacer) fail(now Time, meanDelay func(now, failingFor Time) Time, random float64) Failure {
	failure := Failure{First: !p.failing}
	if failure.First {
		p.failing, p.failingSince, p.failedCalls, p.overdueReported = true, now, 0, false
	}
	p.failedCalls++
	failure.FailingFor, failure.FailedCalls = now-p.failingSince, p.failedCalls
	failure.Overdue = !p.overdueReported && failure.FailingFor >= p.bound
	p.overdueReported = p.overdueReported || failure.Overdue
	if failure.First && p.wasAnswered {
		failure.Delay = p.firstDelay(random)
	} else {
		failure.Delay = jitter(meanDelay(now, failure.FailingFor), random)
	}
	return failure
}

// firstDelay returns the delay after the loss of a watch that was answered. The client misses changes during the delay, so it is
// at most half of the grace (or MinCallInterval, if longer). The delay is at least minDelay: without a minimum, a client would call
// without a pause a service that repeatedly answers and then closes the connection.
func (p *Pacer) firstDelay(random float64) Time {
	return minDelay + Time(random*float64(p.maxFirstDelay-minDelay))
}

// steadyDelay returns the mean delay if the state of the service is unknown. The delay of many clients grows after several bounds:
// a service that can't answer all of them within this time would otherwise be busy with rejections permanently.
func (p *Pacer) steadyDelay(_, failingFor Time) Time {
	if p.clients <= maxFewClients {
		return p.bound / meanDivisor
	}
	growth := float64(failingFor) / float64(boundsBeforeGrowth*p.bound)
	return Time(float64(p.bound) / meanDivisor * min(max(growth, 1), maxGrowth))
}

// delayAfterRejection returns the mean delay after the service rejected a call.
func (p *Pacer) delayAfterRejection(now, failingFor Time) Time {
	steady := p.steadyDelay(now, failingFor)
	if p.clients > maxFewClients {
		return steady
	}
	if remaining := p.reachability.timeLeft(now, p.bound+p.grace); remaining > 0 {
		return callsInTimeLeft.meanDelay(remaining, p.clients, p.bound)
	}
	return min(steady, callsWithinBound.meanDelay(p.bound, p.clients, p.bound))
}

// jitter returns a delay that differs from its mean by up to a third.
func jitter(mean Time, random float64) Time {
	return Time(float64(mean) * (1 + (2*random-1)/jitterDivisor))
}

// Answered records that a call was answered.
func (p *Pacer) Answered() {
	p.failing, p.wasAnswered = false, true
	p.reachability.recordAnswered()
}
