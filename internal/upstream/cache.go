package upstream

import (
	"slices"
	"sort"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
)

// holdTime is how long an attempt waits for a connection that is out before another cache's is closed for it: a
// little more than most answers take.
const holdTime = 2_000

// soonTime is within how long a connection's rest must end so that none is opened in its place: about as long as that takes.
const soonTime = 1_000

// cache is one cache server: its connections and the attempts that wait for one.
type cache struct {
	pool    *Pool
	name    string
	addr    string
	up      bool // the list says that it may be sent new work
	gone    bool // the list does not name it any more
	resting bool // a timer is set for the end of a connection's rest
	waking  bool // ... for a look at what waits
	held    bool // ... for the end of a wait before a dial
	conns   []*conn
	idle    []*conn // the one used last stands last
	dialing int
	opened  int // connections that came up since one did not
	most    int
	waiting []*Attempt // in the order of their sending
	out     int        // attempts without an outcome, probes left out
	trouble trouble
	equals  equals

	rest     Time // of a connection, between an answer and the next request at least
	fullRest Time // ... where there is a choice: a cache may close right after an answer, and that takes its way
}

func newCache(p *Pool, name string) *cache {
	b := &p.o.Limits
	return &cache{pool: p, name: name, most: max(b.MinConnections, b.FleetConnections/max(1, p.o.Routers)),
		rest: b.MinRestTime.Microseconds(), fullRest: b.FullRestTime.Microseconds()}
}

// update takes over what the list says.
func (u *cache) update(addr string, up, gone bool) {
	if addr != u.addr {
		u.addr = addr
		u.closeIdle(u.pool.m.Now())
		u.undial()
	}
	if gone {
		u.recovered()
	}
	u.up, u.gone = up, gone
	if !up {
		// The danger: an attempt that waits for a connection is sent after the drain is known.
		for len(u.waiting) > 0 {
			u.waiting[0].end(decide.NotSent, nil)
		}
		u.closeIdle(u.pool.m.Now())
		u.undial()
	}
	u.drop()
}

// drop lets go of a cache that is gone once nothing is open on it.
func (u *cache) drop() {
	p := u.pool
	if u.gone && len(u.conns) == 0 && len(u.waiting) == 0 && p.caches[u.name] == u {
		delete(p.caches, u.name)
		if at, found := slices.BinarySearchFunc(p.order, u.name, byName); found {
			p.order = slices.Delete(p.order, at, at+1)
		}
	}
}

// closeIdle closes the connections that have stood idle since the given time or longer.
func (u *cache) closeIdle(since Time) {
	for _, c := range slices.Clone(u.idle) {
		if c.idleSince <= since || !c.nc.Quiet() {
			c.close()
		}
	}
}

// undial gives up the connections that are coming up.
func (u *cache) undial() {
	for _, c := range slices.Clone(u.conns) {
		if c.nc == nil {
			c.close()
		}
	}
}

// start sends an attempt on an idle connection, or has it wait for one.
func (u *cache) start(a *Attempt) {
	p := u.pool
	if a.Request != nil {
		u.out++
	}
	u.waiting = append(u.waiting, a)
	u.pump()
	if a.state != over {
		// The danger: one that waits to the end has neither time for another attempt nor was it sent.
		a.connectBy = a.SentAt + min(p.o.DialTimeout, (a.Deadline-a.SentAt)*2/5)
		a.arm()
	}
}

// sendable is the last look before an attempt's first byte: all may have changed while it waited.
func (u *cache) sendable(a *Attempt) bool {
	look := guard.WriteCheck{Now: u.pool.m.Now(), Deadline: a.Deadline, WriteDeadline: a.WriteDeadline, CacheServing: u.up}
	return look.MayWrite() == guard.Allowed && (a.Request == nil || a.Request.MaySend(look.Now))
}

// pump gives idle connections to waiting attempts, first come first served, and
// opens more where there are too few.
func (u *cache) pump() {
	for len(u.waiting) > 0 && !u.pool.held {
		a := u.waiting[0]
		if u.pool.m.Late() > maxLate {
			u.wake() // all is looked at again in a turn that knows the time
			return
		}
		if !u.sendable(a) {
			a.end(decide.NotSent, nil)
			continue
		}
		c := u.rested()
		if c == nil {
			u.dial()
			return
		}
		if !c.write(a) {
			u.pool.later(u.pool.m.Now()+writeAgain, u.pump)
			return
		}
	}
}

// maxLate is how long a turn may have taken for its looks to count, in microseconds. A router may stand still for up to 0.15 s
// between reading its clock and writing: deadlines, windows and graces allow for that, and for no more.
const maxLate = 100_000

// writeAgain is until what the machine took no byte of is looked at again.
const writeAgain = 10_000

// putBack has a connection that was taken for an attempt stand idle again, as it was.
func (u *cache) putBack(c *conn) {
	i := sort.Search(len(u.idle), func(i int) bool { return u.idle[i].idleSince > c.idleSince })
	u.idle = slices.Insert(u.idle, i, c)
	u.pool.idle++
}

// rested takes an idle connection on which nothing has come since its answer. The danger: a second
// copy of the answer, a moment behind the first, would be taken for the answer to the next request.
func (u *cache) rested() *conn {
	now := u.pool.m.Now()
	if len(u.idle) > 0 && u.pool.busy() {
		u.pool.starved = true
		return nil
	}
	for len(u.idle) > 0 {
		// The one used last of those that are fully rested, so that others can idle out; else the first.
		i := sort.Search(len(u.idle), func(i int) bool { return u.idle[i].idleSince > now-u.fullRest })
		i = max(i-1, 0)
		c := u.idle[i]
		if c.idleSince > now-u.rest {
			break
		}
		if c.idleSince > now-u.pool.idleMost() && c.nc.Quiet() {
			u.idle = slices.Delete(u.idle, i, i+1)
			u.pool.idle--
			return c
		}
		c.close()
	}
	if len(u.idle) > 0 && !u.resting {
		u.resting = true
		u.pool.later(u.idle[0].idleSince+u.rest, func() {
			u.resting = false
			u.pump()
		})
	}
	return nil
}

// wake has attempts that wait for a connection looked at, in a turn of its own. The danger: a
// connection ends that they were counting on, and they stall until their dial time-out.
func (u *cache) wake() {
	if len(u.waiting) > 0 && !u.waking {
		u.waking = true
		u.pool.later(u.pool.m.Now(), func() {
			u.waking = false
			u.pump()
		})
	}
}

// free takes back a connection that is ready for the next attempt.
func (u *cache) free(c *conn, since Time) {
	if !u.up || c.addr != u.addr {
		c.close()
		return
	}
	c.idleSince = since
	u.putBack(c)
	u.pool.feed()
	u.pump()
}

// dial opens as many connections as there is need and room for. The danger: a
// burst that dials one for each request fills the cache's table and takes its time.
func (u *cache) dial() {
	p := u.pool
	if u.hold() {
		return
	}
	atATime := p.o.Limits.ConcurrentDials
	if p.gentle {
		atATime = min(atATime, 1+u.opened)
	}
	// The danger: connections that rest for long count as free, and what waits for them is late.
	ready := len(u.idle)
	if !p.full() { // else another one costs another cache its own
		soon := p.m.Now() - u.rest + soonTime
		ready = sort.Search(len(u.idle), func(i int) bool { return u.idle[i].idleSince > soon })
	}
	for u.dialing < min(len(u.waiting)-ready, atATime) && len(u.conns) < u.most && p.descriptor() {
		c := &conn{cache: u, addr: u.addr}
		u.conns = append(u.conns, c)
		u.dialing++
		c.dialing = p.m.Dial(u.addr, p.o.DialTimeout, c.dialed)
	}
}

// blocked reports whether connections are to come up, and none has begun for a lack on this machine.
func (u *cache) blocked() bool {
	blocked := false
	for _, c := range u.conns {
		if c.dialing == nil {
			continue
		}
		if !c.dialing.Blocked() {
			return false
		}
		blocked = true
	}
	return blocked
}

// hold reports whether what waits is to wait a moment more for one of the cache's connections that is out. The
// danger: where descriptors are all in use each dial closes a connection that another cache's next request wants, and a
// fleet larger than the descriptors opens connections for one another.
func (u *cache) hold() bool {
	p := u.pool
	out := len(u.conns) - len(u.idle) - u.dialing
	if out == 0 || !p.full() {
		return false
	}
	until := u.waiting[0].SentAt + holdTime
	if p.m.Now() >= until {
		return false
	}
	if !u.held {
		u.held = true
		p.later(until, func() {
			u.held = false
			u.pump()
		})
	}
	return true
}
