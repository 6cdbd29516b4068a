package standin

import (
	"fmt"
	"math/rand/v2"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// Options describe a whole fleet with its load clients.
type Options struct {
	Caches  int      // number of caches at the start
	Zones   []string // assigned to caches and load clients round-robin
	Classes []Class
	Keys    int     // number of keys
	Zipf    float64 // exponent of the keys' Zipf distribution
	Offset  float64 // added to the rank of a key, which flattens the distribution of the most popular keys

	Cache     CacheOptions // of each cache; the fleet sets names, zones and groups
	Store     StoreOptions
	Discovery DiscoveryOptions
	Clients   int           // number of load clients
	Client    ClientOptions // of each load client; Rate is the total over all of them
	Routers   []string      // names; every cache and discovery have a separate address for each router

	// Placement takes the caches' names and returns a function that maps a key to its cache's name. The caches that run at the
	// start hold their keys in memory; nil stands for the most popular keys at each cache.
	Placement func(caches []string) func(key string) string
}

// DefaultOptions returns the options of a fleet under normal load, with nine caches and three routers.
func DefaultOptions() Options {
	return Options{
		Caches: 9, Zones: []string{"ahmedabad", "rajkot", "surat"}, Classes: DefaultClasses(),
		Keys: 20000, Zipf: 1.05, Offset: 3,
		Cache: CacheOptions{
			Capacity: Capacity{Cores: 6, Speed: 1, ConcurrentRequests: 96, Queue: 2400, Thrash: 0.05, ThrashAt: 4, FullTableSlowdown: 0.25,
				SlowStartMinCapacity: 0.16, SlowStartWindow: 20 * Second, OverloadMultiple: 3, OverloadWindow: 3 * Second},
			Cancel: CancelAll, MemoryKeys: 600, Coalesce: true, Connections: 90, Streams: 100,
			HandshakeWork: 16 * Millisecond, HandshakeTime: Millisecond, IdleFor: 60 * Second,
			Probes: true, ProbeWork: 2400,
		},
		Store: StoreOptions{Concurrency: 4, Latency: 80 * Millisecond, CV: 0.6, Queue: 75, OverloadMultiple: 3,
			OverloadWindow: 3 * Second, MinDowntime: 3 * Second, MaxDowntime: 8 * Second},
		Discovery: DiscoveryOptions{Delay: 1500 * Millisecond, CallCost: 2 * Millisecond, LineCost: 100,
			Timeout: Second, RejectCost: 50, PollInterval: 6 * Second, NotifiedAfter: 6 * Second},
		Clients: 6,
		Client: ClientOptions{Tenant: "logbook", Rate: 200, Retries: 1, RetryWait: FixedWait, RetryWaitTime: 50 * Millisecond,
			RetryAfterCompliance: 0.6, AttemptTimeoutFraction: 0.75},
		Routers: []string{"r-1", "r-2", "r-3"},
	}
}

// Places provides the machines that the stand-ins run on: a host for each on a virtual network, or one for all. Each
// function that returns a machine is called once for each stand-in.
type Places struct {
	Cache     func(name, zone string) machine.Machine
	Store     func() machine.Machine
	Discovery func() machine.Machine
	Client    func(name, zone string) machine.Machine
	// Listen returns the address that a stand-in listens on for a router; nil stands for a free port of 127.0.0.1.
	Listen func(standin, router string) string
	// Routers returns the routers that clients of a zone may currently connect to.
	Routers func(zone string) []Target
}

// Fleet contains all stand-ins around the routers.
type Fleet struct {
	Workload  *Workload
	Keys      *Keys
	Store     *Store
	Repeats   *Repeats
	Caches    []*Cache
	Discovery *Discovery
	// Lists contains discovery's address for each router.
	Lists   map[string]string
	Clients []*Client

	options  Options
	places   Places
	rng      *rand.Rand
	observer rules.Observer
	created  int // number of caches created, from which names, zones and groups are derived
}

// NewFleet creates a fleet whose caches run, are warm and are in the endpoint list; the load clients wait for Start. Each
// part draws from a separate generator, so that a change of one part does not change the draws of the others.
func NewFleet(o Options, p Places, rng *rand.Rand, obs rules.Observer) (*Fleet, error) {
	f := &Fleet{options: o, places: p, rng: rng, observer: observerOrBlind(obs), Repeats: NewRepeats(), Lists: map[string]string{}}
	f.Workload = NewWorkload(o.Classes, f.newRand())
	f.Keys = NewKeys(o.Keys, o.Zipf, o.Offset, f.newRand())
	f.Store = NewStore(p.Store(), o.Store, f.newRand(), f.observer)
	o.Discovery.Routers = o.Routers
	f.Discovery = NewDiscovery(p.Discovery(), o.Discovery, f.observer)
	for _, r := range o.Routers {
		addr, err := f.Discovery.Open(f.listen("discovery", r), r)
		if err != nil {
			return nil, fmt.Errorf("discovery for %s: %w", r, err)
		}
		f.Lists[r] = addr
	}
	for range o.Caches {
		if _, err := f.AddCache(false); err != nil {
			return nil, err
		}
	}
	f.Discovery.Late(-o.Discovery.Delay) // the list has the initial caches at once
	f.Discovery.Late(0)
	f.warm()
	for i := range o.Clients {
		f.addClient(i)
	}
	return f, nil
}

// warm fills the memories of the caches with the keys that are placed on them.
func (f *Fleet) warm() {
	if f.options.Placement == nil {
		return
	}
	var names []string
	for _, c := range f.Caches {
		names = append(names, c.Name())
	}
	cacheOf := f.options.Placement(names)
	keys := map[string][]string{}
	for _, key := range f.Keys.Popular(f.options.Keys) {
		name := cacheOf(key)
		keys[name] = append(keys[name], key)
	}
	for _, c := range f.Caches {
		c.Warm(keys[c.Name()]) // the most popular key is last, so that it is evicted last
	}
}

// newRand returns a random generator for one stand-in.
func (f *Fleet) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())) }

// listen returns the address that a stand-in listens on for a router.
func (f *Fleet) listen(standin, router string) string {
	if f.places.Listen == nil {
		return "127.0.0.1:0"
	}
	return f.places.Listen(standin, router)
}

// AddCache starts another cache and adds it to the list. A warm cache holds the most popular keys.
func (f *Fleet) AddCache(cold bool) (*Cache, error) {
	c, e, err := f.newCache(cold, nil, false)
	if err == nil {
		f.Discovery.Add(e)
	}
	return c, err
}

// Replace stops a cache and starts a cold cache with a new name in the same zone.
func (f *Fleet) Replace(old *Cache) (*Cache, error) { return f.replace(old, false) }

// TakeOver replaces a cache like Replace, on the same machine and at the same addresses.
func (f *Fleet) TakeOver(old *Cache) (*Cache, error) { return f.replace(old, true) }

// replace stops a cache and starts a cold cache in its zone, at its addresses if sameAddress is set.
func (f *Fleet) replace(old *Cache, sameAddress bool) (*Cache, error) {
	old.Stop()
	c, e, err := f.newCache(true, old, sameAddress)
	if err == nil {
		f.Discovery.Replace(old.Name(), e)
	}
	return c, err
}

// Restart restarts a cache's process cold, and updates the start time in the list.
func (f *Fleet) Restart(c *Cache) error {
	now := c.m.Now()
	if err := c.Restart(true); err != nil {
		return err
	}
	f.Discovery.change(func(d *Discovery) {
		if l := d.entry(c.Name()); l != nil {
			e := l.Entry
			e.Since = now
			d.setEntry(e)
		}
	})
	return nil
}

// newCache starts a cache, in the zone of old if that is not nil, and at old's addresses if sameAddress is
// set.
func (f *Fleet) newCache(cold bool, old *Cache, sameAddress bool) (*Cache, Entry, error) {
	o := f.options.Cache
	o.Zone = f.options.Zones[f.created%len(f.options.Zones)]
	o.Group = f.created % len(f.options.Zones)
	if old != nil {
		o.Zone, o.Group = old.options.Zone, old.options.Group
	}
	f.created++
	o.Name = fmt.Sprintf("s-%08x", uint32(mix(uint64(f.created))))
	var m machine.Machine
	if sameAddress {
		m = old.m
	} else {
		m = f.places.Cache(o.Name, o.Zone)
	}
	c := NewCache(m, o, CacheParts{f.Workload, f.Store, f.Repeats, f.observer}, f.newRand())
	e := Entry{Name: o.Name, Zone: o.Zone, Type: "std-6", Group: o.Group, Weight: 1, Addresses: map[string]string{}}
	routers := f.options.Routers
	if o.RouterOf != nil {
		routers = append([]string{""}, routers...) // "": one address for all routers
	}
	for _, r := range routers {
		at := ""
		if sameAddress {
			at = old.Address(r)
		} else {
			at = f.listen(o.Name, r)
		}
		addr, err := c.Open(at, r)
		if err != nil {
			return nil, e, fmt.Errorf("cache %s for %s: %w", o.Name, r, err)
		}
		e.Addresses[r], e.Address = addr, addr
	}
	if err := c.Start(cold); err != nil {
		return nil, e, fmt.Errorf("cache %s: %w", o.Name, err)
	}
	if cold {
		e.Since = m.Now()
	} else {
		c.Warm(f.Keys.Popular(o.MemoryKeys))
	}
	f.Caches = append(f.Caches, c)
	return c, e, nil
}

// addClient adds load client i, in the zone that follows round-robin.
func (f *Fleet) addClient(i int) {
	o := f.options.Client
	o.Zone = f.options.Zones[i%len(f.options.Zones)]
	o.Classes, o.Keys, o.Rate = f.options.Classes, f.Keys, o.Rate/float64(f.options.Clients)
	if o.Routers == nil {
		zone := o.Zone
		o.Routers = func() []Target { return f.places.Routers(zone) }
	}
	m := f.places.Client(fmt.Sprintf("c-%d", i+1), o.Zone)
	f.Clients = append(f.Clients, NewClient(m, o, f.Workload, f.newRand(), f.observer))
}

// Routers returns the names of the routers.
func (f *Fleet) Routers() []string { return f.options.Routers }

// Start starts the load clients.
func (f *Fleet) Start() {
	for _, c := range f.Clients {
		c.Start()
	}
}

// Stop ends the arrivals of all load clients.
func (f *Fleet) Stop() {
	for _, c := range f.Clients {
		c.Stop()
	}
}

// Open returns the number of requests in flight.
func (f *Fleet) Open() int {
	n := 0
	for _, c := range f.Clients {
		n += c.Open()
	}
	return n
}

// Tallies returns the counts of all load clients, by class.
func (f *Fleet) Tallies() []*Tally {
	var all []*Tally
	for i, class := range f.options.Classes {
		sum := &Tally{Class: class.Name}
		for _, c := range f.Clients {
			sum.Add(c.Tallies()[i])
		}
		all = append(all, sum)
	}
	return all
}

// Close stops all stand-ins.
func (f *Fleet) Close() {
	for _, c := range f.Clients {
		c.Close()
	}
	f.Discovery.Close()
	for _, c := range f.Caches {
		c.Stop()
	}
}
