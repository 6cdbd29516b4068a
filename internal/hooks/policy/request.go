package policy

import "starlingwinch/internal/plugin"

// Evaluate has hooks evaluate a request. It reports false where no hook does: then the request goes on at once, and no
// verdict is delivered.
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
	step := s.advance(p, c)
	if step == advanced && c.hook == nil {
		p.releaseCall(c)
		return false
	}
	s.openRequests++
	p.addOpen(c)
	p.requests[c.id] = c
	if step == rejected {
		p.deliver(c)
		return true
	}
	p.armTimer(c.deadline)
	return true
}

// Cancel closes a request whose client has left. No verdict is delivered for it.
func (p *Policy) Cancel(now Time, id int64) {
	p.now = now
	if c := p.requests[id]; c != nil {
		p.closeRequest(c)
	}
}

// acceptVerdict adds a hook's verdict to the request's. A verdict other than Pass is final.
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

// applyFailureMode ends a call that its hook gave no verdict for. An open request goes on as the hook's FailureMode says, and
// a worker that was unloading is ended.
func (p *Policy) applyFailureMode(c *call, h *hook) {
	if c.hook == nil || !c.isRequest {
		unloaded := c.hook != nil && c.data.Point == plugin.Unload
		p.releaseCall(c)
		if unloaded {
			p.killWorker(h.worker)
		}
		return
	}
	c.hook = nil
	if h.OnFailure == RejectOnFailure {
		c.reject(h)
		p.deliver(c)
		return
	}
	c.hookIndex++
	p.continueRequest(c)
}

// continueRequest hands a request to the next hook, or delivers its verdict where there is none.
func (p *Policy) continueRequest(c *call) {
	step := c.set.advance(p, c)
	if step == rejected || c.hook == nil {
		p.deliver(c)
	}
}

// reject sets the verdict of a hook that failed, where its FailureMode is RejectOnFailure.
func (c *call) reject(h *hook) {
	c.verdict.Decision, c.verdict.RetryAfter = plugin.Reject, h.RetryAfter
}

// deliver emits a request's one verdict and closes it.
func (p *Policy) deliver(c *call) {
	p.emit(Action{Kind: DeliverVerdict, RequestID: c.id, Verdict: c.verdict})
	c.verdict = plugin.Verdict{} // its slices belong to the caller from here on
	p.closeRequest(c)
}

// closeRequest ends a request, and takes it out of its hook's queue. A worker that has it replies to a closed request later.
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
		c.hook = nil
		c.value = nil
	}
	p.releaseRetired()
}

// expire delivers the verdict of a request that has waited long enough: hooks that gave none count by their FailureMode.
func (p *Policy) expire(c *call) {
	for _, h := range c.set.hooks[c.hookIndex:] {
		if !h.evaluatesClass(c.data.Class) {
			continue
		}
		h.counts.TimedOut++
		if h.OnFailure == RejectOnFailure {
			c.reject(h)
			break
		}
	}
	p.deliver(c)
}
