// Package hooks runs operators' hooks beside a router: it has their workers evaluate requests, and delivers the verdicts.
// Package policy decides what is to be done; this package does it, on a machine.Machine, and never blocks.
//
// Where there are no hooks, it holds nothing, starts nothing and costs a comparison for each request.
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

// Verdict is what all hooks together say of a request.
type Verdict = plugin.Verdict

// Config is a set of hooks, in the order in which they are called.
type Config struct {
	Hooks           []Hook
	MaxWaitFraction float64 // limit of a request's wait for all hooks together, as a fraction of its time left
	MaxWait         Time    // limit of the same wait, as a span

	// Command is the command line of this program that runs a worker: its standard input is worker.Main's. Empty
	// stands for CommandName.
	Command []string
	// Inside is worker.Serve, for hooks that run inside the router. Nil where none may; then they have processes. With
	// one processor it is to be nil: a module that loops keeps the router's loop from running for some 30 ms, until the
	// scheduler preempts it.
	Inside func(io.ReadWriteCloser)
}

// CommandName is the hidden command of the program that runs a worker.
const CommandName = "hook-worker"

// Hook is one hook with its code.
type Hook struct {
	policy.Hook
	Engine     string // the name of the engine that runs it
	Code       []byte // the content of its file
	Budget     plugin.Budget
	WantsValue bool // it is handed the value of a request
	Inside     bool // it runs inside the router, where Config.Inside allows that
}

// Request is one that hooks may evaluate.
type Request struct {
	ID                       int64 // unique among open requests
	Verb, Class, Tenant, Key string
	TimeLeft                 Time // until its client stops waiting
	Size                     int  // bytes of its value
	// Value returns the value. It is called in the loop, for hooks that want it, until there is a verdict or the
	// request is cancelled. Nil stands for none.
	Value func() []byte
}

// Answer is a final answer that is about to leave.
type Answer struct {
	Verb, Class, Tenant, Key string
	Size                     int // bytes of the request's value
	Outcome                  plugin.Outcome
	Took                     Time // since the request was read
}

// Hooks are the hooks of one router. All methods are called in the loop of its machine.
type Hooks struct {
	machine   machine.Machine
	logger    *slog.Logger
	policy    *policy.Policy
	onVerdict map[int64]func(Verdict) // of open requests, by their numbers
	configs   map[int]Config          // of the sets that the policy refers to, by their numbers

	workers       map[int]*workerConnection // by their numbers
	pendingWrites []*workerConnection       // those with bytes to send at the end of this turn
	timer         machine.Timer             // calls onTimer; nil for none
	turnPosted    bool                      // runTurn is to come
	turnFunc      func()                    // runTurn, made once
	timerFunc     func()                    // onTimer, made once
	reply         wire.Reply                // of the frame that is being handled; used again for each
	onClosed      func()                    // called once no worker is left after Close; nil before and after
}

// New returns the hooks of a router, with a first set. Its workers start meanwhile; until they have loaded, requests wait for
// them as they do for hooks that are slow. The error says why cfg is not a valid set.
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

// Reload has a set of hooks take over in one step, once all of it has loaded. Where one does not load, the log names it
// and the set before stays. The error says why cfg is not a valid set.
func (h *Hooks) Reload(cfg Config) error {
	if len(cfg.Hooks) > maxHooks {
		return fmt.Errorf("hooks: %d of them (wanted at most %d)", len(cfg.Hooks), maxHooks)
	}
	s := policy.Settings{MaxWaitFraction: cfg.MaxWaitFraction, MaxWait: cfg.MaxWait}
	for _, hook := range cfg.Hooks {
		s.Hooks = append(s.Hooks, hook.Hook)
		if hook.Inside && cfg.Inside == nil {
			h.logger.Warn("hook runs in a process, not inside the router", "hook", hook.Name)
		}
	}
	h.configs[h.policy.Load(h.machine.Now(), s)] = cfg
	h.postTurn()
	return nil
}

// Idle reports whether there are no hooks: then no request is evaluated, and notifications go nowhere.
func (h *Hooks) Idle() bool { return h.policy.Idle() }

// Evaluate has hooks evaluate a request. It reports false where no hook does: then the request goes on at once. Otherwise
// onVerdict is called once, in a later turn of the loop, unless the request is cancelled before.
func (h *Hooks) Evaluate(r Request, onVerdict func(Verdict)) bool {
	if h.policy.Idle() {
		return false
	}
	taken := h.policy.Evaluate(h.machine.Now(), policy.Request{ID: r.ID, Value: r.Value, Call: plugin.Call{
		Point:    plugin.OnRequest,
		Now:      h.machine.Now(),
		Verb:     r.Verb,
		Class:    r.Class,
		Tenant:   r.Tenant,
		Key:      r.Key,
		Size:     r.Size,
		TimeLeft: r.TimeLeft,
	}})
	if taken {
		h.onVerdict[r.ID] = onVerdict
		h.postTurn()
	}
	return taken
}

// Cancel closes a request whose client has left: its onVerdict is not called any more.
func (h *Hooks) Cancel(id int64) {
	if _, open := h.onVerdict[id]; open {
		delete(h.onVerdict, id)
		h.policy.Cancel(h.machine.Now(), id)
		h.postTurn()
	}
}

// Answered has hooks see a final answer.
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

// ListChanged has hooks see how many caches there are, and how many of them are serving.
func (h *Hooks) ListChanged(caches, serving int) {
	if h.policy.Idle() {
		return
	}
	h.notify(plugin.Call{Point: plugin.ListChanged, Caches: caches, ServingCaches: serving})
}

// notify has hooks see an event that needs no verdict.
func (h *Hooks) notify(c plugin.Call) {
	c.Now = h.machine.Now()
	h.policy.Notify(c.Now, c)
	h.postTurn()
}

// Close ends all hooks. Open requests have their verdicts by on_failure, and workers a third of a second to unload; then
// onClosed is called. No request is taken from here on.
func (h *Hooks) Close(onClosed func()) {
	h.onClosed = onClosed
	h.policy.Close(h.machine.Now())
	h.postTurn()
}

// Ready reports whether each hook is up.
func (h *Hooks) Ready() bool {
	for _, status := range h.policy.Status() {
		if status.State != policy.StateUp {
			return false
		}
	}
	return true
}

// Status returns the status of each hook, in the order in which they are called.
func (h *Hooks) Status() []policy.HookStatus { return h.policy.Status() }

// Left returns how many records of each kind are held.
func (h *Hooks) Left() map[string]int {
	left := h.policy.Left()
	left["verdicts owed"] = len(h.onVerdict)
	left["worker processes"] = len(h.workers)
	left["sets"] = len(h.configs)
	return left
}

// postTurn has runTurn come after the present turn of the loop, so that the calls of one turn go to a worker in one write.
func (h *Hooks) postTurn() {
	if !h.turnPosted {
		h.turnPosted = true
		h.machine.Post(h.turnFunc)
	}
}

// runTurn carries out what has gathered since postTurn.
func (h *Hooks) runTurn() {
	h.turnPosted = false
	h.executeActions()
}

// onTimer is called at the time that the policy has set.
func (h *Hooks) onTimer() {
	h.timer = nil
	h.policy.Tick(h.machine.Now())
	h.executeActions()
}

// executeActions carries out all actions of the policy, and then sends the calls among them.
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

// deliver hands a request its verdict, unless it was cancelled.
func (h *Hooks) deliver(id int64, v Verdict) {
	onVerdict := h.onVerdict[id]
	delete(h.onVerdict, id)
	if onVerdict != nil {
		onVerdict(v)
	}
}

// stopTimer stops the timer, where it is set.
func (h *Hooks) stopTimer() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
}

// finishClose reports the end of Close.
func (h *Hooks) finishClose() {
	h.stopTimer()
	if onClosed := h.onClosed; onClosed != nil {
		h.onClosed = nil
		onClosed()
	}
}
