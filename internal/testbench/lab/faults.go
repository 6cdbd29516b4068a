package lab

import (
	"fmt"
	"slices"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
	"starlingwinch/internal/testbench/standin/registry"
)

// faults carries the faults of a script out.
type faults struct {
	w *world
	// lasting are those that last now, by what they switch, the latest last. The danger: the end of one would end
	// another of its kind that goes on.
	lasting map[string][]script.Fault
	hostile int // hosts of hostile clients so far
}

func newFaults(w *world) *faults { return &faults{w: w, lasting: map[string][]script.Fault{}} }

// plan has a fault begin and end in its time.
func (f *faults) plan(x script.Fault) {
	w := f.w
	at := sim.Start + lead + microseconds(x.At)
	w.sim.At(at, func() {
		w.eyes.say("FAULT " + x.String())
		f.begin(x)
	})
}

// until has something done when a fault ends, which is with the script at the latest.
func (f *faults) until(x script.Fault, end func()) {
	f.w.sim.At(sim.Start+lead+microseconds(x.Until(f.w.s.Length)), func() {
		f.w.eyes.say("fault " + x.String() + " ends")
		end()
	})
}

// during switches something on and, at the fault's end, back to what the other faults that last make of it. set gets
// nil where none is left.
func (f *faults) during(what string, x script.Fault, set func(x *script.Fault)) {
	f.lasting[what] = append(f.lasting[what], x)
	set(&x)
	f.until(x, func() {
		all := f.lasting[what]
		if i := slices.Index(all, x); i >= 0 {
			all = slices.Delete(all, i, i+1)
		}
		f.lasting[what] = all
		if len(all) == 0 {
			set(nil)
			return
		}
		set(&all[len(all)-1])
	})
}

func (f *faults) begin(x script.Fault) {
	switch x.Kind {
	case script.Cut, script.Lag:
		f.link(x)
	case script.ListLate, script.ListStale, script.ListDown, script.ListSilent, script.ListMoved, script.ListBack,
		script.ListAtOnce, script.ListBadEntry:
		f.discovery(x)
	case script.Add, script.HotKey, script.Hostile, script.Burst:
		f.clients(x)
	case script.RouterKill, script.RouterRestart, script.RouterTerm, script.HangUp, script.ClockStep, script.Stall, script.FailCalls:
		for _, i := range script.RoutersOf(x.Target, len(f.w.routers)) {
			f.router(x, f.w.routers[i])
		}
	case script.RegistrySilent, script.RegistryStale, script.Registry5xx, script.RegistryTruncate,
		script.RegistryMalform, script.RegistryHash, script.RegistryEmpty, script.RegistryDisagree,
		script.RegistryDeltaLost, script.RegistryDeltaRepeat, script.RegistryDeltaOld, script.RegistrySlow,
		script.RegistryRestart:
		for _, i := range script.ReplicasOf(x.Target, len(f.w.registry.servers)) {
			f.registry(x, i)
		}
	default:
		for _, i := range script.CachesOf(x.Target, f.w.s.Caches) {
			f.cache(x, i)
		}
	}
}

// lasts is whether a switch is on.
func lasts(x *script.Fault) bool { return x != nil }

// chanceOf is the chance of a fault, 0 where none lasts.
func chanceOf(x *script.Fault) float64 {
	if x == nil {
		return 0
	}
	return x.Chance
}

// cache has a fault strike the cache of a place.
func (f *faults) cache(x script.Fault, i int) {
	p := f.w.caches[i]
	what := fmt.Sprintf("%s %d", x.Kind, i)
	switch x.Kind {
	case script.Hang:
		f.during(what, x, func(x *script.Fault) { p.cache.Hang(lasts(x)) })
	case script.Silence:
		f.during(what, x, func(x *script.Fault) { p.cache.Silent(lasts(x)) })
	case script.Slow:
		f.during(what, x, func(x *script.Fault) {
			factor := 1.0
			if x != nil {
				factor = x.Factor
			}
			p.cache.Slow(factor)
		})
	case script.Errors:
		f.during(what, x, func(x *script.Fault) { p.cache.ErrRate(chanceOf(x)) })
	case script.Busy:
		f.during(what, x, func(x *script.Fault) { p.cache.Busy(lasts(x)) })
	case script.Spoil:
		f.during(what, x, func(x *script.Fault) {
			how := standin.Noise
			if x != nil {
				how = standin.Spoil(x.How)
			}
			p.cache.Spoil(chanceOf(x), how)
		})
	case script.Double:
		f.during(what, x, func(x *script.Fault) {
			if x == nil {
				p.cache.Double(0, false, 0)
				return
			}
			p.cache.Double(x.Chance, x.How == "noise", microseconds(x.Delay))
		})
	case script.ResetAccept:
		f.during(what, x, func(x *script.Fault) { p.cache.ResetAccept(lasts(x)) })
	case script.ResetInside:
		f.during(what, x, func(x *script.Fault) { p.cache.ResetInside(chanceOf(x)) })
	case script.ResetAfter:
		f.during(what, x, func(x *script.Fault) { p.cache.ResetAfter(chanceOf(x)) })
	case script.SwallowDials:
		f.during(what, x, func(x *script.Fault) { f.w.hosts[p.cache.Name()].SwallowDials(lasts(x)) })
	case script.DropIdle:
		p.cache.DropIdle(x.How == "silently")
	default:
		f.fleet(x, p)
	}
}

// fleet has a cache go or come. One that is gone for good stays so.
func (f *faults) fleet(x script.Fault, p *place) {
	if p.gone {
		return
	}
	w := f.w
	switch x.Kind {
	case script.RestartCold, script.PowerCut:
		w.fail(w.fleet.Restart(p.cache))
		w.registry.restarted(p.cache)
	case script.Replace:
		w.replace(p, x.How == "same-address")
	case script.Drain:
		drained := p.cache
		w.fleet.Discovery.SetStatus(drained.Name(), standin.Terminating)
		w.registry.put(drained, registry.OutOfService)
		f.until(x, func() {
			if p.cache == drained && !p.gone {
				w.end(p)
				w.registry.left(drained)
			}
		})
	case script.Depart:
		w.end(p)
		w.registry.left(p.cache)
	case script.CacheKill:
		w.end(p)
		w.registry.died(p.cache)
	case script.RegistryFlap:
		f.flap(x, p.cache)
	case script.RegistryOut:
		c := p.cache
		w.registry.put(c, registry.OutOfService)
		f.until(x, func() { w.registry.put(c, registry.Up) })
	}
}

// end ends a cache for good.
func (w *world) end(p *place) {
	p.gone = true
	p.cache.Stop()
	w.fleet.Discovery.Remove(p.cache.Name())
}

func (w *world) replace(p *place, sameAddress bool) {
	old, start := p.cache, w.fleet.Replace
	if sameAddress {
		start = w.fleet.TakeOver
	}
	c, err := start(old)
	if err != nil {
		w.fail(err)
		return
	}
	w.registry.left(old)
	w.registry.enrol(c, w.sim.Now())
	p.cache = c
	if sameAddress {
		w.hosts[c.Name()] = w.hosts[old.Name()]
	}
}

// fail keeps the first thing that the lab could not do.
func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// discovery has a fault strike the list.
func (f *faults) discovery(x script.Fault) {
	d := f.w.fleet.Discovery
	switch x.Kind {
	case script.ListLate, script.ListStale:
		f.during(script.ListLate, x, func(x *script.Fault) {
			if x == nil {
				d.Late(0)
				return
			}
			d.Late(microseconds(x.Delay))
		})
	case script.ListDown:
		f.during(x.Kind, x, func(x *script.Fault) { d.Down(lasts(x), x != nil && x.How == "resets") })
	case script.ListSilent:
		f.during(x.Kind, x, func(x *script.Fault) { d.Silent(lasts(x)) })
	case script.ListAtOnce:
		f.during(x.Kind, x, func(x *script.Fault) { d.AnswerAtOnce(lasts(x)) })
	case script.ListBadEntry:
		f.during(x.Kind, x, func(x *script.Fault) {
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

// moveDiscovery gives discovery new addresses, and has all routers read them.
func (f *faults) moveDiscovery() {
	w := f.w
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
		r.list = got[i]
		r.reload()
	}
}

// clients has a fault come from the clients' side.
func (f *faults) clients(x script.Fault) {
	w := f.w
	switch x.Kind {
	case script.Add:
		c, err := w.fleet.AddCache(true)
		if w.fail(err); err == nil {
			w.registry.enrol(c, w.sim.Now())
		}
	case script.HotKey:
		f.during(x.Kind, x, func(x *script.Fault) {
			if x == nil {
				w.fleet.Keys.Heat(0, 0)
				return
			}
			w.fleet.Keys.Heat(x.Keys, x.Chance)
		})
	case script.Burst:
		f.during(x.Kind, x, func(x *script.Fault) {
			rate := w.s.Rate / float64(w.s.Clients.Groups)
			if x != nil {
				rate *= x.Factor
			}
			for _, c := range w.fleet.Clients {
				c.SetRate(rate)
			}
		})
	case script.Hostile:
		f.hostiles(x)
	}
}

// hostiles has a client that means harm come in each zone.
func (f *faults) hostiles(x script.Fault) {
	w := f.w
	for _, zone := range script.Zones() {
		f.hostile++
		name := fmt.Sprintf("hostile-%d", f.hostile)
		h := standin.NewHostile(w.host(name, zone).Machine(), standin.HostileOptions{
			Harm: standin.Harm(x.How), Every: 50 * millisecond, HoldFor: 2 * second, MaxConnections: 32, Class: w.classes[0],
			Keys: w.fleet.Keys, Routers: func() []standin.Target { return w.front.routers(zone) },
		}, w.sim.Rand(name), w.eyes)
		h.Start()
		f.until(x, h.Stop)
	}
}

// Figures of failing calls: connections that can't be begun are rarer than reads that are cut short.
const (
	dialsPart = 4
	shortRead = 200 // bytes that such a read takes, at most
)

// router has a fault strike a router.
func (f *faults) router(x script.Fault, r *router) {
	switch x.Kind {
	case script.RouterKill:
		r.kill()
	case script.RouterRestart:
		if r.node != nil {
			r.kill()
			r.back(microseconds(x.For))
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
		r.host.FailCalls(sim.FailingCalls{Dials: x.Chance / dialsPart, ShortReads: x.Chance, MaxShortRead: shortRead})
		f.until(x, func() { r.host.FailCalls(sim.FailingCalls{}) })
	}
}

// link has a fault strike a link, one way or both.
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
			f.w.sim.Slow(from, to, 1, 0)
			return
		}
		f.w.sim.Slow(from, to, x.Factor, microseconds(x.Delay))
	}
	if x.Kind == script.Cut {
		set = func(x *script.Fault) {
			if x == nil {
				f.w.sim.Heal(from, to)
				return
			}
			f.w.sim.Cut(from, to)
		}
	}
	f.during(wayOf(x.Kind, from, to), x, set)
}

func wayOf(kind, from, to string) string { return kind + " " + from + ">" + to }

// lag is how long the way from one zone to another takes at the most, where it is longer than usual; else 0.
func (f *faults) lag(from, to string) Time {
	all := f.lasting[wayOf(script.Lag, from, to)]
	if len(all) == 0 {
		return 0
	}
	n, x := f.w.s.Network, all[len(all)-1]
	latency := n.Far
	if from == to {
		latency = n.Near
	}
	return Time(float64(microseconds(latency))*(x.Factor+n.Jitter)) + microseconds(x.Delay)
}

// apart reports whether nothing gets from one zone to another now, or back.
func (f *faults) apart(a, b string) bool {
	return len(f.lasting[wayOf(script.Cut, a, b)]) > 0 || len(f.lasting[wayOf(script.Cut, b, a)]) > 0
}
