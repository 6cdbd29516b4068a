// Package registry is a stand-in for Netflix Eureka 1.x as Spring Cloud's server provides it: a registry of instances
// with leases, with a REST interface in JSON. Clients of the real server can register, renew, set a status, fetch, fetch
// deltas and cancel. It is written against machine.Machine alone, as the other stand-ins are.
//
// It has the peculiarities of the real server that its clients must handle: leases that last twice as long as they say,
// evictions in small parts, self-preservation, overrides of a status, a response cache that lags, deltas that carry the
// hash of the whole list, and replicas that agree only after a while. It has no XML, no regions and no replication over
// HTTP: replicas are joined within one process.
//
// It checks no rules, and can be made to misbehave: see faults.go.
package registry

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/httpserver"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

const (
	Millisecond Time = 1000               // Millisecond is a thousandth of a second.
	Second      Time = 1000 * Millisecond // Second is a million microseconds.
)

// Errors of calls.
var (
	// ErrUnknownInstance means that the instance is not registered.
	ErrUnknownInstance = errors.New("no such instance")
	// ErrRegistryFull means that Options.MaxInstances are registered.
	ErrRegistryFull = errors.New("the registry is full")
	// ErrUnknownStatus means that a status is none of those that an instance can have.
	ErrUnknownStatus = errors.New("no such status")
)

// Registry is one replica of a registry.
type Registry struct {
	machine machine.Machine
	options Options
	server  *httpserver.Server
	rng     *rand.Rand // for the choice of evicted instances
	start   Time       // when it started, or was emptied
	peers   []*Registry

	leases     []*lease          // by app and id
	overrides  map[string]string // status by id
	deltaQueue []queuedChange    // oldest first
	closed     bool
	version    int64 // of the state, raised with each change
	deltasMade int64 // answers with a delta, which the real server counts

	thisMinute   int64 // number of the present minute since start
	renewals     int64 // in this minute
	lastRenewals int64 // in the minute before

	evictTimer   machine.Timer
	cacheTimer   machine.Timer // of the response cache; nil without one
	pendingMarks []mark        // not visible before the response cache is brought up to date
	cached       *view         // the response cache; nil without one
	latest       *view         // the newest view made

	faults faults
}

// lease is an instance with its lease. The Instance it points to is replaced, never changed, as views share it.
type lease struct {
	*Instance
	Lease
	renewedAt Time // last renewal as the real server counts it; see extend
}

func (l *lease) duration() Time { return Time(l.LeaseTime) * Second }

// queuedChange is an instance in the delta queue, as it was after a change.
type queuedChange struct {
	at   Time
	item item
}

// mark is a change that became visible: the status of an instance, or Deleted.
type mark struct {
	id     string
	status string
}

// New returns an empty registry that listens nowhere yet. Its timers run until Close.
func New(m machine.Machine, o Options) *Registry {
	o.fill()
	r := &Registry{machine: m, options: o, start: m.Now(), overrides: map[string]string{},
		rng: rand.New(rand.NewPCG(m.Entropy(), 1))}
	r.server = httpserver.New(m, o.HTTP, r.serve)
	r.evictTimer = m.At(m.Now()+o.EvictEvery, r.evict)
	if o.CacheTime > 0 {
		r.cached = r.currentView()
		r.cacheTimer = m.At(m.Now()+o.CacheTime, r.refreshCache)
	}
	return r
}

// Open listens at an address and returns the one that it got.
func (r *Registry) Open(addr string) (string, error) { return r.server.Open(addr) }

// Base returns the prefix of all paths.
func (r *Registry) Base() string { return r.options.Base }

// Close closes the listeners and stops all timers.
func (r *Registry) Close() {
	r.closed = true
	r.server.Close()
	r.evictTimer.Stop()
	if r.cacheTimer != nil {
		r.cacheTimer.Stop()
	}
	r.faults.stop()
}

// Register registers an instance, as a call does, and replicates it.
func (r *Registry) Register(in Instance) error {
	in.App = strings.ToUpper(in.App)
	if in.DataCenter == "" {
		in.DataCenter = "MyOwn"
	}
	in.fill()
	if err := in.check(); err != nil {
		return err
	}
	if in.LastDirty == 0 {
		in.LastDirty = r.wallMillis()
	}
	return r.register(in, false)
}

// Renew renews an instance's lease.
func (r *Registry) Renew(id string) error {
	l := r.byID(id)
	if l == nil || !r.renew(l.App, id, false) {
		return ErrUnknownInstance
	}
	return nil
}

// SetStatus overrides an instance's status.
func (r *Registry) SetStatus(id, status string) error {
	l := r.byID(id)
	if l == nil {
		return ErrUnknownInstance
	}
	return r.setOverride(l.App, id, status, 0, false)
}

// Cancel removes an instance.
func (r *Registry) Cancel(id string) error {
	l := r.byID(id)
	if l == nil || !r.cancel(l.App, id, false) {
		return ErrUnknownInstance
	}
	return nil
}

// State returns all registered instances, by app and id, whatever callers are shown.
func (r *Registry) State() []Instance {
	var all []Instance
	for _, l := range r.leases {
		all = append(all, *l.Instance)
	}
	return all
}

// wallMillis returns the wall clock in Unix ms.
func (r *Registry) wallMillis() int64 { return r.machine.Wall() / Millisecond }

// find returns the place of an instance in leases, and whether it is there.
func (r *Registry) find(app, id string) (int, bool) {
	return slices.BinarySearchFunc(r.leases, id, func(l *lease, id string) int {
		return cmp.Or(cmp.Compare(l.App, app), cmp.Compare(l.ID, id))
	})
}

// lease returns the lease of an instance, or nil.
func (r *Registry) lease(app, id string) *lease {
	if at, ok := r.find(app, id); ok {
		return r.leases[at]
	}
	return nil
}

// byID returns the first lease with an id, or nil.
func (r *Registry) byID(id string) *lease {
	for _, l := range r.leases {
		if l.ID == id {
			return l
		}
	}
	return nil
}

// register registers an instance that was checked. replicated is set where another replica has sent it.
func (r *Registry) register(in Instance, replicated bool) error {
	size := 0
	for name, value := range in.Metadata { // any order: a sum
		size += len(name) + len(value)
	}
	if size > r.options.MaxMetadataBytes {
		return fmt.Errorf("instance.metadata: %d bytes (wanted up to %d)", size, r.options.MaxMetadataBytes)
	}
	at, known := r.find(in.App, in.ID)
	var old *lease
	if known {
		old = r.leases[at]
		if old.LastDirty > in.LastDirty { // the registration is older than the known instance
			in = *old.Instance
		}
	} else if len(r.leases) >= r.options.MaxInstances {
		return ErrRegistryFull
	}
	if in.Overridden != Unknown && r.overrides[in.ID] == "" {
		r.overrides[in.ID] = in.Overridden
	}
	if o := r.overrides[in.ID]; o != "" {
		in.Overridden = o
	}
	in.Status = r.statusOf(&in, old, replicated)
	now := r.wallMillis()
	l := &lease{Instance: &in, Lease: Lease{Registered: now, LastRenewal: now}, renewedAt: r.machine.Now()}
	if old != nil {
		l.ServiceUp = old.ServiceUp
		r.leases[at] = l
	} else {
		r.leases = slices.Insert(r.leases, at, l)
	}
	r.changed(l, Added)
	if !replicated {
		r.replicate(func(p *Registry) { p.register(in, true) })
	}
	return nil
}

// statusOf returns the visible status of an instance: its own where that is neither Up nor OutOfService; else its
// override; else the one before where it registers again; else its own.
func (r *Registry) statusOf(in *Instance, old *lease, replicated bool) string {
	if in.Status != Up && in.Status != OutOfService {
		return in.Status
	}
	if o := r.overrides[in.ID]; o != "" {
		return o
	}
	if old != nil && !replicated && (old.Status == Up || old.Status == OutOfService) {
		return old.Status
	}
	return in.Status
}

// renew renews a lease, and reports whether the instance is known; an unknown one has to register again.
func (r *Registry) renew(app, id string, replicated bool) bool {
	l := r.lease(app, id)
	if l == nil {
		return false
	}
	status := r.statusOf(l.Instance, l, replicated)
	if status == Unknown { // its override was removed without a status
		return false
	}
	if status != l.Status {
		in := *l.Instance
		in.Status = status
		l.Instance = &in
		r.version++
	}
	r.updateMinute()
	r.renewals++
	r.extend(l)
	if !replicated {
		r.replicate(func(p *Registry) {
			if !p.renew(app, id, true) {
				if l := r.lease(app, id); l != nil {
					p.register(*l.Instance, true)
				}
			}
		})
	}
	return true
}

// extend renews a lease.
func (r *Registry) extend(l *lease) {
	l.LastRenewal = r.wallMillis()
	// The real server records the last renewal too late by the lease's duration, so that a renewed lease lasts twice
	// as long as it says.
	l.renewedAt = r.machine.Now() + l.duration()
}

// setOverride sets a status that goes before the instance's own.
func (r *Registry) setOverride(app, id, status string, dirty int64, replicated bool) error {
	l := r.lease(app, id)
	if l == nil {
		return ErrUnknownInstance
	}
	if !isStatus(status) {
		return ErrUnknownStatus
	}
	r.extend(l)
	if l.Status != status || l.Overridden != status {
		r.overrides[id] = status
		r.change(l, func(in *Instance) {
			in.Overridden, in.Status = status, status
			in.LastDirty = max(in.LastDirty, dirty)
		})
	}
	if !replicated {
		r.replicate(func(p *Registry) { p.setOverride(app, id, status, dirty, true) })
	}
	return nil
}

// endOverride removes an override; status is the visible one until the instance registers its own.
func (r *Registry) endOverride(app, id, status string, dirty int64, replicated bool) error {
	l := r.lease(app, id)
	if l == nil {
		return ErrUnknownInstance
	}
	if !isStatus(status) {
		return ErrUnknownStatus
	}
	r.extend(l)
	if r.overrides[id] != "" {
		delete(r.overrides, id)
		r.change(l, func(in *Instance) {
			in.Overridden, in.Status = Unknown, status
			in.LastDirty = max(in.LastDirty, dirty)
		})
	}
	if !replicated {
		r.replicate(func(p *Registry) { p.endOverride(app, id, status, dirty, true) })
	}
	return nil
}

// cancel removes an instance, and reports whether there was one.
func (r *Registry) cancel(app, id string, replicated bool) bool {
	at, ok := r.find(app, id)
	if !ok {
		return false
	}
	l := r.leases[at]
	r.leases = slices.Delete(r.leases, at, at+1)
	delete(r.overrides, id)
	l.Evicted = r.wallMillis()
	r.changed(l, Deleted)
	if !replicated {
		r.replicate(func(p *Registry) { p.cancel(app, id, true) })
	}
	return true
}

// change applies f to a copy of an instance and records the change.
func (r *Registry) change(l *lease, f func(*Instance)) {
	in := *l.Instance
	f(&in)
	l.Instance = &in
	r.changed(l, Modified)
}

// changed records a change: in the delta queue, and as a mark once callers can see it.
func (r *Registry) changed(l *lease, action string) {
	in := *l.Instance
	in.Action, in.LastUpdated = action, r.wallMillis()
	l.Instance = &in
	if in.Status == Up && action != Deleted && l.ServiceUp == 0 {
		l.ServiceUp = r.wallMillis()
	}
	r.version++
	if !r.faults.losesDelta() {
		r.deltaQueue = append(r.deltaQueue, queuedChange{r.machine.Now(), item{&in, l.Lease}})
	}
	r.sweep()
	// The real server has no bound here; without one, an instance that keeps changing would fill the memory.
	limit := maxChangesPerInstance * r.options.MaxInstances
	if len(r.deltaQueue) > limit {
		r.deltaQueue = slices.Clone(r.deltaQueue[len(r.deltaQueue)-limit/2:])
	}
	m := mark{in.ID, in.Status}
	if action == Deleted {
		m.status = Deleted
	}
	switch {
	case r.options.OnMark == nil:
	case r.options.CacheTime > 0:
		r.pendingMarks = append(r.pendingMarks, m)
	default:
		r.reportMark(m)
	}
}

// maxChangesPerInstance bounds the delta queue, as a multiple of Options.MaxInstances.
const maxChangesPerInstance = 4

// reportMark tells OnMark.
func (r *Registry) reportMark(m mark) { r.options.OnMark(m.id, m.status, r.machine.Now()) }

// refreshCache brings the response cache up to date and reports the changes that become visible with it.
func (r *Registry) refreshCache() {
	r.cacheTimer = r.machine.At(r.machine.Now()+r.options.CacheTime, r.refreshCache)
	r.cached = r.currentView()
	marks := r.pendingMarks
	r.pendingMarks = nil
	for _, m := range marks {
		r.reportMark(m)
	}
}
