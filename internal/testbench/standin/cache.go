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
	CancelNone   Cancel = iota // it goes on
	CancelQueued               // it is dropped while it waits
	CancelAll                  // it stops
)

// CacheOptions describe a cache server.
type CacheOptions struct {
	Name, Zone string
	Group      int
	Capacity   Capacity
	Cancel     Cancel

	MemoryKeys    int
	Coalesce      bool // misses of one key share a fetch
	MissKeepsSlot bool // a request that waits for a fetch holds its slot
	FetchTimeout  Time // 0 for none

	Connections     int  // 0 stands for 90
	RejectsWhenFull bool // a connection too many is told -BUSY before its end
	Streams         int  // requests of one connection that are begun at once; 0 stands for 100
	HandshakeWork   Time // work that a new connection costs
	HandshakeTime   Time // the first request on it waits so long in any case
	IdleFor         Time // a connection that stood idle so long is closed; 0 never

	Probes    bool // PING and INFO are answered with care and cost work
	ProbeWork Time
	Reports   bool // answers hold a load report
	ValueSize int  // of a value whose request names no size

	// RouterOf names the router at a remote address, for the addresses that were opened for no router.
	RouterOf func(remote string) string
}

// Cache is one cache server. It keeps its name and its addresses over restarts of its process.
type Cache struct {
	m        machine.Machine
	options  CacheOptions
	rng      *rand.Rand
	observer rules.Observer
	workload *Workload
	store    *Store
	repeats  *Repeats

	listeners     []*cacheListener
	up            bool
	processor     *processor
	memory        *lruMemory
	fetches       []*fetch // that are out, in the order in which they began
	conns         []*cacheConn
	commands      map[*command]struct{} // begun and not over
	offeredWork   slidingWork
	faults        faults
	hits          int // reads that its memory held ...
	misses        int // ... and those that it did not
	dials         int // connections that came
	rejectedDials int // ... and those for which there was no room
}

// cacheListener is an address that a cache listens on.
type cacheListener struct {
	addr, router string
	listener     machine.Listener
}

// CacheParts are what a cache shares with others.
type CacheParts struct {
	Workload *Workload
	Store    *Store
	Repeats  *Repeats
	Observer rules.Observer
}

// NewCache is a cache that is not started yet.
func NewCache(m machine.Machine, o CacheOptions, parts CacheParts, rng *rand.Rand) *Cache {
	if o.Connections == 0 {
		o.Connections = 90
	}
	if o.Streams == 0 {
		o.Streams = 100
	}
	c := &Cache{m: m, options: o, rng: rng, observer: observerOrBlind(parts.Observer), workload: parts.Workload, store: parts.Store,
		repeats: parts.Repeats}
	c.store.caches = append(c.store.caches, c)
	return c
}

// Name is the cache's name.
func (c *Cache) Name() string { return c.options.Name }

// Zone is where it stands.
func (c *Cache) Zone() string { return c.options.Zone }

// Up reports whether its process runs.
func (c *Cache) Up() bool { return c.up }

// Open listens at an address and returns the one that it got. Attempts that come in there are those of
// the router; without a name, RouterOf tells.
func (c *Cache) Open(addr, router string) (string, error) {
	d := &cacheListener{addr: addr, router: router}
	if err := c.listen(d); err != nil {
		return "", err
	}
	c.listeners = append(c.listeners, d)
	return d.addr, nil
}

// Group is the number of the group that it belongs to.
func (c *Cache) Group() int { return c.options.Group }

// Address is the one that was opened for a router; "" stands for all routers.
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

// Start starts the process. A cold one holds no key and can do little at first; a warm one that runs
// since long ago still begins with an empty memory, which Warm fills.
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
	share := 1.0
	if c.processor.slowStartWindow > 0 {
		share = c.options.Capacity.SlowStartMinCapacity
	}
	warm := c.options.Capacity.Cores * c.processor.speed() * float64(Second)
	c.observer.CacheUp(c.m.Now(), c.options.Name, warm, share, c.processor.slowStartWindow)
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

// Warm puts keys into the memory, the first as the one used longest ago.
func (c *Cache) Warm(keys []string) {
	for _, k := range keys {
		c.memory.add(k)
	}
}

// Memory is the keys that it holds, as Warm takes them.
func (c *Cache) Memory() (keys []string) {
	for e := c.memory.order.Back(); e != nil; e = e.Prev() {
		keys = append(keys, e.Value.(string))
	}
	return keys
}

// WarmingUp reports whether its process has not reached its whole capacity yet.
func (c *Cache) WarmingUp() bool { return c.up && c.processor.capacityFraction() < 1 }

// Able is the work that it can do in each second by now, faults and crowds aside; 0 where it does not run.
func (c *Cache) Able() float64 {
	if !c.up {
		return 0
	}
	return c.processor.availableRate() * float64(Second)
}

// HasKey reports whether its memory holds a key.
func (c *Cache) HasKey(key string) bool { return c.up && c.memory.at[key] != nil }

// Holds is the number of requests that run or wait.
func (c *Cache) Holds() int { return len(c.commands) }

// Hits is the number of reads whose key it held, and of those that had to wait for the store, since it exists.
func (c *Cache) Hits() (hits, misses int) { return c.hits, c.misses }

// Dials is the number of connections that came, and of those that were turned away for want of room, since it exists.
func (c *Cache) Dials() (came, turnedAway int) { return c.dials, c.rejectedDials }

// Connections is the number of those that are open.
func (c *Cache) Connections() int { return len(c.conns) }

// Stop ends the process: its connections end, new ones are refused.
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

// offer books work that it was sent, and falls over where that was too much. It reports whether the
// process still runs.
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

// invalidate drops the copy of a key that was written.
func (c *Cache) invalidate(key string) {
	if !c.up {
		return
	}
	c.memory.remove(key)
	for _, f := range c.fetches {
		f.stale = f.stale || f.key == key
	}
}
