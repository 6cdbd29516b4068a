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

// Durations and limits of the lifecycle, in microseconds.
const (
	addressRetryInterval = 10_000    // between two tries to listen on an address that another process holds
	addressLogInterval   = 1_000_000 // between two log lines about such an address
	predecessorKillDelay = 700_000   // minimum time from the longest request deadline of a drain to the platform's SIGKILL

	drainAcceptGrace  = 500_000   // for which new connections are accepted after SIGTERM
	drainAnswerMargin = 50_000    // between the latest request deadline and the drain's deadline
	drainFinalMargin  = 25_000    // between the answers to requests that are still open and the drain's deadline
	maxDrainTimeout   = 3_000_000 // the part of the longest client timeout that a drain waits for
	drainSlack        = 650_000   // added to that wait for the drain's deadline; SIGKILL may follow 50 ms after the deadline
)

// maxOverflowRetryAfter is the longest retry-after time, in microseconds, for a client that is rejected because the router has no
// descriptor left.
const maxOverflowRetryAfter = 500_000

// lifecycleState is a state of the router's lifecycle. The states follow one another in the order of the constants. Any state
// between the first and the last may be skipped.
type lifecycleState uint8

const (
	// stateStarting lasts within Start until the router listens on the address for clients or finds the address in use.
	stateStarting lifecycleState = iota
	// stateWaitingForAddress lasts while another process holds the address, at most until addressDeadline. The router follows
	// the endpoint list and accepts Drain and Reload, but opens no connection to a cache.
	stateWaitingForAddress
	// stateServing lasts while the router accepts and answers requests, until Drain or Close.
	stateServing
	// stateDraining lasts from Drain until all requests are answered and the steps of the drain are done, at most until
	// drainDeadline.
	stateDraining
	// stateStopped is the final state: nothing is open, and events have no effect.
	stateStopped
)

// lifecycle is the lifecycle state of the router and the data of its transitions. Only the methods of Router in this file change
// the state.
type lifecycle struct {
	state     lifecycleState
	startedAt Time // when Start was called

	addressDeadline Time          // the start fails if the address is still in use at this time; 0 until a try finds the address in use
	addressLoggedAt Time          // when the wait was last logged; 0 for never
	addressTimer    machine.Timer // for the next try to listen
	onFailure       func(error)   // see OnFailure

	acceptGrace   Time          // for which a drain still accepts connections
	drainDeadline Time          // when a draining router stops at the latest; 0 while the router does not drain
	drainTimer    machine.Timer // stops the router at drainDeadline
	onStopped     func()        // callback of Drain; nil before Drain
}

// isEnding reports whether the router drains or has stopped. Such a router opens no further address or registration.
func (l *lifecycle) isEnding() bool { return l.state >= stateDraining }

// isStopped reports whether the router has stopped.
func (l *lifecycle) isStopped() bool { return l.state == stateStopped }

// Start returns a router that serves, or that waits for its address if another process still holds it. It returns an error if the
// configuration or the machine prevents the router from ever serving.
//
// The predecessor process may still listen on the address while it drains, is paused or is about to be killed. If Start failed in
// that case, no router would be left once the predecessor ends.
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

// OnFailure sets the function that the router calls with the cause when it gives up waiting for its address, after it has
// stopped.
func (r *Router) OnFailure(f func(error)) { r.onFailure = f }

// followEndpointSources starts the sources of the endpoint list. Start calls it once.
func (r *Router) followEndpointSources() (err error) {
	sources := EndpointSources(r.cfg)
	sources.Logger = r.logger
	if r.sources, err = endpointsource.New(r.m, sources, r); err != nil {
		return err
	}
	if r.cfg.Settings.WatchRequired {
		// The module requests the first watch when it receives its first list, so the router sends a list without caches.
		r.queueEvent(&decide.EndpointList{Kind: decide.StaleUpdate})
	}
	r.ProcessEvents()
	r.checkListAfterPauses()
	r.sources.Start() // also if lists are pushed, because the router polls the agent that receives them
	return nil
}

// openAddress tries to listen on the address for clients, and then begins to serve or to wait for the address. It returns an
// error if waiting cannot resolve the failure or the wait has lasted too long.
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
		RequestBytes:     requestBytes,
	}, r)
	switch {
	case err == nil:
		return r.beginServing()
	case machine.IsTransientListenError(err):
		return r.waitForAddress(err)
	}
	return err
}

// waitForAddress is the transition to stateWaitingForAddress. It runs each time that a try finds the address in use. It returns an
// error once the wait exceeds the sum of the predecessor's maximum time to end and the operators' address timeout.
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

// maxPredecessorTime returns the time that the predecessor process may take to end. The platform may kill the predecessor after
// that time, and its drain takes no longer.
func (r *Router) maxPredecessorTime() Time {
	return min(r.maxClientTimeout, maxDrainTimeout) + predecessorKillDelay
}

// retryAddress retries listening on the address. It runs once per addressRetryInterval while the router waits for the address. An
// error of openAddress stops the router.
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

// beginServing is the transition to stateServing. It runs in the turn in which the router begins to listen on its address, and
// starts everything that needs the address. The caller stops the router on an error.
func (r *Router) beginServing() (err error) {
	r.state = stateServing
	if r.addressDeadline > 0 {
		r.logStartProgress("has-address", slog.String("address", r.frontend.Addr()))
	}
	if r.hooks, err = hooks.New(r.m, r.cfg.Hooks, r.logger); err != nil {
		return err
	}
	r.ProcessEvents()
	r.snapshots = r.openSnapshots(r.cfg.SnapshotStore, false) // after the module has received the known caches
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

// register registers the router with a registry if operators have enabled registration.
func (r *Router) register() {
	if !r.cfg.Eureka.Register.Enabled {
		return
	}
	options := r.cfg.Eureka.Registration()
	options.PredecessorWindow = r.maxPredecessorTime() + options.Timeout // the predecessor's last registry call may take up to the timeout
	r.registration = eureka.Register(r.m, options)
}

// Drain is the transition to stateDraining, which SIGTERM triggers. The router accepts connections for another acceptGrace,
// answers all requests, and closes each connection between requests. It stops when no connection is left, or at drainDeadline, and
// then calls done. A router that has no address yet stops at once. A second call has no effect, and its done is not called.
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

// The steps of a drain run one after another: frontend, hooks, registration, snapshot. Each step starts when the previous one is
// complete, and the drain's deadline bounds all of them.

// drainFrontend stops accepting connections, and closes each connection between requests.
func (r *Router) drainFrontend() {
	if !r.isStopped() {
		r.frontend.Drain(r.drainHooks)
	}
}

// drainHooks stops the hooks once no client is connected.
func (r *Router) drainHooks() { r.hooks.Close(r.deregister) }

// deregister removes the router from the registry.
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

// writeSnapshotBeforeDeadline writes the last snapshot while there is time before the drain's deadline, in case clients delay the
// drain.
func (r *Router) writeSnapshotBeforeDeadline() {
	if !r.isStopped() {
		r.snapshots.writeFinal(func() {})
	}
}

// answerOpenRequests rejects or fails the requests that are still open shortly before a drain's deadline. A class may allow more
// time than a drain takes, and a request without an answer would be lost when the process ends.
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
			r.finishRequest(q, r.rejection(q, r.cfg.Settings.MaxRetryAfter).withReason(reasonDrainOver))
		} else {
			r.finishRequest(q, failure.withReason(reasonDrainOver))
		}
	}
	r.ProcessEvents()
}

// Close is the transition to stateStopped, from any state. It runs at the end or the deadline of a drain, and when a start fails.
// Unanswered requests are lost. Close does not block.
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

// stopTimers stops the timers that would call the router after it has stopped.
func (r *Router) stopTimers() {
	for _, timer := range []machine.Timer{r.sweepTimer, r.retryStormTimer, r.gossipRetryTimer, r.addressTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
}
