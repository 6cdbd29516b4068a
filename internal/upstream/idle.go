package upstream

import (
	"slices"
	"sort"
)

// The pool closes idle connections after keepaliveNumerator/keepaliveDenominator of the caches' Keepalive. If a cache closes a
// connection just as a request is written to it, the router can't tell whether that request has run.
const keepaliveNumerator, keepaliveDenominator = 3, 4

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

// takeIdle removes and returns an idle connection that has rested, or returns nil. On a connection that has not rested, a
// duplicate of the last reply may still arrive and would be mistaken for the reply to the next request.
func (c *cache) takeIdle() *connection {
	if len(c.idle) > 0 && c.pool.ownDescriptorsInUse() {
		c.pool.descriptorWanted = true
		return nil
	}
	now := c.pool.machine.Now()
	for len(c.idle) > 0 {
		// Prefer the most recently used of the fully rested connections, so that the others can reach maxIdleTime. If none is
		// fully rested, use the one that has been idle longest.
		i := sort.Search(len(c.idle), func(i int) bool { return c.idle[i].idleSince > now-c.fullRest })
		i = max(i-1, 0)
		conn := c.idle[i]
		if conn.idleSince > now-c.minRest {
			c.dispatchAfterRest()
			return nil
		}
		if conn.idleSince > now-c.pool.maxIdleTime() && conn.socket.HasNothingUnread() {
			c.idle = slices.Delete(c.idle, i, i+1)
			c.pool.idleConnections--
			return conn
		}
		conn.close()
	}
	return nil
}

// dispatchAfterRest schedules a dispatch for when the first idle connection has rested.
func (c *cache) dispatchAfterRest() {
	if c.restTimerSet {
		return
	}
	c.restTimerSet = true
	c.pool.runAt(c.idle[0].idleSince+c.minRest, func() {
		c.restTimerSet = false
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
