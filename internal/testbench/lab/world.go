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

// lead is the time for which routers run before the clients start. Script time 0 is this long after the world's beginning.
const lead = 500 * millisecond

// maxDescriptors is the descriptor limit of each host that is not a router.
const maxDescriptors = 8192

// world is the state of one run.
type world struct {
	script   script.Script
	options  Options
	sim      *sim.World
	rand     *rand.Rand // for draws that the script does not define, such as the delays of reconnecting clients
	classes  []standin.Class
	fleet    *standin.Fleet
	watcher  *rules.Watcher
	observer *observer
	hosts    map[string]*sim.Host // of stand-ins, by name
	routers  []*router
	front    *front
	hooks    *hookScripts
	caches   []*place
	faults   *faults
	// registry is nil if the script has no registry.
	registry          *registries
	broken            []Broken
	moreBroken        int
	excused           int
	overloadCollapses int // number of collapses of caches and of the store under overload
	stormChanges      []StormChange
	err               error // first error of the lab itself
}

// place is one place in the fleet, with its current cache.
type place struct {
	cache   *standin.Cache
	removed bool // whether the cache has ended and is off the endpoint list
}

func microseconds(d time.Duration) Time { return d.Microseconds() }

// newWorld builds a world. The routers start at once, the clients after lead.
func newWorld(s script.Script, o Options) (*world, error) {
	w := &world{script: s, options: o, sim: sim.New(uint64(s.Seed)), hosts: map[string]*sim.Host{}}
	w.rand = w.sim.Rand("lab")
	w.classes = classesOf(s)
	w.network()
	w.watcher = rules.New(w.rules(), w.onViolation)
	w.observer = newObserver(w)
	w.hooks = newHookScripts(w)
	w.front = newFront(w)
	zones := script.Zones()
	for i := range s.Routers {
		w.routers = append(w.routers, newRouter(w, i, zones[i%len(zones)]))
	}
	var err error
	if w.fleet, err = standin.NewFleet(w.fleetOptions(), w.places(), w.sim.Rand("fleet"), w.observer); err != nil {
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
	w.registry.registerInitial(w.fleet.Caches)
	for _, r := range w.routers {
		if r.start(); w.err != nil {
			return nil, w.err
		}
	}
	w.sim.At(sim.Start+lead, w.fleet.Start)
	for _, f := range s.Faults {
		w.faults.schedule(f.Usual())
	}
	return w, nil
}

// now returns the current script time.
func (w *world) now() Time { return w.sim.Now() - sim.Start - lead }

func (w *world) network() {
	n := w.script.Network
	link := func(latency time.Duration) sim.Link {
		l := microseconds(latency)
		return sim.Link{Latency: l, Jitter: Time(float64(l) * n.Jitter), Split: n.Split}
	}
	w.sim.Near, w.sim.Far = link(n.Near), link(n.Far)
	if w.script.Fleet.Pushed {
		w.sim.Far = w.sim.Near // temporary: a link takes the values that are set at its creation
		for _, zone := range script.Zones() {
			w.sim.Link(agentZone, zone)
			w.sim.Link(zone, agentZone)
		}
		w.sim.Far = link(n.Far)
	}
	w.sim.ShuffleTies = n.Shuffle
}

// host creates a host for a stand-in.
func (w *world) host(name, zone string) *sim.Host {
	n := len(w.sim.Hosts()) + 1
	h := w.sim.Host(name, fmt.Sprintf("10.0.%d.%d", n/250, n%250+1),
		sim.HostOptions{Zone: zone, Descriptors: maxDescriptors})
	w.hosts[name] = h
	return h
}

// centre returns the zone of discovery and of the store.
func centre() string { return script.Zones()[1] }

// agentZone is the zone of the agents to which lists are pushed. The agents run beside the routers, so that no fault cuts or
// slows the links to them.
const agentZone = "agents"

// listZone returns the zone from which routers get the endpoint list.
func (w *world) listZone() string {
	if w.script.Fleet.Pushed {
		return agentZone
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

// classesOf returns the default classes, adjusted by the script: the fraction and semantics of writes, the times of all classes,
// and an additional class that is not idempotent.
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
			LatencyObjective: 800 * millisecond, ClientTimeout: 2 * second, PriorityWeight: 4, LateWeightFraction: 0.25, Work: 100 * millisecond, CV: 2})
	}
	for i := range all {
		all[i].LatencyObjective = Time(float64(all[i].LatencyObjective) * s.Fleet.Patience)
		all[i].ClientTimeout = Time(float64(all[i].ClientTimeout) * s.Fleet.Patience)
	}
	return all
}

// writes maps names in scripts to the semantics of writes. All caches share one deduplication memory in every scope, so that
// only the rules detect a repeat that a router sends outside the scope.
var writes = map[string]struct {
	effect standin.Semantics
	scope  rules.DeduplicationScope
}{
	"keyed": {standin.IdempotentByKey, rules.ScopeAll}, "keyed-zone": {standin.IdempotentByKey, rules.ScopeZone}, "keyed-cell": {standin.IdempotentByKey, rules.ScopeCell},
	"unsafe": {standin.NonIdempotent, rules.ScopeAll}, "safe": {standin.Idempotent, rules.ScopeAll},
}

func (w *world) fleetOptions() standin.Options {
	s, o := w.script, standin.DefaultOptions()
	o.Caches, o.Zones, o.Classes, o.Placement = s.Caches, script.Zones(), w.classes, Placement
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
	// Clients of a zone without a router use routers of other zones. A split segment takes up to a quarter longer.
	far := float64(microseconds(s.Network.Far))
	c.CloseRaceWindow = 5*millisecond + 2*Time(far*(1.25+s.Network.Jitter)) // one way for the request, one for the close
	c.EarlyAbandonFraction, c.Pipeline = s.Clients.Impatient, s.Clients.Pipeline
	o.Routers = nil
	for _, r := range w.routers {
		o.Routers = append(o.Routers, r.name)
	}
	if w.options.Fleet != nil {
		w.options.Fleet(&o)
	}
	return o
}

// routerAt returns the name of the router at a remote address, or an empty string if there is none.
func (w *world) routerAt(remote string) string {
	for _, r := range w.routers {
		if strings.HasPrefix(remote, r.host.IP()+":") {
			return r.name
		}
	}
	return ""
}

// routerSettings returns the settings of a router.
func (w *world) routerSettings(r *router) standin.RouterSettings {
	s := standin.DefaultRouterSettings()
	s.Name, s.Listen, s.Discovery = r.name, r.addr, r.discoveryAddr
	s.Sockets, s.Routers, s.Classes = w.script.Fleet.Sockets, w.script.Routers, w.classes
	s.MaxAttempts, s.AllowHedging, s.AllowHealthChecks = w.script.Fleet.MaxAttempts, w.script.Fleet.Copies, w.script.Fleet.Probes
	s.AllowCancel = w.script.Fleet.Cancel != "none"
	s.Pushed, s.DrainGrace = w.script.Fleet.Pushed, microseconds(w.script.Fleet.DrainGrace)
	return s
}

// slack is added to each time limit that is checked on sockets.
const slack = 50 * millisecond

// rules returns the settings of the rules, with the operators' values.
func (w *world) rules() rules.Settings {
	set := rules.Settings{
		Classes: map[string]rules.Class{}, MaxAttempts: w.script.Fleet.MaxAttempts, Slack: slack, MaxTransit: 50 * millisecond,
		AllowHedging: w.script.Fleet.Copies || w.hidesCloses(), DrainGrace: microseconds(w.script.Fleet.DrainGrace),
		ExtraRetention:   w.maxHoldTime(),
		OverloadMultiple: 3, OverloadWindow: 3 * second, OverloadTolerance: 0.05, StoreOverloadWindow: 3 * second, MaxStoreWarmupFraction: 0.5,
		MeanWork: meanWork(w.script, w.classes),
	}
	for _, c := range w.classes {
		effect := [...]rules.Semantics{standin.Idempotent: rules.Idempotent, standin.IdempotentByKey: rules.IdempotentByKey, standin.NonIdempotent: rules.NonIdempotent}
		set.Classes[c.Name] = rules.Class{Semantics: effect[c.Semantics], Scope: c.Scope, IdempotencyWindow: c.IdempotencyWindow, LatencyObjective: c.LatencyObjective,
			ClientTimeout: c.ClientTimeout, PriorityWeight: c.PriorityWeight, LateWeightFraction: c.LateWeightFraction}
	}
	return set
}

// maxHoldTime returns the maximum time for which the script's faults may delay bytes. The rules must retain requests for this
// time; otherwise an attempt that arrives after a cut would look as if no client had sent its request.
func (w *world) maxHoldTime() (most Time) {
	for _, f := range w.script.Faults {
		if slices.Contains([]string{script.Cut, script.Lag, script.Silence}, f.Kind) {
			most = max(most, microseconds(f.Until(w.script.Length)-f.At)+microseconds(f.Delay))
		}
	}
	return most
}

// hidesCloses reports whether faults may delay the notification of caches about a close by any time. In this case the traffic
// does not show whether two copies of a request were in flight at the same time.
func (w *world) hidesCloses() bool {
	return slices.ContainsFunc(w.script.Faults, func(f script.Fault) bool {
		return slices.Contains([]string{script.Cut, script.Lag, script.Silence}, f.Kind)
	})
}
