package upstream

import (
	"slices"
	"sort"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
)

const (
	// ownConnectionWait is how long an attempt waits for a connection of its cache that is out before another cache's is
	// closed to open one: a little more than most replies take.
	ownConnectionWait Time = 2_000
	// restNearlyOver is within how long an idle connection's rest must end so that none is opened in its place: about as long
	// as opening one takes.
	restNearlyOver Time = 1_000
)

// dial opens as many connections as are needed and allowed, a bounded number at a time: a burst that opens one for each request
// would fill the cache's table of connections and cost it work.
func (c *cache) dial() {
	p := c.pool
	if c.waitsForOwnConnection() {
		return
	}
	maxDials := p.options.Limits.ConcurrentDials
	if p.reconnectsLimited {
		maxDials = min(maxDials, 1+c.openedInRow)
	}
	ready := c.readySoon()
	for c.dialing < min(len(c.waiting)-ready, maxDials) && len(c.connections) < c.maxConnections && p.takeDescriptor() {
		conn := &connection{cache: c, addr: c.addr}
		c.connections = append(c.connections, conn)
		c.dialing++
		conn.dialing = p.machine.Dial(c.addr, p.options.DialTimeout, conn.dialed)
	}
}

// readySoon returns the number of idle connections that attempts can wait for. Those that rest for longer than a dial takes are
// not counted, unless opening another one costs another cache its own.
func (c *cache) readySoon() int {
	if c.pool.descriptorsExhausted() {
		return len(c.idle)
	}
	latest := c.pool.machine.Now() - c.minRest + restNearlyOver
	return sort.Search(len(c.idle), func(i int) bool { return c.idle[i].idleSince > latest })
}

// waitsForOwnConnection reports whether the first waiting attempt is to wait a moment for one of the cache's connections that is
// out. Where descriptors are exhausted, each dial closes a connection that another cache's next request wants.
func (c *cache) waitsForOwnConnection() bool {
	p := c.pool
	out := len(c.connections) - len(c.idle) - c.dialing
	if out == 0 || !p.descriptorsExhausted() {
		return false
	}
	until := c.waiting[0].SentAt + ownConnectionWait
	if p.machine.Now() >= until {
		return false
	}
	if !c.holdTimerSet {
		c.holdTimerSet = true
		p.runAt(until, func() {
			c.holdTimerSet = false
			c.dispatch()
		})
	}
	return true
}

// dialsBlockedLocally reports whether connections are coming up, and none has begun because this machine lacks something.
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

// cancelDials gives up the connections that are coming up.
func (c *cache) cancelDials() {
	for _, conn := range slices.Clone(c.connections) {
		if conn.socket == nil {
			conn.close()
		}
	}
}

// dialed is called by the machine when the connection is up, or with the error that prevented it.
func (conn *connection) dialed(socket machine.Conn, err error) machine.Handler {
	c := conn.cache
	defer c.pool.owner.ProcessEvents()
	conn.dialing = nil
	c.dialing--
	if err != nil {
		c.openedInRow = 0
		conn.close()
		if len(c.waiting) > 0 {
			c.waiting[0].finish(unconnectedResult(machine.IsLocalDialError(err)), nil)
		}
		c.dispatch()
		return nil
	}
	conn.socket = socket
	c.openedInRow++
	c.release(conn, c.pool.machine.Now()-c.minRest) // no reply came on it that could be repeated
	return conn
}

// unconnectedResult returns the result of an attempt that got no connection. Where this machine could open none, the attempt
// never reached the cache: as a failed connect, a lack here would count against all caches at once.
func unconnectedResult(local bool) decide.Result {
	if local {
		return decide.NotSent
	}
	return decide.ConnectFailed
}
