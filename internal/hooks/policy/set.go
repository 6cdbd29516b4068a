package policy

import (
	"log/slog"

	"starlingwinch/internal/plugin"
)

// set is the state of one configuration of hooks, from loading to unloading.
type set struct {
	Settings
	number       int // identifies the set to the caller
	state        setState
	hooks        []*hook
	openRequests int // open requests that this set evaluates
}

// setState is the lifecycle state of a set.
type setState uint8

const (
	setLoading   setState = iota // loading while another set is active
	setServing                   // active, or retired with open requests
	setUnloading                 // its workers unload and exit
)

// advanceResult is the result of set.advance for a request.
type advanceResult uint8

const (
	advanced advanceResult = iota // a hook has accepted the request, or call.hook is nil because no further hook evaluates it
	rejected                      // a hook that accepts no call rejects the request by its FailureMode
)

// Load starts to load a set of hooks, and returns the number of the set. The set replaces the active one in one step after all
// its hooks have loaded. The first set becomes active immediately: requests wait in the queues of its hooks until the hooks
// have loaded, and the FailureMode of a hook applies to requests whose wait ends before.
func (p *Policy) Load(now Time, settings Settings) int {
	p.now = now
	p.lastSet++
	s := &set{Settings: settings, number: p.lastSet}
	if p.closed {
		p.emit(Action{Kind: ReleaseSet, Set: s.number})
		return s.number
	}
	for i, configuration := range settings.Hooks {
		s.hooks = append(s.hooks, newHook(s, i, configuration, now))
	}
	if p.loading != nil {
		p.discard(p.loading)
		p.loading = nil
	}
	switch {
	case len(s.hooks) == 0:
		p.activate(nil)
		p.emit(Action{Kind: ReleaseSet, Set: s.number})
	case p.active == nil:
		p.activate(s)
	default:
		p.loading = s
	}
	for _, h := range s.hooks {
		h.startWorker(p)
	}
	p.releaseRetired()
	return s.number
}

// WorkerLoaded handles the event that a worker has loaded its hook, which has the given points.
func (p *Policy) WorkerLoaded(now Time, workerID int, points plugin.Points) {
	p.now = now
	w := p.workers[workerID]
	if w == nil {
		return
	}
	if w.loaded {
		p.workerFailed(w, ErrLoadedTwice)
		return
	}
	w.loaded = true
	w.deadline = 0
	h := w.hook
	h.points = points
	if h.Points != 0 {
		h.points &= h.Points.With(plugin.Unload)
	}
	if !h.points.Has(plugin.OnRequest) {
		h.passQueuedRequests(p)
	}
	h.dispatch(p)
	if s := h.set; s.state == setLoading && s.isLoaded() {
		p.loading = nil
		p.activate(s)
		p.log(slog.LevelInfo, "hook set loaded", slog.Int("hooks", len(s.hooks)))
	}
	p.releaseRetired()
}

// WorkerEnded handles the event that a worker has exited, could not be used any further, or could not load its hook.
func (p *Policy) WorkerEnded(now Time, workerID int, cause error) {
	p.now = now
	if w := p.workers[workerID]; w != nil {
		p.workerFailed(w, cause)
	}
}

// isLoaded reports whether all hooks of the set have a worker that has loaded them.
func (s *set) isLoaded() bool {
	for _, h := range s.hooks {
		if h.worker == nil || !h.worker.loaded {
			return false
		}
	}
	return true
}

// failLoading discards a set after one of its hooks failed to load. The active set stays.
func (s *set) failLoading(p *Policy, h *hook, cause error) {
	p.log(slog.LevelError, "hook set not loaded", slog.String("hook", h.Name), slog.Any("cause", cause))
	if p.loading == s {
		p.loading = nil
	}
	p.discard(s)
}

// discard kills the workers of a set that has not evaluated any request, and releases the set.
func (p *Policy) discard(s *set) {
	s.state = setUnloading
	for _, h := range s.hooks {
		p.killWorker(h.worker)
	}
	p.emit(Action{Kind: ReleaseSet, Set: s.number})
}

// activate makes a set the active one; nil leaves no active set. The previous set is retired and finishes its open requests.
func (p *Policy) activate(s *set) {
	if p.active != nil {
		p.retiring = append(p.retiring, p.active)
	}
	if s != nil {
		s.state = setServing
	}
	p.active = s
}

// releaseRetired unloads retired sets without open requests, and releases sets that have unloaded. After Close, it emits
// FinishClose once no set and no worker is left.
func (p *Policy) releaseRetired() {
	remaining := p.retiring[:0]
	for _, s := range p.retiring {
		if s.openRequests == 0 && s.state != setUnloading {
			s.unload(p)
		}
		if s.state == setUnloading && s.hasStopped() {
			p.emit(Action{Kind: ReleaseSet, Set: s.number})
			continue
		}
		remaining = append(remaining, s)
	}
	clear(p.retiring[len(remaining):])
	p.retiring = remaining
	if p.closed && !p.closeReported && len(p.workers) == 0 && len(p.retiring) == 0 {
		p.closeReported = true
		p.emit(Action{Kind: FinishClose})
	}
}

// unload sends Unload to the workers of the set, and kills workers whose hooks do not have that point or are not loaded. The
// set has no open requests, so the queues hold only notifications, which are dropped.
func (s *set) unload(p *Policy) {
	s.state = setUnloading
	for _, h := range s.hooks {
		h.suspension.until = 0
		for _, c := range h.queue {
			p.releaseCall(c)
		}
		h.queue = nil
		w := h.worker
		if w == nil {
			continue
		}
		if !w.loaded || !h.points.Has(plugin.Unload) {
			p.killWorker(w)
			continue
		}
		w.unloading = true
		c := p.newCall()
		c.hook = h
		c.data.Point = plugin.Unload
		w.send(p, c)
	}
}

// hasStopped reports whether the set has no workers left.
func (s *set) hasStopped() bool {
	for _, h := range s.hooks {
		if h.worker != nil {
			return false
		}
	}
	return true
}

// Close stops all hooks. Open requests immediately receive verdicts according to the FailureModes of their hooks, and workers
// have a short time to unload. After Close, no request and no set is accepted.
func (p *Policy) Close(now Time) {
	if p.closed {
		return
	}
	p.now = now
	p.closed = true
	for p.oldest != nil {
		p.expire(p.oldest)
	}
	if p.loading != nil {
		p.discard(p.loading)
		p.loading = nil
	}
	p.activate(nil)
	p.releaseRetired()
}

// advance passes a request to the next hook that evaluates it, starting with hookIndex. The FailureMode applies for each hook
// that accepts no call.
func (s *set) advance(p *Policy, c *call) advanceResult {
	for ; c.hookIndex < len(s.hooks); c.hookIndex++ {
		h := s.hooks[c.hookIndex]
		if !h.evaluatesClass(c.data.Class) {
			continue
		}
		if h.acceptsCall(p.now) {
			c.attempts = 0
			h.enqueue(p, c)
			return advanced
		}
		h.counts.Skipped++
		if h.OnFailure == RejectOnFailure {
			c.reject(h)
			return rejected
		}
	}
	return advanced
}
