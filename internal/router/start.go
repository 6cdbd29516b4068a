package router

import (
	"fmt"
	"log/slog"

	"starlingwinch/decide"
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

const (
	addressPause = 10_000    // between two tries to take an address that another process holds
	addressSaid  = 1_000_000 // between two lines about it
	killMargin   = 700_000   // SIGKILL comes so long after the longest deadline at the earliest
)

// addressWait is the wait of a start for the address for clients. The process before may still listen there, drain, stand still
// or be about to be killed: a start that ended for that would leave nobody when that process goes.
type addressWait struct {
	until Time // the start fails then
	timer machine.Timer
	said  Time // when the log told of it last
}

// Start begins to serve, or to wait for the address for clients where that can't be had yet. The error says what of the
// configuration or the machine is in the way for good.
//
// While it waits, the router follows the list of caches, takes Drain and Reload, and opens no connection to a cache.
func Start(m machine.Machine, cfg *Config) (*Router, error) {
	r, err := newRouter(m, cfg)
	if err != nil {
		return nil, err
	}
	if err = r.follow(); err == nil {
		err = r.openAddress()
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// OnFailure has f called where a start that waits for its address gives up. The router is closed by then.
func (r *Router) OnFailure(f func(error)) { r.onFailure = f }

// newRouter makes a router that knows no cache and has opened nothing.
func newRouter(m machine.Machine, cfg *Config) (*Router, error) {
	seed := cfg.Seed
	if seed == 0 {
		seed = m.Entropy()
	}
	module, err := decide.New(cfg.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &Router{m: m, cfg: cfg, begun: m.Now(), decider: module, clock: timerqueue.New(m), timers: map[int64]*timer{},
		requests: map[int64]*request{}, ids: map[string]struct{}{}, caches: map[string]*hop{}, arrivals: lastArrivals}
	for _, c := range cfg.Settings.Classes {
		r.longest = max(r.longest, c.ClientTimeout)
	}
	var behind guard.Module = module
	if cfg.Wrap != nil {
		behind = cfg.Wrap(module)
	}
	r.logger = structuredlog.New(m)
	r.contract = guard.NewContract(behind, r.breach)
	r.guard = guard.NewGuard(&cfg.Settings, r.violated)
	r.guard.ObserveOnly = cfg.GuardObserveOnly
	r.events = eventlog.New(cfg.Events, m.Now, r.logger)
	r.module = r.contract
	r.storm = newStormWatch(cfg)
	limits := r.limits()
	_, upstreams := limits.shares()
	r.spare = limits.free() - upstreams
	r.pool = upstream.New(m, upstream.Options{Limits: cfg.OperatorLimits.Caches, Routers: cfg.Settings.Routers,
		Descriptors: upstreams, DialTimeout: cfg.Transport.DialTimeout, Keepalive: cfg.Transport.Keepalive,
		StalledAfter: hungAfter(cfg.Settings.Classes), Clock: r.clock, Logger: r.logger}, r)
	r.narrowed = newNarrowed(cfg, upstreams)
	return r, nil
}

// hungAfter is how long a cache may keep a router waiting until it may be hung: half of the shortest aim.
func hungAfter(classes []decide.Class) (after Time) {
	for i, c := range classes {
		if i == 0 || c.LatencyObjective/2 < after {
			after = c.LatencyObjective / 2
		}
	}
	return after
}

// limits are the machine's, less what the router takes itself.
func (r *Router) limits() Limits {
	limits := r.cfg.Limits
	if r.cfg.Gossip.Enabled {
		limits.Sockets-- // for messages between routers
	}
	return limits
}

// follow begins to follow the list of caches.
func (r *Router) follow() (err error) {
	sources := EndpointSources(r.cfg)
	sources.Logger = r.logger
	if r.sources, err = endpointsource.New(r.m, sources, r); err != nil {
		return err
	}
	if r.cfg.Settings.WatchRequired {
		// The module says when discovery is asked for the first time, and says it at its first list: one without caches.
		r.backlog = append(r.backlog, &decide.EndpointList{Kind: decide.StaleUpdate})
	}
	r.ProcessEvents()
	r.watchStandstill()
	r.sources.Start() // also where the settings say that lists are pushed: the agent that has them must be asked
	return nil
}

// openAddress takes the address for clients and serves, or waits where it may be had later.
func (r *Router) openAddress() error {
	clients, _ := r.limits().shares()
	var err error
	r.front, err = frontend.Listen(r.m, frontend.Options{Listen: r.cfg.Listen, Limits: r.cfg.OperatorLimits.Clients,
		Classes: r.cfg.Settings.Classes, MaxConnections: clients, RetryAfter: min(r.cfg.Settings.MaxRetryAfter, doorWait),
		MaxBufferedBytes: r.cfg.Limits.memory()}, r)
	switch {
	case err == nil:
		return r.serve()
	case machine.Passes(err):
		return r.awaitAddress(err)
	}
	return err
}

// awaitAddress has the address tried again in a moment, within the bound.
func (r *Router) awaitAddress(cause error) error {
	now := r.m.Now()
	w := &r.address
	if w.until == 0 {
		w.until = now + r.predecessorEnds() + r.cfg.OperatorLimits.Clients.AddressTimeout.Microseconds()
	}
	if now >= w.until {
		return fmt.Errorf("%w, %.1f s after the start", cause, float64(now-r.begun)/1e6)
	}
	if w.said == 0 || now-w.said >= addressSaid {
		w.said = now
		r.startIs("waiting-for-address", slog.String("address", r.cfg.Listen), slog.String("cause", cause.Error()),
			slog.Int64("left_us", w.until-now))
	}
	w.timer = r.m.At(now+addressPause, r.tryAddress)
	return nil
}

// predecessorEnds is how long the process before may take to end: it drains for no longer, and may be killed then.
func (r *Router) predecessorEnds() Time { return min(r.longest, drainPatience) + killMargin }

// tryAddress tries to take the address, and fails the start for what lasts.
func (r *Router) tryAddress() {
	if r.closed {
		return
	}
	err := r.openAddress()
	if err == nil {
		return
	}
	r.Close()
	if r.onFailure != nil {
		r.onFailure(err)
	}
}

// serve begins all that a router does once it has its address.
func (r *Router) serve() (err error) {
	if r.address.until > 0 {
		r.startIs("has-address", slog.String("address", r.front.Addr()))
	}
	if r.hooks, err = hooks.New(r.m, r.cfg.Hooks, r.Log); err != nil {
		return err
	}
	r.ProcessEvents()
	r.keeper = r.keep(r.cfg.SnapshotStore, false) // once the module has heard of the caches that are known
	if r.cfg.Eureka.Register.Enabled {
		o := r.cfg.Eureka.Registration()
		o.Predecessor = r.predecessorEnds() + o.Timeout // its last call may take that long
		r.enrolled = eureka.Register(r.m, o)
	}
	if err := r.joinFleet(); err != nil {
		return err
	}
	r.counted = r.m.Now()
	r.sweepSoon()
	if r.storm != nil {
		r.tick()
	}
	r.startIs("serving", slog.String("address", r.front.Addr()), slog.Int("caches", len(r.caches)))
	r.Log("serving on " + r.front.Addr())
	return nil
}
