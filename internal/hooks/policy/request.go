package policy

import "starlingwinch/internal/plugin"

// Evaluate starts the evaluation of a request by the active hooks. It reports false if no hook evaluates the request, which
// then proceeds without a verdict.
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

// Cancel closes a request whose client has disconnected. No verdict is delivered for the request.
func (p *Policy) Cancel(now Time, id int64) {
	p.now = now
	if c := p.requests[id]; c != nil {
		p.closeRequest(c)
	}
}

// acceptVerdict merges the verdict of a hook into the verdict of the request. A decision other than Pass is final.
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

// applyFailureMode finishes a call for which the hook returned no verdict. An open request is rejected or continued according to
// the FailureMode of the hook. After an Unload call, the worker is killed.
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

// continueRequest passes a request to the next hook, or delivers its verdict if no hook is left or one rejects it.
func (p *Policy) continueRequest(c *call) {
	step := c.set.advance(p, c)
	if step == rejected || c.hook == nil {
		p.deliver(c)
	}
}

// reject sets the verdict for a hook that failed and whose FailureMode is RejectOnFailure.
func (c *call) reject(h *hook) {
	c.verdict.Decision, c.verdict.RetryAfter = plugin.Reject, h.RetryAfter
}

// deliver emits the only verdict of a request and closes the request.
func (p *Policy) deliver(c *call) {
	p.emit(Action{Kind: DeliverVerdict, RequestID: c.id, Verdict: c.verdict})
	c.verdict = plugin.Verdict{} // the caller now owns the slices of the verdict
	p.closeRequest(c)
}

// closeRequest closes a request and removes it from the queue of its hook. If the call is in flight, it is only marked as
// closed, and is released when the worker replies or is lost.
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

// expire delivers the verdict of a request whose deadline has passed. The FailureMode applies for each hook that has not
// evaluated the request.
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
