package standin

import (
	"math/rand/v2"
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// Cancel is the policy for the work of requests whose connection has closed.
type Cancel uint8

const (
	// CancelNone completes the work.
	CancelNone Cancel = iota
	// CancelQueued drops a request that is still queued for a slot.
	CancelQueued
	// CancelAll also stops a running request.
	CancelAll
)

// Defaults of CacheOptions.
const (
	defaultConnections = 90
	defaultStreams     = 100
)

// CacheOptions describe a cache server.
type CacheOptions struct {
	Name     string   // its name in the endpoint list
	Zone     string   // its data centre
	Group    int      // its cell
	Capacity Capacity // of the processor
	Cancel   Cancel   // policy for the work of requests whose connection has closed

	MemoryKeys       int  // number of keys that the memory holds
	Coalesce         bool // concurrent misses of a key share one fetch
	MissOccupiesSlot bool // a request that waits for a fetch occupies its slot
	FetchTimeout     Time // timeout of a fetch; 0 disables it

	Connections     int  // maximum of open connections; 0 stands for 90
	RejectsWhenFull bool // a connection above the maximum receives -BUSY before the cache closes it
	Streams         int  // maximum of concurrent requests per connection; 0 stands for 100
	HandshakeWork   Time // work of accepting a connection
	HandshakeTime   Time // minimum wait of the first request on a connection
	IdleFor         Time // the cache closes a connection that is idle for this time; 0 disables it

	Probes    bool // PING and INFO cost work, and INFO answers with a load report
	ProbeWork Time // work of one PING or INFO
	Reports   bool // replies contain a load report
	ValueSize int  // bytes of a value if the request names no size

	// RouterOf returns the name of the router at a remote address. It is used for listeners that were opened without a router's name.
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
	fetches       []*fetch              // in flight, oldest first
	conns         []*cacheConn          // open connections
	commands      map[*command]struct{} // running and queued requests
	offeredWork   slidingWork           // work that arrived within the overload window
	faults        faults                // injected by scripts; they persist over restarts of the process
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
	Repeats  *Repeats       // keyed writes that the caches of a group remember for deduplication
	Observer rules.Observer // notified of each event; may be nil
}

// NewCache returns a stopped cache and registers it with the store for notifications of writes.
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

// Up reports whether the process runs.
func (c *Cache) Up() bool { return c.up }

// Open listens at an address and returns the bound address. Connections that arrive there belong to the named
// router; for an empty name, CacheOptions.RouterOf names it.
func (c *Cache) Open(addr, router string) (string, error) {
	l := &cacheListener{addr: addr, router: router}
	if err := c.listen(l); err != nil {
		return "", err
	}
	c.listeners = append(c.listeners, l)
	return l.addr, nil
}

// Group returns the number of the cache's group.
func (c *Cache) Group() int { return c.options.Group }

// Address returns the address that was opened for a router, or for all routers if router is "".
func (c *Cache) Address(router string) string {
	for _, l := range c.listeners {
		if l.router == router {
			return l.addr
		}
	}
	return ""
}

func (c *Cache) listen(l *cacheListener) error {
	ln, err := c.m.Listen(l.addr, func(conn machine.Conn) machine.Handler { return c.accept(conn, l) })
	if err != nil {
		return err
	}
	l.listener, l.addr = ln, ln.Addr()
	if c.faults.silent {
		ln.Pause()
	}
	return nil
}

// Start starts the process. A cold process begins in slow start; a warm process has full capacity. Both begin with an
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
	for _, l := range c.listeners {
		if l.listener != nil {
			continue
		}
		if err := c.listen(l); err != nil {
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

// Able returns the work per second that the cache can do at its present slow start, without faults and congestion; 0 while the
// process is down.
func (c *Cache) Able() float64 {
	if !c.up {
		return 0
	}
	return c.processor.availableRate() * float64(Second)
}

// HasKey reports whether a key is in memory.
func (c *Cache) HasKey(key string) bool { return c.up && c.memory.at[key] != nil }

// Holds returns the number of running and queued requests.
func (c *Cache) Holds() int { return len(c.commands) }

// Hits returns how many reads found their key in memory and how many needed the store, over all processes.
func (c *Cache) Hits() (hits, misses int) { return c.hits, c.misses }

// Dials returns how many connections arrived and how many of them were rejected because the table was full, over all
// processes.
func (c *Cache) Dials() (arrived, rejected int) { return c.dials, c.rejectedDials }

// Connections returns the number of open connections.
func (c *Cache) Connections() int { return len(c.conns) }

// Stop ends the process: the cache closes its connections and refuses new connections.
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
	for _, l := range c.listeners {
		if l.listener != nil {
			l.listener.Close()
			l.listener = nil
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

// offer records arriving work, and crashes the process if the sum exceeds the overload bound. It reports
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

// invalidate evicts a written key from memory, and prevents fetches in flight from storing the old value.
func (c *Cache) invalidate(key string) {
	if !c.up {
		return
	}
	c.memory.remove(key)
	for _, f := range c.fetches {
		f.stale = f.stale || f.key == key
	}
}
