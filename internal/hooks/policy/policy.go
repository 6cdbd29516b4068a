package policy

import (
	"log/slog"

	"starlingwinch/internal/plugin"
)

// Policy holds the state of all hooks of one router. It is not safe for concurrent use.
type Policy struct {
	now           Time // time of the event that is being handled
	active        *set // evaluates new requests; nil if there are no hooks
	loading       *set // replaces active after it has loaded; nil for none
	retiring      []*set
	closed        bool // Close was called
	closeReported bool // FinishClose was emitted

	lastSet      int
	lastWorker   int
	lastSequence uint64
	workers      map[int]*worker
	requests     map[int64]*call // open requests, by ID
	oldest       *call           // head of the list of open requests, in order of arrival
	newest       *call           // tail of the list of open requests
	freeCalls    []*call         // free list
	hookBuffer   []*hook         // result buffer of allHooks

	actions      []Action
	actionsTaken int  // number of actions that Next has returned
	timerAt      Time // time of the present timer; 0 for none
}

// New returns a Policy without hooks.
func New() *Policy {
	return &Policy{workers: map[int]*worker{}, requests: map[int64]*call{}}
}

// Next removes and returns the next pending action, and reports false if there is none. The caller must call Next after each
// event until it reports false.
func (p *Policy) Next() (Action, bool) {
	if p.actionsTaken == len(p.actions) {
		clear(p.actions)
		p.actions, p.actionsTaken = p.actions[:0], 0
		return Action{}, false
	}
	p.actionsTaken++
	return p.actions[p.actionsTaken-1], true
}

// emit appends an action to the pending actions.
func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

// log emits a WriteLog action.
func (p *Policy) log(level slog.Level, message string, attrs ...slog.Attr) {
	p.emit(Action{Kind: WriteLog, Level: level, Message: message, Attrs: attrs})
}

// Idle reports whether there is no active set, in which case Evaluate accepts no request.
func (p *Policy) Idle() bool { return p.active == nil }

// Notify sends the active hooks an event that needs no verdict. A hook that does not accept it, because it is busy, suspended
// or beyond its CPU quota, misses the event.
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

// HandleReply handles a reply of a worker. It kills the worker if the reply does not match its oldest call in flight.
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

// finishCall finishes a call according to its reply.
func (p *Policy) finishCall(c *call, w *worker, r Reply) {
	h := w.hook
	switch {
	case r.Failed:
		h.counts.FailedCalls++
		h.recordFailure(p, callFailureWeight, &plugin.Failure{Kind: r.Kind, Text: r.Text})
		p.applyFailureMode(c, h)
	case c.hook == nil: // the request is already closed
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

// allHooks returns the hooks of all sets, in an order that depends only on the sequence of events. The slice is valid until the
// next call.
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

// RecordCounts returns the number of records of each kind that the Policy holds.
func (p *Policy) RecordCounts() map[string]int {
	calls := 0
	for _, w := range p.workers { // any order: the result is a sum
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
