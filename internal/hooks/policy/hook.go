package policy

import (
	"log/slog"
	"slices"
	"time"

	"starlingwinch/internal/plugin"
)

// hook is the state of one hook of a set: its queue, its worker and its limits.
type hook struct {
	Hook
	set    *set
	index  int           // index in the set
	points plugin.Points // points at which the hook is called; all points until its first worker has loaded it
	worker *worker       // nil while the hook is suspended, and after its worker was killed for good
	queue  []*call       // calls that are not sent to a worker yet, oldest first

	suspension suspension
	cpu        cpuQuota
	logLimiter logLimiter

	counts Counts
	tags   map[string]int // number of uses of each tag
}

// newHook returns a hook that has no worker yet.
func newHook(s *set, index int, configuration Hook, now Time) *hook {
	return &hook{
		Hook:       configuration,
		set:        s,
		index:      index,
		points:     ^plugin.Points(0),
		cpu:        newCPUQuota(configuration, now),
		logLimiter: newLogLimiter(now),
		tags:       map[string]int{},
	}
}

// handlesClass reports whether the hook is configured for a class.
func (h *hook) handlesClass(class string) bool {
	return len(h.Classes) == 0 || slices.Contains(h.Classes, class)
}

// evaluatesClass reports whether the hook evaluates requests of a class.
func (h *hook) evaluatesClass(class string) bool {
	return h.points.Has(plugin.OnRequest) && h.handlesClass(class)
}

// wantsNotification reports whether the hook receives a notification, which is a call without a verdict.
func (h *hook) wantsNotification(data *plugin.Call) bool {
	if !h.points.Has(data.Point) {
		return false
	}
	return data.Point != plugin.Answered || h.handlesClass(data.Class)
}

// pendingCalls returns the number of calls that are queued or in flight.
func (h *hook) pendingCalls() int {
	n := len(h.queue)
	if h.worker != nil {
		n += len(h.worker.inFlight)
	}
	return n
}

// acceptsCall reports whether the hook accepts another call. The queue is bounded, because every queued request would wait for a
// hook that is stuck.
func (h *hook) acceptsCall(now Time) bool {
	return h.worker != nil && h.pendingCalls() < h.Queue && h.cpu.allowsCall(now)
}

// acceptsNotification reports whether the hook accepts another notification. Half of the queue is reserved for requests.
func (h *hook) acceptsNotification(now Time) bool {
	return h.acceptsCall(now) && h.pendingCalls() < max(1, h.Queue/2)
}

// enqueue adds a call to the queue, and sends it immediately if the worker has capacity.
func (h *hook) enqueue(p *Policy, c *call) {
	c.hook = h
	h.counts.Calls++
	h.queue = append(h.queue, c)
	h.dispatch(p)
}

// dispatch sends queued calls to the worker, up to maxInFlight calls in flight.
func (h *hook) dispatch(p *Policy) {
	w := h.worker
	if w == nil || !w.loaded || w.unloading {
		return
	}
	n := min(len(h.queue), maxInFlight-len(w.inFlight))
	for _, c := range h.queue[:n] {
		w.send(p, c)
	}
	h.queue = append(h.queue[:0], h.queue[n:]...)
}

// removeQueued removes a call from the queue. It reports false if the call is not queued because it is in flight at the worker.
func (h *hook) removeQueued(c *call) bool {
	i := slices.Index(h.queue, c)
	if i < 0 {
		return false
	}
	h.queue = slices.Delete(h.queue, i, i+1)
	return true
}

// failQueued removes all queued calls. The FailureMode of the hook applies to the requests; notifications are dropped.
func (h *hook) failQueued(p *Policy) {
	queue := h.queue
	h.queue = nil
	for _, c := range queue {
		h.counts.Skipped++
		p.applyFailureMode(c, h)
	}
}

// passQueuedRequests moves queued requests to the next hook. It is called if the loaded hook does not have the point OnRequest.
func (h *hook) passQueuedRequests(p *Policy) {
	queue := h.queue
	h.queue = nil
	for _, c := range queue {
		if !c.isRequest {
			h.queue = append(h.queue, c)
			continue
		}
		c.hook = nil
		c.hookIndex++
		p.continueRequest(c)
	}
}

// recordFailure records a failure and suspends the hook after too many failures. If the set is unloading, the failure is only
// logged.
func (h *hook) recordFailure(p *Policy, weight float64, cause error) {
	tooMany := h.suspension.recordFailure(weight)
	if !tooMany || h.set.state == setUnloading {
		h.log(p, slog.LevelWarn, "hook failed", slog.Any("cause", cause))
		return
	}
	h.suspend(p, cause)
}

// suspend kills the worker of the hook and starts a suspension, during which the hook accepts no calls.
func (h *hook) suspend(p *Policy, cause error) {
	h.suspension.start(p.now)
	h.counts.Suspended++
	p.log(slog.LevelWarn, "hook suspended", slog.String("hook", h.Name),
		slog.Duration("suspended_for", time.Duration(h.suspension.span)*time.Microsecond), slog.Any("cause", cause))
	p.armTimer(h.suspension.until)
	if h.worker != nil {
		p.killWorker(h.worker)
	}
	h.failQueued(p)
}

// onTimer ends a suspension that is due, and handles the failure of a worker whose deadline has passed.
func (h *hook) onTimer(p *Policy) {
	if h.suspension.endIfDue(p.now) && h.set.state != setUnloading {
		h.startWorker(p)
	}
	w := h.worker
	if w == nil || w.deadline == 0 || w.deadline > p.now {
		return
	}
	if !w.loaded {
		p.workerFailed(w, ErrLoadTimeout)
		return
	}
	h.cpu.charge(p.now, h.Time) // the worker reports no run time for the call that it is killed in, so the whole budget is charged
	p.workerFailed(w, ErrCallTimeout)
}

// log logs a line from or about the hook, subject to its rate limit. The line holds the number of lines that were suppressed
// since the last logged line.
func (h *hook) log(p *Policy, level slog.Level, message string, detail slog.Attr) {
	suppressed, ok := h.logLimiter.take(p.now)
	if !ok {
		return
	}
	attrs := []slog.Attr{slog.String("hook", h.Name), detail}
	if suppressed > 0 {
		attrs = append(attrs, slog.Int("suppressed", suppressed))
	}
	p.log(level, message, attrs...)
}
