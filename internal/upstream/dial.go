package upstream

import (
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
)

const (
	// busyConnectionWait is how long, in microseconds, an attempt waits for a busy connection of its cache before the pool
	// closes another cache's connection to open a new one: slightly longer than most replies take.
	busyConnectionWait Time = 2_000
	// maxRemainingRest is the longest remaining rest time, in microseconds, for which an attempt waits for an idle connection
	// instead of opening a new one: about as long as a dial takes.
	maxRemainingRest Time = 1_000
)

// dial opens as many connections as are needed and allowed. The number of concurrent dials is bounded: a burst of requests that
// opened one connection each would fill the cache's connection table and cost the cache work.
func (c *cache) dial() {
	p := c.pool
	if len(c.connections) >= c.maxConnections || c.waitsForBusyConnection() {
		return
	}
	maxDials := p.options.Limits.ConcurrentDials
	if p.reconnectsLimited {
		maxDials = min(maxDials, 1+c.consecutiveConnects)
	}
	ready := c.idleReadySoon()
	for c.dialing < min(len(c.waiting)-ready, maxDials) && len(c.connections) < c.maxConnections && p.takeDescriptor() {
		conn := &connection{cache: c, addr: c.addr}
		c.connections = append(c.connections, conn)
		c.dialing++
		conn.dialing = p.machine.Dial(c.addr, p.options.DialTimeout, conn.dialed)
	}
}

// idleReadySoon returns the number of idle connections that attempts can wait for. Connections that are not ready before a dial
// would be done do not count; if a new connection would require closing one of another cache, the wait may be longer.
func (c *cache) idleReadySoon() (ready int) {
	latest := c.pool.machine.Now() + maxRemainingRest
	if c.pool.descriptorsExhausted() {
		latest = c.pool.machine.Now() + max(c.minRest, maxRemainingRest)
	}
	for _, conn := range c.idle {
		if conn.readyAt(c.waiting[0]) <= latest {
			ready++
		}
	}
	return ready
}

// waitsForBusyConnection reports whether the first waiting attempt should wait up to busyConnectionWait for one of the cache's
// busy connections. When descriptors are exhausted, each dial closes a connection that another cache's next request needs.
func (c *cache) waitsForBusyConnection() bool {
	p := c.pool
	busy := len(c.connections) - len(c.idle) - c.dialing
	if busy == 0 || !p.descriptorsExhausted() {
		return false
	}
	until := c.waiting[0].SentAt + busyConnectionWait
	if p.machine.Now() >= until {
		return false
	}
	if !c.busyConnectionTimerSet {
		c.busyConnectionTimerSet = true
		p.runAt(until, func() {
			c.busyConnectionTimerSet = false
			c.dispatch()
		})
	}
	return true
}

// dialsBlockedLocally reports whether the cache has dials in progress and a local resource shortage has prevented all of them
// from starting.
func (c *cache) dialsBlockedLocally() bool {
	blocked := false
	for _, conn := range c.connections {
		if conn.dialing == nil {
			continue
		}
		if !conn.dialing.Blocked() {
			return false
		}
		blocked = true
	}
	return blocked
}

// cancelDials cancels the dials in progress.
func (c *cache) cancelDials() {
	for _, conn := range slices.Clone(c.connections) {
		if conn.socket == nil {
			conn.close()
		}
	}
}

// dialed is called by the machine when the connection is established, or with the error that prevented it.
func (conn *connection) dialed(socket machine.Conn, err error) machine.Handler {
	c := conn.cache
	defer c.pool.owner.ProcessEvents()
	conn.dialing = nil
	c.dialing--
	if err != nil {
		c.consecutiveConnects = 0
		conn.close()
		if len(c.waiting) > 0 {
			c.waiting[0].finish(unconnectedResult(machine.IsLocalDialError(err)), nil)
		}
		c.dispatch()
		return nil
	}
	conn.socket = socket
	c.consecutiveConnects++
	c.release(conn, c.pool.machine.Now()-c.minRest) // needs no rest: there is no previous reply to duplicate
	return conn
}

// unconnectedResult returns the result of an attempt that got no connection. If the failure was local, the result is NotSent: a
// local resource shortage reported as ConnectFailed would count as a failure of every cache.
func unconnectedResult(local bool) decide.Result {
	if local {
		return decide.NotSent
	}
	return decide.ConnectFailed
}
