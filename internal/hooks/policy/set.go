package policy

import (
	"log/slog"

	"starlingwinch/internal/plugin"
)

// set is one configuration of hooks, from its loading to its unloading.
type set struct {
	Settings
	number       int // by which the caller knows it
	state        setState
	hooks        []*hook
	openRequests int // requests that this set evaluates
}

// setState is where a set is in its life.
type setState uint8

const (
	setLoading   setState = iota // it loads beside the active set
	setServing                   // it is active, or retired with requests open
	setUnloading                 // its workers unload and end
)

// progress is what became of a request that was handed on in its set.
type progress uint8

const (
	advanced progress = iota // a hook has the request, or no further hook evaluates it: then its hook is nil
	rejected                 // a hook that takes no call rejects it, by its FailureMode
)

// Load has a set of hooks load beside the active one, and take over in one step once all of it has loaded. The first set
// takes over at once, and its hooks count as failed until they have loaded. It returns the set's number.
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

// WorkerLoaded takes the news that a worker has loaded its hook, which has these points.
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

// WorkerEnded takes the news that a worker has ended by itself, or could not load its hook.
func (p *Policy) WorkerEnded(now Time, workerID int, cause error) {
	p.now = now
	if w := p.workers[workerID]; w != nil {
		p.workerFailed(w, cause)
	}
}

// isLoaded reports whether each hook has a worker that has loaded it.
func (s *set) isLoaded() bool {
	for _, h := range s.hooks {
		if h.worker == nil || !h.worker.loaded {
			return false
		}
	}
	return true
}

// failLoading gives up a set of which one hook did not load. The active set stays.
func (s *set) failLoading(p *Policy, h *hook, cause error) {
	p.log(slog.LevelError, "hook set not loaded", slog.String("hook", h.Name), slog.Any("cause", cause))
	if p.loading == s {
		p.loading = nil
	}
	p.discard(s)
}

// discard ends a set that never evaluated a request.
func (p *Policy) discard(s *set) {
	s.state = setUnloading
	for _, h := range s.hooks {
		p.killWorker(h.worker)
	}
	p.emit(Action{Kind: ReleaseSet, Set: s.number})
}

// activate has a set take over; nil for none. Requests that are open in the active set finish there.
func (p *Policy) activate(s *set) {
	if p.active != nil {
		p.retiring = append(p.retiring, p.active)
	}
	if s != nil {
		s.state = setServing
	}
	p.active = s
}

// releaseRetired unloads retired sets without open requests and releases those that have unloaded. After Close it reports
// the end of the last one.
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

// unload has the set's workers unload their hooks, and ends those whose hooks do not have the point. No request is open in
// the set, so that the queues hold notifications alone.
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

// hasStopped reports whether no worker of the set is left.
func (s *set) hasStopped() bool {
	for _, h := range s.hooks {
		if h.worker != nil {
			return false
		}
	}
	return true
}

// Close ends all hooks: open requests get the verdicts of their hooks' FailureModes at once, and workers have a short time
// to unload. No request and no set is taken from here on.
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

// advance hands a request to the next hook that evaluates it, from its hookIndex on. Hooks that take no call count by their
// FailureMode.
func (s *set) advance(p *Policy, c *call) progress {
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
