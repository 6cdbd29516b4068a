package policy

import (
	"log/slog"

	"starlingwinch/internal/plugin"
)

// Policy is the state of all hooks of one router. It is not safe for use by more than one goroutine.
type Policy struct {
	now           Time // of the event that is being handled
	active        *set // evaluates new requests; nil where there are no hooks
	loading       *set // takes over from active once it has loaded; nil for none
	retiring      []*set
	closed        bool // Close was called
	closeReported bool // FinishClose was emitted

	lastSet      int
	lastWorker   int
	lastSequence uint64
	workers      map[int]*worker
	requests     map[int64]*call // open requests, by their numbers
	oldest       *call           // of the open requests, which are linked in the order in which they came
	newest       *call           // of the open requests
	freeCalls    []*call         // for use again
	hookBuffer   []*hook         // for allHooks

	actions      []Action
	actionsTaken int  // how many of actions were handed out
	timerAt      Time // when the timer that was set fires; 0 for none
}

// New returns a Policy without hooks.
func New() *Policy {
	return &Policy{workers: map[int]*worker{}, requests: map[int64]*call{}}
}

// Next takes the next action off the list; false where there is none. The caller takes all of them after each event.
func (p *Policy) Next() (Action, bool) {
	if p.actionsTaken == len(p.actions) {
		clear(p.actions)
		p.actions, p.actionsTaken = p.actions[:0], 0
		return Action{}, false
	}
	p.actionsTaken++
	return p.actions[p.actionsTaken-1], true
}

// emit adds an action to the list.
func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

// log emits a log line.
func (p *Policy) log(level slog.Level, message string, attrs ...slog.Attr) {
	p.emit(Action{Kind: WriteLog, Level: level, Message: message, Attrs: attrs})
}

// Idle reports whether there are no hooks: Evaluate would take no request.
func (p *Policy) Idle() bool { return p.active == nil }

// Notify has the active hooks see an event that needs no verdict. A hook that is busy misses it.
func (p *Policy) Notify(now Time, data plugin.Call) {
	if p.active == nil {
		return
	}
	p.now = now
	for _, h := range p.active.hooks {
		if !h.wantsNotification(&data) {
			continue
		}
		if !h.acceptsNotification(now) {
			h.counts.MissedNotifications++
			continue
		}
		c := p.newCall()
		c.data = data
		h.enqueue(p, c)
	}
}

// HandleReply takes a worker's reply. A worker whose reply is not to its oldest call in flight is ended.
func (p *Policy) HandleReply(now Time, workerID int, r Reply) {
	p.now = now
	w := p.workers[workerID]
	if w == nil {
		return
	}
	if !w.loaded || len(w.inFlight) == 0 || w.inFlight[0].sequence != r.Sequence {
		p.workerFailed(w, ErrUnexpectedReply)
		return
	}
	c := w.inFlight[0]
	c.sent = false
	w.inFlight = append(w.inFlight[:0], w.inFlight[1:]...)
	w.resetDeadline(p)
	h := w.hook
	h.cpu.charge(now, r.RunTime)
	h.counts.RunTime += r.RunTime
	for _, line := range r.Verdict.Log {
		h.log(p, slog.LevelInfo, "hook message", slog.String("text", line))
	}
	p.finishCall(c, w, r)
	if p.workers[workerID] != nil {
		h.dispatch(p)
	}
	p.releaseRetired()
}

// finishCall ends a call as its reply says.
func (p *Policy) finishCall(c *call, w *worker, r Reply) {
	h := w.hook
	switch {
	case r.Failed:
		h.counts.FailedCalls++
		h.recordFailure(p, callFailureWeight, &plugin.Failure{Kind: r.Kind, Text: r.Text})
		p.applyFailureMode(c, h)
	case c.hook == nil: // its request is closed
		p.releaseCall(c)
	case !c.isRequest:
		h.suspension.recordSuccess()
		unloaded := c.data.Point == plugin.Unload
		p.releaseCall(c)
		if unloaded {
			p.killWorker(w)
		}
	default:
		h.suspension.recordSuccess()
		p.acceptVerdict(c, h, r.Verdict)
	}
}

// allHooks returns the hooks of all sets, in an order that depends on events alone. The list is valid until the next call.
func (p *Policy) allHooks() []*hook {
	all := p.hookBuffer[:0]
	for _, s := range p.retiring {
		all = append(all, s.hooks...)
	}
	if p.active != nil {
		all = append(all, p.active.hooks...)
	}
	if p.loading != nil {
		all = append(all, p.loading.hooks...)
	}
	p.hookBuffer = all
	return all
}

// Left returns how many records of each kind the Policy holds.
func (p *Policy) Left() map[string]int {
	calls := 0
	for _, w := range p.workers { // any order: a sum
		calls += len(w.inFlight)
	}
	for _, h := range p.allHooks() {
		calls += len(h.queue)
	}
	return map[string]int{
		"requests": len(p.requests),
		"workers":  len(p.workers),
		"calls":    calls,
		"old sets": len(p.retiring),
	}
}
