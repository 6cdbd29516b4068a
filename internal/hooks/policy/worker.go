package policy

import "starlingwinch/internal/plugin"

const (
	maxInFlight           = 16      // calls; a lost worker loses all of them, while fewer would mean more batches, each of a fixed cost
	maxAttempts           = 2       // sends of a call that was in flight behind another call when its worker was lost
	interruptGrace   Time = 8_000   // µs; added to the time budget of a call, for the worker itself to interrupt the call
	startupAllowance Time = 5 << 20 // µs; added to LoadTime, for a process to start and an engine to compile code
	maxUnloadTime    Time = 300_000 // µs; limit of an unload, because a graceful shutdown waits for it
)

// worker is the state of a worker, which runs one hook. The caller identifies the worker by its number.
type worker struct {
	id               int
	hook             *hook
	loaded           bool    // the worker has loaded its hook
	inFlight         []*call // calls that are sent and have no reply yet, oldest first
	deadline         Time    // of the oldest call in flight, or of the load; 0 for none
	deadlineExtended bool    // the deadline was extended after a stall of the machine
	unloading        bool    // the worker was sent the point Unload
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

// send emits a SendCall and adds the call to the calls in flight.
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

// resetDeadline sets the deadline for the oldest call in flight, or clears it if no call is in flight.
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

// extendDeadline extends the deadline once after a stall of the machine. The worker could not run during the stall either, and
// would otherwise be killed for the lost time.
func (w *worker) extendDeadline(now Time) {
	if w.deadline > 0 && !w.deadlineExtended {
		w.deadline = max(w.deadline, now+interruptGrace)
		w.deadlineExtended = true
	}
}

// workerFailed kills a worker that has failed, and starts a replacement unless the hook is suspended or its set ends. The worker
// failed in its oldest call in flight. The calls behind it are queued again; otherwise a hook that fails in one call of a
// hundred would lose the verdicts of all calls in flight.
func (p *Policy) workerFailed(w *worker, cause error) {
	h := w.hook
	inFlight, loaded := w.inFlight, w.loaded
	w.inFlight = nil
	p.killWorker(w)
	h.counts.Restarts++
	retried := p.retryable(h, inFlight)
	h.queue = append(retried, h.queue...)
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
		// The failure may have closed the last request of a retired set, which is then unloading.
		if !h.suspension.active() && h.set.state != setUnloading {
			h.startWorker(p)
		}
	}
	p.releaseRetired()
}

// retryable returns the calls of a lost worker that must be sent again, and finishes the others.
func (p *Policy) retryable(h *hook, inFlight []*call) []*call {
	var retried []*call
	for i, c := range inFlight {
		c.sent = false
		switch {
		case i > 0 && c.hook != nil && c.attempts < maxAttempts && c.data.Point != plugin.Unload:
			retried = append(retried, c)
		case c.hook == nil:
			p.releaseCall(c)
		default:
			if c.isRequest {
				h.counts.FailedCalls++
			}
			p.applyFailureMode(c, h)
		}
	}
	return retried
}

// killWorker kills a worker, and applies the FailureMode of its hook to the calls in flight.
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
