package upstream

import (
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
)

const (
	// maxTurnTime is the age of a turn, in microseconds, from which a write is put off to a later turn, whose checks are
	// current. It lies below decide.MaxSchedulingDelay, for which deadlines and windows allow.
	maxTurnTime Time = 100_000
	// writeRetryDelay is until an attempt of which the socket took no byte is tried again.
	writeRetryDelay Time = 10_000
)

// An attempt waits for a connection for at most connectNumerator/connectDenominator of its time, so that time is left for
// another attempt.
const connectNumerator, connectDenominator = 2, 5

// cache is one cache server: its connections and the attempts that wait for one.
type cache struct {
	pool    *Pool
	name    string
	addr    string
	serving bool // the endpoint list says that it takes new requests; unset when the pool closes
	removed bool // it is not in the endpoint list any more

	connections    []*connection
	idle           []*connection // of connections, the one used last at the end
	dialing        int           // of connections, those coming up
	openedInRow    int           // connections that came up since one did not
	maxConnections int

	waiting  []*Attempt // for a connection, in the order of their start
	inFlight int        // attempts without a result, health checks not among them

	minRest  Time // between a reply and the next request on a connection, at least
	fullRest Time // preferred where there is a choice: a cache may close a connection right behind a reply

	restTimerSet      bool // for the end of an idle connection's minRest
	dispatchScheduled bool // in a turn of its own
	holdTimerSet      bool // for the end of waitsForOwnConnection

	failures failureRun
	repeats  repeatDetector
}

// newCache returns a cache without connections.
func newCache(p *Pool, name string) *cache {
	limits := &p.options.Limits
	return &cache{
		pool:           p,
		name:           name,
		maxConnections: max(limits.MinConnections, limits.FleetConnections/max(1, p.options.Routers)),
		minRest:        limits.MinRestTime.Microseconds(),
		fullRest:       limits.FullRestTime.Microseconds(),
	}
}

// update takes over what the endpoint list says.
func (c *cache) update(addr string, serving, removed bool) {
	if addr != c.addr {
		c.addr = addr
		c.closeIdle(c.pool.machine.Now())
		c.cancelDials()
	}
	if removed {
		c.forgetFailures()
	}
	c.serving, c.removed = serving, removed
	if !serving {
		// An attempt that waits for a connection must not be written once the drain is known.
		for len(c.waiting) > 0 {
			c.waiting[0].finish(decide.NotSent, nil)
		}
		c.closeIdle(c.pool.machine.Now())
		c.cancelDials()
	}
	c.forgetIfUnused()
}

// forgetIfUnused drops a removed cache once nothing is open on it.
func (c *cache) forgetIfUnused() {
	if c.removed && len(c.connections) == 0 && len(c.waiting) == 0 && c.pool.caches[c.name] == c {
		c.pool.forget(c)
	}
}

// start writes an attempt to an idle connection, or has it wait for one.
func (c *cache) start(a *Attempt) {
	if a.Request != nil {
		c.inFlight++
	}
	c.waiting = append(c.waiting, a)
	c.dispatch()
	if a.state == stateOver {
		return
	}
	maxWait := (a.Deadline - a.SentAt) * connectNumerator / connectDenominator
	a.connectDeadline = a.SentAt + min(c.pool.options.DialTimeout, maxWait)
	a.armTimer()
}

// maySend is the last check before an attempt's first byte: all may have changed while it waited.
func (c *cache) maySend(a *Attempt) bool {
	check := guard.WriteCheck{
		Now:           c.pool.machine.Now(),
		Deadline:      a.Deadline,
		WriteDeadline: a.WriteDeadline,
		CacheServing:  c.serving,
	}
	if check.MayWrite() != guard.Allowed {
		return false
	}
	return a.Request == nil || a.Request.MaySend(check.Now)
}

// dispatch writes waiting attempts to idle connections, first come first served, and opens more connections where there are too
// few.
func (c *cache) dispatch() {
	for len(c.waiting) > 0 && !c.pool.paused {
		if c.pool.machine.Late() > maxTurnTime {
			c.scheduleDispatch() // a later turn knows the time again
			return
		}
		a := c.waiting[0]
		if !c.maySend(a) {
			a.finish(decide.NotSent, nil)
			continue
		}
		conn := c.takeIdle()
		if conn == nil {
			c.dial()
			return
		}
		if !conn.write(a) {
			c.pool.runAt(c.pool.machine.Now()+writeRetryDelay, c.dispatch)
			return
		}
	}
}

// scheduleDispatch dispatches in a turn of its own. It is called whenever a connection ends: attempts that wait for it would
// stall until their connect deadline.
func (c *cache) scheduleDispatch() {
	if len(c.waiting) == 0 || c.dispatchScheduled {
		return
	}
	c.dispatchScheduled = true
	c.pool.runAt(c.pool.machine.Now(), func() {
		c.dispatchScheduled = false
		c.dispatch()
	})
}

// removeWaiting takes an attempt off those that wait for a connection.
func (c *cache) removeWaiting(a *Attempt) {
	if i := slices.Index(c.waiting, a); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}
