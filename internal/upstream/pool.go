package upstream

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/structuredlog"
	"starlingwinch/internal/timerqueue"
)

// Pool manages the connections to all caches. Use New to create one.
type Pool struct {
	machine machine.Machine
	options Options
	owner   Owner
	logger  *slog.Logger
	timers  *timerqueue.Queue // timers for the deadlines of attempts

	caches       map[string]*cache // by name
	sortedCaches []*cache          // sorted by name, for iterations whose order must be the same in every run

	connections       int  // number of connections to all caches, including those being established
	idleConnections   int  // number of idle connections
	lentDescriptors   int  // set by SetExtraIdleConnections, for idle connections only
	descriptorWanted  bool // an attempt waits for a descriptor; attempts are dispatched when one is free
	paused            bool // set by Pause: no attempt is written
	reconnectsLimited bool // set by LimitReconnects

	readBuffer  []byte     // scratch space for reads
	writeBuffer []byte     // scratch space for encoding a command
	reply       resp.Reply // the most recently parsed reply, reused to avoid allocation

	unavailableCaches int  // number of caches logged as unavailable
	outageLoggedAt    Time // when an outage of all caches was last logged; 0 if an outage must be logged at the next sweep
}

// New returns a pool that has no caches.
func New(m machine.Machine, options Options, owner Owner) *Pool {
	if options.Timers == nil {
		options.Timers = timerqueue.New(m)
	}
	if options.Logger == nil {
		options.Logger = structuredlog.Discard()
	}
	return &Pool{
		machine:    m,
		options:    options,
		owner:      owner,
		logger:     options.Logger,
		timers:     options.Timers,
		caches:     map[string]*cache{},
		readBuffer: make([]byte, resp.MaxReplyBytes),
	}
}

// Update applies an endpoint list entry to a cache, and adds a cache that is new. serving reports whether new attempts may be
// sent to the cache; a removed cache is dropped once no attempt is in flight on it.
func (p *Pool) Update(name, addr string, serving, removed bool) {
	c := p.caches[name]
	if c == nil {
		if removed {
			return
		}
		c = newCache(p, name)
		p.caches[name] = c
		at, _ := slices.BinarySearchFunc(p.sortedCaches, name, compareName)
		p.sortedCaches = slices.Insert(p.sortedCaches, at, c)
	}
	c.update(addr, serving, removed)
}

// compareName orders caches by name.
func compareName(c *cache, name string) int { return strings.Compare(c.name, name) }

// removeCache deletes a cache from the pool.
func (p *Pool) removeCache(c *cache) {
	delete(p.caches, c.name)
	if at, found := slices.BinarySearchFunc(p.sortedCaches, c.name, compareName); found {
		p.sortedCaches = slices.Delete(p.sortedCaches, at, at+1)
	}
}

// CacheRestarted clears the failures recorded for a cache, because a new process has replaced the one that failed.
func (p *Pool) CacheRestarted(name string) {
	if c := p.caches[name]; c != nil {
		c.resetFailures()
	}
}

// Start sends an attempt to a cache as soon as a connection is free. It returns false if the cache is unknown; the attempt gets no
// result then.
func (p *Pool) Start(name string, a *Attempt) bool {
	c := p.caches[name]
	if c == nil {
		return false
	}
	a.cache = c
	c.start(a)
	return true
}

// CloseIdle closes the idle connections to a cache.
func (p *Pool) CloseIdle(name string) {
	if c := p.caches[name]; c != nil {
		c.closeIdle(p.machine.Now())
	}
}

// Pause stops the writing of attempts until Resume. The router calls it when its information about the caches may be outdated.
func (p *Pool) Pause() { p.paused = true }

// Resume ends a Pause. Waiting attempts are written in a later turn.
func (p *Pool) Resume() {
	p.paused = false
	for _, name := range slices.Sorted(maps.Keys(p.caches)) {
		p.caches[name].scheduleDispatch()
	}
}

// LimitReconnects sets whether the pool ramps up connections to a cache that was unavailable: it starts with one dial at a time
// and allows one more concurrent dial for each connection established. A cache that has just started has little capacity, and
// connections cost it work.
func (p *Pool) LimitReconnects(on bool) { p.reconnectsLimited = on }

// InFlight returns the number of attempts at a cache that have no result yet, health checks excluded.
func (p *Pool) InFlight(name string) int {
	if c := p.caches[name]; c != nil {
		return c.inFlight
	}
	return 0
}

// Connections returns the number of connections, including those being established.
func (p *Pool) Connections() int { return p.connections }

// Attempts returns the number of attempts and health checks that have no result yet.
func (p *Pool) Attempts() (n int) {
	for _, c := range p.sortedCaches {
		n += len(c.waiting)
		for _, conn := range c.connections {
			if conn.attempt != nil {
				n++
			}
		}
	}
	return n
}

// Sweep closes connections that have been idle for a long time before their caches close them, and logs an outage of all caches.
// The router calls it about once a second.
func (p *Pool) Sweep() {
	for _, c := range slices.Clone(p.sortedCaches) {
		c.closeIdle(p.machine.Now() - p.maxIdleTime())
	}
	if p.unavailableCaches > 0 {
		p.logOutage()
	}
}

// Close closes all connections. Attempts in flight get no result, and the pool opens no further connections.
func (p *Pool) Close() {
	for _, c := range slices.Clone(p.sortedCaches) {
		c.serving = false
		for len(c.waiting) > 0 {
			c.waiting[0].detach()
		}
		for _, conn := range slices.Clone(c.connections) {
			if conn.attempt != nil {
				conn.attempt.detach()
			}
			conn.close()
		}
	}
}

// runAt calls f at the given time, followed by the owner's ProcessEvents in the same turn.
func (p *Pool) runAt(at Time, f func()) {
	p.machine.At(at, func() {
		f()
		p.owner.ProcessEvents()
	})
}
