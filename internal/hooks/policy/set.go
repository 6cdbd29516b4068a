package policy

import "starlingwinch/internal/plugin"

// set is one configuration of hooks.
type set struct {
	Settings
	number       int
	state        setState
	hooks        []*hook
	openRequests int // requests that are in it
}

type setState uint8

const (
	setLoading setState = iota // beside the present one
	setServing
	setUnloading // its workers unload
)

// progress is where a request has got to in its set.
type progress uint8

const (
	advanced progress = iota // a hook has it, or none wants it any more (its hook is nil)
	rejected                 // by on_failure
)

// Load has a set of hooks load beside the present one, and take over in one step once all of it is up. The first set takes
// over at once, with its hooks out until they are up. It gives the set's number.
func (p *Policy) Load(now Time, settings Settings) int {
	p.now = now
	p.lastSet++
	s := &set{Settings: settings, number: p.lastSet}
	if p.closed {
		p.emit(Action{Kind: ReleaseSet, Set: s.number})
		return s.number
	}
	for i, cfg := range settings.Hooks {
		h := &hook{Hook: cfg, set: s, index: i, points: ^plugin.Points(0), cpuDebtAt: now, logTokens: logBurst, logTokensAt: now,
			tags: map[string]int{}}
		s.hooks = append(s.hooks, h)
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

// WorkerLoaded says that a worker has loaded its hook, which wants to be asked at these points.
func (p *Policy) WorkerLoaded(now Time, id int, points plugin.Points) {
	p.now = now
	w := p.workers[id]
	if w == nil {
		return
	}
	if w.loaded {
		p.workerFailed(w, "its worker came up twice")
		return
	}
	w.loaded = true
	w.deadline = 0
	h := w.hook
	h.points = points
	if h.Points != 0 {
		h.points &= h.Points.With(plugin.Unload)
	}
	points = h.points
	if !points.Has(plugin.OnRequest) {
		h.passQueuedRequests(p)
	}
	h.dispatch(p)
	if s := h.set; s.state == setLoading && s.isLoaded() {
		p.loading = nil
		p.activate(s)
		p.log("hooks: the new set is in place (%d of them)", len(s.hooks))
	}
	p.releaseRetired()
}

// passQueuedRequests passes what waits for a verdict of a hook that turns out to give none.
func (h *hook) passQueuedRequests(p *Policy) {
	waiting := h.waiting
	h.waiting = nil
	for _, c := range waiting {
		if !c.isRequest {
			h.waiting = append(h.waiting, c)
			continue
		}
		c.hook = nil
		c.hookIndex++
		p.continueRequest(c)
	}
}

// WorkerEnded says that a worker has ended by itself, or refused its hook, for this reason.
func (p *Policy) WorkerEnded(now Time, id int, why string) {
	p.now = now
	if w := p.workers[id]; w != nil {
		p.workerFailed(w, why)
	}
}

func (s *set) isLoaded() bool {
	for _, h := range s.hooks {
		if h.worker == nil || !h.worker.loaded {
			return false
		}
	}
	return true
}

// failLoading gives a set up that was to take over.
func (s *set) failLoading(p *Policy, h *hook, why string) {
	p.log("hook %s: %s; the hooks before stay", h.Name, why)
	if p.loading == s {
		p.loading = nil
	}
	p.discard(s)
}

// discard ends a set that nobody was ever in.
func (p *Policy) discard(s *set) {
	s.state = setUnloading
	for _, h := range s.hooks {
		p.killWorker(h.worker)
	}
	p.emit(Action{Kind: ReleaseSet, Set: s.number})
}

// activate has a set take over. Requests that are in the present one finish there.
func (p *Policy) activate(s *set) {
	if p.active != nil {
		p.retiring = append(p.retiring, p.active)
	}
	if s != nil {
		s.state = setServing
	}
	p.active = s
}

// releaseRetired ends old sets in which no request is left, and tells the end of all.
func (p *Policy) releaseRetired() {
	kept := p.retiring[:0]
	for _, s := range p.retiring {
		if s.openRequests == 0 && s.state != setUnloading {
			s.unload(p)
		}
		if s.state == setUnloading && s.hasStopped() {
			p.emit(Action{Kind: ReleaseSet, Set: s.number})
			continue
		}
		kept = append(kept, s)
	}
	clear(p.retiring[len(kept):])
	p.retiring = kept
	if p.closed && !p.closeReported && len(p.workers) == 0 && len(p.retiring) == 0 {
		p.closeReported = true
		p.emit(Action{Kind: FinishClose})
	}
}

// unload has the set's workers unload.
func (s *set) unload(p *Policy) {
	s.state = setUnloading
	for _, h := range s.hooks {
		h.suspendedUntil = 0
		for _, c := range h.waiting {
			p.releaseCall(c) // looks: no request is in the set
		}
		h.waiting = nil
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

func (s *set) hasStopped() bool {
	for _, h := range s.hooks {
		if h.worker != nil {
			return false
		}
	}
	return true
}

// Close ends all: requests that wait are decided by on_failure at once, and workers have a short time to unload.
// Nothing is taken any more.
func (p *Policy) Close(now Time) {
	if p.closed {
		return
	}
	p.now = now
	p.closed = true
	for c := p.oldest; c != nil; c = p.oldest {
		p.expire(c)
	}
	if p.loading != nil {
		p.discard(p.loading)
		p.loading = nil
	}
	p.activate(nil)
	p.releaseRetired()
}

// advance has a request asked by the next hook that wants it, from where it is on.
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
		h.Counts.Skipped++
		if h.OnFailure == RejectOnFailure {
			p.reject(c, h)
			return rejected
		}
	}
	return advanced
}
