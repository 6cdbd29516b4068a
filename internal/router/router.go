// Package router is the event loop of one router. It connects the decision module (package decide) with the clients' side
// (package frontend), the caches' side (package upstream) and the sources of the endpoint list (package endpointsource),
// and carries out the module's actions.
//
// All of it runs on the one loop of its machine (package machine), which may be real or virtual. Nothing runs between a
// decision and the actions that carry it out, and nothing here blocks.
//
// A request is followed through request.go (it arrives and it ends), actions.go (the module's decisions) and attempt.go
// (its attempts at caches). The states of the process are in lifecycle.go.
package router

import (
	"fmt"
	"log/slog"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/endpointsource"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
	"starlingwinch/internal/timerqueue"
	"starlingwinch/internal/upstream"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

// Router serves clients on a machine. Start makes one; all methods belong to the machine's loop.
type Router struct {
	lifecycle

	// What the router is made of. Set at the start, and never replaced.
	m   machine.Machine
	cfg *Config // Reload changes the fields that it takes over
	// machineLimits are the limits of the machine, hooks included. Set at the start.
	machineLimits Limits
	logger        *slog.Logger
	events        *eventlog.Log
	timerQueue    *timerqueue.Queue // of the module's timers and the deadlines of attempts
	pool          *upstream.Pool    // connections to the caches

	// The decision module and its checks. Set at the start.
	decider  *decide.Router  // used directly for snapshots alone; all events go through module
	module   guard.Module    // the contract, with the decision module behind it
	contract *guard.Contract // checks that loop and module keep what they owe each other
	guard    *guard.Guard    // prevents what the rules forbid, whatever the module decides

	// Events for the module. See ProcessEvents.
	pendingEvents []decide.Event // in the order in which they happened
	dispatching   bool           // ProcessEvents is running

	// Timers of the module. See timer.go.
	timers         map[int64]*policyTimer // those set, by token
	freeTimers     *policyTimer           // records for reuse, a linked list
	freeTimerCount int

	// Requests. See request.go.
	requests         map[int64]*request  // until releaseRequest
	openIDs          map[string]struct{} // the clients' names of these requests
	lastRequestID    int64
	openRequests     int  // requests without a final answer
	maxClientTimeout Time // the longest client timeout of any class

	// Clients. The frontend and what follows are nil until the router has its address.
	frontend            *frontend.Server
	hooks               *hooks.Hooks
	lendableDescriptors int                // descriptors that idle connections to caches may use while clients do not
	retryStorm          *retryStormMonitor // nil where it is switched off
	retryStormTimer     machine.Timer      // for the next checkRetryStorm

	// The endpoint list. See endpoint_list.go, aperture.go and standstill.go.
	sources      *endpointsource.Sources
	endpoints    map[string]*listedEndpoint // the caches in use, by name
	subset       *endpointSubset            // nil where all caches are used, whatever their number
	pendingLists []endpoints.Publish        // lists that are still to be applied, the oldest first
	listBehind   bool                       // attempts are paused until the list is current

	// What is kept or published of this router. Set once it serves; nil where it is switched off.
	snapshots        *snapshotKeeper // replaced by a reload
	registration     *eureka.Registration
	gossip           *gossipMember // set later where its address is not free
	gossipRetryTimer machine.Timer // for the next try to take that address

	// The periodic check. See contract.go.
	sweepTimer        machine.Timer
	sweepDue          Time // when the next one is due
	countersWrittenAt Time // when the event counters were last logged
}

// listedEndpoint is a cache as the endpoint list describes it.
type listedEndpoint struct {
	entry       decide.Endpoint
	listedStart Time // its last start by the list's clock; entry.StartedAt is the same by the loop's clock
	address     string
}

// EndpointSources returns the configuration of the sources that a router with this configuration follows.
func EndpointSources(cfg *Config) endpointsource.Config {
	options := discovery.Options{Discovery: cfg.OperatorLimits.Discovery, Pushed: !cfg.Settings.WatchRequired, Grace: cfg.Settings.DrainGrace}
	return endpointsource.Config{Discovery: cfg.Discovery, DiscoveryOptions: options, LastKnown: cfg.LastKnown,
		Endpoints: cfg.Endpoints, Eureka: cfg.Eureka}
}

// newRouter returns a router that knows no cache and has opened nothing.
func newRouter(m machine.Machine, cfg *Config) (*Router, error) {
	seed := cfg.Seed
	if seed == 0 {
		seed = m.Entropy()
	}
	decider, err := decide.New(cfg.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &Router{
		lifecycle:     lifecycle{state: stateStarting, startedAt: m.Now(), acceptGrace: drainAcceptGrace},
		m:             m,
		cfg:           cfg,
		machineLimits: cfg.limitsBeforeHooks(),
		logger:        structuredlog.New(m),
		timerQueue:    timerqueue.New(m),
		decider:       decider,
		timers:        map[int64]*policyTimer{},
		requests:      map[int64]*request{},
		openIDs:       map[string]struct{}{},
		endpoints:     map[string]*listedEndpoint{},
		retryStorm:    newRetryStormMonitor(cfg),
	}
	for _, class := range cfg.Settings.Classes {
		r.maxClientTimeout = max(r.maxClientTimeout, class.ClientTimeout)
	}
	r.events = eventlog.New(cfg.Events, m.Now, r.logger)
	r.initModule()
	r.initPool()
	return r, nil
}

// initModule puts the contract and the guard round the decision module.
func (r *Router) initModule() {
	var checked guard.Module = r.decider
	if r.cfg.Wrap != nil {
		checked = r.cfg.Wrap(r.decider)
	}
	r.contract = guard.NewContract(checked, r.logBreach)
	r.module = r.contract
	r.guard = guard.NewGuard(&r.cfg.Settings, r.logViolation)
	r.guard.ObserveOnly = r.cfg.GuardObserveOnly
}

// initPool makes the pool of connections to caches, within their quota of descriptors.
func (r *Router) initPool() {
	limits := r.limits()
	_, upstreams := limits.descriptorQuotas()
	r.lendableDescriptors = limits.usableDescriptors() - upstreams
	r.pool = upstream.New(r.m, upstream.Options{
		Limits:       r.cfg.OperatorLimits.Caches,
		Routers:      r.cfg.Settings.Routers,
		Descriptors:  upstreams,
		DialTimeout:  r.cfg.Transport.DialTimeout,
		Keepalive:    r.cfg.Transport.Keepalive,
		StalledAfter: stalledAfter(r.cfg.Settings.Classes),
		Timers:       r.timerQueue,
		Logger:       r.logger,
	}, r)
	r.subset = newEndpointSubset(r.cfg, upstreams)
}

// stalledAfter returns how long a cache may keep an attempt waiting before it counts as stalled: half of the shortest
// latency objective.
func stalledAfter(classes []decide.Class) (after Time) {
	for i, class := range classes {
		if i == 0 || class.LatencyObjective/2 < after {
			after = class.LatencyObjective / 2
		}
	}
	return after
}

// limits returns the machine's limits less what the router takes itself.
func (r *Router) limits() Limits {
	limits := r.cfg.Limits
	if r.cfg.Gossip.Enabled {
		limits.Sockets-- // the gossip socket
	}
	return limits
}

// Addr returns the address for clients; empty while the router waits for it.
func (r *Router) Addr() string {
	if r.frontend == nil {
		return ""
	}
	return r.frontend.Addr()
}

// Serving implements frontend.Handler: it reports whether a cache takes requests, and the snapshot is restored or was
// waited for long enough.
func (r *Router) Serving() bool {
	return (r.snapshots == nil || r.snapshots.ready) && r.hasServingEndpoint()
}

// hasServingEndpoint reports whether a cache is listed that takes requests.
func (r *Router) hasServingEndpoint() bool {
	for _, e := range r.endpoints { // any order: one is enough
		if e.entry.Status == decide.Serving {
			return true
		}
	}
	return false
}

// Holdings returns how many records of each kind the router holds. All but connections and periodic timers are 0 once no
// request is open.
func (r *Router) Holdings() map[string]int {
	return map[string]int{
		"requests":    len(r.requests),
		"ids":         len(r.openIDs),
		"open":        r.openRequests,
		"attempts":    r.pool.Attempts(),
		"bytes":       int(r.frontend.BufferedBytes()),
		"events":      len(r.pendingEvents),
		"lists":       len(r.pendingLists),
		"breaches":    r.contract.Breaches(),
		"violations":  r.violations(),
		"verdicts":    r.hooks.Left()["verdicts owed"],
		"timers":      r.timerQueue.Len(),
		"connections": r.pool.Connections() + r.frontend.Connections(),
	}
}
