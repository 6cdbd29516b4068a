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

// Pool holds the connections to all caches. Use New.
type Pool struct {
	machine machine.Machine
	options Options
	owner   Owner
	logger  *slog.Logger
	timers  *timerqueue.Queue // for the deadlines of attempts

	caches map[string]*cache
	sorted []*cache // the same by name, for what must happen in an order that runs repeat

	connections       int  // to all caches, those coming up included
	idleConnections   int  // of them
	lentDescriptors   int  // set by LendDescriptors, for idle connections alone
	descriptorWanted  bool // an attempt waits for a descriptor: it is dispatched when one is free
	paused            bool // set by Pause: no attempt is written
	reconnectsLimited bool // set by LimitReconnects

	readBuffer  []byte     // scratch space of one read
	writeBuffer []byte     // scratch space in which a command is encoded
	reply       resp.Reply // the reply that is handled

	unavailableCaches int  // caches that the log says serve nothing
	outageLoggedAt    Time // when the log last said that no cache serves; 0 for never
}

// New returns a pool without caches.
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

// Update takes over what the endpoint list says of a cache: whether it is serving, so that new attempts may go to it, and
// whether it is removed, so that it is forgotten once nothing is out on it.
func (p *Pool) Update(name, addr string, serving, removed bool) {
	c := p.caches[name]
	if c == nil {
		if removed {
			return
		}
		c = newCache(p, name)
		p.caches[name] = c
		at, _ := slices.BinarySearchFunc(p.sorted, name, compareName)
		p.sorted = slices.Insert(p.sorted, at, c)
	}
	c.update(addr, serving, removed)
}

// compareName orders caches by name.
func compareName(c *cache, name string) int { return strings.Compare(c.name, name) }

// forget drops a cache.
func (p *Pool) forget(c *cache) {
	delete(p.caches, c.name)
	if at, found := slices.BinarySearchFunc(p.sorted, c.name, compareName); found {
		p.sorted = slices.Delete(p.sorted, at, at+1)
	}
}

// CacheRestarted drops the failures that are recorded of a cache's process, as a new one has taken its place.
func (p *Pool) CacheRestarted(name string) {
	if c := p.caches[name]; c != nil {
		c.forgetFailures()
	}
}

// Start sends an attempt to a cache as soon as a connection is free. It reports whether the cache is known; where it is not,
// the attempt has no result.
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

// Pause has attempts wait until Resume. It is called when what is known of the caches may be out of date.
func (p *Pool) Pause() { p.paused = true }

// Resume ends a Pause. Attempts that wait are written in a later turn.
func (p *Pool) Resume() {
	p.paused = false
	for _, name := range slices.Sorted(maps.Keys(p.caches)) {
		p.caches[name].scheduleDispatch()
	}
}

// LimitReconnects sets whether connections to a cache that was unavailable are opened one at a time at first, and more at a time
// with each that comes up. A cache that has just started can do little, and connections cost it work.
func (p *Pool) LimitReconnects(on bool) { p.reconnectsLimited = on }

// InFlight returns the number of attempts at a cache without a result, health checks not among them.
func (p *Pool) InFlight(name string) int {
	if c := p.caches[name]; c != nil {
		return c.inFlight
	}
	return 0
}

// Connections returns the number of connections, those coming up included.
func (p *Pool) Connections() int { return p.connections }

// Attempts returns the number of attempts and health checks without a result.
func (p *Pool) Attempts() (n int) {
	for _, c := range p.sorted {
		n += len(c.waiting)
		for _, conn := range c.connections {
			if conn.attempt != nil {
				n++
			}
		}
	}
	return n
}

// Sweep closes connections that have been idle for long before their caches do, and logs that no cache serves. It is called
// about once a second.
func (p *Pool) Sweep() {
	for _, c := range slices.Clone(p.sorted) {
		c.closeIdle(p.machine.Now() - p.maxIdleTime())
	}
	if p.unavailableCaches > 0 {
		p.logOutage()
	}
}

// Close ends all connections. Attempts that are out get no result, and nothing is dialled any more.
func (p *Pool) Close() {
	for _, c := range slices.Clone(p.sorted) {
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

// runAt calls f at a time, in a turn that ends with the owner's ProcessEvents.
func (p *Pool) runAt(at Time, f func()) {
	p.machine.At(at, func() {
		f()
		p.owner.ProcessEvents()
	})
}
