package lab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
	"starlingwinch/internal/testbench/standin/registry"
)

// registries holds the servers of a run's registry and the caches that are registered there. A nil *registries belongs to a
// run without a registry, and its methods do nothing.
type registries struct {
	world         *world
	rand          *rand.Rand
	servers       []*replica
	registrations []*registration // in the order of their registration
	knowledge     *knowledge
}

// replica is one server of the registry.
type replica struct {
	*registry.Registry
	host         *sim.Host
	zone         string
	url          string
	activeFaults [faultStates]int // number of active faults by the state that they cause
	// startChangeLost is set once a changed start time may be missing from deltas, which the hash code does not reveal.
	startChangeLost bool
}

// registration is the registration of a cache. It models an agent beside the cache that renews the lease, and that registers
// the cache again if the registry has lost the registration.
type registration struct {
	cache *standin.Cache
	addr  netip.AddrPort
	start Time // start time of the cache; 0 if the cache started before the run
	ended bool // whether the agent has stopped renewing the lease
}

// leaseEvict is the interval at which the registry evicts expired leases.
const leaseEvict = second

func newRegistries(w *world) (*registries, error) {
	o := w.script.Registry
	if !o.Enabled {
		return nil, nil
	}
	r := &registries{world: w, rand: w.sim.Rand("registry")}
	r.knowledge = newKnowledge(r)
	var all []*registry.Registry
	for i := range o.Replicas {
		zone := script.Zones()[(1+i)%len(script.Zones())]
		name := fmt.Sprintf("registry-%d", i+1)
		p := &replica{host: w.host(name, zone), zone: zone}
		p.Registry = registry.New(p.host.Machine(), registry.Options{EvictEvery: leaseEvict, NoPreservation: !o.Preserve,
			RenewEvery: microseconds(o.Renewal), CacheTime: microseconds(o.CacheDelay),
			ReplicaDelay: microseconds(o.CopyDelay)})
		addr, err := p.Open(p.host.IP() + ":8761")
		if err != nil {
			return nil, err
		}
		p.url = "http://" + addr + p.Base()
		r.servers = append(r.servers, p)
		all = append(all, p.Registry)
	}
	registry.Join(all...)
	return r, nil
}

// files returns the operators' files of a router.
func (r *registries) files(self string) []OperatorFile {
	if r == nil {
		return nil
	}
	var urls []string
	for _, p := range r.servers {
		urls = append(urls, p.url)
	}
	return RegistryFiles(r.world.script.Registry, urls, self)
}

// registerInitial registers the caches that run at the start on all servers. Their start time is unset, and they are in the
// servers' answers at once.
func (r *registries) registerInitial(caches []*standin.Cache) {
	if r == nil {
		return
	}
	for _, c := range caches {
		r.enroll(c, 0)
	}
	for _, p := range r.servers {
		for _, e := range r.registrations {
			r.world.fail(p.Register(r.instance(e)))
		}
		p.Disagree() // hides no cache, but rebuilds the server's answers
	}
}

// enroll registers a cache that has just started, and schedules the renewals of its lease.
func (r *registries) enroll(c *standin.Cache, start Time) {
	if r == nil {
		return
	}
	e := &registration{cache: c, addr: netip.MustParseAddrPort(c.Address("")), start: start}
	r.registrations = append(r.registrations, e)
	r.register(e)
	r.renewLater(e)
}

// registrationOf returns the registration of a cache, or nil if there is none.
func (r *registries) registrationOf(c *standin.Cache) *registration {
	for _, e := range r.registrations {
		if e.cache == c {
			return e
		}
	}
	return nil
}

// answeringServer returns the first server that answers now, or nil if none does.
func (r *registries) answeringServer() *replica {
	for _, p := range r.servers {
		if p.activeFaults[unreachable] == 0 {
			return p
		}
	}
	return nil
}

// register registers a cache with a server, if one answers.
func (r *registries) register(e *registration) {
	p := r.answeringServer()
	if p != nil {
		r.world.fail(p.Register(r.instance(e)))
	}
}

// instance returns the registry's instance for a cache.
func (r *registries) instance(e *registration) registry.Instance {
	ip := e.addr.Addr().String()
	o := r.world.script.Registry
	in := registry.Instance{
		ID: e.cache.Name(), App: script.Application, HostName: ip, IPAddr: ip, Port: int(e.addr.Port()), PortOn: true,
		Metadata:   map[string]string{"zone": e.cache.Zone(), "group": strconv.Itoa(e.cache.Group()), "weight": "1"},
		RenewEvery: int(o.Renewal.Seconds()), LeaseTime: int(o.Lease.Seconds()),
	}
	if e.start > 0 {
		in.Metadata["start"] = strconv.FormatInt(e.start/millisecond, 10)
	}
	return in
}

// renewLater schedules the next renewal of the lease, up to a tenth of the renewal interval early.
func (r *registries) renewLater(e *registration) {
	span := microseconds(r.world.script.Registry.Renewal)
	r.world.sim.At(r.world.sim.Now()+span-Time(r.rand.Float64()*0.1*float64(span)), func() {
		if e.ended {
			return
		}
		if p := r.answeringServer(); p != nil && p.Renew(e.cache.Name()) != nil {
			r.register(e)
		}
		r.renewLater(e)
	})
}

// registerRestart registers a restarted cache again, with its new start time.
func (r *registries) registerRestart(c *standin.Cache) {
	if r == nil {
		return
	}
	if e := r.registrationOf(c); e != nil {
		e.start = r.world.sim.Now()
		r.register(e)
	}
}

// stopRenewing stops the renewals of a cache that has ended, so that its lease expires.
func (r *registries) stopRenewing(c *standin.Cache) {
	if r == nil {
		return
	}
	if e := r.registrationOf(c); e != nil {
		e.ended = true
	}
}

// unregister removes a cache from the registry.
func (r *registries) unregister(c *standin.Cache) {
	if r == nil {
		return
	}
	r.stopRenewing(c)
	if p := r.answeringServer(); p != nil {
		p.Cancel(c.Name()) // an instance that the server no longer knows needs no removal
	}
}

// setStatus sets the status of a cache as an operator does. It has no effect if no server answers.
func (r *registries) setStatus(c *standin.Cache, status string) {
	if r == nil {
		return
	}
	if p := r.answeringServer(); p != nil {
		p.SetStatus(c.Name(), status) // an instance that the server no longer knows has no status to set
	}
}

// registry applies a fault to a server of the registry.
func (f *faults) registry(x script.Fault, i int) {
	p := f.world.registry.servers[i]
	if ApplyInstantRegistryFault(p.Registry, x) {
		if x.Kind == script.RegistryDeltaLost && f.world.script.Registry.FollowsDeltas() {
			p.dropDeltas(x.Keys)
		}
		return
	}
	is := faultStateOf(x.Kind)
	p.activeFaults[is]++
	f.activate(fmt.Sprintf("%s %d", x.Kind, i), x, func(now *script.Fault) {
		SetRegistryFault(p.Registry, x.Kind, now, f.world.registry.firstRegistered(chanceOf(now)))
	})
	f.atEnd(x, func() { p.activeFaults[is]-- })
}

// dropDeltas records the number of changes that are missing from deltas. The hash code counts instances by status, so that it
// reveals neither a new start time nor two changes that cancel each other out.
func (p *replica) dropDeltas(changes int) {
	p.startChangeLost = true
	if changes > 1 {
		p.activeFaults[uncertain]++ // until the next full fetch, which comes only after the end of the run
	}
}

// faultStateOf returns the state of a server during a fault of the given kind.
func faultStateOf(kind string) faultState {
	switch kind {
	case script.RegistrySilent, script.Registry5xx, script.RegistryTruncate, script.RegistryMalform,
		script.RegistryRestart:
		return unreachable
	case script.RegistrySlow, script.RegistryDeltaOld:
		return uncertain
	}
	return healthy
}

// ApplyInstantRegistryFault applies x if it is a fault without a duration, and reports whether it is one.
func ApplyInstantRegistryFault(p *registry.Registry, x script.Fault) bool {
	switch x.Kind {
	case script.RegistryDeltaLost:
		p.DeltaLost(x.Keys)
	case script.RegistryEmpty:
		p.Empty()
	default:
		return false
	}
	return true
}

// SetRegistryFault switches a fault of a kind on, or off if x is nil. hidden lists the caches that RegistryDisagree hides.
func SetRegistryFault(p *registry.Registry, kind string, x *script.Fault, hidden []string) {
	on := isActive(x)
	switch kind {
	case script.RegistrySilent:
		p.Silent(on)
	case script.Registry5xx:
		status := 0
		if on {
			status = 503
		}
		p.Error(status)
	case script.RegistryTruncate:
		p.Truncate(on)
	case script.RegistryMalform:
		p.Malform(on)
	case script.RegistryRestart:
		p.Refuse(on)
	case script.RegistrySlow:
		delay := Time(0)
		if on {
			delay = microseconds(x.Delay)
		}
		p.Slow(delay)
	case script.RegistryDeltaOld:
		p.DeltaOld(on)
	case script.RegistryStale:
		p.Stale(on)
	case script.RegistryHash:
		p.WrongHash(on)
	case script.RegistryDeltaRepeat:
		p.DeltaRepeat(on)
	case script.RegistryDisagree:
		p.Disagree(hidden...)
	}
}

// firstRegistered returns the names of the caches that registered first, up to the given fraction of all caches.
func (r *registries) firstRegistered(part float64) (ids []string) {
	n := int(part*float64(len(r.registrations)) + 0.5)
	for _, e := range r.registrations[:n] {
		ids = append(ids, e.cache.Name())
	}
	return ids
}

// flap sets the status of a cache alternately to out of service and up until the fault ends.
func (f *faults) flap(x script.Fault, c *standin.Cache) {
	w := f.world
	over := false
	var turn func(down bool)
	turn = func(down bool) {
		if over {
			return
		}
		status := registry.Up
		if down {
			status = registry.OutOfService
		}
		w.registry.setStatus(c, status)
		w.sim.At(w.sim.Now()+microseconds(x.Delay), func() { turn(!down) })
	}
	turn(true)
	f.atEnd(x, func() {
		over = true
		w.registry.setStatus(c, registry.Up)
	})
}
