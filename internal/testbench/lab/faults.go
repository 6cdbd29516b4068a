package lab

import (
	"fmt"
	"slices"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
	"starlingwinch/internal/testbench/standin/registry"
)

// faults applies the faults of a script.
type faults struct {
	world *world
	// active lists the faults in effect by the switch that they act on, the latest last. The end of one fault must not
	// end another fault of the same kind that is still in effect.
	active       map[string][]script.Fault
	hostileHosts int // hosts of hostile clients so far
}

func newFaults(w *world) *faults { return &faults{world: w, active: map[string][]script.Fault{}} }

// schedule schedules the beginning of a fault; apply schedules its end.
func (f *faults) schedule(x script.Fault) {
	w := f.world
	at := sim.Start + lead + microseconds(x.At)
	w.sim.At(at, func() {
		w.observer.logTimeline("FAULT " + x.String())
		f.apply(x)
	})
}

// atEnd calls end when a fault ends, at the latest at the end of the script.
func (f *faults) atEnd(x script.Fault, end func()) {
	f.world.sim.At(sim.Start+lead+microseconds(x.Until(f.world.script.Length)), func() {
		f.world.observer.logTimeline("fault " + x.String() + " ends")
		end()
	})
}

// activate sets a switch to a fault. When the fault ends, activate sets the switch to the latest fault that is still in
// effect, or calls set with nil if there is none.
func (f *faults) activate(switchKey string, x script.Fault, set func(x *script.Fault)) {
	f.active[switchKey] = append(f.active[switchKey], x)
	set(&x)
	f.atEnd(x, func() {
		all := f.active[switchKey]
		if i := slices.Index(all, x); i >= 0 {
			all = slices.Delete(all, i, i+1)
		}
		f.active[switchKey] = all
		if len(all) == 0 {
			set(nil)
			return
		}
		set(&all[len(all)-1])
	})
}

func (f *faults) apply(x script.Fault) {
	switch x.Kind {
	case script.Cut, script.Lag:
		f.link(x)
	case script.ListLate, script.ListStale, script.ListDown, script.ListSilent, script.ListMoved, script.ListBack,
		script.ListAtOnce, script.ListBadEntry:
		f.discovery(x)
	case script.Add, script.HotKey, script.Hostile, script.Burst:
		f.clients(x)
	case script.RouterKill, script.RouterRestart, script.RouterTerm, script.HangUp, script.ClockStep, script.Stall, script.FailCalls:
		for _, i := range script.RoutersOf(x.Target, len(f.world.routers)) {
			f.router(x, f.world.routers[i])
		}
	case script.RegistrySilent, script.RegistryStale, script.Registry5xx, script.RegistryTruncate,
		script.RegistryMalform, script.RegistryHash, script.RegistryEmpty, script.RegistryDisagree,
		script.RegistryDeltaLost, script.RegistryDeltaRepeat, script.RegistryDeltaOld, script.RegistrySlow,
		script.RegistryRestart:
		for _, i := range script.ReplicasOf(x.Target, len(f.world.registry.servers)) {
			f.registry(x, i)
		}
	default:
		for _, i := range script.CachesOf(x.Target, f.world.script.Caches) {
			f.cache(x, i)
		}
	}
}

// isActive reports whether a switch has a fault in effect.
func isActive(x *script.Fault) bool { return x != nil }

// chanceOf returns the probability of a fault, or 0 if none is active.
func chanceOf(x *script.Fault) float64 {
	if x == nil {
		return 0
	}
	return x.Chance
}

// cache applies a fault to the cache at place i.
func (f *faults) cache(x script.Fault, i int) {
	p := f.world.caches[i]
	switchKey := fmt.Sprintf("%s %d", x.Kind, i)
	switch x.Kind {
	case script.Hang:
		f.activate(switchKey, x, func(x *script.Fault) { p.cache.Hang(isActive(x)) })
	case script.Silence:
		f.activate(switchKey, x, func(x *script.Fault) { p.cache.Silent(isActive(x)) })
	case script.Slow:
		f.activate(switchKey, x, func(x *script.Fault) {
			factor := 1.0
			if x != nil {
				factor = x.Factor
			}
			p.cache.Slow(factor)
		})
	case script.Errors:
		f.activate(switchKey, x, func(x *script.Fault) { p.cache.ErrRate(chanceOf(x)) })
	case script.Busy:
		f.activate(switchKey, x, func(x *script.Fault) { p.cache.Busy(isActive(x)) })
	case script.Spoil:
		f.activate(switchKey, x, func(x *script.Fault) {
			how := standin.Noise
			if x != nil {
				how = standin.Spoil(x.How)
			}
			p.cache.Spoil(chanceOf(x), how)
		})
	case script.Double:
		f.activate(switchKey, x, func(x *script.Fault) {
			if x == nil {
				p.cache.Double(0, false, 0)
				return
			}
			p.cache.Double(x.Chance, x.How == "noise", microseconds(x.Delay))
		})
	case script.ResetAccept:
		f.activate(switchKey, x, func(x *script.Fault) { p.cache.ResetAccept(isActive(x)) })
	case script.ResetInside:
		f.activate(switchKey, x, func(x *script.Fault) { p.cache.ResetInside(chanceOf(x)) })
	case script.ResetAfter:
		f.activate(switchKey, x, func(x *script.Fault) { p.cache.ResetAfter(chanceOf(x)) })
	case script.SwallowDials:
		f.activate(switchKey, x, func(x *script.Fault) { f.world.hosts[p.cache.Name()].SwallowDials(isActive(x)) })
	case script.DropIdle:
		p.cache.DropIdle(x.How == "silently")
	default:
		f.fleet(x, p)
	}
}

// fleet applies a fault that removes, restarts or replaces a cache. A removed cache does not return.
func (f *faults) fleet(x script.Fault, p *place) {
	if p.removed {
		return
	}
	w := f.world
	switch x.Kind {
	case script.RestartCold, script.PowerCut:
		w.fail(w.fleet.Restart(p.cache))
		w.registry.registerRestart(p.cache)
	case script.Replace:
		w.replaceCache(p, x.How == "same-address")
	case script.Drain:
		drained := p.cache
		w.fleet.Discovery.SetStatus(drained.Name(), standin.Terminating)
		w.registry.setStatus(drained, registry.OutOfService)
		f.atEnd(x, func() {
			if p.cache == drained && !p.removed {
				w.removeCache(p)
				w.registry.unregister(drained)
			}
		})
	case script.Depart:
		w.removeCache(p)
		w.registry.unregister(p.cache)
	case script.CacheKill:
		w.removeCache(p)
		w.registry.stopRenewing(p.cache)
	case script.RegistryFlap:
		f.flap(x, p.cache)
	case script.RegistryOut:
		c := p.cache
		w.registry.setStatus(c, registry.OutOfService)
		f.atEnd(x, func() { w.registry.setStatus(c, registry.Up) })
	}
}

// removeCache stops a cache permanently and removes the cache from the endpoint list.
func (w *world) removeCache(p *place) {
	p.removed = true
	p.cache.Stop()
	w.fleet.Discovery.Remove(p.cache.Name())
}

func (w *world) replaceCache(p *place, sameAddress bool) {
	old, start := p.cache, w.fleet.Replace
	if sameAddress {
		start = w.fleet.TakeOver
	}
	c, err := start(old)
	if err != nil {
		w.fail(err)
		return
	}
	w.registry.unregister(old)
	w.registry.enroll(c, w.sim.Now())
	p.cache = c
	if sameAddress {
		w.hosts[c.Name()] = w.hosts[old.Name()]
	}
}

// fail records the first error of the lab, as opposed to an error of a router.
func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// discovery applies a fault of the endpoint list.
func (f *faults) discovery(x script.Fault) {
	d := f.world.fleet.Discovery
	switch x.Kind {
	case script.ListLate, script.ListStale:
		f.activate(script.ListLate, x, func(x *script.Fault) {
			if x == nil {
				d.Late(0)
				return
			}
			d.Late(microseconds(x.Delay))
		})
	case script.ListDown:
		f.activate(x.Kind, x, func(x *script.Fault) { d.Down(isActive(x), x != nil && x.How == "resets") })
	case script.ListSilent:
		f.activate(x.Kind, x, func(x *script.Fault) { d.Silent(isActive(x)) })
	case script.ListAtOnce:
		f.activate(x.Kind, x, func(x *script.Fault) { d.AnswerAtOnce(isActive(x)) })
	case script.ListBadEntry:
		f.activate(x.Kind, x, func(x *script.Fault) {
			how := ""
			if x != nil {
				how = x.How
			}
			d.Spoil(standin.BadEntry(how))
		})
	case script.ListBack:
		d.VersionBack(int64(x.Keys))
	case script.ListMoved:
		f.moveDiscovery()
	}
}

// moveDiscovery gives discovery new addresses and reloads all routers.
func (f *faults) moveDiscovery() {
	w := f.world
	var addrs []string
	for range w.routers {
		addrs = append(addrs, w.hosts["discovery"].IP()+":0")
	}
	got, err := w.fleet.Discovery.Move(addrs)
	if err != nil {
		w.fail(err)
		return
	}
	for i, r := range w.routers {
		r.discoveryAddr = got[i]
		r.reload()
	}
}

// clients applies a fault that changes the load or adds a cache.
func (f *faults) clients(x script.Fault) {
	w := f.world
	switch x.Kind {
	case script.Add:
		c, err := w.fleet.AddCache(true)
		if w.fail(err); err == nil {
			w.registry.enroll(c, w.sim.Now())
		}
	case script.HotKey:
		f.activate(x.Kind, x, func(x *script.Fault) {
			if x == nil {
				w.fleet.Keys.Heat(0, 0)
				return
			}
			w.fleet.Keys.Heat(x.Keys, x.Chance)
		})
	case script.Burst:
		f.activate(x.Kind, x, func(x *script.Fault) {
			rate := w.script.Rate / float64(w.script.Clients.Groups)
			if x != nil {
				rate *= x.Factor
			}
			for _, c := range w.fleet.Clients {
				c.SetRate(rate)
			}
		})
	case script.Hostile:
		f.addHostileClients(x)
	}
}

// addHostileClients starts a hostile client in each zone.
func (f *faults) addHostileClients(x script.Fault) {
	w := f.world
	for _, zone := range script.Zones() {
		f.hostileHosts++
		name := fmt.Sprintf("hostile-%d", f.hostileHosts)
		h := standin.NewHostile(w.host(name, zone).Machine(), standin.HostileOptions{
			Harm: standin.Harm(x.How), Every: 50 * millisecond, HoldFor: 2 * second, MaxConnections: 32, Class: w.classes[0],
			Keys: w.fleet.Keys, Routers: func() []standin.Target { return w.front.routers(zone) },
		}, w.sim.Rand(name), w.observer)
		h.Start()
		f.atEnd(x, h.Stop)
	}
}

// Parameters of failing system calls.
const (
	failingDialDivisor = 4   // ratio of the probability of a short read to that of a failed dial
	maxShortRead       = 200 // maximum number of bytes that a short read returns
)

// router applies a fault to a router.
func (f *faults) router(x script.Fault, r *router) {
	switch x.Kind {
	case script.RouterKill:
		r.kill()
	case script.RouterRestart:
		if r.node != nil {
			r.kill()
			r.restartAfter(microseconds(x.For))
		}
	case script.RouterTerm:
		r.terminate()
	case script.HangUp:
		r.reload()
	case script.ClockStep:
		r.host.StepClock(microseconds(x.Delay))
	case script.Stall:
		r.stall(microseconds(x.For))
	case script.FailCalls:
		r.host.FailCalls(sim.FailingCalls{Dials: x.Chance / failingDialDivisor, ShortReads: x.Chance, MaxShortRead: maxShortRead})
		f.atEnd(x, func() { r.host.FailCalls(sim.FailingCalls{}) })
	}
}

// link applies a fault to a link between zones, in one direction or both.
func (f *faults) link(x script.Fault) {
	from, to, both, _ := script.LinkOf(x.Target)
	f.oneWay(x, from, to)
	if both && from != to {
		f.oneWay(x, to, from)
	}
}

func (f *faults) oneWay(x script.Fault, from, to string) {
	set := func(x *script.Fault) {
		if x == nil {
			f.world.sim.Slow(from, to, 1, 0)
			return
		}
		f.world.sim.Slow(from, to, x.Factor, microseconds(x.Delay))
	}
	if x.Kind == script.Cut {
		set = func(x *script.Fault) {
			if x == nil {
				f.world.sim.Heal(from, to)
				return
			}
			f.world.sim.Cut(from, to)
		}
	}
	f.activate(linkKey(x.Kind, from, to), x, set)
}

func linkKey(kind, from, to string) string { return kind + " " + from + ">" + to }

// maxLag returns the maximum latency from one zone to another while a lag fault is active, and 0 otherwise.
func (f *faults) maxLag(from, to string) Time {
	all := f.active[linkKey(script.Lag, from, to)]
	if len(all) == 0 {
		return 0
	}
	n, x := f.world.script.Network, all[len(all)-1]
	latency := n.Far
	if from == to {
		latency = n.Near
	}
	return Time(float64(microseconds(latency))*(x.Factor+n.Jitter)) + microseconds(x.Delay)
}

// partitioned reports whether the link between two zones is cut now in at least one direction.
func (f *faults) partitioned(a, b string) bool {
	return len(f.active[linkKey(script.Cut, a, b)]) > 0 || len(f.active[linkKey(script.Cut, b, a)]) > 0
}
