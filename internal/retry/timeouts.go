package retry

const (
	// A client whose watch has fallen silent counts as notified of what it misses notifiedAfterSilence after that or, where its
	// call may wait for longer, notifiedAfterWait after the end of the wait. From then on, drains have only their grace.
	notifiedAfterSilence Time = 6_000_000
	notifiedAfterWait    Time = 2_000_000

	// MaxWatchWait is how long a call may wait for a change without the client counting as notified any later for it.
	MaxWatchWait = notifiedAfterSilence - notifiedAfterWait

	// minWaitDivisor bounds the wait of a watch from below: to this part of the longest wait.
	minWaitDivisor = 4

	// minDelay is the least delay or timeout, as an agent may take so long on its socket.
	minDelay Time = 50_000

	// CallPause is the time between calls of a watch that is answered at once, in microseconds. The protocol ends a watch after 200 ms without a call.
	CallPause = 100_000
)

// Parts of the grace within which an agent's change has to be acted on. Together they leave half of it.
const (
	agentWaitDivisor   = 4 // for the wait of a call
	agentAnswerDivisor = 8 // for its answer
	agentRetryDivisor  = 8 // for the delay before the next call
)

// CallOptions say how a service is to be called.
type CallOptions struct {
	WatchTime  Time // for which a call may wait for a change, at most
	AnswerTime Time // for the service to answer
	Pushed     bool // changes are pushed to an agent on the client's machine, which is polled at no cost
	Grace      Time // within which a change that the agent has must be acted on; used where Pushed
}

// Timeouts are the time limits of one watch.
type Timeouts struct {
	WatchWait     Time // a call may wait so long for a change
	SilentAfter   Time // a call that waits and has no answer by then has timed out
	AnswerTimeout Time // a call that does not wait and has no answer by then has timed out
	RetryDelay    Time // from a failure to the next call; 0 where a Pacer decides that
}

// Draw draws the timeouts of a watch from a random number. Of the time between the end of a wait and the instant from which
// the client counts as notified of what was missed, half is for the answer and half for the next call.
//
// Each watch draws another wait: watches that fall silent together would else time out together, and all clients would call a
// service at once that can answer few.
func (o CallOptions) Draw(chance uint64) Timeouts {
	if o.Pushed {
		return o.agentTimeouts()
	}
	minWait := o.WatchTime / minWaitDivisor
	wait := minWait + Time(chance%uint64(o.WatchTime-minWait+1))
	return Timeouts{
		WatchWait:     wait,
		SilentAfter:   wait + min(o.AnswerTime, notifiedAfterWait/2),
		AnswerTimeout: o.AnswerTime,
	}
}

// agentTimeouts are the timeouts towards an agent. While the service is down, the agent does not answer, not even a call that is
// out, and what it receives at the service's return counts as known to the client at once.
func (o CallOptions) agentTimeouts() Timeouts {
	wait := min(max(o.Grace/agentWaitDivisor, CallPause), o.WatchTime)
	answer := min(max(o.Grace/agentAnswerDivisor, minDelay), o.AnswerTime)
	return Timeouts{
		WatchWait:     wait,
		SilentAfter:   wait + answer,
		AnswerTimeout: answer,
		RetryDelay:    max(o.Grace/agentRetryDivisor, minDelay),
	}
}
