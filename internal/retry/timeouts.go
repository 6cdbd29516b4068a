package retry

const (
	// A client whose watch falls silent counts as notified of the changes that it misses after notifiedAfterSilence or, if its call
	// may wait longer, notifiedAfterWait after the end of the wait. After that instant, drains have only their grace.
	notifiedAfterSilence Time = 6_000_000
	notifiedAfterWait    Time = 2_000_000

	// MaxWatchWait is the longest wait of a call for a change that doesn't delay the instant from which the client counts as notified.
	MaxWatchWait = notifiedAfterSilence - notifiedAfterWait

	// minWaitDivisor sets the shortest wait of a watch: the longest wait divided by it.
	minWaitDivisor = 4

	// minDelay is the minimum delay or timeout in microseconds. An agent may take as long to answer on its socket.
	minDelay Time = 50_000

	// MinCallInterval is the interval, in microseconds, between the calls of a watch that are answered immediately. The protocol
	// ends a watch after 200 ms without a call.
	MinCallInterval = 100_000
)

// Fractions of the grace within which the client must act on a change that the agent has. Together they use half of the grace.
const (
	agentWaitDivisor   = 4 // for the wait of a call
	agentAnswerDivisor = 8 // for the answer to the call
	agentRetryDivisor  = 8 // for the delay before the next call
)

// CallOptions configure the calls to a service.
type CallOptions struct {
	WatchTime  Time // longest wait of a call for a change
	AnswerTime Time // longest time that the service takes to answer
	Pushed     bool // changes are pushed to an agent on the client's machine, which the client polls at no cost
	Grace      Time // time within which the client must act on a change that the agent has; used if Pushed is set
}

// Timeouts are the time limits of one watch.
type Timeouts struct {
	WatchWait     Time // longest wait of a call for a change
	SilentAfter   Time // timeout of a call that waits for a change
	AnswerTimeout Time // timeout of a call that does not wait
	RetryDelay    Time // from a failure to the next call; 0 if a Pacer decides the delay
}

// Draw returns the timeouts of a watch. Unless Pushed is set, the wait is drawn from a random number, and at least
// notifiedAfterWait passes between the end of a wait and the instant from which the client counts as notified of the missed
// changes: at most half of it is for the answer, the rest for the next call.
//
// The wait differs between watches. Otherwise, watches that fall silent together would time out together, and all clients would
// call at the same time a service that can answer only a few of them.
func (o CallOptions) Draw(random uint64) Timeouts {
	if o.Pushed {
		return o.agentTimeouts()
	}
	minWait := o.WatchTime / minWaitDivisor
	wait := minWait + Time(random%uint64(o.WatchTime-minWait+1))
	return Timeouts{
		WatchWait:     wait,
		SilentAfter:   wait + min(o.AnswerTime, notifiedAfterWait/2),
		AnswerTimeout: o.AnswerTime,
	}
}

// agentTimeouts returns the timeouts of calls to an agent. While the service is down, the agent answers no calls, including a call
// in flight. The client counts as notified of a change as soon as the agent receives it at the service's return.
func (o CallOptions) agentTimeouts() Timeouts {
	wait := min(max(o.Grace/agentWaitDivisor, MinCallInterval), o.WatchTime)
	answer := min(max(o.Grace/agentAnswerDivisor, minDelay), o.AnswerTime)
	return Timeouts{
		WatchWait:     wait,
		SilentAfter:   wait + answer,
		AnswerTimeout: answer,
		RetryDelay:    max(o.Grace/agentRetryDivisor, minDelay),
	}
}
