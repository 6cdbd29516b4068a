package policy

import (
	"slices"

	"starlingwinch/internal/plugin"
)

// hook is one hook of a set: its queue, its worker and its conduct.
type hook struct {
	Hook
	set    *set
	nr     int
	points plugin.Points // all until the first worker is up
	worker *worker       // nil while it is suspended, or over

	waiting []*call

	score     float64 // of failures
	rest      Time    // span of the last suspension; 0 after good conduct
	restUntil Time    // 0 where it is not suspended
	used      float64 // µs of the core beyond its share
	usedAt    Time
	lines     float64 // that may be logged
	linesAt   Time
	muted     int // lines that were not

	Counts Counts
	tags   map[string]int
}

// worker runs one hook.
type worker struct {
	id       int
	hook     *hook
	up       bool
	out      []*call // sent and not answered, in their order
	deadline Time    // of the first of them, or of the start; 0 for none
	spared   bool    // the deadline was moved once, as the machine stood still
	ending   bool    // Unload was sent
}

// wants reports whether an operator wants it asked for a class.
func (h *hook) wants(class string) bool {
	return len(h.Classes) == 0 || slices.Contains(h.Classes, class)
}

// asked reports whether it judges requests of a class.
func (h *hook) asked(class string) bool { return h.points.Has(plugin.OnRequest) && h.wants(class) }

func (h *hook) load() int {
	n := len(h.waiting)
	if h.worker != nil {
		n += len(h.worker.out)
	}
	return n
}

// available reports whether it takes one more call.
//
// The danger: a queue without a bound holds as many requests as come, while each of them waits for a hook that is stuck.
func (h *hook) available(now Time) bool {
	return h.worker != nil && h.load() < h.Queue && h.hasShare(now)
}

// hasShare reports whether the hook is within its part of the core.
func (h *hook) hasShare(now Time) bool {
	h.used = max(0, h.used-float64(now-h.usedAt)*h.Share)
	h.usedAt = now
	return h.used <= max(burst*h.Share, 3*float64(h.Time))
}

func (h *hook) spend(now, spent Time) {
	h.hasShare(now)
	h.used += float64(spent)
}

// enqueue has a call wait for the hook, or sends it at once.
func (h *hook) enqueue(p *Policy, c *call) {
	c.hook = h
	h.Counts.Asked++
	h.waiting = append(h.waiting, c)
	h.dispatch(p)
}

// dispatch sends what waits, as far as the worker takes it.
func (h *hook) dispatch(p *Policy) {
	w := h.worker
	if w == nil || !w.up || w.ending {
		return
	}
	n := min(len(h.waiting), flight-len(w.out))
	for _, c := range h.waiting[:n] {
		w.send(p, c)
	}
	h.waiting = append(h.waiting[:0], h.waiting[n:]...)
}

// drop takes a call out of the queue. It reports false where the worker has it.
func (h *hook) drop(c *call) bool {
	i := slices.Index(h.waiting, c)
	if i < 0 {
		return false
	}
	h.waiting = slices.Delete(h.waiting, i, i+1)
	return true
}

// good notes that a call went well.
func (h *hook) good() {
	if h.score = max(0, h.score-scoreGood); h.score == 0 {
		h.rest = 0
	}
}

// fail notes a failure, and suspends the hook after too many.
func (h *hook) fail(p *Policy, weight float64, why string) {
	h.score += weight
	if h.score < scoreMost || h.set.state == ending {
		h.line(p, why)
		return
	}
	h.suspend(p, why)
}

// suspend leaves the hook out for a span that doubles.
func (h *hook) suspend(p *Policy, why string) {
	h.rest = min(mostRest, max(firstRest, 2*h.rest))
	h.restUntil = p.clock + h.rest
	h.Counts.Suspended++
	p.log("hook %s: suspended for %d s: %s", h.Name, (h.rest+500_000)/1_000_000, why)
	p.arm(h.restUntil)
	if h.worker != nil {
		p.kill(h.worker)
	}
	h.abandon(p)
}

// abandon has on_failure decide for all that waits.
func (h *hook) abandon(p *Policy) {
	waiting := h.waiting
	h.waiting = nil
	for _, c := range waiting {
		h.Counts.Skipped++
		p.unjudged(c, h)
	}
}

// tick looks at what is due.
func (h *hook) tick(p *Policy) {
	if h.restUntil > 0 && h.restUntil <= p.clock {
		h.restUntil = 0
		h.score = scoreProbing
		if h.set.state != ending {
			h.start(p)
		}
	}
	if w := h.worker; w != nil && w.deadline > 0 && w.deadline <= p.clock {
		why := "its worker did not come up in time"
		if w.up {
			why = "its worker was ended: a call went on beyond its budget"
			h.spend(p.clock, h.Time)
		}
		p.lose(w, why)
	}
}

// start starts a worker.
func (h *hook) start(p *Policy) {
	p.workerIDs++
	w := &worker{id: p.workerIDs, hook: h, deadline: p.clock + h.LoadTime + prepareTime}
	h.worker = w
	p.workers[w.id] = w
	p.do(Action{Do: Start, Worker: w.id, Set: h.set.nr, Hook: h.nr})
	p.arm(w.deadline)
}

// send sends a call.
func (w *worker) send(p *Policy, c *call) {
	p.seq++
	c.seq = p.seq
	c.out = true
	c.tried++
	w.out = append(w.out, c)
	if len(w.out) == 1 {
		w.extend(p)
	}
	p.do(Action{Do: Ask, Worker: w.id, Set: w.hook.set.nr, Hook: w.hook.nr, Seq: c.seq, call: c})
}

// extend sets the deadline for the first call that is out.
func (w *worker) extend(p *Policy) {
	w.spared = false
	if len(w.out) == 0 {
		w.deadline = 0
		return
	}
	span := w.hook.Time
	if w.out[0].data.Point == plugin.Unload {
		span = min(unloadMost, w.hook.LoadTime)
	}
	w.deadline = p.clock + span + grace
	p.arm(w.deadline)
}

// lose ends a worker that has failed, and starts another one. The first call that was out is what it failed in; the
// others may have their turn again.
//
// The danger: the verdicts of calls that came after the one that is stuck would be lost with it, and a hook that fails
// in one call of a hundred would spoil all.
func (p *Policy) lose(w *worker, why string) {
	h := w.hook
	out, up := w.out, w.up
	w.out = nil
	p.kill(w)
	h.Counts.Restarts++
	var again []*call
	for i, c := range out {
		c.out = false
		switch {
		case i > 0 && c.hook != nil && c.tried < tries && c.data.Point != plugin.Unload:
			again = append(again, c)
		case c.hook == nil:
			p.give(c)
		default:
			if c.request {
				h.Counts.Failed++
			}
			p.unjudged(c, h)
		}
	}
	h.waiting = append(again, h.waiting...)
	switch {
	case h.set.state == loading:
		h.set.fail(p, h, why)
	case h.set.state == ending:
		h.abandon(p)
	case !up:
		h.score = scoreMost
		h.suspend(p, why)
	default:
		h.fail(p, scoreLost, why)
		if h.restUntil == 0 && h.set.state != ending { // its last request may have got its verdict by this
			h.start(p)
		}
	}
	p.settle()
}

// kill ends a worker; what it had is dropped.
func (p *Policy) kill(w *worker) {
	if w == nil || p.workers[w.id] == nil {
		return
	}
	delete(p.workers, w.id)
	w.hook.worker = nil
	p.do(Action{Do: Kill, Worker: w.id})
	for _, c := range w.out {
		c.out = false
		if c.hook == nil {
			p.give(c)
			continue
		}
		p.unjudged(c, w.hook)
	}
	w.out = nil
}

// line logs a line of the hook, or about it, as far as there is room in the log.
func (h *hook) line(p *Policy, text string) {
	h.lines = min(linesBurst, h.lines+float64(p.clock-h.linesAt)*linesBurst/1e6)
	h.linesAt = p.clock
	if h.lines < 1 {
		h.muted++
		return
	}
	h.lines--
	if h.muted > 0 {
		p.log("hook %s: %s (and %d lines before it that were too many)", h.Name, text, h.muted)
		h.muted = 0
		return
	}
	p.log("hook %s: %s", h.Name, text)
}
