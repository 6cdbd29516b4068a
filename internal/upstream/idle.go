package upstream

import (
	"slices"
	"sort"
)

// Connections are closed after keepaliveNumerator/keepaliveDenominator of the caches' Keepalive. A cache that closes one just as
// a request is written to it leaves open whether that request has run.
const keepaliveNumerator, keepaliveDenominator = 3, 4

// maxIdleTime returns how long a connection may have been idle. It must be allowed to rest first, however short Keepalive is.
func (p *Pool) maxIdleTime() Time {
	return max(p.options.Keepalive*keepaliveNumerator/keepaliveDenominator, 2*p.options.Limits.MinRestTime.Microseconds())
}

// release takes back a connection that is ready for the next attempt, idle since the given time.
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

// returnIdle adds a connection to the idle ones, at the place that its idle time gives.
func (c *cache) returnIdle(conn *connection) {
	i := sort.Search(len(c.idle), func(i int) bool { return c.idle[i].idleSince > conn.idleSince })
	c.idle = slices.Insert(c.idle, i, conn)
	c.pool.idleConnections++
}

// removeIdle takes a connection off the idle ones, if it is one.
func (c *cache) removeIdle(conn *connection) {
	if i := slices.Index(c.idle, conn); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
		c.pool.idleConnections--
	}
}

// takeIdle takes an idle connection that has rested, or returns nil. On one that has not rested, a repeat of the last reply may
// still arrive, and would be taken for the reply to the next request.
func (c *cache) takeIdle() *connection {
	if len(c.idle) > 0 && c.pool.ownDescriptorsInUse() {
		c.pool.descriptorWanted = true
		return nil
	}
	now := c.pool.machine.Now()
	for len(c.idle) > 0 {
		// Of those that are fully rested, the one used last, so that the others can reach maxIdleTime; else the first.
		i := sort.Search(len(c.idle), func(i int) bool { return c.idle[i].idleSince > now-c.fullRest })
		i = max(i-1, 0)
		conn := c.idle[i]
		if conn.idleSince > now-c.minRest {
			c.dispatchAfterRest()
			return nil
		}
		if conn.idleSince > now-c.pool.maxIdleTime() && conn.socket.Quiet() {
			c.idle = slices.Delete(c.idle, i, i+1)
			c.pool.idleConnections--
			return conn
		}
		conn.close()
	}
	return nil
}

// dispatchAfterRest dispatches again when the first idle connection has rested.
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

// closeIdle closes the connections that have been idle since the given time or longer, and those on which something has arrived.
func (c *cache) closeIdle(since Time) {
	for _, conn := range slices.Clone(c.idle) {
		if conn.idleSince <= since || !conn.socket.Quiet() {
			conn.close()
		}
	}
}
