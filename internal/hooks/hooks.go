// Package hooks runs operators' hooks beside a router: it has their workers judge requests, and tells the verdicts. What
// is to be done, package policy decides; this package does it, on a machine.Machine, and never waits.
//
// Where there are no hooks, it holds nothing, starts nothing and costs a comparison for each request.
package hooks

import (
	"fmt"
	"io"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

// Verdict is what the hooks say of a request, all together.
type Verdict = plugin.Verdict

// Config is a set of hooks, in the order in which they are asked.
type Config struct {
	Hooks           []Hook
	MaxWaitFraction float64 // of a request's time that it waits for all hooks together, at most ...
	MaxWait         Time    // ... and no longer than that

	// Command is the command line of this program that runs a worker: its standard input is worker.Main's. Empty
	// stands for CommandName.
	Command []string
	// Inside is worker.Serve, for hooks that run inside the router. Nil where none may; then they have processes.
	//
	// The danger: with one processor, a module that loops keeps the router's loop from running for some 30 ms,
	// until the scheduler comes in between.
	Inside func(io.ReadWriteCloser)
}

// CommandName is the hidden command of the program that runs a worker.
const CommandName = "hook-worker"

// Hook is one hook.
type Hook struct {
	policy.Hook
	Engine     string
	Code       []byte
	Budget     plugin.Budget
	WantsValue bool
	Inside     bool
}

// Request is one that hooks may judge.
type Request struct {
	ID                       int64 // no other open one has it
	Verb, Class, Tenant, Key string
	TimeLeft                 Time // until its client stops waiting
	Size                     int  // bytes of its value
	// Value gives the value. It is called in the loop, for hooks that want it, until there is a verdict or the
	// request is Gone. Nil stands for none.
	Value func() []byte
}

// Answer is a final answer that is about to leave.
type Answer struct {
	Verb, Class, Tenant, Key string
	Size                     int
	Outcome                  plugin.Outcome
	Took                     Time
}

// Hooks are the hooks of one router.
type Hooks struct {
	machine   machine.Machine
	log       func(string)
	policy    *policy.Policy
	onVerdict map[int64]func(Verdict)
	configs   map[int]Config

	workers       map[int]*workerConnection
	pendingWrites []*workerConnection // that have something to send at the end of this turn
	timer         machine.Timer
	turnPosted    bool // a turn is to come
	turnFunc      func()
	timerFunc     func()
	reply         wire.Reply
	onClosed      func()
}

// New begins with a set of hooks. Their workers come up meanwhile; until then, requests wait for them as they do for
// hooks that are slow.
func New(m machine.Machine, cfg Config, log func(string)) (*Hooks, error) {
	h := &Hooks{
		machine:   m,
		log:       log,
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
// and the set before stays. The error says why cfg is no set at all.
func (h *Hooks) Reload(cfg Config) error {
	if len(cfg.Hooks) > maxHooks {
		return fmt.Errorf("hooks: %d of them (wanted at most %d)", len(cfg.Hooks), maxHooks)
	}
	s := policy.Settings{MaxWaitFraction: cfg.MaxWaitFraction, MaxWait: cfg.MaxWait}
	for _, hook := range cfg.Hooks {
		s.Hooks = append(s.Hooks, hook.Hook)
		if hook.Inside && cfg.Inside == nil {
			h.log("hook " + hook.Name + ": runs in a process, as none may run inside of this router")
		}
	}
	h.configs[h.policy.Load(h.machine.Now(), s)] = cfg
	h.postTurn()
	return nil
}

// Idle reports whether there are no hooks: then nothing is asked of them, and what is said to them goes nowhere.
func (h *Hooks) Idle() bool { return h.policy.Idle() }

// Evaluate has hooks judge a request. It reports false where none is to: then the request goes on at once. Else done is called
// once, in a later turn of the loop, unless the request is Gone before.
func (h *Hooks) Evaluate(r Request, done func(Verdict)) bool {
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
		h.onVerdict[r.ID] = done
		h.postTurn()
	}
	return taken
}

// Cancel says that a request's client has left: its done is not called any more.
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

// ListChanged has hooks see how many caches there are, and how many of them take new work.
func (h *Hooks) ListChanged(caches, takeWork int) {
	if h.policy.Idle() {
		return
	}
	h.notify(plugin.Call{Point: plugin.ListChanged, Caches: caches, ServingCaches: takeWork})
}

func (h *Hooks) notify(c plugin.Call) {
	c.Now = h.machine.Now()
	h.policy.Notify(c.Now, c)
	h.postTurn()
}

// Close ends all hooks. Requests that wait have their verdicts by on_failure, and workers a third of a second to
// unload; then done is called. Nothing is taken from here on.
func (h *Hooks) Close(done func()) {
	h.onClosed = done
	h.policy.Close(h.machine.Now())
	h.postTurn()
}

// Ready reports whether each hook is up.
func (h *Hooks) Ready() bool {
	for _, row := range h.policy.Status() {
		if row.State != "up" {
			return false
		}
	}
	return true
}

// Status tells of each hook, in the order in which they are asked.
func (h *Hooks) Status() []policy.HookStatus { return h.policy.Status() }

// Left is what is open.
func (h *Hooks) Left() map[string]int {
	left := h.policy.Left()
	left["verdicts owed"] = len(h.onVerdict)
	left["worker processes"] = len(h.workers)
	left["sets"] = len(h.configs)
	return left
}

// postTurn has a turn of the hooks' own come. What was asked in one turn of the loop goes to a worker in one piece.
func (h *Hooks) postTurn() {
	if !h.turnPosted {
		h.turnPosted = true
		h.machine.Post(h.turnFunc)
	}
}

func (h *Hooks) runTurn() {
	h.turnPosted = false
	h.executeActions()
}

func (h *Hooks) onTimer() {
	h.timer = nil
	h.policy.Tick(h.machine.Now())
	h.executeActions()
}

// executeActions carries out what the policy asks for.
func (h *Hooks) executeActions() {
	for {
		a, more := h.policy.Next()
		if !more {
			break
		}
		switch a.Kind {
		case policy.StartWorker:
			h.startWorker(&a)
		case policy.KillWorker:
			h.killWorker(a.Worker)
		case policy.SendCall:
			h.sendCall(&a)
		case policy.DeliverVerdict:
			done := h.onVerdict[a.RequestID]
			delete(h.onVerdict, a.RequestID)
			if done != nil {
				done(a.Verdict)
			}
		case policy.SetTimer:
			if h.timer != nil {
				h.timer.Stop()
			}
			h.timer = h.machine.At(a.At, h.timerFunc)
		case policy.WriteLog:
			h.log(a.Text)
		case policy.ReleaseSet:
			delete(h.configs, a.Set)
		case policy.FinishClose:
			h.finishClose()
		}
	}
	h.flushWrites()
}

func (h *Hooks) finishClose() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	if done := h.onClosed; done != nil {
		h.onClosed = nil
		done()
	}
}
