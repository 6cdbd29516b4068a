package loopback

import (
	"net/netip"
	"slices"
	"strconv"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/standin"
	"starlingwinch/internal/testbench/standin/registry"
)

// registries are the registry as each router sees it: one server for each, at which the caches stand with the addresses
// that they have for that router. All of them are changed in one turn of the loop, so that they show one state.
type registries struct {
	r             *run
	views         []view
	registrations []*registration
	outs          []Out
	open          map[string]int // place in outs of the caches that are out
	judged        bool           // what it shows is what a router gets
}

// view is the registry as one router sees it.
type view struct {
	*registry.Registry
	router, url string
}

// registration is a cache that is registered.
type registration struct {
	cache *standin.Cache
	over  bool // it renews no more
}

// evictEvery is how often leases are looked at.
const evictEvery = second

func newRegistries(r *run) (*registries, error) {
	o := r.o.Script.Registry
	all := &registries{r: r, open: map[string]int{}, judged: true}
	for _, f := range r.o.Script.Faults {
		if lab.HidesRegistry(f.Kind) {
			all.judged = false
		}
	}
	for _, router := range r.fleet.Routers() {
		v := view{router: router}
		v.Registry = registry.New(r.m, registry.Options{EvictEvery: evictEvery, NoPreservation: !o.Preserve,
			RenewEvery: span(o.Renewal), CacheTime: span(o.CacheDelay),
			OnMark: func(id, status string, at Time) { all.marked(router, id, status, at) }})
		addr, err := v.Open("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		v.url = "http://" + addr + v.Base()
		all.views = append(all.views, v)
	}
	for _, c := range r.fleet.Caches {
		if err := all.enroll(c, 0); err != nil {
			return nil, err
		}
	}
	for _, v := range all.views {
		v.Disagree() // with nobody: its answers are made anew
	}
	r.seen.began = all.began
	all.renew()
	return all, nil
}

// files are the operators' files of a router that serves at self.
func (all *registries) files(router, self string) []lab.OperatorFile {
	for _, v := range all.views {
		if v.router == router {
			return lab.RegistryFiles(all.r.o.Script.Registry, []string{v.url}, self)
		}
	}
	return nil
}

// enroll registers a cache; start is 0 for long ago.
func (all *registries) enroll(c *standin.Cache, start Time) error {
	e := all.registrationOf(c)
	if e == nil {
		e = &registration{cache: c}
		all.registrations = append(all.registrations, e)
	}
	for _, v := range all.views {
		if err := v.Register(all.instance(c, v.router, start)); err != nil {
			return err
		}
	}
	return nil
}

// instance is a cache as it registers for a router.
func (all *registries) instance(c *standin.Cache, router string, start Time) registry.Instance {
	at := netip.MustParseAddrPort(c.Address(router))
	o := all.r.o.Script.Registry
	ip := at.Addr().String()
	in := registry.Instance{
		ID: c.Name(), App: script.Application, HostName: ip, IPAddr: ip, Port: int(at.Port()), PortOn: true,
		Metadata:   map[string]string{"zone": c.Zone(), "group": strconv.Itoa(c.Group()), "weight": "1"},
		RenewEvery: int(o.Renewal.Seconds()), LeaseTime: int(o.Lease.Seconds()),
	}
	if start > 0 {
		in.Metadata["start"] = strconv.FormatInt(start/millisecond, 10)
	}
	return in
}

func (all *registries) registrationOf(c *standin.Cache) *registration {
	for _, e := range all.registrations {
		if e.cache == c {
			return e
		}
	}
	return nil
}

// renew renews all leases, again and again.
func (all *registries) renew() {
	m := all.r.m
	m.At(m.Now()+span(all.r.o.Script.Registry.Renewal), func() {
		for _, e := range all.registrations {
			for _, v := range all.views {
				if !e.over && v.Renew(e.cache.Name()) != nil { // it has been forgotten
					if err := v.Register(all.instance(e.cache, v.router, 0)); err != nil {
						all.r.fail("registry: %w", err)
						return
					}
				}
			}
		}
		all.renew()
	})
}

// setStatus has an operator set a cache's status.
func (all *registries) setStatus(c *standin.Cache, status string) {
	for _, v := range all.views {
		v.SetStatus(c.Name(), status) // where it has been forgotten there is nothing to set
	}
}

// unregister takes a cache off the registry; died lets its lease run out.
func (all *registries) unregister(c *standin.Cache) {
	if all == nil {
		return
	}
	all.stopRenewing(c)
	for _, v := range all.views {
		v.Cancel(c.Name()) // where it has been forgotten, that is as well
	}
}

func (all *registries) stopRenewing(c *standin.Cache) {
	if all == nil {
		return
	}
	if e := all.registrationOf(c); e != nil {
		e.over = true
	}
}

// marked is called when a change of a cache can be seen by a router.
func (all *registries) marked(router, id, status string, at Time) {
	// Routers register themselves too, and are not judged as caches.
	if !all.judged || !slices.ContainsFunc(all.registrations, func(e *registration) bool { return e.cache.Name() == id }) {
		return
	}
	all.r.seen.Listed(at, router, id, status == registry.Up)
	if router != all.views[0].router {
		return
	}
	switch _, is := all.open[id]; {
	case status == registry.OutOfService && !is:
		all.open[id] = len(all.outs)
		all.outs = append(all.outs, Out{Cache: id, At: all.r.seen.time(at) - all.r.seen.start})
	case status != registry.OutOfService && is:
		delete(all.open, id)
	}
}

// began takes an attempt in that reaches a cache.
func (all *registries) began(at Time, a rules.Attempt) {
	i, out := all.open[a.Cache]
	if !out {
		return
	}
	o := &all.outs[i]
	o.Sent++
	o.Last, o.Router = at-all.r.seen.start-o.At, a.Router
}

// The registry's faults.

func (fs *faults) registryBegins(x script.Fault) {
	for _, v := range fs.r.registry.views {
		if !lab.ApplyInstantRegistryFault(v.Registry, x) {
			lab.SetRegistryFault(v.Registry, x.Kind, &x, fs.r.registry.firstRegistered(x.Chance))
		}
	}
}

func (fs *faults) registryEnds(x script.Fault) {
	for _, v := range fs.r.registry.views {
		lab.SetRegistryFault(v.Registry, x.Kind, nil, nil)
	}
}

// firstRegistered is the first part of the caches.
func (all *registries) firstRegistered(part float64) (ids []string) {
	for _, e := range all.registrations[:int(part*float64(len(all.registrations))+0.5)] {
		ids = append(ids, e.cache.Name())
	}
	return ids
}

func (fs *faults) setOut(x script.Fault) {
	for _, c := range fs.caches(x) {
		fs.r.registry.setStatus(c, registry.OutOfService)
	}
}

func (fs *faults) setUp(x script.Fault) {
	for _, c := range fs.caches(x) {
		fs.r.registry.setStatus(c, registry.Up)
	}
}

// flap has caches stand as down and as up in turns, until the fault ends.
func (fs *faults) flap(x script.Fault) {
	until := fs.r.m.Now() + span(x.For)
	var turn func(down bool)
	turn = func(down bool) {
		if fs.over || fs.r.m.Now() >= until {
			return
		}
		if down {
			fs.setOut(x)
		} else {
			fs.setUp(x)
		}
		fs.r.m.At(fs.r.m.Now()+span(x.Delay), func() { turn(!down) })
	}
	turn(true)
}

func (fs *faults) killCache(x script.Fault) {
	for _, c := range fs.caches(x) {
		fs.endCache(c)
		fs.r.registry.stopRenewing(c)
	}
}

func (fs *faults) depart(x script.Fault) {
	for _, c := range fs.caches(x) {
		fs.endCache(c)
		fs.r.registry.unregister(c)
	}
}

func (fs *faults) endCache(c *standin.Cache) {
	fs.states[c] = gone
	fs.r.fleet.Discovery.Remove(c.Name())
	c.Stop()
}
