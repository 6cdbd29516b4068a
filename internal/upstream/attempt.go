package upstream

import (
	"github.com/tidwall/redcon"

	"starlingwinch/decide"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/timerqueue"
)

// attemptState is how far an attempt has come: waiting -> writing -> written -> over. Each state may be left out, and over is
// final.
type attemptState uint8

const (
	stateWaiting attemptState = iota // for a connection; no byte is written
	stateWriting                     // some of its bytes are written
	stateWritten                     // all of its bytes are written: it may run from now on
	stateOver                        // it has its result, or gets none
)

// Attempt is one sending of a request, or a health check if it has no Request. It has exactly one result.
type Attempt struct {
	Request       Request
	Number        int  // among those of its request, from 0
	SentAt        Time // when it was started
	Deadline      Time // when it is given up
	WriteDeadline Time // its last byte must be written before then; 0 for no such bound

	cache           *cache
	state           attemptState
	connection      *connection      // that it is written to; nil while it waits and when it is over
	connectDeadline Time             // when it is given up if it still waits for a connection
	timer           timerqueue.Entry // for the first of its deadlines
}

// Cache returns the name of the cache that it was sent to.
func (a *Attempt) Cache() string { return a.cache.name }

// Ended reports whether it has had its result.
func (a *Attempt) Ended() bool { return a.state == stateOver }

// Unwritten reports whether its last byte is not written, so that it can't run.
func (a *Attempt) Unwritten() bool { return a.state == stateWaiting || a.state == stateWriting }

// Discard ends an attempt that was never started.
func (a *Attempt) Discard() { a.state = stateOver }

// Abort ends an attempt that was cancelled or has reached its deadline. The result is the given one if the attempt may have run.
func (a *Attempt) Abort(result decide.Result) {
	switch a.state {
	case stateWaiting:
		a.finish(decide.NotSent, nil)
	case stateWriting:
		a.connection.close()
		a.finish(decide.NotSent, nil) // the cache never got its last byte
	case stateWritten:
		a.connection.close()
		a.finish(result, nil)
	}
}

// armTimer sets the timer for the first of the attempt's deadlines.
func (a *Attempt) armTimer() {
	at := a.Deadline
	if a.state == stateWaiting {
		at = min(at, a.connectDeadline)
	}
	if a.Unwritten() && a.WriteDeadline > 0 {
		at = min(at, a.WriteDeadline)
	}
	a.cache.pool.timers.Add(&a.timer, at, a)
}

// Expired is called by the timer. Once the attempt is written, only its Deadline is left.
func (a *Attempt) Expired() {
	p := a.cache.pool
	now := p.machine.Now()
	mustBeWritten := a.Unwritten() && a.WriteDeadline > 0 && now >= a.WriteDeadline
	switch {
	case now >= a.Deadline, mustBeWritten:
		a.Abort(decide.TimedOut)
	case a.state == stateWaiting && now >= a.connectDeadline:
		a.finish(unconnectedResult(a.cache.dialsBlockedLocally()), nil)
	default:
		a.armTimer()
	}
	p.owner.ProcessEvents()
}

// finish gives the attempt its result.
func (a *Attempt) finish(result decide.Result, reply *resp.Reply) {
	if a.state == stateOver {
		return
	}
	c := a.cache
	a.detach()
	if a.Request != nil {
		c.inFlight--
	}
	c.recordResult(result, c.pool.machine.Now()-a.SentAt)
	c.pool.owner.AttemptEnded(a, result, reply)
	c.forgetIfUnused()
}

// detach takes the attempt off its cache and connection, so that it gets no further result.
func (a *Attempt) detach() {
	if a.state == stateWaiting {
		a.cache.removeWaiting(a)
	}
	a.state = stateOver
	a.cache.pool.timers.Remove(&a.timer)
	if a.connection != nil {
		a.connection.attempt, a.connection = nil, nil
	}
}

// encode appends what goes over the wire.
func (a *Attempt) encode(b []byte, now Time) []byte {
	if a.Request == nil {
		return redcon.AppendBulkString(redcon.AppendArray(b, 1), "PING")
	}
	return a.Request.Encode(b, a.Deadline-now)
}
