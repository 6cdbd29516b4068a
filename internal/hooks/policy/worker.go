package policy

import "starlingwinch/internal/plugin"

const (
	maxInFlight           = 16      // calls that a worker has at a time: each is lost with it, and each batch has a fixed cost
	maxAttempts           = 2       // sendings of a call whose worker was lost while other calls were before it
	interruptGrace   Time = 8_000   // beyond a call's budget, for the worker itself to interrupt the call
	startupAllowance Time = 5 << 20 // beyond LoadTime, for a process to start and an engine to prepare code
	maxUnloadTime    Time = 300_000 // of an unload, as a graceful shutdown waits for it
)

// worker runs one hook, and is known to the caller by its number.
type worker struct {
	id               int
	hook             *hook
	loaded           bool    // it has loaded its hook
	inFlight         []*call // sent and not yet replied to, the oldest first
	deadline         Time    // of the oldest call in flight, or of the load; 0 for none
	deadlineExtended bool    // the deadline was extended once, as the machine stood still
	unloading        bool    // it was sent the point Unload
}

// startWorker starts a worker for the hook.
func (h *hook) startWorker(p *Policy) {
	p.lastWorker++
	w := &worker{id: p.lastWorker, hook: h, deadline: p.now + h.LoadTime + startupAllowance}
	h.worker = w
	p.workers[w.id] = w
	p.emit(Action{Kind: StartWorker, Worker: w.id, Set: h.set.number, Hook: h.index})
	p.armTimer(w.deadline)
}

// send sends a call to the worker.
func (w *worker) send(p *Policy, c *call) {
	p.lastSequence++
	c.sequence = p.lastSequence
	c.sent = true
	c.attempts++
	w.inFlight = append(w.inFlight, c)
	if len(w.inFlight) == 1 {
		w.resetDeadline(p)
	}
	p.emit(Action{Kind: SendCall, Worker: w.id, Set: w.hook.set.number, Hook: w.hook.index, Sequence: c.sequence, call: c})
}

// resetDeadline sets the deadline for the oldest call in flight.
func (w *worker) resetDeadline(p *Policy) {
	w.deadlineExtended = false
	if len(w.inFlight) == 0 {
		w.deadline = 0
		return
	}
	budget := w.hook.Time
	if w.inFlight[0].data.Point == plugin.Unload {
		budget = min(maxUnloadTime, w.hook.LoadTime)
	}
	w.deadline = p.now + budget + interruptGrace
	p.armTimer(w.deadline)
}

// extendDeadline extends a deadline once, after the machine stood still: the worker had no time either, and would be killed
// for it.
func (w *worker) extendDeadline(now Time) {
	if w.deadline > 0 && !w.deadlineExtended {
		w.deadline = max(w.deadline, now+interruptGrace)
		w.deadlineExtended = true
	}
}

// workerFailed ends a worker that has failed, and starts another one in its place. The oldest call in flight is the one that
// it failed in. Calls behind it are queued again, as a hook that fails in one call of a hundred would otherwise take the
// verdicts of all calls in flight with it.
func (p *Policy) workerFailed(w *worker, cause error) {
	h := w.hook
	inFlight, loaded := w.inFlight, w.loaded
	w.inFlight = nil
	p.killWorker(w)
	h.counts.Restarts++
	again := p.retryable(h, inFlight)
	h.queue = append(again, h.queue...)
	switch {
	case h.set.state == setLoading:
		h.set.failLoading(p, h, cause)
	case h.set.state == setUnloading:
		h.failQueued(p)
	case !loaded:
		h.suspension.score = suspensionScore
		h.suspend(p, cause)
	default:
		h.recordFailure(p, workerLossWeight, cause)
		// The failure may have ended the last request of a retired set, which is unloading then.
		if !h.suspension.active() && h.set.state != setUnloading {
			h.startWorker(p)
		}
	}
	p.releaseRetired()
}

// retryable returns the calls of a lost worker that are to be sent again, and ends the others.
func (p *Policy) retryable(h *hook, inFlight []*call) []*call {
	var again []*call
	for i, c := range inFlight {
		c.sent = false
		switch {
		case i > 0 && c.hook != nil && c.attempts < maxAttempts && c.data.Point != plugin.Unload:
			again = append(again, c)
		case c.hook == nil:
			p.releaseCall(c)
		default:
			if c.isRequest {
				h.counts.FailedCalls++
			}
			p.applyFailureMode(c, h)
		}
	}
	return again
}

// killWorker ends a worker. Calls that it has end without a verdict of its hook.
func (p *Policy) killWorker(w *worker) {
	if w == nil || p.workers[w.id] == nil {
		return
	}
	delete(p.workers, w.id)
	w.hook.worker = nil
	p.emit(Action{Kind: KillWorker, Worker: w.id})
	for _, c := range w.inFlight {
		c.sent = false
		if c.hook == nil {
			p.releaseCall(c)
			continue
		}
		p.applyFailureMode(c, w.hook)
	}
	w.inFlight = nil
}
