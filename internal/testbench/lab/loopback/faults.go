package loopback

import (
	"syscall"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/standin"
	"starlingwinch/internal/testbench/standin/registry"
)

// faults switches the faults of a script on and off.
type faults struct {
	r       *run
	places  []*standin.Cache // those that a target names by their number: the first ones, or who took their place
	active  map[faultAtCache]int
	states  map[*standin.Cache]string // of draining ones
	hostile []*standin.Hostile
	bursts  int
	over    bool
}

// faultAtCache is a kind of fault at a cache. Of two that overlap, the end of the first must not end both.
type faultAtCache struct {
	kind  string
	cache *standin.Cache
}

// faultHandler carries a kind of fault out. end is nil for what lasts no time.
type faultHandler struct {
	begin func(*faults, script.Fault)
	end   func(*faults, script.Fault)
}

// faultHandlers are the kinds of faults that are possible on loopback sockets.
var faultHandlers map[string]faultHandler

func init() {
	on := func(f func(c *standin.Cache, on bool, x script.Fault)) faultHandler {
		return faultHandler{
			begin: func(fs *faults, x script.Fault) { fs.switchCaches(x, true, f) },
			end:   func(fs *faults, x script.Fault) { fs.switchCaches(x, false, f) },
		}
	}
	share := func(f func(c *standin.Cache, p float64, x script.Fault)) faultHandler {
		return on(func(c *standin.Cache, on bool, x script.Fault) {
			if !on {
				x.Chance = 0
			}
			f(c, x.Chance, x)
		})
	}
	list := func(begin, end func(d *standin.Discovery, x script.Fault)) faultHandler {
		return faultHandler{
			begin: func(fs *faults, x script.Fault) { begin(fs.r.fleet.Discovery, x) },
			end:   func(fs *faults, x script.Fault) { end(fs.r.fleet.Discovery, x) },
		}
	}
	faultHandlers = map[string]faultHandler{
		script.Hang:    on(func(c *standin.Cache, on bool, _ script.Fault) { c.Hang(on) }),
		script.Silence: on(func(c *standin.Cache, on bool, _ script.Fault) { c.Silent(on) }),
		script.Busy:    on(func(c *standin.Cache, on bool, _ script.Fault) { c.Busy(on) }),
		script.Slow: on(func(c *standin.Cache, on bool, x script.Fault) {
			if !on {
				x.Factor = 1
			}
			c.Slow(x.Factor)
		}),
		script.ResetAccept: on(func(c *standin.Cache, on bool, _ script.Fault) { c.ResetAccept(on) }),
		script.Errors:      share(func(c *standin.Cache, p float64, _ script.Fault) { c.ErrRate(p) }),
		script.Spoil:       share(func(c *standin.Cache, p float64, x script.Fault) { c.Spoil(p, standin.Spoil(x.How)) }),
		script.Double: share(func(c *standin.Cache, p float64, x script.Fault) {
			c.Double(p, x.How == "noise", span(x.Delay))
		}),
		script.ResetInside: share(func(c *standin.Cache, p float64, _ script.Fault) { c.ResetInside(p) }),
		script.ResetAfter:  share(func(c *standin.Cache, p float64, _ script.Fault) { c.ResetAfter(p) }),
		script.DropIdle:    {begin: (*faults).dropIdle},

		script.ListLate: list(func(d *standin.Discovery, x script.Fault) { d.Late(span(x.Delay)) },
			func(d *standin.Discovery, _ script.Fault) { d.Late(0) }),
		script.ListStale: list(func(d *standin.Discovery, x script.Fault) { d.Stale(span(x.Delay)) },
			func(d *standin.Discovery, _ script.Fault) { d.Stale(0) }),
		script.ListDown: list(func(d *standin.Discovery, x script.Fault) { d.Down(true, x.How == "resets") },
			func(d *standin.Discovery, _ script.Fault) { d.Down(false, false) }),
		script.ListSilent: list(func(d *standin.Discovery, _ script.Fault) { d.Silent(true) },
			func(d *standin.Discovery, _ script.Fault) { d.Silent(false) }),
		script.ListAtOnce: list(func(d *standin.Discovery, _ script.Fault) { d.AnswerAtOnce(true) },
			func(d *standin.Discovery, _ script.Fault) { d.AnswerAtOnce(false) }),
		script.ListBadEntry: list(func(d *standin.Discovery, x script.Fault) { d.Spoil(standin.BadEntry(x.How)) },
			func(d *standin.Discovery, _ script.Fault) { d.Spoil("") }),
		script.ListBack: {begin: func(fs *faults, x script.Fault) {
			fs.r.fleet.Discovery.VersionBack(int64(x.Keys))
		}},
		script.ListMoved: {begin: (*faults).moveList},

		script.RestartCold: {begin: (*faults).restartCaches},
		script.PowerCut:    {begin: (*faults).restartCaches},
		script.Replace:     {begin: (*faults).replace},
		script.Drain:       {begin: (*faults).drain, end: (*faults).drained},
		script.Add:         {begin: (*faults).add},

		script.HotKey: {
			begin: func(fs *faults, x script.Fault) { fs.r.fleet.Keys.Heat(x.Keys, x.Chance) },
			end:   func(fs *faults, _ script.Fault) { fs.r.fleet.Keys.Heat(0, 0) },
		},
		script.Hostile: {begin: (*faults).startHostile, end: (*faults).hostileEndsItself},
		script.Burst:   {begin: (*faults).burst, end: (*faults).burstOver},

		script.RouterKill: {begin: func(fs *faults, x script.Fault) {
			fs.routers(x, func(rt *router) { rt.kill(false) })
		}},
		script.RouterRestart: {
			begin: func(fs *faults, x script.Fault) { fs.routers(x, func(rt *router) { rt.kill(false) }) },
			end:   func(fs *faults, x script.Fault) { fs.routers(x, (*router).start) },
		},
		script.RouterTerm: {begin: func(fs *faults, x script.Fault) {
			fs.routers(x, func(rt *router) { rt.term(true) })
		}},
		script.Stall: {
			begin: func(fs *faults, x script.Fault) { fs.routers(x, func(rt *router) { rt.standStill(span(x.For)) }) },
			end:   func(fs *faults, x script.Fault) { fs.routers(x, func(rt *router) { rt.signal(syscall.SIGCONT) }) },
		},
		script.HandOver: {begin: func(fs *faults, x script.Fault) {
			fs.routers(x, func(rt *router) { rt.handOver(x) })
		}},
		script.Signals: {begin: func(fs *faults, x script.Fault) {
			fs.routers(x, func(rt *router) { rt.signals(x) })
		}},
		script.HangUp: {begin: func(fs *faults, x script.Fault) {
			fs.routers(x, func(rt *router) { rt.signal(syscall.SIGHUP) })
		}},

		script.RegistryOut:  {begin: (*faults).setOut, end: (*faults).setUp},
		script.RegistryFlap: {begin: (*faults).flap, end: (*faults).setUp},
		script.CacheKill:    {begin: (*faults).killCache},
		script.Depart:       {begin: (*faults).depart},
	}
	for _, kind := range script.Kinds() {
		switch {
		case kind.On != script.OnRegistry:
		case kind.Instant:
			faultHandlers[kind.Name] = faultHandler{begin: (*faults).registryBegins}
		default:
			faultHandlers[kind.Name] = faultHandler{begin: (*faults).registryBegins, end: (*faults).registryEnds}
		}
	}
}

func (fs *faults) init(r *run) {
	fs.r, fs.active, fs.states = r, map[faultAtCache]int{}, map[*standin.Cache]string{}
	fs.places = append(fs.places, r.fleet.Caches...)
}

// begin sets the faults' times.
func (fs *faults) begin() {
	for _, f := range fs.r.o.Script.Faults {
		f = f.Usual()
		d := faultHandlers[f.Kind]
		at := fs.r.start + span(f.At)
		fs.r.m.At(at, func() { fs.unlessOver(d.begin, f) })
		if d.end != nil && f.For > 0 {
			fs.r.m.At(at+span(f.For), func() { fs.unlessOver(d.end, f) })
		}
	}
}

func (fs *faults) unlessOver(f func(*faults, script.Fault), x script.Fault) {
	if !fs.over {
		f(fs, x)
	}
}

// end has no further fault begin, and ends the hostile clients.
func (fs *faults) end() {
	fs.over = true
	for _, rt := range fs.r.routers {
		rt.signal(syscall.SIGCONT)        // one that stands still can't be told to end
		for _, old := range rt.previous { // any order: all
			rt.endOld(old)
			old.proc.signal(syscall.SIGCONT)
		}
	}
	for _, h := range fs.hostile {
		h.Stop()
	}
}

func (fs *faults) caches(x script.Fault) []*standin.Cache {
	var all []*standin.Cache
	for _, i := range script.CachesOf(x.Target, len(fs.places)) {
		all = append(all, fs.places[i])
	}
	return all
}

func (fs *faults) routers(x script.Fault, f func(*router)) {
	for _, i := range script.RoutersOf(x.Target, len(fs.r.routers)) {
		f(fs.r.routers[i])
	}
}

// switchCaches switches a lasting fault at the caches that it strikes.
func (fs *faults) switchCaches(x script.Fault, on bool, f func(*standin.Cache, bool, script.Fault)) {
	for _, c := range fs.caches(x) {
		at := faultAtCache{x.Kind, c}
		if on {
			fs.active[at]++
			f(c, true, x)
			continue
		}
		if fs.active[at] == 0 {
			continue // another cache has taken its place
		}
		if fs.active[at]--; fs.active[at] == 0 {
			f(c, false, x)
		}
	}
}

func (fs *faults) dropIdle(x script.Fault) {
	for _, c := range fs.caches(x) {
		c.DropIdle(x.How == "silently")
	}
}

func (fs *faults) restartCaches(x script.Fault) {
	for _, c := range fs.caches(x) {
		if fs.states[c] == gone {
			continue
		}
		err := fs.r.fleet.Restart(c)
		if err == nil && fs.r.registry != nil {
			err = fs.r.registry.enroll(c, fs.r.m.Now())
		}
		if err != nil {
			fs.r.fail("%s: %w", x, err)
		}
	}
}

func (fs *faults) replace(x script.Fault) {
	for _, i := range script.CachesOf(x.Target, len(fs.places)) {
		c, err := fs.r.fleet.Replace(fs.places[i])
		fs.r.registry.unregister(fs.places[i])
		if err == nil && fs.r.registry != nil {
			err = fs.r.registry.enroll(c, fs.r.m.Now())
		}
		if err != nil {
			fs.r.fail("%s: %w", x, err)
			return
		}
		fs.states[fs.places[i]] = gone
		fs.places[i] = c
	}
}

// States of a cache that is leaving.
const (
	leaving = "draining"
	gone    = "gone"
)

func (fs *faults) drain(x script.Fault) {
	for _, c := range fs.caches(x) {
		fs.states[c] = leaving
		fs.r.fleet.Discovery.SetStatus(c.Name(), standin.Terminating)
		if fs.r.registry != nil {
			fs.r.registry.setStatus(c, registry.OutOfService)
		}
	}
}

func (fs *faults) drained(x script.Fault) {
	for _, c := range fs.caches(x) {
		if fs.states[c] != leaving {
			continue
		}
		fs.endCache(c)
		fs.r.registry.unregister(c)
	}
}

func (fs *faults) add(x script.Fault) {
	c, err := fs.r.fleet.AddCache(true)
	if err == nil && fs.r.registry != nil {
		err = fs.r.registry.enroll(c, fs.r.m.Now())
	}
	if err != nil {
		fs.r.fail("%s: %w", x, err)
	}
}

// moveList moves discovery: the routers find the new address in their configuration at SIGHUP.
func (fs *faults) moveList(x script.Fault) {
	r := fs.r
	anywhere := make([]string, len(r.routers))
	for i := range anywhere {
		anywhere[i] = "127.0.0.1:0"
	}
	addrs, err := r.fleet.Discovery.Move(anywhere)
	if err != nil {
		r.fail("%s: %w", x, err)
		return
	}
	for i, rt := range r.routers {
		r.fleet.Lists[rt.name] = addrs[i]
		if err := rt.configure(addrs[i]); err != nil {
			r.fail("%s: %w", x, err)
			return
		}
		if rt.state == serving {
			rt.signal(syscall.SIGHUP)
		}
	}
}

// Pace of hostile clients.
const (
	harmEvery = 100 * millisecond
	// deafEvery is the interval of those that never read, as each of them requests more work than all caches can do.
	deafEvery = 4 * second
	harmHolds = 4 * second
)

func (fs *faults) startHostile(x script.Fault) {
	r := fs.r
	every := harmEvery
	if standin.Harm(x.How) == standin.NeverReads {
		every = deafEvery
	}
	h := standin.NewHostile(r.m, standin.HostileOptions{Harm: standin.Harm(x.How), Every: every, HoldFor: harmHolds,
		Class: r.report.Classes[0], Keys: r.fleet.Keys, Routers: func() []standin.Target { return r.front("") }},
		part(r.o.Script.Seed, uint64(100+len(fs.hostile))), r.seen)
	h.Start()
	fs.hostile = append(fs.hostile, h)
	if x.For > 0 {
		r.m.At(r.m.Now()+span(x.For), h.Stop)
	}
}

func (fs *faults) hostileEndsItself(script.Fault) {} // each ends by itself

func (fs *faults) burst(x script.Fault) {
	fs.bursts++
	fs.rate(x.Factor)
}

func (fs *faults) burstOver(script.Fault) {
	if fs.bursts--; fs.bursts == 0 {
		fs.rate(1)
	}
}

func (fs *faults) rate(times float64) {
	if fs.r.phase != serviceRunning {
		return
	}
	for _, c := range fs.r.fleet.Clients {
		c.SetRate(times * fs.r.o.Script.Rate / float64(len(fs.r.fleet.Clients)))
	}
}
