// Package registry plays Netflix Eureka 1.x as Spring Cloud's server speaks it: a registry of instances with
// leases, read over REST in JSON. Clients of the real one register, renew, set a status, fetch, fetch deltas
// and cancel against it. It is written against machine.Machine alone, as the other stand-ins are.
//
// The real server's habits that its clients must live with are kept: leases that last twice as long as they
// say, evictions in small parts, self-preservation, overrides of a status, a response cache that is behind,
// deltas that carry the hash of the whole, replicas that agree only after a while. Left out are XML, regions,
// and replication over HTTP: replicas are joined within one process.
//
// It judges nobody who calls it, and can be made to misbehave: see faults.go.
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
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// Options describe a registry. The zero value of a field stands for its usual figure, which is the real server's
// unless another reason is given.
type Options struct {
	Base           string // of all paths; "/eureka"
	User, Password string // who may call; empty for anybody

	EvictEvery       Time    // 60 s
	NoPreservation   bool    // evict however few renewals come
	RenewalThreshold float64 // of the renewals that are expected, below which nothing is evicted; 0.85
	RenewEvery       Time    // how often each instance is expected to renew; 30 s
	DeltaTime        Time    // for which a change stands in deltas; 180 s, and up to 30 s longer
	CacheTime        Time    // answers are brought up to date so often; 0 at once, where the real one has 30 s
	ReplicaDelay     Time    // until a change reaches the replicas

	UnwrapSingle bool // a list of one is written as the one, as old servers do
	OldNames     bool // overriddenstatus instead of overriddenStatus, as old servers do
	NoGzip       bool // compress nothing, whatever a client accepts

	MaxInstances     int // 10,000
	MaxMetadataBytes int // bytes of an instance's metadata; 4 KiB
	HTTP             httpserver.Options

	// OnMark is told when a change became visible to callers: the status that shows, or Deleted.
	OnMark func(id, status string, at Time)
}

func (o *Options) fill() {
	if o.Base == "" {
		o.Base = "/eureka"
	}
	o.Base = "/" + strings.Trim(o.Base, "/")
	if o.EvictEvery == 0 {
		o.EvictEvery = 60 * Second
	}
	if o.RenewalThreshold == 0 {
		o.RenewalThreshold = 0.85
	}
	if o.RenewEvery == 0 {
		o.RenewEvery = 30 * Second
	}
	if o.DeltaTime == 0 {
		o.DeltaTime = 180 * Second
	}
	if o.MaxInstances == 0 {
		o.MaxInstances = 10_000
	}
	if o.MaxMetadataBytes == 0 {
		o.MaxMetadataBytes = 4 << 10
	}
}

// What can be wrong with a call.
var (
	ErrUnknownInstance = errors.New("no such instance")
	ErrRegistryFull    = errors.New("the registry is full")
	ErrUnknownStatus   = errors.New("no such status")
)

// Registry is one replica.
type Registry struct {
	machine machine.Machine
	options Options
	server  *httpserver.Server
	rng     *rand.Rand
	start   Time
	peers   []*Registry

	leases     []*lease // by app and id
	overrides  map[string]string
	deltaQueue []queuedChange // changes for deltas, oldest first
	closed     bool
	version    int64 // of the state
	deltasMade int64 // deltas made, which the real server counts

	thisMinute, renewals, lastRenewals int64 // the minute's number, its renewals, those of the one before

	evictTimer   machine.Timer
	cacheTimer   machine.Timer // of the response cache
	pendingMarks []mark        // to be told when the cache is brought up to date
	cached       *view         // as callers see it, where there is a response cache
	latest       *view

	faults faults
}

// lease is an instance with its lease. The instance is replaced, never changed.
type lease struct {
	*Instance
	Lease
	renewedAt Time // as the real server counts: the time of the last renewal, and a lease's time on top of it
}

func (l *lease) duration() Time { return Time(l.LeaseTime) * Second }

// queuedChange is a change in the delta queue.
type queuedChange struct {
	at   Time
	item item
}

type mark struct{ id, status string }

// New returns an empty registry that listens nowhere yet.
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

// Base is the path under which all others are.
func (r *Registry) Base() string { return r.options.Base }

// Close ends the registry.
func (r *Registry) Close() {
	r.closed = true
	r.server.Close()
	r.evictTimer.Stop()
	if r.cacheTimer != nil {
		r.cacheTimer.Stop()
	}
	r.faults.stop()
}

// Register takes an instance in, as a call does, and tells the replicas.
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

// Cancel takes an instance out.
func (r *Registry) Cancel(id string) error {
	l := r.byID(id)
	if l == nil || !r.cancel(l.App, id, false) {
		return ErrUnknownInstance
	}
	return nil
}

// State is all that is registered, by app and id, whatever callers are shown.
func (r *Registry) State() []Instance {
	var all []Instance
	for _, l := range r.leases {
		all = append(all, *l.Instance)
	}
	return all
}

func (r *Registry) wallMillis() int64 { return r.machine.Wall() / Millisecond }

// find is where an instance is, or would be.
func (r *Registry) find(app, id string) (int, bool) {
	return slices.BinarySearchFunc(r.leases, id, func(l *lease, id string) int {
		return cmp.Or(cmp.Compare(l.App, app), cmp.Compare(l.ID, id))
	})
}

func (r *Registry) lease(app, id string) *lease {
	if at, ok := r.find(app, id); ok {
		return r.leases[at]
	}
	return nil
}

func (r *Registry) byID(id string) *lease {
	for _, l := range r.leases {
		if l.ID == id {
			return l
		}
	}
	return nil
}

// register takes an instance in that was checked.
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
		if old.LastDirty > in.LastDirty { // it comes late: what is known is newer
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

// statusOf is the status that an instance shows: what it says itself where that is bad news; else its
// override; else what it showed before, if it registers once more.
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

// renew reports whether the instance is known; one that isn't has to register again.
func (r *Registry) renew(app, id string, replicated bool) bool {
	l := r.lease(app, id)
	if l == nil {
		return false
	}
	status := r.statusOf(l.Instance, l, replicated)
	if status == Unknown { // its override was taken away without a word on what it is
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
	// The real server sets the time of the last renewal a lease's time too late, and so a lease that was
	// renewed once lasts twice as long as it says.
	l.renewedAt = r.machine.Now() + l.duration()
}

// setOverride sets a status that goes before what the instance says itself.
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

// endOverride takes an override away; status is what the instance shows until it says so itself.
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

// cancel reports whether there was such an instance.
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

// change has an instance changed by the registry.
func (r *Registry) change(l *lease, f func(*Instance)) {
	in := *l.Instance
	f(&in)
	l.Instance = &in
	r.changed(l, Modified)
}

// changed takes a change to the callers, as far as they are shown it.
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
	// The danger: an instance that changes without a pause fills the memory. The real server has no bound here.
	if most := maxChangesPerInstance * r.options.MaxInstances; len(r.deltaQueue) > most {
		r.deltaQueue = slices.Clone(r.deltaQueue[len(r.deltaQueue)-most/2:])
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

// maxChangesPerInstance is how many changes the delta queue holds at the most, for each instance that there may be.
const maxChangesPerInstance = 4

func (r *Registry) reportMark(m mark) { r.options.OnMark(m.id, m.status, r.machine.Now()) }

// refreshCache brings the response cache up to date.
func (r *Registry) refreshCache() {
	r.cacheTimer = r.machine.At(r.machine.Now()+r.options.CacheTime, r.refreshCache)
	r.cached = r.currentView()
	marks := r.pendingMarks
	r.pendingMarks = nil
	for _, m := range marks {
		r.reportMark(m)
	}
}

// Join makes registries replicas of each other: of one process, or of one virtual network. One that was closed is left
// out from then on.
func Join(all ...*Registry) {
	for _, r := range all {
		for _, p := range all {
			if p != r && !slices.Contains(r.peers, p) {
				r.peers = append(r.peers, p)
			}
		}
	}
}

// replicate has a change made at the replicas.
func (r *Registry) replicate(f func(*Registry)) {
	if len(r.peers) == 0 {
		return
	}
	r.machine.At(r.machine.Now()+r.options.ReplicaDelay, func() {
		for _, p := range r.peers {
			if !p.closed && !r.closed {
				f(p)
			}
		}
	})
}
