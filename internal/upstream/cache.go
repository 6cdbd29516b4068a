package upstream

import (
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
)

const (
	// maxTurnTime is the duration of a turn, in microseconds, after which writes are postponed to a later turn, because the
	// turn's clock is too old for the checks before a write. It is less than decide.MaxSchedulingDelay, which deadlines and
	// windows allow for.
	maxTurnTime Time = 100_000
	// writeRetryDelay is the delay, in microseconds, before a write of which the socket accepted no byte is retried.
	writeRetryDelay Time = 10_000
)

// An attempt waits for a connection for at most connectWaitNumerator/connectWaitDenominator of the time until its deadline, so
// that there is time left for another attempt.
const connectWaitNumerator, connectWaitDenominator = 2, 5

// cache holds the state of one cache server: its connections and the attempts that wait for a connection.
type cache struct {
	pool    *Pool
	name    string
	addr    string
	serving bool // the endpoint list says that the cache takes new requests; unset when the pool closes
	removed bool // the cache is no longer in the endpoint list

	connections         []*connection // all connections, including those being established
	idle                []*connection // the idle connections, most recently used last
	reserved            []*connection // idle connections that wait for an attempt of the current dispatch
	dialing             int           // number of connections being established
	consecutiveConnects int           // connections established since the last failure to connect
	maxConnections      int

	waiting  []*Attempt // attempts that wait for a connection, in start order
	inFlight int        // number of attempts without a result, health checks excluded

	minRest  Time // minimum time between a reply and the next request on a connection
	fullRest Time // preferred such time where there is a choice: a cache may close a connection just after a reply

	restTimerAt            Time // when a dispatch is scheduled for the first idle connection that is ready; 0 for none
	dispatchScheduled      bool // a dispatch is scheduled in a separate turn
	busyConnectionTimerSet bool // a dispatch is scheduled for the end of the wait in waitsForBusyConnection

	failures       consecutiveFailures
	equalRepliesAt Time // when the cache last sent equal replies for different keys; 0 for never
}

// newCache returns a cache that has no connections.
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

// update applies the cache's address and status from the endpoint list.
func (c *cache) update(addr string, serving, removed bool) {
	if addr != c.addr {
		c.addr = addr
		c.closeIdle(c.pool.machine.Now())
		c.cancelDials()
	}
	if removed {
		c.resetFailures()
	}
	c.serving, c.removed = serving, removed
	if !serving {
		// An attempt that waits for a connection must not be written once the router is notified of the drain.
		for len(c.waiting) > 0 {
			c.waiting[0].finish(decide.NotSent, nil)
		}
		c.closeIdle(c.pool.machine.Now())
		c.cancelDials()
	}
	c.dropIfUnused()
}

// dropIfUnused deletes a removed cache from the pool once it has no connections and no waiting attempts.
func (c *cache) dropIfUnused() {
	if c.removed && len(c.connections) == 0 && len(c.waiting) == 0 && c.pool.caches[c.name] == c {
		c.pool.removeCache(c)
	}
}

// start writes an attempt to an idle connection, or queues the attempt until there is one.
func (c *cache) start(a *Attempt) {
	if a.Request != nil {
		c.inFlight++
	}
	c.waiting = append(c.waiting, a)
	c.dispatch()
	if a.state == stateOver {
		return
	}
	maxWait := (a.Deadline - a.SentAt) * connectWaitNumerator / connectWaitDenominator
	a.connectDeadline = a.SentAt + min(c.pool.options.DialTimeout, maxWait)
	a.armTimer()
}

// maySend checks immediately before an attempt's first byte whether the attempt may be written. While the attempt waited, the
// cache may have been drained, a deadline may have passed, or the request may have ended.
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
	return a.Request == nil || a.Request.MaySend(check.Now) // Request is nil for a health check
}

// dispatch writes waiting attempts to idle connections in FIFO order, and opens more connections if there are too few. An
// attempt that no idle connection may carry yet does not delay those behind it.
func (c *cache) dispatch() {
	c.reserved = c.reserved[:0]
	next := 0
	for next < len(c.waiting) && !c.pool.paused {
		if c.pool.machine.ClockLag() > maxTurnTime {
			c.scheduleDispatch() // a later turn has an up-to-date clock
			return
		}
		a := c.waiting[next]
		if !c.maySend(a) {
			a.finish(decide.NotSent, nil)
			continue
		}
		conn := c.takeIdle(a)
		switch {
		case conn == nil && !c.hasRestedIdle():
			c.dial()
			return
		case conn == nil:
			next++
		case !conn.write(a):
			c.pool.runAt(c.pool.machine.Now()+writeRetryDelay, c.dispatch)
			return
		}
	}
	if next > 0 {
		c.dial()
	}
}

// scheduleDispatch schedules a dispatch in a separate turn. It must be called whenever a connection ends: attempts that wait for
// that connection would otherwise stall until their connect deadline.
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

// removeWaiting removes an attempt from the queue for a connection.
func (c *cache) removeWaiting(a *Attempt) {
	if i := slices.Index(c.waiting, a); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}
