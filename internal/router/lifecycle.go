package router

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/endpointsource"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
)

// Bounds of the lifecycle, in microseconds.
const (
	addressRetryInterval = 10_000    // between two tries to take an address that another process holds
	addressLogInterval   = 1_000_000 // between two lines about it
	predecessorKillDelay = 700_000   // from the longest request deadline of a drain until the platform's SIGKILL, at the earliest

	drainAcceptGrace  = 500_000   // new connections may still come for so long after SIGTERM
	drainAnswerMargin = 50_000    // before the drain's deadline, by which the deadlines of requests end
	drainFinalMargin  = 25_000    // before the drain's deadline, when requests that are still open are answered
	maxDrainTimeout   = 3_000_000 // of the longest client timeout, the part that a drain waits for
	drainSlack        = 650_000   // beyond that, until the drain's deadline: SIGKILL may follow 50 ms later
)

// maxOverflowRetryAfter bounds the retry-after time of a client that is rejected as there is no descriptor for it, in
// microseconds.
const maxOverflowRetryAfter = 500_000

// lifecycleState is a phase in the life of a router. The states follow one another in this order; those between the first
// and the last may be skipped.
type lifecycleState uint8

const (
	// stateStarting holds inside Start, until the address for clients is taken or found to be in use.
	stateStarting lifecycleState = iota
	// stateWaitingForAddress holds while another process has the address, up to addressDeadline. The router follows the
	// endpoint list and takes Drain and Reload, but opens no connection to a cache.
	stateWaitingForAddress
	// stateServing holds while the router takes and answers requests, until Drain or Close.
	stateServing
	// stateDraining holds from Drain until all is answered, up to drainDeadline.
	stateDraining
	// stateStopped is the last one: nothing is open, and no event has an effect.
	stateStopped
)

// lifecycle is the state of the process with what belongs to its transitions, which are the methods of Router in this
// file and happen nowhere else.
type lifecycle struct {
	state     lifecycleState
	startedAt Time // when Start was called

	addressDeadline Time          // the start fails when the address is still in use then; 0 until the first try found it in use
	addressLoggedAt Time          // when the log last said that the router waits; 0 for never
	addressTimer    machine.Timer // for the next try
	onFailure       func(error)   // set by OnFailure

	acceptGrace   Time          // for how long a drain still takes connections
	drainDeadline Time          // the router stops then at the latest; 0 while it does not drain
	drainTimer    machine.Timer // stops the router at drainDeadline
	onStopped     func()        // Drain's callback; nil while no drain was asked for
}

// isEnding reports whether the router drains or has stopped: it opens nothing any more.
func (l *lifecycle) isEnding() bool { return l.state >= stateDraining }

// isStopped reports whether the router has stopped.
func (l *lifecycle) isStopped() bool { return l.state == stateStopped }

// Start makes a router that serves, or one that waits for its address where another process still has it. The error says
// what in the configuration or on the machine keeps it from ever serving.
//
// The process before may still listen there: it drains, stands still or is about to be killed. A start that failed for that
// would leave no router when that process ends.
func Start(m machine.Machine, cfg *Config) (*Router, error) {
	r, err := newRouter(m, cfg)
	if err != nil {
		return nil, err
	}
	if err := r.followEndpointSources(); err != nil {
		r.Close()
		return nil, err
	}
	if err := r.openAddress(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// OnFailure sets the function that is called when a start that waits for its address gives up. The router has stopped by
// then.
func (r *Router) OnFailure(f func(error)) { r.onFailure = f }

// followEndpointSources begins to follow the endpoint list. Start calls it once.
func (r *Router) followEndpointSources() (err error) {
	sources := EndpointSources(r.cfg)
	sources.Logger = r.logger
	if r.sources, err = endpointsource.New(r.m, sources, r); err != nil {
		return err
	}
	if r.cfg.Settings.WatchRequired {
		// The module asks for the first watch at its first list, so it is given one without caches.
		r.queueEvent(&decide.EndpointList{Kind: decide.StaleUpdate})
	}
	r.ProcessEvents()
	r.watchPauses()
	r.sources.Start() // also where lists are pushed: the agent that receives them has to be polled
	return nil
}

// openAddress tries to take the address for clients, and goes on to serving or to waiting for it. The error is one that
// waiting doesn't help.
func (r *Router) openAddress() error {
	clients, _ := r.limits().descriptorQuotas()
	var err error
	r.frontend, err = frontend.Listen(r.m, frontend.Options{
		Listen:           r.cfg.Listen,
		Limits:           r.cfg.OperatorLimits.Clients,
		Classes:          r.cfg.Settings.Classes,
		MaxConnections:   clients,
		RetryAfter:       min(r.cfg.Settings.MaxRetryAfter, maxOverflowRetryAfter),
		MaxBufferedBytes: r.cfg.Limits.bufferBytes(),
	}, r)
	switch {
	case err == nil:
		return r.beginServing()
	case machine.IsTransientListenError(err):
		return r.waitForAddress(err)
	}
	return err
}

// waitForAddress is the transition to stateWaitingForAddress. It happens when the address is in use, and again at each try
// that finds it so. The error says that the wait has been longer than the process before may take to end and the
// operators' address timeout together.
func (r *Router) waitForAddress(cause error) error {
	r.state = stateWaitingForAddress
	now := r.m.Now()
	if r.addressDeadline == 0 {
		r.addressDeadline = now + r.maxPredecessorTime() + r.cfg.OperatorLimits.Clients.AddressTimeout.Microseconds()
	}
	if now >= r.addressDeadline {
		return fmt.Errorf("%w, %.1f s after the start", cause, float64(now-r.startedAt)/1e6)
	}
	if r.addressLoggedAt == 0 || now-r.addressLoggedAt >= addressLogInterval {
		r.addressLoggedAt = now
		r.logStartProgress("waiting-for-address", slog.String("address", r.cfg.Listen), slog.String("cause", cause.Error()),
			slog.Int64("left_us", r.addressDeadline-now))
	}
	r.addressTimer = r.m.At(now+addressRetryInterval, r.retryAddress)
	return nil
}

// maxPredecessorTime returns how long the process before may take to end: it drains for no longer, and may be killed then.
func (r *Router) maxPredecessorTime() Time {
	return min(r.maxClientTimeout, maxDrainTimeout) + predecessorKillDelay
}

// retryAddress tries again to take the address, each addressRetryInterval while the router waits for it. What waiting
// doesn't help stops the router.
func (r *Router) retryAddress() {
	if r.isStopped() {
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

// beginServing is the transition to stateServing. It happens in the turn in which the router takes its address, and starts
// all that needs the address. The error stops the router.
func (r *Router) beginServing() (err error) {
	r.state = stateServing
	if r.addressDeadline > 0 {
		r.logStartProgress("has-address", slog.String("address", r.frontend.Addr()))
	}
	if r.hooks, err = hooks.New(r.m, r.cfg.Hooks, r.logger); err != nil {
		return err
	}
	r.ProcessEvents()
	r.snapshots = r.openSnapshots(r.cfg.SnapshotStore, false) // after the module has the caches that are known
	r.register()
	if err := r.joinGossip(); err != nil {
		return err
	}
	r.countersWrittenAt = r.m.Now()
	r.scheduleSweep()
	if r.retryStorm != nil {
		r.checkRetryStorm()
	}
	r.logStartProgress("serving", slog.String("address", r.frontend.Addr()), slog.Int("caches", len(r.endpoints)))
	r.logger.Info("serving", "address", r.frontend.Addr(), "caches", len(r.endpoints))
	return nil
}

// register registers the router itself with a registry, where operators have switched that on.
func (r *Router) register() {
	if !r.cfg.Eureka.Register.Enabled {
		return
	}
	options := r.cfg.Eureka.Registration()
	options.Predecessor = r.maxPredecessorTime() + options.Timeout // its last call may take that long
	r.registration = eureka.Register(r.m, options)
}

// Drain is the transition to stateDraining. SIGTERM triggers it. The router takes connections for acceptGrace more, answers
// all requests, and closes each connection between requests. It stops when none is left, or at drainDeadline; done is
// called then. A router that has no address yet stops at once. A second call has no effect, done included.
func (r *Router) Drain(done func()) {
	if r.isEnding() {
		return
	}
	hasAddress := r.frontend != nil
	r.state = stateDraining
	r.onStopped = done
	r.logger.Info("draining")
	if !hasAddress {
		r.Close()
		return
	}
	if r.gossip != nil {
		r.gossip.transport.Leave()
	}
	if r.registration != nil {
		r.registration.Drain()
	}
	r.drainDeadline = r.m.Now() + min(r.maxClientTimeout, maxDrainTimeout) + drainSlack
	r.drainTimer = r.m.At(r.drainDeadline, r.Close)
	r.m.At(r.drainDeadline-drainFinalMargin, r.answerOpenRequests)
	r.m.At(r.drainDeadline-finalWriteMargin, r.writeSnapshotBeforeDeadline)
	r.m.At(r.m.Now()+r.acceptGrace, r.drainFrontend)
}

// The steps of a drain follow one another as each is done: frontend, hooks, registration, snapshot. The drain's deadline
// bounds them all.

// drainFrontend takes no more connections, and closes each one between requests.
func (r *Router) drainFrontend() {
	if !r.isStopped() {
		r.frontend.Drain(r.drainHooks)
	}
}

// drainHooks ends the hooks, once no client is left.
func (r *Router) drainHooks() { r.hooks.Close(r.deregister) }

// deregister takes the router out of the registry.
func (r *Router) deregister() {
	if r.registration == nil {
		r.endDrain()
		return
	}
	r.registration.Cancel(r.endDrain)
}

// endDrain writes the last snapshot and stops the router.
func (r *Router) endDrain() {
	r.snapshots.writeFinal(func() {
		r.drainTimer.Stop()
		r.Close()
	})
}

// writeSnapshotBeforeDeadline writes the last snapshot while there is still time for it, where clients hold up the drain.
func (r *Router) writeSnapshotBeforeDeadline() {
	if !r.isStopped() {
		r.snapshots.writeFinal(func() {})
	}
}

// answerOpenRequests answers what is still open shortly before a drain's deadline. A class may allow more time than a drain
// takes, and a request without an answer would be lost with the process.
func (r *Router) answerOpenRequests() {
	if r.isStopped() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		if q.finished {
			continue
		}
		r.withdraw(q)
		if len(q.attempts) == 0 {
			r.finishRequest(q, r.rejection(q, r.cfg.Settings.MaxRetryAfter).logged(reasonDrainOver))
		} else {
			r.finishRequest(q, failure.logged(reasonDrainOver))
		}
	}
	r.ProcessEvents()
}

// Close is the transition to stateStopped, from any state. It happens at the end or the deadline of a drain, and where a
// start fails. What is not answered is lost. Nothing of it waits.
func (r *Router) Close() {
	if r.isStopped() {
		return
	}
	r.events.WriteCounters()
	r.state = stateStopped
	if r.sources != nil {
		r.sources.Stop()
	}
	if r.registration != nil {
		r.registration.Stop()
	}
	r.stopTimers()
	if r.gossip != nil {
		r.gossip.transport.Close()
	}
	if r.hooks != nil {
		r.hooks.Close(func() {})
	}
	r.snapshots.close()
	if r.frontend != nil {
		r.frontend.Close()
	}
	r.pool.Close()
	r.timerQueue.Close()
	if r.onStopped != nil {
		r.onStopped()
	}
}

// stopTimers stops what would call the router again.
func (r *Router) stopTimers() {
	for _, timer := range []machine.Timer{r.sweepTimer, r.retryStormTimer, r.gossipRetryTimer, r.addressTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
}
