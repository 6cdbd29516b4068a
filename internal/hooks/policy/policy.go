package policy

import (
	"fmt"

	"starlingwinch/internal/plugin"
)

// Policy is the state. It is not safe for use by more than one goroutine.
type Policy struct {
	clock   Time // of the call that is carried out
	present *set // that requests are asked of; nil where there are no hooks
	next    *set // that loads beside it
	old     []*set
	closed  bool
	told    bool // Closed was

	sets      int
	workerIDs int
	seq       uint64
	workers   map[int]*worker
	requests  map[int64]*call
	first     *call // of the open requests, in the order in which they came
	last      *call
	spare     []*call
	all       []*hook // room for hooks

	actions []Action
	done    int
	armed   Time // when the timer that was set fires; 0 for none
}

// New gives a Policy without hooks.
func New() *Policy {
	return &Policy{workers: map[int]*worker{}, requests: map[int64]*call{}}
}

// Next takes the next action off the list.
func (p *Policy) Next() (Action, bool) {
	if p.done == len(p.actions) {
		clear(p.actions)
		p.actions, p.done = p.actions[:0], 0
		return Action{}, false
	}
	p.done++
	return p.actions[p.done-1], true
}

func (p *Policy) do(a Action) { p.actions = append(p.actions, a) }

// Idle reports whether there are no hooks to ask: Ask would take nothing.
func (p *Policy) Idle() bool { return p.present == nil }

// Ask has hooks judge a request. It reports false where none is to: then the request goes on at once, and there is no
// verdict.
func (p *Policy) Ask(now Time, r Request) bool {
	s := p.present
	if s == nil {
		return false
	}
	p.clock = now
	c := p.take()
	c.request = true
	c.id, c.set, c.data, c.value = r.ID, s, r.Call, r.Value
	c.until = now + min(s.WaitMost, Time(float64(max(0, r.Call.TimeLeft))*s.WaitShare))
	say := s.advance(p, c)
	if say == passed && c.hook == nil {
		p.give(c)
		return false
	}
	s.open++
	p.link(c)
	p.requests[c.id] = c
	if say == refused {
		p.deliver(c)
		return true
	}
	p.arm(c.until)
	return true
}

// Gone says that a request's client has left. There is no verdict for it any more.
func (p *Policy) Gone(now Time, id int64) {
	p.clock = now
	if c := p.requests[id]; c != nil {
		p.close(c)
	}
}

// Look has hooks see what is not theirs to judge.
func (p *Policy) Look(now Time, data plugin.Call) {
	if p.present == nil {
		return
	}
	p.clock = now
	for _, h := range p.present.hooks {
		if !h.points.Has(data.Point) || data.Point == plugin.Answered && !h.wants(data.Class) {
			continue
		}
		if !h.available(now) || h.load() >= max(1, h.Queue/2) { // the rest is for requests
			h.Counts.Unseen++
			continue
		}
		c := p.take()
		c.data = data
		h.enqueue(p, c)
	}
}

// Replied says that a worker has answered. A reply that is out of place is the worker's end.
func (p *Policy) Replied(now Time, id int, r Reply) {
	p.clock = now
	w := p.workers[id]
	if w == nil {
		return
	}
	if !w.up || len(w.out) == 0 || w.out[0].seq != r.Seq {
		p.lose(w, "its worker gave an answer to nothing")
		return
	}
	c := w.out[0]
	c.out = false
	w.out = append(w.out[:0], w.out[1:]...)
	w.extend(p)
	h := w.hook
	h.spend(now, r.Spent)
	h.Counts.Spent += r.Spent
	for _, line := range r.Verdict.Log {
		h.line(p, "says: "+line)
	}
	switch {
	case r.Failed:
		h.Counts.Failed++
		h.fail(p, 1, r.Kind.String()+": "+r.Text)
		p.unjudged(c, h)
	case c.hook == nil: // nobody waits for it any more
		p.give(c)
	case !c.request:
		h.good()
		unload := c.data.Point == plugin.Unload
		p.give(c)
		if unload {
			p.kill(w)
		}
	default:
		h.good()
		p.judged(c, h, r.Verdict)
	}
	if p.workers[id] != nil {
		h.dispatch(p)
	}
	p.settle()
}

// judged takes a hook's verdict over.
func (p *Policy) judged(c *call, h *hook, v *plugin.Verdict) {
	h.count(v)
	c.hook = nil
	if v.Tenant != "" {
		c.data.Tenant, c.verdict.Tenant = v.Tenant, v.Tenant
	}
	c.verdict.Tags = append(c.verdict.Tags, v.Tags...)
	if v.Say != plugin.Pass {
		c.verdict.Say, c.verdict.Wait, c.verdict.Text = v.Say, v.Wait, v.Text
		p.deliver(c)
		return
	}
	c.at++
	p.goOn(c)
}

// unjudged has on_failure decide, where somebody still waits.
func (p *Policy) unjudged(c *call, h *hook) {
	if c.hook == nil || !c.request {
		unload := c.hook != nil && c.data.Point == plugin.Unload
		p.give(c)
		if unload {
			p.kill(h.worker)
		}
		return
	}
	c.hook = nil
	if h.OnFailure == RefuseOn {
		p.refuse(c, h)
		p.deliver(c)
		return
	}
	c.at++
	p.goOn(c)
}

// goOn asks the next hook, or delivers.
func (p *Policy) goOn(c *call) {
	if c.set.advance(p, c) == refused || c.hook == nil {
		p.deliver(c)
	}
}

func (p *Policy) refuse(c *call, h *hook) {
	c.verdict.Say, c.verdict.Wait = plugin.Refuse, h.RefuseWait
}

// deliver gives a request its one verdict. It is not among the open ones from here on.
func (p *Policy) deliver(c *call) {
	p.do(Action{Do: Deliver, ID: c.id, Verdict: c.verdict})
	c.verdict = plugin.Verdict{} // the caller has it
	p.close(c)
}

// close ends a request, and takes it out of where it waits.
func (p *Policy) close(c *call) {
	delete(p.requests, c.id)
	p.unlink(c)
	c.set.open--
	switch h := c.hook; {
	case h == nil && !c.out:
		p.give(c)
	case h != nil && h.drop(c):
		p.give(c)
	default:
		c.hook = nil // its worker has it; who answers to it answers to nobody
		c.value = nil
	}
	p.settle()
}

// Tick says that the time has come that SetTimer asked for, or another one.
func (p *Policy) Tick(now Time) {
	p.clock = now
	if late := now - p.armed; p.armed > 0 && late > lateLoop {
		// The danger: after a machine stood still, all workers would be taken for stuck and be killed.
		for _, h := range p.hooks() {
			if w := h.worker; w != nil && w.deadline > 0 && !w.spared {
				w.deadline = max(w.deadline, now+grace)
				w.spared = true
			}
		}
	}
	p.armed = 0
	for c := p.first; c != nil; {
		after := c.next
		if c.until <= now {
			p.late(c)
		}
		c = after
	}
	for _, h := range p.hooks() {
		h.tick(p)
	}
	p.settle()
	p.rearm()
}

// late ends the wait of a request: what its hooks have not said, on_failure says for them.
func (p *Policy) late(c *call) {
	for i := c.at; i < len(c.set.hooks); i++ {
		h := c.set.hooks[i]
		if !h.asked(c.data.Class) {
			continue
		}
		h.Counts.Late++
		if h.OnFailure == RefuseOn {
			p.refuse(c, h)
			break
		}
	}
	p.deliver(c)
}

// arm sets the timer, where it is not set to an earlier time.
func (p *Policy) arm(t Time) {
	if p.armed == 0 || t < p.armed {
		p.armed = t
		p.do(Action{Do: SetTimer, At: t})
	}
}

// rearm sets it to the next thing that is due.
func (p *Policy) rearm() {
	for c := p.first; c != nil; c = c.next {
		p.arm(c.until)
	}
	for _, h := range p.hooks() {
		if w := h.worker; w != nil && w.deadline > 0 {
			p.arm(w.deadline)
		}
		if h.restUntil > 0 {
			p.arm(h.restUntil)
		}
	}
}

// hooks are those of all sets, in an order that is always the same. The list is good until the next call.
func (p *Policy) hooks() []*hook {
	all := p.all[:0]
	for _, s := range p.old {
		all = append(all, s.hooks...)
	}
	if p.present != nil {
		all = append(all, p.present.hooks...)
	}
	if p.next != nil {
		all = append(all, p.next.hooks...)
	}
	p.all = all
	return all
}

// log adds a line of the policy's own.
func (p *Policy) log(format string, args ...any) {
	p.do(Action{Do: Log, Text: fmt.Sprintf(format, args...)})
}

// Left is what is open, for tests and for a router that ends.
func (p *Policy) Left() map[string]int {
	out := 0
	for _, w := range p.workers { // any order
		out += len(w.out)
	}
	waiting := 0
	for _, h := range p.hooks() {
		waiting += len(h.waiting)
	}
	return map[string]int{
		"requests": len(p.requests),
		"workers":  len(p.workers),
		"calls":    out + waiting,
		"old sets": len(p.old),
	}
}
