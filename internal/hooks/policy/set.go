package policy

import "starlingwinch/internal/plugin"

// set is one configuration of hooks.
type set struct {
	Settings
	nr    int
	state state
	hooks []*hook
	open  int // requests that are in it
}

type state uint8

const (
	loading state = iota // beside the present one
	serving
	ending // its workers unload
)

// outcome is where a request has got to in its set.
type outcome uint8

const (
	passed  outcome = iota // a hook has it, or none wants it any more (its hook is nil)
	refused                // by on_failure
)

// Load has a set of hooks load beside the present one, and take over in one step once all of it is up. The first set takes
// over at once, with its hooks out until they are up. It gives the set's number.
func (p *Policy) Load(now Time, settings Settings) int {
	p.clock = now
	p.sets++
	s := &set{Settings: settings, nr: p.sets}
	if p.closed {
		p.do(Action{Do: Dropped, Set: s.nr})
		return s.nr
	}
	for i, cfg := range settings.Hooks {
		h := &hook{Hook: cfg, set: s, nr: i, points: ^plugin.Points(0), usedAt: now, lines: linesBurst, linesAt: now,
			tags: map[string]int{}}
		s.hooks = append(s.hooks, h)
	}
	if p.next != nil {
		p.discard(p.next)
		p.next = nil
	}
	switch {
	case len(s.hooks) == 0:
		p.swap(nil)
		p.do(Action{Do: Dropped, Set: s.nr})
	case p.present == nil:
		p.swap(s)
	default:
		p.next = s
	}
	for _, h := range s.hooks {
		h.start(p)
	}
	p.settle()
	return s.nr
}

// Up says that a worker has loaded its hook, which wants to be asked at these points.
func (p *Policy) Up(now Time, id int, points plugin.Points) {
	p.clock = now
	w := p.workers[id]
	if w == nil {
		return
	}
	if w.up {
		p.lose(w, "its worker came up twice")
		return
	}
	w.up = true
	w.deadline = 0
	h := w.hook
	h.points = points
	if h.Points != 0 {
		h.points &= h.Points.With(plugin.Unload)
	}
	points = h.points
	if !points.Has(plugin.OnRequest) {
		h.abandonRequests(p)
	}
	h.dispatch(p)
	if s := h.set; s.state == loading && s.isUp() {
		p.next = nil
		p.swap(s)
		p.log("hooks: the new set is in place (%d of them)", len(s.hooks))
	}
	p.settle()
}

// abandonRequests passes what waits for a verdict of a hook that turns out to give none.
func (h *hook) abandonRequests(p *Policy) {
	waiting := h.waiting
	h.waiting = nil
	for _, c := range waiting {
		if !c.request {
			h.waiting = append(h.waiting, c)
			continue
		}
		c.hook = nil
		c.at++
		p.goOn(c)
	}
}

// Ended says that a worker has ended by itself, or refused its hook, for this reason.
func (p *Policy) Ended(now Time, id int, why string) {
	p.clock = now
	if w := p.workers[id]; w != nil {
		p.lose(w, why)
	}
}

func (s *set) isUp() bool {
	for _, h := range s.hooks {
		if h.worker == nil || !h.worker.up {
			return false
		}
	}
	return true
}

// fail gives a set up that was to take over.
func (s *set) fail(p *Policy, h *hook, why string) {
	p.log("hook %s: %s; the hooks before stay", h.Name, why)
	if p.next == s {
		p.next = nil
	}
	p.discard(s)
}

// discard ends a set that nobody was ever in.
func (p *Policy) discard(s *set) {
	s.state = ending
	for _, h := range s.hooks {
		p.kill(h.worker)
	}
	p.do(Action{Do: Dropped, Set: s.nr})
}

// swap has a set take over. Requests that are in the present one finish there.
func (p *Policy) swap(s *set) {
	if p.present != nil {
		p.old = append(p.old, p.present)
	}
	if s != nil {
		s.state = serving
	}
	p.present = s
}

// settle ends old sets in which no request is left, and tells the end of all.
func (p *Policy) settle() {
	kept := p.old[:0]
	for _, s := range p.old {
		if s.open == 0 && s.state != ending {
			s.end(p)
		}
		if s.state == ending && s.over() {
			p.do(Action{Do: Dropped, Set: s.nr})
			continue
		}
		kept = append(kept, s)
	}
	clear(p.old[len(kept):])
	p.old = kept
	if p.closed && !p.told && len(p.workers) == 0 && len(p.old) == 0 {
		p.told = true
		p.do(Action{Do: Closed})
	}
}

// end has the set's workers unload.
func (s *set) end(p *Policy) {
	s.state = ending
	for _, h := range s.hooks {
		h.restUntil = 0
		for _, c := range h.waiting {
			p.give(c) // looks: no request is in the set
		}
		h.waiting = nil
		w := h.worker
		if w == nil {
			continue
		}
		if !w.up || !h.points.Has(plugin.Unload) {
			p.kill(w)
			continue
		}
		w.ending = true
		c := p.take()
		c.hook = h
		c.data.Point = plugin.Unload
		w.send(p, c)
	}
}

func (s *set) over() bool {
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
	p.clock = now
	p.closed = true
	for c := p.first; c != nil; c = p.first {
		p.late(c)
	}
	if p.next != nil {
		p.discard(p.next)
		p.next = nil
	}
	p.swap(nil)
	p.settle()
}

// advance has a request asked by the next hook that wants it, from where it is on.
func (s *set) advance(p *Policy, c *call) outcome {
	for ; c.at < len(s.hooks); c.at++ {
		h := s.hooks[c.at]
		if !h.asked(c.data.Class) {
			continue
		}
		if h.available(p.clock) {
			c.tried = 0
			h.enqueue(p, c)
			return passed
		}
		h.Counts.Skipped++
		if h.OnFailure == RefuseOn {
			p.refuse(c, h)
			return refused
		}
	}
	return passed
}
