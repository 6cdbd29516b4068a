package policy

import (
	"slices"

	"starlingwinch/internal/plugin"
)

// hook is one hook of a set: its queue, its worker and its conduct.
type hook struct {
	Hook
	set    *set
	index  int
	points plugin.Points // all until the first worker is up
	worker *worker       // nil while it is suspended, or over

	waiting []*call

	failureScore    float64 // of failures
	suspension      Time    // span of the last suspension; 0 after good conduct
	suspendedUntil  Time    // 0 where it is not suspended
	cpuDebt         float64 // µs of the core beyond its share
	cpuDebtAt       Time
	logTokens       float64 // that may be logged
	logTokensAt     Time
	suppressedLines int // lines that were not

	Counts Counts
	tags   map[string]int
}

// worker runs one hook.
type worker struct {
	id               int
	hook             *hook
	loaded           bool
	inFlight         []*call // sent and not answered, in their order
	deadline         Time    // of the first of them, or of the start; 0 for none
	deadlineExtended bool    // the deadline was moved once, as the machine stood still
	unloading        bool    // Unload was sent
}

// handlesClass reports whether an operator wants it asked for a class.
func (h *hook) handlesClass(class string) bool {
	return len(h.Classes) == 0 || slices.Contains(h.Classes, class)
}

// evaluatesClass reports whether it judges requests of a class.
func (h *hook) evaluatesClass(class string) bool {
	return h.points.Has(plugin.OnRequest) && h.handlesClass(class)
}

func (h *hook) pendingCalls() int {
	n := len(h.waiting)
	if h.worker != nil {
		n += len(h.worker.inFlight)
	}
	return n
}

// acceptsCall reports whether it takes one more call.
//
// The danger: a queue without a bound holds as many requests as come, while each of them waits for a hook that is stuck.
func (h *hook) acceptsCall(now Time) bool {
	return h.worker != nil && h.pendingCalls() < h.Queue && h.withinCPUQuota(now)
}

// withinCPUQuota reports whether the hook is within its part of the core.
func (h *hook) withinCPUQuota(now Time) bool {
	h.cpuDebt = max(0, h.cpuDebt-float64(now-h.cpuDebtAt)*h.CPUFraction)
	h.cpuDebtAt = now
	return h.cpuDebt <= max(cpuBurst*h.CPUFraction, 3*float64(h.Time))
}

func (h *hook) chargeCPU(now, spent Time) {
	h.withinCPUQuota(now)
	h.cpuDebt += float64(spent)
}

// enqueue has a call wait for the hook, or sends it at once.
func (h *hook) enqueue(p *Policy, c *call) {
	c.hook = h
	h.Counts.Calls++
	h.waiting = append(h.waiting, c)
	h.dispatch(p)
}

// dispatch sends what waits, as far as the worker takes it.
func (h *hook) dispatch(p *Policy) {
	w := h.worker
	if w == nil || !w.loaded || w.unloading {
		return
	}
	n := min(len(h.waiting), maxInFlight-len(w.inFlight))
	for _, c := range h.waiting[:n] {
		w.send(p, c)
	}
	h.waiting = append(h.waiting[:0], h.waiting[n:]...)
}

// removeQueued takes a call out of the queue. It reports false where the worker has it.
func (h *hook) removeQueued(c *call) bool {
	i := slices.Index(h.waiting, c)
	if i < 0 {
		return false
	}
	h.waiting = slices.Delete(h.waiting, i, i+1)
	return true
}

// recordSuccess notes that a call went well.
func (h *hook) recordSuccess() {
	if h.failureScore = max(0, h.failureScore-successCredit); h.failureScore == 0 {
		h.suspension = 0
	}
}

// recordFailure notes a failure, and suspends the hook after too many.
func (h *hook) recordFailure(p *Policy, weight float64, why string) {
	h.failureScore += weight
	if h.failureScore < suspensionScore || h.set.state == setUnloading {
		h.logLimited(p, why)
		return
	}
	h.suspend(p, why)
}

// suspend leaves the hook out for a span that doubles.
func (h *hook) suspend(p *Policy, why string) {
	h.suspension = min(maxSuspension, max(minSuspension, 2*h.suspension))
	h.suspendedUntil = p.now + h.suspension
	h.Counts.Suspended++
	p.log("hook %s: suspended for %d s: %s", h.Name, (h.suspension+500_000)/1_000_000, why)
	p.armTimer(h.suspendedUntil)
	if h.worker != nil {
		p.killWorker(h.worker)
	}
	h.failQueued(p)
}

// failQueued has on_failure decide for all that waits.
func (h *hook) failQueued(p *Policy) {
	waiting := h.waiting
	h.waiting = nil
	for _, c := range waiting {
		h.Counts.Skipped++
		p.applyFailureMode(c, h)
	}
}

// onTimer looks at what is due.
func (h *hook) onTimer(p *Policy) {
	if h.suspendedUntil > 0 && h.suspendedUntil <= p.now {
		h.suspendedUntil = 0
		h.failureScore = probationScore
		if h.set.state != setUnloading {
			h.startWorker(p)
		}
	}
	if w := h.worker; w != nil && w.deadline > 0 && w.deadline <= p.now {
		why := "its worker did not come up in time"
		if w.loaded {
			why = "its worker was ended: a call went on beyond its budget"
			h.chargeCPU(p.now, h.Time)
		}
		p.workerFailed(w, why)
	}
}

// startWorker starts a worker.
func (h *hook) startWorker(p *Policy) {
	p.lastWorker++
	w := &worker{id: p.lastWorker, hook: h, deadline: p.now + h.LoadTime + startupAllowance}
	h.worker = w
	p.workers[w.id] = w
	p.emit(Action{Kind: StartWorker, Worker: w.id, Set: h.set.number, Hook: h.index})
	p.armTimer(w.deadline)
}

// send sends a call.
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

// resetDeadline sets the deadline for the first call that is out.
func (w *worker) resetDeadline(p *Policy) {
	w.deadlineExtended = false
	if len(w.inFlight) == 0 {
		w.deadline = 0
		return
	}
	span := w.hook.Time
	if w.inFlight[0].data.Point == plugin.Unload {
		span = min(maxUnloadTime, w.hook.LoadTime)
	}
	w.deadline = p.now + span + interruptGrace
	p.armTimer(w.deadline)
}

// workerFailed ends a worker that has failed, and starts another one. The first call that was out is what it failed in; the
// others may have their turn again.
//
// The danger: the verdicts of calls that came after the one that is stuck would be lost with it, and a hook that fails
// in one call of a hundred would spoil all.
func (p *Policy) workerFailed(w *worker, why string) {
	h := w.hook
	out, up := w.inFlight, w.loaded
	w.inFlight = nil
	p.killWorker(w)
	h.Counts.Restarts++
	var again []*call
	for i, c := range out {
		c.sent = false
		switch {
		case i > 0 && c.hook != nil && c.attempts < maxAttempts && c.data.Point != plugin.Unload:
			again = append(again, c)
		case c.hook == nil:
			p.releaseCall(c)
		default:
			if c.isRequest {
				h.Counts.FailedCalls++
			}
			p.applyFailureMode(c, h)
		}
	}
	h.waiting = append(again, h.waiting...)
	switch {
	case h.set.state == setLoading:
		h.set.failLoading(p, h, why)
	case h.set.state == setUnloading:
		h.failQueued(p)
	case !up:
		h.failureScore = suspensionScore
		h.suspend(p, why)
	default:
		h.recordFailure(p, workerLossPenalty, why)
		if h.suspendedUntil == 0 && h.set.state != setUnloading { // its last request may have got its verdict by this
			h.startWorker(p)
		}
	}
	p.releaseRetired()
}

// killWorker ends a worker; what it had is dropped.
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

// logLimited logs a line of the hook, or about it, as far as there is room in the log.
func (h *hook) logLimited(p *Policy, text string) {
	h.logTokens = min(logBurst, h.logTokens+float64(p.now-h.logTokensAt)*logBurst/1e6)
	h.logTokensAt = p.now
	if h.logTokens < 1 {
		h.suppressedLines++
		return
	}
	h.logTokens--
	if h.suppressedLines > 0 {
		p.log("hook %s: %s (and %d lines before it that were too many)", h.Name, text, h.suppressedLines)
		h.suppressedLines = 0
		return
	}
	p.log("hook %s: %s", h.Name, text)
}
