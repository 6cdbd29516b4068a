// Package hooks runs operators' hooks for a router. It sends requests to the workers that run the hooks, and delivers the
// verdicts. Package policy makes the decisions; this package carries them out on a machine.Machine and never blocks.
//
// Without configured hooks, the package holds no state and starts no worker, and each request costs one comparison.
package hooks

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

// Verdict is the combined verdict of all hooks on a request.
type Verdict = plugin.Verdict

// Config describes a set of hooks, in the order in which the router calls them.
type Config struct {
	Hooks           []Hook
	MaxWaitFraction float64 // limit of a request's wait for all hooks together, as a fraction of its time left
	MaxWait         Time    // limit of the same wait, as a span

	// Command holds the arguments with which this program runs as a worker, that is, calls worker.Main on its standard
	// input. Empty stands for CommandName.
	Command []string
	// ServeInProcess serves a worker inside the router by calling worker.Serve. If ServeInProcess is nil, every hook runs in a
	// process. ServeInProcess must be nil on a machine with one processor, where a module that loops blocks the event loop of the
	// router for some 30 ms, until the scheduler preempts the module.
	ServeInProcess func(io.ReadWriteCloser)
}

// CommandName is the hidden command of the program that runs it as a worker.
const CommandName = "hook-worker"

// Hook is the configuration and code of one hook.
type Hook struct {
	policy.Hook
	Engine     string // name of the engine that runs the hook
	Code       []byte // content of the file of the hook
	Budget     plugin.Budget
	WantsValue bool // the hook receives the value of each request
	Inside     bool // the hook runs inside the router, if Config.ServeInProcess is set
}

// Request is a request that hooks may evaluate.
type Request struct {
	ID                       int64 // unique among open requests
	Verb, Class, Tenant, Key string
	TimeLeft                 Time // until the client stops waiting
	Size                     int  // of the value, in bytes
	// Value returns the value of the request. Hooks calls Value in the event loop, for hooks with WantsValue, but not
	// after the verdict or the cancellation of the request. Nil stands for no value.
	Value func() []byte
}

// Answer describes the final answer to a request, at the time when the router is about to send it.
type Answer struct {
	Verb, Class, Tenant, Key string
	Size                     int // of the value of the request, in bytes
	Outcome                  plugin.Outcome
	Took                     Time // since the router read the request
}

// Hooks runs the hooks of one router. All methods must be called in the event loop of its machine.
type Hooks struct {
	machine   machine.Machine
	logger    *slog.Logger
	policy    *policy.Policy
	onVerdict map[int64]func(Verdict) // callbacks of open requests, by request ID
	configs   map[int]Config          // sets that the policy refers to, by set number

	workers       map[int]*workerConnection // by worker number
	pendingWrites []*workerConnection       // connections with bytes to send at the end of this turn
	timer         machine.Timer             // calls onTimer; nil if no timer is set
	turnPosted    bool                      // runTurn is posted and has not run yet
	turnFunc      func()                    // runTurn, bound once to avoid an allocation
	timerFunc     func()                    // onTimer, bound once to avoid an allocation
	reply         wire.Reply                // decoded reply of the present frame; reused for each frame
	onClosed      func()                    // called once after Close when no worker is left; nil otherwise
}

// New returns the hooks of a router and starts the workers of the first set. Until the workers have loaded their hooks,
// requests wait for them as for slow hooks. The error describes why cfg is not a valid set.
func New(m machine.Machine, cfg Config, logger *slog.Logger) (*Hooks, error) {
	h := &Hooks{
		machine:   m,
		logger:    logger,
		policy:    policy.New(),
		onVerdict: map[int64]func(Verdict){},
		configs:   map[int]Config{},
		workers:   map[int]*workerConnection{},
	}
	h.turnFunc, h.timerFunc = h.runTurn, h.onTimer
	if len(cfg.Hooks) == 0 {
		return h, nil
	}
	return h, h.Reload(cfg)
}

// Reload loads a set of hooks and makes it active in one step, after all its hooks have loaded. If a hook fails to load, its
// name is logged and the present set stays active. The error describes why cfg is not a valid set.
func (h *Hooks) Reload(cfg Config) error {
	if len(cfg.Hooks) > maxHooks {
		return fmt.Errorf("hooks: too many hooks: %d (wanted at most %d)", len(cfg.Hooks), maxHooks)
	}
	s := policy.Settings{MaxWaitFraction: cfg.MaxWaitFraction, MaxWait: cfg.MaxWait}
	for _, hook := range cfg.Hooks {
		s.Hooks = append(s.Hooks, hook.Hook)
		if hook.Inside && cfg.ServeInProcess == nil {
			h.logger.Warn("hook runs in a process, not inside the router", "hook", hook.Name)
		}
	}
	h.configs[h.policy.Load(h.machine.Now(), s)] = cfg
	h.postTurn()
	return nil
}

// Idle reports whether no hooks are configured. If so, no request is evaluated and notifications are dropped.
func (h *Hooks) Idle() bool { return h.policy.Idle() }

// Evaluate starts the evaluation of a request by the hooks. It reports false if no hook evaluates the request, which then
// proceeds at once. Otherwise onVerdict is called once, in a later turn, unless the request is cancelled before.
func (h *Hooks) Evaluate(r Request, onVerdict func(Verdict)) bool {
	if h.policy.Idle() {
		return false
	}
	accepted := h.policy.Evaluate(h.machine.Now(), policy.Request{ID: r.ID, Value: r.Value, Call: plugin.Call{
		Point:    plugin.OnRequest,
		Now:      h.machine.Now(),
		Verb:     r.Verb,
		Class:    r.Class,
		Tenant:   r.Tenant,
		Key:      r.Key,
		Size:     r.Size,
		TimeLeft: r.TimeLeft,
	}})
	if accepted {
		h.onVerdict[r.ID] = onVerdict
		h.postTurn()
	}
	return accepted
}

// Cancel closes a request whose client has disconnected. Its onVerdict is not called after that.
func (h *Hooks) Cancel(id int64) {
	if _, open := h.onVerdict[id]; open {
		delete(h.onVerdict, id)
		h.policy.Cancel(h.machine.Now(), id)
		h.postTurn()
	}
}

// Answered notifies hooks of a final answer.
func (h *Hooks) Answered(a Answer) {
	if h.policy.Idle() {
		return
	}
	h.notify(plugin.Call{
		Point:   plugin.Answered,
		Verb:    a.Verb,
		Class:   a.Class,
		Tenant:  a.Tenant,
		Key:     a.Key,
		Size:    a.Size,
		Outcome: a.Outcome,
		Took:    a.Took,
	})
}

// ListChanged notifies hooks that the list of caches has changed, and passes the number of caches and of those that are serving.
func (h *Hooks) ListChanged(caches, serving int) {
	if h.policy.Idle() {
		return
	}
	h.notify(plugin.Call{Point: plugin.ListChanged, Caches: caches, ServingCaches: serving})
}

// notify notifies hooks of an event that needs no verdict.
func (h *Hooks) notify(c plugin.Call) {
	c.Now = h.machine.Now()
	h.policy.Notify(c.Now, c)
	h.postTurn()
}

// Close stops all hooks. Open requests receive verdicts according to on_failure, and workers have a third of a second to
// unload. Then onClosed is called. After Close no request is evaluated.
func (h *Hooks) Close(onClosed func()) {
	h.onClosed = onClosed
	h.policy.Close(h.machine.Now())
	h.postTurn()
}

// Ready reports whether all hooks of the active set are up.
func (h *Hooks) Ready() bool {
	for _, status := range h.policy.Status() {
		if status.State != policy.StateUp {
			return false
		}
	}
	return true
}

// Status returns the status of each hook of the active set, in the order in which the router calls the hooks.
func (h *Hooks) Status() []policy.HookStatus { return h.policy.Status() }

// RecordCounts returns the number of records of each kind that the hooks still hold.
func (h *Hooks) RecordCounts() map[string]int {
	left := h.policy.RecordCounts()
	left["verdicts owed"] = len(h.onVerdict)
	left["worker processes"] = len(h.workers)
	left["sets"] = len(h.configs)
	return left
}

// postTurn schedules runTurn after the present turn, so that the calls of one turn go to a worker in one write.
func (h *Hooks) postTurn() {
	if !h.turnPosted {
		h.turnPosted = true
		h.machine.Post(h.turnFunc)
	}
}

// runTurn carries out the actions that have accumulated since postTurn.
func (h *Hooks) runTurn() {
	h.turnPosted = false
	h.executeActions()
}

// onTimer runs at the time that the policy has set.
func (h *Hooks) onTimer() {
	h.timer = nil
	h.policy.Tick(h.machine.Now())
	h.executeActions()
}

// executeActions carries out all pending actions of the policy, and then writes the calls to the workers.
func (h *Hooks) executeActions() {
	for {
		a, more := h.policy.Next()
		if !more {
			break
		}
		h.execute(&a)
	}
	h.flushWrites()
}

// execute carries out one action of the policy.
func (h *Hooks) execute(a *policy.Action) {
	switch a.Kind {
	case policy.StartWorker:
		h.startWorker(a)
	case policy.KillWorker:
		h.killWorker(a.Worker)
	case policy.SendCall:
		h.sendCall(a)
	case policy.DeliverVerdict:
		h.deliver(a.RequestID, a.Verdict)
	case policy.SetTimer:
		h.stopTimer()
		h.timer = h.machine.At(a.At, h.timerFunc)
	case policy.WriteLog:
		h.logger.LogAttrs(context.Background(), a.Level, a.Message, a.Attrs...)
	case policy.ReleaseSet:
		delete(h.configs, a.Set)
	case policy.FinishClose:
		h.finishClose()
	}
}

// deliver calls the onVerdict of a request, unless the request was cancelled.
func (h *Hooks) deliver(id int64, v Verdict) {
	onVerdict := h.onVerdict[id]
	delete(h.onVerdict, id)
	if onVerdict != nil {
		onVerdict(v)
	}
}

// stopTimer stops the timer if one is set.
func (h *Hooks) stopTimer() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
}

// finishClose stops the timer and calls the onClosed of Close.
func (h *Hooks) finishClose() {
	h.stopTimer()
	if onClosed := h.onClosed; onClosed != nil {
		h.onClosed = nil
		onClosed()
	}
}
