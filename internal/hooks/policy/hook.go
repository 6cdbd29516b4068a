package policy

import (
	"log/slog"
	"slices"
	"time"

	"starlingwinch/internal/plugin"
)

// hook is one hook of a set: its queue, its worker and the rules that bound it.
type hook struct {
	Hook
	set    *set
	index  int           // its place in the set
	points plugin.Points // the points that it is called at; all until its first worker has loaded it
	worker *worker       // nil while it is suspended, and once its set has ended
	queue  []*call       // calls that no worker has yet, the oldest first

	suspension suspension
	cpu        cpuQuota
	logLimiter logLimiter

	counts Counts
	tags   map[string]int // how often it named each tag
}

// newHook returns a hook without a worker.
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

// handlesClass reports whether the operator has it called for a class.
func (h *hook) handlesClass(class string) bool {
	return len(h.Classes) == 0 || slices.Contains(h.Classes, class)
}

// evaluatesClass reports whether it evaluates requests of a class.
func (h *hook) evaluatesClass(class string) bool {
	return h.points.Has(plugin.OnRequest) && h.handlesClass(class)
}

// wantsNotification reports whether it is called at a point without a verdict.
func (h *hook) wantsNotification(data *plugin.Call) bool {
	if !h.points.Has(data.Point) {
		return false
	}
	return data.Point != plugin.Answered || h.handlesClass(data.Class)
}

// pendingCalls returns how many calls are queued or in flight.
func (h *hook) pendingCalls() int {
	n := len(h.queue)
	if h.worker != nil {
		n += len(h.worker.inFlight)
	}
	return n
}

// acceptsCall reports whether it takes one more call. The queue is bounded, as each request in it would wait for a hook that
// is stuck.
func (h *hook) acceptsCall(now Time) bool {
	return h.worker != nil && h.pendingCalls() < h.Queue && h.cpu.allowsCall(now)
}

// acceptsNotification reports whether it takes one more notification. Half of the queue is reserved for requests.
func (h *hook) acceptsNotification(now Time) bool {
	return h.acceptsCall(now) && h.pendingCalls() < max(1, h.Queue/2)
}

// enqueue has a call wait for the worker, or sends it at once.
func (h *hook) enqueue(p *Policy, c *call) {
	c.hook = h
	h.counts.Calls++
	h.queue = append(h.queue, c)
	h.dispatch(p)
}

// dispatch sends queued calls, as far as the worker takes them.
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

// removeQueued takes a call out of the queue. It reports false where the worker has it.
func (h *hook) removeQueued(c *call) bool {
	i := slices.Index(h.queue, c)
	if i < 0 {
		return false
	}
	h.queue = slices.Delete(h.queue, i, i+1)
	return true
}

// failQueued ends what is queued without a verdict of this hook.
func (h *hook) failQueued(p *Policy) {
	queue := h.queue
	h.queue = nil
	for _, c := range queue {
		h.counts.Skipped++
		p.applyFailureMode(c, h)
	}
}

// passQueuedRequests hands requests that wait for this hook on to the next one, where the hook turns out not to have the
// point OnRequest.
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

// recordFailure notes a failure, and suspends the hook after too many. A hook whose set is unloading is only logged.
func (h *hook) recordFailure(p *Policy, weight float64, cause error) {
	tooMany := h.suspension.recordFailure(weight)
	if !tooMany || h.set.state == setUnloading {
		h.log(p, slog.LevelWarn, "hook failed", slog.Any("cause", cause))
		return
	}
	h.suspend(p, cause)
}

// suspend ends the hook's worker and leaves the hook out for a while.
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

// onTimer ends a suspension, or a worker whose deadline has passed.
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
	h.cpu.charge(p.now, h.Time)
	p.workerFailed(w, ErrCallTimeout)
}

// log logs a line of the hook, or about it, as far as its rate allows. The line says how many before it were suppressed.
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
