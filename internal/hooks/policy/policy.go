package policy

import (
	"fmt"

	"starlingwinch/internal/plugin"
)

// Policy is the state. It is not safe for use by more than one goroutine.
type Policy struct {
	now           Time // of the call that is carried out
	active        *set // that requests are asked of; nil where there are no hooks
	loading       *set // that loads beside it
	retiring      []*set
	closed        bool
	closeReported bool // Closed was

	lastSet      int
	lastWorker   int
	lastSequence uint64
	workers      map[int]*worker
	requests     map[int64]*call
	oldest       *call // of the open requests, in the order in which they came
	newest       *call
	freeCalls    []*call
	hookBuffer   []*hook // room for hooks

	actions      []Action
	actionsTaken int
	timerAt      Time // when the timer that was set fires; 0 for none
}

// New gives a Policy without hooks.
func New() *Policy {
	return &Policy{workers: map[int]*worker{}, requests: map[int64]*call{}}
}

// Next takes the next action off the list.
func (p *Policy) Next() (Action, bool) {
	if p.actionsTaken == len(p.actions) {
		clear(p.actions)
		p.actions, p.actionsTaken = p.actions[:0], 0
		return Action{}, false
	}
	p.actionsTaken++
	return p.actions[p.actionsTaken-1], true
}

func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

// Idle reports whether there are no hooks to ask: Ask would take nothing.
func (p *Policy) Idle() bool { return p.active == nil }

// Evaluate has hooks judge a request. It reports false where none is to: then the request goes on at once, and there is no
// verdict.
func (p *Policy) Evaluate(now Time, r Request) bool {
	s := p.active
	if s == nil {
		return false
	}
	p.now = now
	c := p.newCall()
	c.isRequest = true
	c.id, c.set, c.data, c.value = r.ID, s, r.Call, r.Value
	c.deadline = now + min(s.MaxWait, Time(float64(max(0, r.Call.TimeLeft))*s.MaxWaitFraction))
	say := s.advance(p, c)
	if say == advanced && c.hook == nil {
		p.releaseCall(c)
		return false
	}
	s.openRequests++
	p.addOpen(c)
	p.requests[c.id] = c
	if say == rejected {
		p.deliver(c)
		return true
	}
	p.armTimer(c.deadline)
	return true
}

// Cancel says that a request's client has left. There is no verdict for it any more.
func (p *Policy) Cancel(now Time, id int64) {
	p.now = now
	if c := p.requests[id]; c != nil {
		p.closeRequest(c)
	}
}

// Notify has hooks see what is not theirs to judge.
func (p *Policy) Notify(now Time, data plugin.Call) {
	if p.active == nil {
		return
	}
	p.now = now
	for _, h := range p.active.hooks {
		if !h.points.Has(data.Point) || data.Point == plugin.Answered && !h.handlesClass(data.Class) {
			continue
		}
		if !h.acceptsCall(now) || h.pendingCalls() >= max(1, h.Queue/2) { // the rest is for requests
			h.Counts.MissedNotifications++
			continue
		}
		c := p.newCall()
		c.data = data
		h.enqueue(p, c)
	}
}

// HandleReply says that a worker has answered. A reply that is out of place is the worker's end.
func (p *Policy) HandleReply(now Time, id int, r Reply) {
	p.now = now
	w := p.workers[id]
	if w == nil {
		return
	}
	if !w.loaded || len(w.inFlight) == 0 || w.inFlight[0].sequence != r.Sequence {
		p.workerFailed(w, "its worker gave an answer to nothing")
		return
	}
	c := w.inFlight[0]
	c.sent = false
	w.inFlight = append(w.inFlight[:0], w.inFlight[1:]...)
	w.resetDeadline(p)
	h := w.hook
	h.chargeCPU(now, r.RunTime)
	h.Counts.RunTime += r.RunTime
	for _, line := range r.Verdict.Log {
		h.logLimited(p, "says: "+line)
	}
	switch {
	case r.Failed:
		h.Counts.FailedCalls++
		h.recordFailure(p, 1, r.Kind.String()+": "+r.Text)
		p.applyFailureMode(c, h)
	case c.hook == nil: // nobody waits for it any more
		p.releaseCall(c)
	case !c.isRequest:
		h.recordSuccess()
		unload := c.data.Point == plugin.Unload
		p.releaseCall(c)
		if unload {
			p.killWorker(w)
		}
	default:
		h.recordSuccess()
		p.acceptVerdict(c, h, r.Verdict)
	}
	if p.workers[id] != nil {
		h.dispatch(p)
	}
	p.releaseRetired()
}

// acceptVerdict takes a hook's verdict over.
func (p *Policy) acceptVerdict(c *call, h *hook, v *plugin.Verdict) {
	h.countVerdict(v)
	c.hook = nil
	if v.Tenant != "" {
		c.data.Tenant, c.verdict.Tenant = v.Tenant, v.Tenant
	}
	c.verdict.Tags = append(c.verdict.Tags, v.Tags...)
	if v.Decision != plugin.Pass {
		c.verdict.Decision, c.verdict.RetryAfter, c.verdict.Text = v.Decision, v.RetryAfter, v.Text
		p.deliver(c)
		return
	}
	c.hookIndex++
	p.continueRequest(c)
}

// applyFailureMode has on_failure decide, where somebody still waits.
func (p *Policy) applyFailureMode(c *call, h *hook) {
	if c.hook == nil || !c.isRequest {
		unload := c.hook != nil && c.data.Point == plugin.Unload
		p.releaseCall(c)
		if unload {
			p.killWorker(h.worker)
		}
		return
	}
	c.hook = nil
	if h.OnFailure == RejectOnFailure {
		p.reject(c, h)
		p.deliver(c)
		return
	}
	c.hookIndex++
	p.continueRequest(c)
}

// continueRequest asks the next hook, or delivers.
func (p *Policy) continueRequest(c *call) {
	if c.set.advance(p, c) == rejected || c.hook == nil {
		p.deliver(c)
	}
}

func (p *Policy) reject(c *call, h *hook) {
	c.verdict.Decision, c.verdict.RetryAfter = plugin.Reject, h.RetryAfter
}

// deliver gives a request its one verdict. It is not among the open ones from here on.
func (p *Policy) deliver(c *call) {
	p.emit(Action{Kind: DeliverVerdict, RequestID: c.id, Verdict: c.verdict})
	c.verdict = plugin.Verdict{} // the caller has it
	p.closeRequest(c)
}

// closeRequest ends a request, and takes it out of where it waits.
func (p *Policy) closeRequest(c *call) {
	delete(p.requests, c.id)
	p.removeOpen(c)
	c.set.openRequests--
	switch h := c.hook; {
	case h == nil && !c.sent:
		p.releaseCall(c)
	case h != nil && h.removeQueued(c):
		p.releaseCall(c)
	default:
		c.hook = nil // its worker has it; who answers to it answers to nobody
		c.value = nil
	}
	p.releaseRetired()
}

// Tick says that the time has come that SetTimer asked for, or another one.
func (p *Policy) Tick(now Time) {
	p.now = now
	if late := now - p.timerAt; p.timerAt > 0 && late > maxTimerDelay {
		// The danger: after a machine stood still, all workers would be taken for stuck and be killed.
		for _, h := range p.allHooks() {
			if w := h.worker; w != nil && w.deadline > 0 && !w.deadlineExtended {
				w.deadline = max(w.deadline, now+interruptGrace)
				w.deadlineExtended = true
			}
		}
	}
	p.timerAt = 0
	for c := p.oldest; c != nil; {
		after := c.next
		if c.deadline <= now {
			p.expire(c)
		}
		c = after
	}
	for _, h := range p.allHooks() {
		h.onTimer(p)
	}
	p.releaseRetired()
	p.rearmTimer()
}

// expire ends the wait of a request: what its hooks have not said, on_failure says for them.
func (p *Policy) expire(c *call) {
	for i := c.hookIndex; i < len(c.set.hooks); i++ {
		h := c.set.hooks[i]
		if !h.evaluatesClass(c.data.Class) {
			continue
		}
		h.Counts.TimedOut++
		if h.OnFailure == RejectOnFailure {
			p.reject(c, h)
			break
		}
	}
	p.deliver(c)
}

// armTimer sets the timer, where it is not set to an earlier time.
func (p *Policy) armTimer(t Time) {
	if p.timerAt == 0 || t < p.timerAt {
		p.timerAt = t
		p.emit(Action{Kind: SetTimer, At: t})
	}
}

// rearmTimer sets it to the next thing that is due.
func (p *Policy) rearmTimer() {
	for c := p.oldest; c != nil; c = c.next {
		p.armTimer(c.deadline)
	}
	for _, h := range p.allHooks() {
		if w := h.worker; w != nil && w.deadline > 0 {
			p.armTimer(w.deadline)
		}
		if h.suspendedUntil > 0 {
			p.armTimer(h.suspendedUntil)
		}
	}
}

// allHooks are those of all sets, in an order that is always the same. The list is good until the next call.
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

// log adds a line of the policy's own.
func (p *Policy) log(format string, args ...any) {
	p.emit(Action{Kind: WriteLog, Text: fmt.Sprintf(format, args...)})
}

// Left is what is open, for tests and for a router that ends.
func (p *Policy) Left() map[string]int {
	out := 0
	for _, w := range p.workers { // any order
		out += len(w.inFlight)
	}
	waiting := 0
	for _, h := range p.allHooks() {
		waiting += len(h.waiting)
	}
	return map[string]int{
		"requests": len(p.requests),
		"workers":  len(p.workers),
		"calls":    out + waiting,
		"old sets": len(p.retiring),
	}
}
