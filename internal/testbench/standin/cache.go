package standin

import (
	"math/rand/v2"
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// Cancel says what becomes of the work of a request whose connection has ended.
type Cancel uint8

const (
	// CancelNone lets the work go on.
	CancelNone Cancel = iota
	// CancelQueued drops a request that still waits for a slot.
	CancelQueued
	// CancelAll also stops a request that runs.
	CancelAll
)

// Defaults of CacheOptions.
const (
	defaultConnections = 90
	defaultStreams     = 100
)

// CacheOptions describe a cache server.
type CacheOptions struct {
	Name     string   // as the endpoint list has it
	Zone     string   // its data centre
	Group    int      // its cell
	Capacity Capacity // of its processor
	Cancel   Cancel   // what becomes of the work for clients that have gone

	MemoryKeys       int  // keys that its memory holds
	Coalesce         bool // misses of one key wait for one fetch
	MissOccupiesSlot bool // a request that waits for a fetch occupies its slot
	FetchTimeout     Time // a fetch fails after so long; 0 for never

	Connections     int  // open at once; 0 stands for 90
	RejectsWhenFull bool // a connection beyond that gets -BUSY before it is closed
	Streams         int  // requests of one connection that are in work at once; 0 stands for 100
	HandshakeWork   Time // work that a new connection costs
	HandshakeTime   Time // the first request on a connection waits at least so long
	IdleFor         Time // a connection without a request is closed after so long; 0 for never

	Probes    bool // PING and INFO cost work, and INFO answers with a load report
	ProbeWork Time // what one of them costs
	Reports   bool // answers hold a load report
	ValueSize int  // of a value whose request names no size, in bytes

	// RouterOf names the router at a remote address, for the addresses that were opened for no router.
	RouterOf func(remote string) string
}

// Cache is one cache server. It keeps its name and its addresses when its process restarts.
type Cache struct {
	m        machine.Machine
	options  CacheOptions
	rng      *rand.Rand
	observer rules.Observer
	workload *Workload
	store    *Store
	repeats  *Repeats

	listeners     []*cacheListener
	up            bool                  // the process runs
	processor     *processor            // of the running process
	memory        *lruMemory            // of the running process
	fetches       []*fetch              // under way, in the order in which they began
	conns         []*cacheConn          // open connections
	commands      map[*command]struct{} // requests that run or wait
	offeredWork   slidingWork           // work that it was sent over the overload window
	faults        faults                // injected by scripts; they outlive the process
	hits          int                   // reads whose key was in memory
	misses        int                   // reads whose key was not
	dials         int                   // connections that were accepted or rejected
	rejectedDials int                   // connections rejected because the table was full
}

// cacheListener is an address that a cache listens on; listener is nil while the process is down.
type cacheListener struct {
	addr, router string
	listener     machine.Listener
}

// CacheParts are the objects that a cache shares with others.
type CacheParts struct {
	Workload *Workload      // the work of each request
	Store    *Store         // the origin behind the caches
	Repeats  *Repeats       // keyed writes that the caches of a group remember
	Observer rules.Observer // told of each event; nil for none
}

// NewCache returns a cache that is not started yet. It adds itself to the caches that the store notifies of writes.
func NewCache(m machine.Machine, o CacheOptions, parts CacheParts, rng *rand.Rand) *Cache {
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Streams == 0 {
		o.Streams = defaultStreams
	}
	c := &Cache{m: m, options: o, rng: rng, observer: observerOrBlind(parts.Observer), workload: parts.Workload, store: parts.Store,
		repeats: parts.Repeats}
	c.store.caches = append(c.store.caches, c)
	return c
}

// Name returns the cache's name.
func (c *Cache) Name() string { return c.options.Name }

// Zone returns the cache's zone.
func (c *Cache) Zone() string { return c.options.Zone }

// Up reports whether its process runs.
func (c *Cache) Up() bool { return c.up }

// Open listens at an address and returns the one that it got. Connections that arrive there belong to the named
// router; for an empty name, CacheOptions.RouterOf names it.
func (c *Cache) Open(addr, router string) (string, error) {
	d := &cacheListener{addr: addr, router: router}
	if err := c.listen(d); err != nil {
		return "", err
	}
	c.listeners = append(c.listeners, d)
	return d.addr, nil
}

// Group returns the number of the group that it belongs to.
func (c *Cache) Group() int { return c.options.Group }

// Address returns the address that was opened for a router, or for all routers where router is "".
func (c *Cache) Address(router string) string {
	for _, d := range c.listeners {
		if d.router == router {
			return d.addr
		}
	}
	return ""
}

func (c *Cache) listen(d *cacheListener) error {
	ln, err := c.m.Listen(d.addr, func(conn machine.Conn) machine.Handler { return c.accept(conn, d) })
	if err != nil {
		return err
	}
	d.listener, d.addr = ln, ln.Addr()
	if c.faults.silent {
		ln.Pause()
	}
	return nil
}

// Start starts the process. A cold process begins slow start; a warm one has its whole capacity. Both begin with an
// empty memory, which Warm can fill.
func (c *Cache) Start(cold bool) error {
	if c.up {
		return nil
	}
	c.up = true
	c.processor = newProcessor(c.m, &c.options.Capacity, cold)
	c.memory = newLRUMemory(c.options.MemoryKeys)
	c.commands = map[*command]struct{}{}
	c.offeredWork = slidingWork{span: c.options.Capacity.OverloadWindow}
	c.faults.apply(c)
	capacityFraction := 1.0
	if c.processor.slowStartWindow > 0 {
		capacityFraction = c.options.Capacity.SlowStartMinCapacity
	}
	warm := c.options.Capacity.Cores * c.processor.speed() * float64(Second)
	c.observer.CacheUp(c.m.Now(), c.options.Name, warm, capacityFraction, c.processor.slowStartWindow)
	for _, d := range c.listeners {
		if d.listener != nil {
			continue
		}
		if err := c.listen(d); err != nil {
			return err
		}
	}
	return nil
}

// Warm puts keys into the memory, from the least to the most recently used.
func (c *Cache) Warm(keys []string) {
	for _, k := range keys {
		c.memory.add(k)
	}
}

// Memory returns the keys in memory, in the order that Warm expects.
func (c *Cache) Memory() (keys []string) {
	for e := c.memory.order.Back(); e != nil; e = e.Prev() {
		keys = append(keys, e.Value.(string))
	}
	return keys
}

// WarmingUp reports whether the process is in slow start.
func (c *Cache) WarmingUp() bool { return c.up && c.processor.capacityFraction() < 1 }

// Able returns the work that it can do in a second at its present warmth, without faults and congestion; 0 while the
// process is down.
func (c *Cache) Able() float64 {
	if !c.up {
		return 0
	}
	return c.processor.availableRate() * float64(Second)
}

// HasKey reports whether a key is in memory.
func (c *Cache) HasKey(key string) bool { return c.up && c.memory.at[key] != nil }

// Holds returns the number of requests that run or wait.
func (c *Cache) Holds() int { return len(c.commands) }

// Hits returns how many reads found their key in memory and how many needed the store, over all processes.
func (c *Cache) Hits() (hits, misses int) { return c.hits, c.misses }

// Dials returns how many connections arrived and how many of them were rejected because the table was full, over all
// processes.
func (c *Cache) Dials() (came, turnedAway int) { return c.dials, c.rejectedDials }

// Connections returns the number of open connections.
func (c *Cache) Connections() int { return len(c.conns) }

// Stop ends the process: its connections are closed, and new ones are refused.
func (c *Cache) Stop() { c.stop(false) }

// Restart ends the process and starts a new one.
func (c *Cache) Restart(cold bool) error {
	c.stop(false)
	return c.Start(cold)
}

func (c *Cache) stop(fallen bool) {
	if !c.up {
		return
	}
	c.up = false
	c.observer.CacheDown(c.m.Now(), c.options.Name, fallen)
	for _, d := range c.listeners {
		if d.listener != nil {
			d.listener.Close()
			d.listener = nil
		}
	}
	c.processor.stop()
	for _, conn := range slices.Clone(c.conns) {
		conn.drop()
	}
	for _, f := range slices.Clone(c.fetches) {
		f.abandon()
	}
	c.conns, c.commands, c.fetches = nil, nil, nil
}

// offer records work that the cache was sent, and crashes the process where that exceeds the overload bound. It reports
// whether the process still runs.
func (c *Cache) offer(id, router string, work Time) bool {
	now := c.m.Now()
	c.observer.Offered(now, c.options.Name, router, work)
	sum := c.offeredWork.add(now, work)
	o := &c.options.Capacity
	if o.OverloadWindow > 0 && o.OverloadMultiple > 0 {
		allowed := o.OverloadMultiple * c.processor.availableRate() * float64(o.OverloadWindow)
		if o.MeanWork > 0 {
			allowed = rules.AllowedWork(allowed, o.MeanWork)
		}
		if float64(sum) > allowed {
			c.stop(true)
		}
	}
	return c.up
}

// invalidate drops a key that was written from memory, and keeps fetches under way from storing its old value.
func (c *Cache) invalidate(key string) {
	if !c.up {
		return
	}
	c.memory.remove(key)
	for _, f := range c.fetches {
		f.stale = f.stale || f.key == key
	}
}
