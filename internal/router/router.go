// Package router implements the event loop of one router. It connects the decision module (package decide) with the client
// connections (package frontend), the cache connections (package upstream) and the sources of the endpoint list (package
// endpointsource), and carries out the module's actions.
//
// All code of this package runs on the single loop of its machine (package machine), which may be real or virtual. No other code
// runs between a decision and the actions that carry it out, and no function here blocks.
//
// The path of a request is in request.go (arrival and end), actions.go (the module's decisions) and attempt.go (attempts at
// caches). The lifecycle of the process is in lifecycle.go.
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

// Time is an instant or a duration in microseconds.
type Time = decide.Time

// Router serves clients on a machine. Start creates a Router. All methods must be called on the machine's loop.
type Router struct {
	lifecycle

	// Components. Set at the start, and never replaced.
	m   machine.Machine
	cfg *Config // Reload changes the fields that take effect without a restart
	// machineLimits are the limits of the machine, including the part for hooks.
	machineLimits Limits
	logger        *slog.Logger
	events        *eventlog.Log
	timerQueue    *timerqueue.Queue // the module's timers and the deadlines of attempts
	pool          *upstream.Pool    // connections to the caches

	// The decision module and its checks. Set at the start.
	decider  *decide.Router  // called directly only for snapshots; all events go through module
	module   guard.Module    // contract, which passes the events on to the decision module
	contract *guard.Contract // checks that the loop and the module keep the rules of their interface
	guard    *guard.Guard    // prevents violations of the rules, regardless of the module's decisions

	// Events for the module. See actions.go.
	pendingEvents []decide.Event // in the order in which they happened
	dispatching   bool           // ProcessEvents is running

	// Timers of the module. See timer.go.
	timers         map[int64]*policyTimer // set timers, by token
	freeTimers     *policyTimer           // linked list of records for reuse
	freeTimerCount int

	// Requests. See request.go.
	requests         map[int64]*request  // by id, from openRequest to releaseRequest
	openIDs          map[string]struct{} // ids that clients gave these requests
	recentIDs        recentIDs           // ids of requests that have ended and may have run
	lastRequestID    int64
	openRequests     int  // requests without a final answer
	maxClientTimeout Time // the longest client timeout of any class

	// Clients. frontend and hooks are nil until the router has its address.
	frontend            *frontend.Server
	hooks               *hooks.Hooks
	lendableDescriptors int                // descriptors that idle connections to caches may borrow from clients
	retryStorm          *retryStormMonitor // nil if disabled
	retryStormTimer     machine.Timer      // for the next checkRetryStorm

	// The endpoint list. See endpoint_list.go, aperture.go and standstill.go.
	sources      *endpointsource.Sources
	endpoints    map[string]*listedEndpoint // the caches in use, by name
	subset       *endpointSubset            // nil if the router uses all caches of a fleet of any size
	pendingLists []endpoints.Publish        // lists not applied yet, oldest first
	listBehind   bool                       // attempts are paused until the list is current

	// Snapshots, registration and gossip. Set when the router begins to serve; nil if disabled.
	snapshots        *snapshotKeeper // replaced by a reload
	registration     *eureka.Registration
	gossip           *gossipMember // set later if the gossip address is in use at first
	gossipRetryTimer machine.Timer // for the next try to open the gossip address

	// The periodic check. See sweep.go.
	sweepTimer        machine.Timer
	sweepDue          Time // when the next check is due
	countersWrittenAt Time // when the event counters were last logged
}

// listedEndpoint is a cache as the endpoint list describes it.
type listedEndpoint struct {
	entry       decide.Endpoint
	listedStart Time // the cache's last start by the list's clock; entry.StartedAt is the same instant by the loop's clock
	address     string
}

// EndpointSources returns the configuration of the endpoint sources that a router with the given configuration follows.
func EndpointSources(cfg *Config) endpointsource.Config {
	options := discovery.Options{Discovery: cfg.OperatorLimits.Discovery, Pushed: !cfg.Settings.WatchRequired, Grace: cfg.Settings.DrainGrace}
	return endpointsource.Config{Discovery: cfg.Discovery, DiscoveryOptions: options, LastKnown: cfg.LastKnown,
		Endpoints: cfg.Endpoints, Eureka: cfg.Eureka}
}

// newRouter returns a router without caches that has opened no sockets.
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
	r.recentIDs = newRecentIDs(recentIDTime(cfg.Settings.Classes))
	r.events = eventlog.New(cfg.Events, m.Now, r.logger)
	r.initModule()
	r.initPool()
	return r, nil
}

// initModule sets up the contract around the decision module, and the guard.
func (r *Router) initModule() {
	var checked guard.Module = r.decider
	if r.cfg.WrapModule != nil {
		checked = r.cfg.WrapModule(r.decider)
	}
	r.contract = guard.NewContract(checked, r.logBreach)
	r.module = r.contract
	r.guard = guard.NewGuard(&r.cfg.Settings, r.logViolation)
	r.guard.ObserveOnly = r.cfg.GuardObserveOnly
}

// initPool creates the pool of connections to caches, within their quota of descriptors, and the subset of the endpoint list.
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

// stalledAfter returns the time that an attempt may wait for a cache before the cache counts as stalled: half of the shortest
// latency objective.
func stalledAfter(classes []decide.Class) (after Time) {
	for i, class := range classes {
		if i == 0 || class.LatencyObjective/2 < after {
			after = class.LatencyObjective / 2
		}
	}
	return after
}

// limits returns the limits for clients and caches: the configured limits minus the socket for gossip, if gossip is enabled.
func (r *Router) limits() Limits {
	limits := r.cfg.Limits
	if r.cfg.Gossip.Enabled {
		limits.Sockets--
	}
	return limits
}

// Addr returns the address for clients, or an empty text while the router waits for the address.
func (r *Router) Addr() string {
	if r.frontend == nil {
		return ""
	}
	return r.frontend.Addr()
}

// Serving implements frontend.Handler: it reports whether a serving cache is listed and the snapshot is restored or the time to
// wait for it is over.
func (r *Router) Serving() bool {
	return (r.snapshots == nil || r.snapshots.ready) && r.hasServingEndpoint()
}

// hasServingEndpoint reports whether a serving cache is listed.
func (r *Router) hasServingEndpoint() bool {
	for _, e := range r.endpoints { // in any order, since one is enough
		if e.entry.Status == decide.Serving {
			return true
		}
	}
	return false
}

// RecordCounts returns the number of records of each kind that the router holds. All numbers except connections and periodic timers
// are 0 once no request is open.
func (r *Router) RecordCounts() map[string]int {
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
		"verdicts":    r.hooks.RecordCounts()["verdicts owed"],
		"timers":      r.timerQueue.Len(),
		"connections": r.pool.Connections() + r.frontend.Connections(),
	}
}
