package upstream

import (
	"github.com/tidwall/redcon"

	"starlingwinch/decide"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/timerqueue"
)

// attemptState is the progress of an attempt: waiting -> writing -> written -> over. An attempt may skip states; over is final.
type attemptState uint8

const (
	stateWaiting attemptState = iota // waits for a connection; no byte is written
	stateWriting                     // some bytes are written
	stateWritten                     // all bytes are written: the cache may run the attempt
	stateOver                        // the attempt has its result, or was detached and gets none
)

// Attempt is one transmission of a request to a cache, or a health check if Request is nil. It has exactly one result.
type Attempt struct {
	Request       Request
	Number        int  // sequence number among the attempts of the request, from 0
	SentAt        Time // start time
	Deadline      Time // time at which the attempt is given up
	WriteDeadline Time // the last byte must be written before this time; 0 means no limit

	cache           *cache
	state           attemptState
	connection      *connection      // connection that carries the attempt; nil while the attempt waits or is over
	connectDeadline Time             // time at which an attempt that still waits for a connection is given up
	timer           timerqueue.Entry // set for the earliest deadline
}

// Cache returns the name of the cache that the attempt was sent to.
func (a *Attempt) Cache() string { return a.cache.name }

// Ended reports whether the attempt is over.
func (a *Attempt) Ended() bool { return a.state == stateOver }

// Unwritten reports whether the last byte is not written yet, so that the cache can't run the attempt.
func (a *Attempt) Unwritten() bool { return a.state == stateWaiting || a.state == stateWriting }

// Discard ends an attempt that was never started.
func (a *Attempt) Discard() { a.state = stateOver }

// Abort ends an attempt that was cancelled or has reached its deadline. If the attempt may have run, its result is the given
// one; otherwise its result is NotSent.
func (a *Attempt) Abort(result decide.Result) {
	switch a.state {
	case stateWaiting:
		a.finish(decide.NotSent, nil)
	case stateWriting:
		a.connection.close()
		a.finish(decide.NotSent, nil) // the cache did not receive the last byte
	case stateWritten:
		a.connection.close()
		a.finish(result, nil)
	}
}

// IsUndelivered reports whether the attempt is in flight and some of its bytes have not reached the cache's machine.
func (a *Attempt) IsUndelivered() bool {
	return a.state == stateWriting || a.state == stateWritten && a.connection.socket.HasUndelivered()
}

// armTimer sets the timer for the earliest of the attempt's deadlines.
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

// Expired implements timerqueue.Owner. Once the attempt is written, only its Deadline applies.
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

// finish ends the attempt with a result and passes the result to the pool's owner.
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
	c.dropIfUnused()
}

// detach removes the attempt from its cache and connection, so that it gets no further result.
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

// encode appends the attempt's command in wire format: PING for a health check.
func (a *Attempt) encode(b []byte, now Time) []byte {
	if a.Request == nil {
		return redcon.AppendBulkString(redcon.AppendArray(b, 1), "PING")
	}
	return a.Request.Encode(b, a.Deadline-now)
}
