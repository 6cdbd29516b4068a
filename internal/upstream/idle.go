package upstream

import (
	"slices"
	"sort"
)

// The pool closes idle connections after keepaliveNumerator/keepaliveDenominator of the caches' Keepalive. If a cache closes a
// connection just as a request is written to it, the router can't tell whether that request has run.
const keepaliveNumerator, keepaliveDenominator = 3, 4

// maxRestAtLimit is the longest remaining rest time, in microseconds, for which an attempt waits at the limit of connections: a new
// connection takes about as long as this.
const maxRestAtLimit Time = 20_000

// maxIdleTime returns how long a connection may be idle. It is at least twice the minimum rest time, even if Keepalive is short:
// a connection could otherwise be closed before it has rested, and never be used again.
func (p *Pool) maxIdleTime() Time {
	return max(p.options.Keepalive*keepaliveNumerator/keepaliveDenominator, 2*p.options.Limits.MinRestTime.Microseconds())
}

// release makes a connection available for the next attempt, with the time since which the connection counts as idle.
func (c *cache) release(conn *connection, since Time) {
	if !c.serving || conn.addr != c.addr {
		conn.close()
		return
	}
	conn.idleSince = since
	c.returnIdle(conn)
	c.pool.dispatchIfDescriptorWanted()
	c.dispatch()
}

// returnIdle inserts a connection into the idle connections, which are ordered by idleSince.
func (c *cache) returnIdle(conn *connection) {
	i := sort.Search(len(c.idle), func(i int) bool { return c.idle[i].idleSince > conn.idleSince })
	c.idle = slices.Insert(c.idle, i, conn)
	c.pool.idleConnections++
}

// removeIdle removes a connection from the idle connections, if it is idle.
func (c *cache) removeIdle(conn *connection) {
	if i := slices.Index(c.idle, conn); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
		c.pool.idleConnections--
	}
}

// takeIdle removes and returns an idle connection that may carry an attempt, or returns nil.
func (c *cache) takeIdle(a *Attempt) *connection {
	if len(c.idle) > 0 && c.pool.ownDescriptorsInUse() {
		c.pool.descriptorWanted = true
		return nil
	}
	for {
		conn := c.selectIdle(a)
		if conn == nil {
			c.dispatchWhenReady(a)
			return nil
		}
		if conn.idleSince > c.pool.machine.Now()-c.pool.maxIdleTime() && conn.socket.HasNothingUnread() {
			c.removeIdle(conn)
			return conn
		}
		conn.close()
	}
}

// selectIdle returns the idle connection that an attempt should use, or nil if none is ready. It prefers the most recently used
// of the fully rested connections, so that the others can reach maxIdleTime. If none is fully rested, it returns the one that
// has been idle longest. It leaves connections out that wait for an attempt before this one.
func (c *cache) selectIdle(a *Attempt) *connection {
	now := c.pool.machine.Now()
	isReady := func(conn *connection) bool { return conn.readyAt(a) <= now && !slices.Contains(c.reserved, conn) }
	fullyRested := sort.Search(len(c.idle), func(i int) bool { return c.idle[i].idleSince > now-c.fullRest })
	for _, conn := range slices.Backward(c.idle[:fullyRested]) {
		if isReady(conn) {
			return conn
		}
	}
	for _, conn := range c.idle[fullyRested:] {
		if isReady(conn) {
			return conn
		}
	}
	return nil
}

// hasRestedIdle reports whether an idle connection may carry some attempt, and waits for none.
func (c *cache) hasRestedIdle() bool {
	now := c.pool.machine.Now()
	return slices.ContainsFunc(c.idle, func(conn *connection) bool {
		return conn.restedAt() <= now && !slices.Contains(c.reserved, conn)
	})
}

// firstReady returns the idle connection that an attempt may use first, with the time, or nil.
func (c *cache) firstReady(a *Attempt) (first *connection, at Time) {
	for _, conn := range c.idle {
		if slices.Contains(c.reserved, conn) {
			continue
		}
		if readyAt := conn.readyAt(a); first == nil || readyAt < at {
			first, at = conn, readyAt
		}
	}
	return first, at
}

// dispatchWhenReady schedules a dispatch for when the first idle connection may carry an attempt. At the limit of connections, that
// connection is kept from the attempts behind this one, which would otherwise use each connection before it has rested for this
// attempt; a connection that has to rest for longer than a new one takes is closed to make room for the new one.
func (c *cache) dispatchWhenReady(a *Attempt) {
	if len(c.idle) == 0 {
		return
	}
	now := c.pool.machine.Now()
	earliest := c.idle[0].idleSince + c.minRest // no idle connection has rested before
	if earliest > now {
		c.dispatchAt(earliest)
		return
	}
	first, at := c.firstReady(a)
	if first == nil {
		return
	}
	if len(c.connections) >= c.maxConnections {
		if at > now+max(c.minRest, maxRestAtLimit) {
			first.close()
			return
		}
		c.reserved = append(c.reserved, first)
	}
	c.dispatchAt(at)
}

// dispatchAt schedules a dispatch for the given time, unless one is scheduled for an earlier time.
func (c *cache) dispatchAt(at Time) {
	if c.restTimerAt > 0 && c.restTimerAt <= at {
		return
	}
	c.restTimerAt = at
	c.pool.runAt(at, func() {
		if c.restTimerAt == at {
			c.restTimerAt = 0
		}
		c.dispatch()
	})
}

// closeIdle closes the idle connections that became idle at or before the given time, and those on which data has arrived or that
// the cache has closed.
func (c *cache) closeIdle(since Time) {
	for _, conn := range slices.Clone(c.idle) {
		if conn.idleSince <= since || !conn.socket.HasNothingUnread() {
			conn.close()
		}
	}
}
