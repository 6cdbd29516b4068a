package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

const (
	millisecond Time = 1000
	second      Time = 1000 * millisecond
)

// lead is how long routers run before clients come: script time 0 is this long after the world's beginning.
const lead = 500 * millisecond

// mostDescriptors is what any host but a router may hold.
const mostDescriptors = 8192

// world is a run that is under way.
type world struct {
	s       script.Script
	o       Options
	sim     *sim.World
	rand    *rand.Rand // of what no script says: how long the front takes, and the like
	classes []standin.Class
	fleet   *standin.Fleet
	watcher *rules.Watcher
	eyes    *eyes
	hosts   map[string]*sim.Host // of stand-ins, by name
	routers []*router
	front   *front
	hooked  *hooked
	caches  []*place
	faults  *faults
	// registry is nil where the script has none.
	registry *registries
	broken   []Broken
	more     int
	excused  int
	falls    int // of caches and of the store
	storms   []StormChange
	err      error // of what the lab itself could not do
}

// place is one place in the fleet: the cache that stands there now.
type place struct {
	cache *standin.Cache
	gone  bool // drained, or fallen, and off the list
}

func microseconds(d time.Duration) Time { return d.Microseconds() }

// newWorld sets a world up; the routers start at once, the clients after lead.
func newWorld(s script.Script, o Options) (*world, error) {
	w := &world{s: s, o: o, sim: sim.New(uint64(s.Seed)), hosts: map[string]*sim.Host{}}
	w.rand = w.sim.Rand("lab")
	w.classes = classesOf(s)
	w.network()
	w.watcher = rules.New(w.rules(), w.violated)
	w.eyes = newEyes(w)
	w.hooked = newHooked(w)
	w.front = newFront(w)
	zones := script.Zones()
	for i := range s.Routers {
		w.routers = append(w.routers, newRouter(w, i, zones[i%len(zones)]))
	}
	var err error
	if w.fleet, err = standin.NewFleet(w.fleetOptions(), w.places(), w.sim.Rand("fleet"), w.eyes); err != nil {
		return nil, err
	}
	for _, c := range w.fleet.Caches {
		w.caches = append(w.caches, &place{cache: c})
	}
	if o.Caches != nil {
		var names []string
		for _, p := range w.caches {
			names = append(names, p.cache.Name())
		}
		o.Caches(names)
	}
	w.faults = newFaults(w)
	if w.registry, err = newRegistries(w); err != nil {
		return nil, err
	}
	w.registry.begin(w.fleet.Caches)
	for _, r := range w.routers {
		if r.start(); w.err != nil {
			return nil, w.err
		}
	}
	w.sim.At(sim.Start+lead, w.fleet.Start)
	for _, f := range s.Faults {
		w.faults.plan(f.Usual())
	}
	return w, nil
}

// now is the script's time.
func (w *world) now() Time { return w.sim.Now() - sim.Start - lead }

func (w *world) network() {
	n := w.s.Network
	link := func(latency time.Duration) sim.Link {
		l := microseconds(latency)
		return sim.Link{Latency: l, Jitter: Time(float64(l) * n.Jitter), Split: n.Split}
	}
	w.sim.Near, w.sim.Far = link(n.Near), link(n.Far)
	if w.s.Fleet.Pushed {
		w.sim.Far = w.sim.Near // for a moment: links are made of what holds then
		for _, zone := range script.Zones() {
			w.sim.Link(agents, zone)
			w.sim.Link(zone, agents)
		}
		w.sim.Far = link(n.Far)
	}
	w.sim.ShuffleTies = n.Shuffle
}

// host makes a host for a stand-in.
func (w *world) host(name, zone string) *sim.Host {
	n := len(w.sim.Hosts()) + 1
	h := w.sim.Host(name, fmt.Sprintf("10.0.%d.%d", n/250, n%250+1),
		sim.HostOptions{Zone: zone, Descriptors: mostDescriptors})
	w.hosts[name] = h
	return h
}

// centre is the zone that discovery and the store stand in.
func centre() string { return script.Zones()[1] }

// agents is where the agents are that lists are pushed to: beside the routers, so that no way to them is cut, or long.
const agents = "agents"

// listZone is where routers ask for the list.
func (w *world) listZone() string {
	if w.s.Fleet.Pushed {
		return agents
	}
	return centre()
}

func (w *world) places() standin.Places {
	return standin.Places{
		Cache:     func(name, zone string) machine.Machine { return w.host(name, zone).Machine() },
		Store:     func() machine.Machine { return w.host("store", centre()).Machine() },
		Discovery: func() machine.Machine { return w.host("discovery", w.listZone()).Machine() },
		Client:    func(name, zone string) machine.Machine { return w.host(name, zone).Machine() },
		Listen:    func(name, _ string) string { return w.hosts[name].IP() + ":0" },
		Routers:   w.front.routers,
	}
}

// classesOf are the operators' classes, with more writes and an unsafe class where the script says so.
func classesOf(s script.Script) []standin.Class {
	all := standin.DefaultClasses()
	for i := range all {
		if all[i].Write {
			all[i].TrafficFraction *= s.Clients.Writes
			all[i].IdempotencyWindow = Time(float64(all[i].IdempotencyWindow) * s.Fleet.KeyWindow)
			w := writes[s.Fleet.Writes]
			all[i].Semantics, all[i].Scope = w.effect, w.scope
		}
	}
	if s.Clients.Unsafe > 0 {
		all = append(all, standin.Class{Name: "merge-log", TrafficFraction: s.Clients.Unsafe, Semantics: standin.NonIdempotent, Write: true,
			LatencyObjective: 800 * millisecond, ClientTimeout: 2 * second, PriorityWeight: 4, LateWeightFraction: 0.25,
			Work: 100 * millisecond, CV: 2})
	}
	for i := range all {
		all[i].LatencyObjective = Time(float64(all[i].LatencyObjective) * s.Fleet.Patience)
		all[i].ClientTimeout = Time(float64(all[i].ClientTimeout) * s.Fleet.Patience)
	}
	return all
}

// writes are the effects of writes by their words in scripts. Of several caches that drop repeats, all share one memory: what
// a router sends past its group is the rules' to find.
var writes = map[string]struct {
	effect standin.Semantics
	scope  rules.DeduplicationScope
}{
	"keyed": {standin.IdempotentByKey, rules.ScopeAll}, "keyed-zone": {standin.IdempotentByKey, rules.ScopeZone},
	"keyed-cell": {standin.IdempotentByKey, rules.ScopeCell},
	"unsafe":     {standin.NonIdempotent, rules.ScopeAll}, "safe": {standin.Idempotent, rules.ScopeAll},
}

func (w *world) fleetOptions() standin.Options {
	s, o := w.s, standin.DefaultOptions()
	o.Caches, o.Zones, o.Classes, o.Placement = s.Caches, script.Zones(), w.classes, Homes
	SizeCaches(s, &o)
	o.Cache.Probes, o.Cache.Reports = s.Fleet.Probes, s.Fleet.Reports
	o.Cache.Cancel = map[string]standin.Cancel{"none": standin.CancelNone, "queued": standin.CancelQueued,
		"all": standin.CancelAll}[s.Fleet.Cancel]
	if s.Registry.Enabled {
		o.Cache.RouterOf = w.routerAt
	}
	o.Discovery.Delay, o.Discovery.Pushed = microseconds(s.Fleet.ListDelay), s.Fleet.Pushed
	o.Discovery.Reachable = w.reachable
	o.Clients = s.Clients.Groups
	c := &o.Client
	c.Rate, c.Retries, c.RetryAfterCompliance, c.AttemptTimeoutFraction = s.Rate, s.Clients.Retries, s.Clients.Honour, s.Clients.TryShare
	c.RetryWait = map[string]standin.RetryWait{"at-once": standin.NoRetryWait, "fixed": standin.FixedWait,
		"exponential": standin.Exponential}[s.Clients.Wait]
	c.RetryWaitTime = microseconds(s.Clients.WaitTime)
	// Where a zone has no router, its clients go to another's. A split piece takes up to a quarter longer.
	far := float64(microseconds(s.Network.Far))
	c.CloseRaceWindow = 5*millisecond + 2*Time(far*(1.25+s.Network.Jitter)) // there with the request, and back with the close
	c.EarlyAbandonFraction, c.Pipeline = s.Clients.Impatient, s.Clients.Pipeline
	o.Routers = nil
	for _, r := range w.routers {
		o.Routers = append(o.Routers, r.name)
	}
	if w.o.Fleet != nil {
		w.o.Fleet(&o)
	}
	return o
}

// routerAt names the router at a remote address.
func (w *world) routerAt(remote string) string {
	for _, r := range w.routers {
		if strings.HasPrefix(remote, r.host.IP()+":") {
			return r.name
		}
	}
	return ""
}

// routerSettings are what a router is told at its start.
func (w *world) routerSettings(r *router) standin.RouterSettings {
	s := standin.DefaultRouterSettings()
	s.Name, s.Listen, s.Discovery = r.name, r.addr, r.list
	s.Sockets, s.Routers, s.Classes = w.s.Fleet.Sockets, w.s.Routers, w.classes
	s.MaxAttempts, s.AllowHedging, s.AllowHealthChecks = w.s.Fleet.MaxAttempts, w.s.Fleet.Copies, w.s.Fleet.Probes
	s.AllowCancel = w.s.Fleet.Cancel != "none"
	s.Pushed, s.DrainGrace = w.s.Fleet.Pushed, microseconds(w.s.Fleet.DrainGrace)
	return s
}

// slack is what each limit of time is longer by on sockets.
const slack = 50 * millisecond

// rules are the figures of the rules, those of the operators.
func (w *world) rules() rules.Settings {
	set := rules.Settings{
		Classes: map[string]rules.Class{}, MaxAttempts: w.s.Fleet.MaxAttempts, Slack: slack, MaxTransit: 50 * millisecond,
		AllowHedging: w.s.Fleet.Copies || w.hidesCloses(), DrainGrace: microseconds(w.s.Fleet.DrainGrace),
		ExtraRetention:   w.longestHeld(),
		OverloadMultiple: 3, OverloadWindow: 3 * second, OverloadTolerance: 0.05,
		StoreOverloadWindow: 3 * second, MaxStoreWarmupFraction: 0.5,
		MeanWork: meanWork(w.s, w.classes),
	}
	for _, c := range w.classes {
		effect := [...]rules.Semantics{standin.Idempotent: rules.Idempotent, standin.IdempotentByKey: rules.IdempotentByKey, standin.NonIdempotent: rules.NonIdempotent}
		set.Classes[c.Name] = rules.Class{Semantics: effect[c.Semantics], Scope: c.Scope, IdempotencyWindow: c.IdempotencyWindow,
			LatencyObjective: c.LatencyObjective, ClientTimeout: c.ClientTimeout, PriorityWeight: c.PriorityWeight,
			LateWeightFraction: c.LateWeightFraction}
	}
	return set
}

// longestHeld is how long a script may hold bytes back. The danger: an attempt that comes out of a cut after its request
// was forgotten looks as if no client had ever asked for it.
func (w *world) longestHeld() (most Time) {
	for _, f := range w.s.Faults {
		if slices.Contains([]string{script.Cut, script.Lag, script.Silence}, f.Kind) {
			most = max(most, microseconds(f.Until(w.s.Length)-f.At)+microseconds(f.Delay))
		}
	}
	return most
}

// hidesCloses reports whether caches may learn of a close any time after it: then nobody can tell from outside whether
// two copies of a request were out at once.
func (w *world) hidesCloses() bool {
	return slices.ContainsFunc(w.s.Faults, func(f script.Fault) bool {
		return slices.Contains([]string{script.Cut, script.Lag, script.Silence}, f.Kind)
	})
}
