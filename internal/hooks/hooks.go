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
	Hooks     []Hook
	WaitShare float64 // of a request's time that it waits for all hooks together, at most ...
	WaitMost  Time    // ... and no longer than that

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
	m    machine.Machine
	log  func(string)
	p    *policy.Policy
	done map[int64]func(Verdict)
	sets map[int]Config

	workers map[int]*link
	unsent  []*link // that have something to send at the end of this turn
	timer   machine.Timer
	posted  bool // a turn is to come
	turned  func()
	ticked  func()
	reply   wire.Reply
	closed  func()
}

// New begins with a set of hooks. Their workers come up meanwhile; until then, requests wait for them as they do for
// hooks that are slow.
func New(m machine.Machine, cfg Config, log func(string)) (*Hooks, error) {
	h := &Hooks{
		m:       m,
		log:     log,
		p:       policy.New(),
		done:    map[int64]func(Verdict){},
		sets:    map[int]Config{},
		workers: map[int]*link{},
	}
	h.turned, h.ticked = h.turn, h.tick
	if len(cfg.Hooks) == 0 {
		return h, nil
	}
	return h, h.Reload(cfg)
}

// Reload has a set of hooks take over in one step, once all of it has loaded. Where one does not load, the log names it
// and the set before stays. The error says why cfg is no set at all.
func (h *Hooks) Reload(cfg Config) error {
	if len(cfg.Hooks) > mostHooks {
		return fmt.Errorf("hooks: %d of them (wanted at most %d)", len(cfg.Hooks), mostHooks)
	}
	s := policy.Settings{WaitShare: cfg.WaitShare, WaitMost: cfg.WaitMost}
	for _, hook := range cfg.Hooks {
		s.Hooks = append(s.Hooks, hook.Hook)
		if hook.Inside && cfg.Inside == nil {
			h.log("hook " + hook.Name + ": runs in a process, as none may run inside of this router")
		}
	}
	h.sets[h.p.Load(h.m.Now(), s)] = cfg
	h.later()
	return nil
}

// Idle reports whether there are no hooks: then nothing is asked of them, and what is said to them goes nowhere.
func (h *Hooks) Idle() bool { return h.p.Idle() }

// Ask has hooks judge a request. It reports false where none is to: then the request goes on at once. Else done is called
// once, in a later turn of the loop, unless the request is Gone before.
func (h *Hooks) Ask(r Request, done func(Verdict)) bool {
	if h.p.Idle() {
		return false
	}
	taken := h.p.Ask(h.m.Now(), policy.Request{ID: r.ID, Value: r.Value, Call: plugin.Call{
		Point:    plugin.OnRequest,
		Now:      h.m.Now(),
		Verb:     r.Verb,
		Class:    r.Class,
		Tenant:   r.Tenant,
		Key:      r.Key,
		Size:     r.Size,
		TimeLeft: r.TimeLeft,
	}})
	if taken {
		h.done[r.ID] = done
		h.later()
	}
	return taken
}

// Gone says that a request's client has left: its done is not called any more.
func (h *Hooks) Gone(id int64) {
	if _, open := h.done[id]; open {
		delete(h.done, id)
		h.p.Gone(h.m.Now(), id)
		h.later()
	}
}

// Answered has hooks see a final answer.
func (h *Hooks) Answered(a Answer) {
	if h.p.Idle() {
		return
	}
	h.look(plugin.Call{
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
	if h.p.Idle() {
		return
	}
	h.look(plugin.Call{Point: plugin.ListChanged, Caches: caches, TakeWork: takeWork})
}

func (h *Hooks) look(c plugin.Call) {
	c.Now = h.m.Now()
	h.p.Look(c.Now, c)
	h.later()
}

// Close ends all hooks. Requests that wait have their verdicts by on_failure, and workers a third of a second to
// unload; then done is called. Nothing is taken from here on.
func (h *Hooks) Close(done func()) {
	h.closed = done
	h.p.Close(h.m.Now())
	h.later()
}

// Ready reports whether each hook is up.
func (h *Hooks) Ready() bool {
	for _, row := range h.p.Status() {
		if row.State != "up" {
			return false
		}
	}
	return true
}

// Status tells of each hook, in the order in which they are asked.
func (h *Hooks) Status() []policy.Row { return h.p.Status() }

// Left is what is open.
func (h *Hooks) Left() map[string]int {
	left := h.p.Left()
	left["verdicts owed"] = len(h.done)
	left["worker processes"] = len(h.workers)
	left["sets"] = len(h.sets)
	return left
}

// later has a turn of the hooks' own come. What was asked in one turn of the loop goes to a worker in one piece.
func (h *Hooks) later() {
	if !h.posted {
		h.posted = true
		h.m.Post(h.turned)
	}
}

func (h *Hooks) turn() {
	h.posted = false
	h.carry()
}

func (h *Hooks) tick() {
	h.timer = nil
	h.p.Tick(h.m.Now())
	h.carry()
}

// carry carries out what the policy asks for.
func (h *Hooks) carry() {
	for {
		a, more := h.p.Next()
		if !more {
			break
		}
		switch a.Do {
		case policy.Start:
			h.start(&a)
		case policy.Kill:
			h.kill(a.Worker)
		case policy.Ask:
			h.send(&a)
		case policy.Deliver:
			done := h.done[a.ID]
			delete(h.done, a.ID)
			if done != nil {
				done(a.Verdict)
			}
		case policy.SetTimer:
			if h.timer != nil {
				h.timer.Stop()
			}
			h.timer = h.m.At(a.At, h.ticked)
		case policy.Log:
			h.log(a.Text)
		case policy.Dropped:
			delete(h.sets, a.Set)
		case policy.Closed:
			h.end()
		}
	}
	h.flush()
}

func (h *Hooks) end() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	if done := h.closed; done != nil {
		h.closed = nil
		done()
	}
}
