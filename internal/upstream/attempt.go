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
	Work    Work
	Number  int  // of its request's, from 0
	Sent    Time // when it was asked for
	StopAt  Time // it is given up then
	WriteBy Time // its last byte has to be written before then; 0 for no such bound

	cache     *cache
	state     attemptState
	conn      *conn
	connectBy Time             // it has to have a connection by then
	alarm     timerqueue.Alarm // for the next of its times
}

// Cache is the name of the cache that it was sent to.
func (a *Attempt) Cache() string { return a.cache.name }

// Over reports whether it has had its outcome.
func (a *Attempt) Over() bool { return a.state == over }

// Unwritten reports whether its last byte has not been written, so that it can't run.
func (a *Attempt) Unwritten() bool { return a.state == waiting || a.state == writing }

// Drop makes an attempt that was never started one that is over.
func (a *Attempt) Drop() { a.state = over }

// GiveUp ends the wait on an attempt: it was cancelled or its time is up.
func (a *Attempt) GiveUp(why decide.Result) {
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
	at := a.StopAt
	if a.state == waiting {
		at = min(at, a.connectBy)
	}
	if a.Unwritten() && a.WriteBy > 0 {
		at = min(at, a.WriteBy)
	}
	a.cache.pool.clock.Add(&a.alarm, at, a)
}

// Due is called at one of its times. What is written by then has only its end to wait for.
func (a *Attempt) Due() {
	p := a.cache.pool
	switch now := p.m.Now(); {
	case now >= a.StopAt, a.Unwritten() && a.WriteBy > 0 && now >= a.WriteBy:
		a.GiveUp(decide.TimedOut)
	case a.state == waiting && now >= a.connectBy:
		a.end(unconnected(a.cache.blocked()), nil)
	default:
		a.arm()
	}
	p.owner.Settle()
}

// end gives the attempt its outcome.
func (a *Attempt) end(result decide.Result, rep *resp.Reply) {
	if a.state == over {
		return
	}
	u := a.cache
	a.lose()
	if a.Work != nil {
		u.out--
	}
	u.seen(result, u.pool.m.Now()-a.Sent)
	u.pool.owner.Ended(a, result, rep)
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
	a.cache.pool.clock.Drop(&a.alarm)
	if a.conn != nil {
		a.conn.attempt, a.conn = nil, nil
	}
}

// encode appends what goes over the wire.
func (a *Attempt) encode(b []byte, now Time) []byte {
	if a.Work == nil {
		return redcon.AppendBulkString(redcon.AppendArray(b, 1), "PING")
	}
	return a.Work.Encode(b, a.StopAt-now)
}
