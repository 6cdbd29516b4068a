package upstream

import (
	"slices"

	"github.com/tidwall/redcon"

	"starlingwinch/decide"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/timerqueue"
)

type attemptState uint8

const (
	waiting attemptState = iota // for a connection; not a byte has been written
	writing                     // some of it has been written
	written                     // all of it: it may run from now on
	over
)

// Attempt is one sending of a request, or a probe if it has no Work. It has exactly one outcome.
type Attempt struct {
	Request       Request
	Number        int  // of its request's, from 0
	SentAt        Time // when it was asked for
	Deadline      Time // it is given up then
	WriteDeadline Time // its last byte has to be written before then; 0 for no such bound

	cache     *cache
	state     attemptState
	conn      *conn
	connectBy Time             // it has to have a connection by then
	alarm     timerqueue.Entry // for the next of its times
}

// Cache is the name of the cache that it was sent to.
func (a *Attempt) Cache() string { return a.cache.name }

// Ended reports whether it has had its outcome.
func (a *Attempt) Ended() bool { return a.state == over }

// Unwritten reports whether its last byte has not been written, so that it can't run.
func (a *Attempt) Unwritten() bool { return a.state == waiting || a.state == writing }

// Discard makes an attempt that was never started one that is over.
func (a *Attempt) Discard() { a.state = over }

// Abort ends the wait on an attempt: it was cancelled or its time is up.
func (a *Attempt) Abort(why decide.Result) {
	switch a.state {
	case waiting:
		a.end(decide.NotSent, nil)
	case writing:
		a.conn.close()
		a.end(decide.NotSent, nil) // the machine never got its last byte
	case written:
		a.conn.close()
		a.end(why, nil)
	}
}

// arm sets the timer for what is due next.
func (a *Attempt) arm() {
	at := a.Deadline
	if a.state == waiting {
		at = min(at, a.connectBy)
	}
	if a.Unwritten() && a.WriteDeadline > 0 {
		at = min(at, a.WriteDeadline)
	}
	a.cache.pool.clock.Add(&a.alarm, at, a)
}

// Expired is called at one of its times. What is written by then has only its end to wait for.
func (a *Attempt) Expired() {
	p := a.cache.pool
	switch now := p.m.Now(); {
	case now >= a.Deadline, a.Unwritten() && a.WriteDeadline > 0 && now >= a.WriteDeadline:
		a.Abort(decide.TimedOut)
	case a.state == waiting && now >= a.connectBy:
		a.end(unconnected(a.cache.blocked()), nil)
	default:
		a.arm()
	}
	p.owner.ProcessEvents()
}

// end gives the attempt its outcome.
func (a *Attempt) end(result decide.Result, rep *resp.Reply) {
	if a.state == over {
		return
	}
	u := a.cache
	a.lose()
	if a.Request != nil {
		u.out--
	}
	u.seen(result, u.pool.m.Now()-a.SentAt)
	u.pool.owner.AttemptEnded(a, result, rep)
	u.drop()
}

// lose takes the attempt off its cache, so that nothing comes of it any more.
func (a *Attempt) lose() {
	if a.state == waiting {
		if i := slices.Index(a.cache.waiting, a); i >= 0 {
			a.cache.waiting = slices.Delete(a.cache.waiting, i, i+1)
		}
	}
	a.state = over
	a.cache.pool.clock.Remove(&a.alarm)
	if a.conn != nil {
		a.conn.attempt, a.conn = nil, nil
	}
}

// encode appends what goes over the wire.
func (a *Attempt) encode(b []byte, now Time) []byte {
	if a.Request == nil {
		return redcon.AppendBulkString(redcon.AppendArray(b, 1), "PING")
	}
	return a.Request.Encode(b, a.Deadline-now)
}
