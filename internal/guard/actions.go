package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// allowed books what the module asks for and returns what the loop is to carry out.
func (b *Contract) allowed(actions []decide.Action) []decide.Action {
	for i, a := range actions {
		if b.allow(a) {
			continue
		}
		kept := append([]decide.Action(nil), actions[:i]...)
		for _, a := range actions[i+1:] {
			if b.allow(a) {
				kept = append(kept, a)
			}
		}
		return kept
	}
	return actions
}

// allow books one action. It reports whether the loop is to carry it out.
func (b *Contract) allow(a decide.Action) bool {
	switch a := a.(type) {
	case decide.Send:
		return b.send(a)
	case decide.Cancel:
		return b.cancel(a)
	case decide.Reject:
		return b.answer(a.ID, noteRefuse)
	case decide.Fail:
		return b.answer(a.ID, noteFail)
	case decide.SetTimer:
		if !b.timers.set(a.Token) {
			b.breach(TimerReused, 0, "", fmt.Sprintf("timer %d is set already", a.Token))
			return false
		}
	case decide.CancelTimer:
		if !b.timers.take(a.Token) {
			b.breach(DropUnset, 0, "", fmt.Sprintf("timer %d, which is taken back, is not set", a.Token))
			return false
		}
	case decide.HealthCheck:
		return b.probe(a)
	case decide.CloseIdle:
		b.ring.add(note{at: b.now, what: noteClose, cache: a.Cache})
		if c := b.caches[a.Cache]; c == nil || !c.listed {
			b.breach(CloseUnlisted, 0, a.Cache, "the cache is not listed")
			return false
		}
	}
	return true
}

func (b *Contract) send(a decide.Send) bool {
	q := b.requests[a.ID]
	if q == nil {
		b.ring.add(note{at: b.now, what: noteSend, id: a.ID, cache: a.Cache})
		b.breach(SendOver, a.ID, a.Cache, "a send for a request that is over or was never asked")
		b.owed = append(b.owed, owed{a.ID, b.nextOfClosed(a.ID)})
		return false
	}
	b.ring.add(note{at: b.now, what: noteSend, id: a.ID, n: len(q.attempts), cache: a.Cache})
	c := b.name(a.Cache)
	if !c.listed {
		// It goes out all the same: the loop knows that the cache is gone and says NotSent. The danger: kept
		// from the loop, it would leave the loop one behind in numbering this request's attempts.
		b.breach(SendUnlisted, a.ID, a.Cache, "a send to a cache that is not listed")
	}
	stop := q.deadline
	if a.AttemptDeadline > 0 {
		stop = min(stop, a.AttemptDeadline)
	}
	q.attempts = append(q.attempts, attempt{to: c, listing: c.listing, sent: b.now, stopAt: stop, out: true,
		unsent: q.over})
	q.out++
	c.ours++
	if q.over { // the loop sends nothing more for it, so that its numbering does not matter
		b.breach(SendOver, a.ID, a.Cache, "a send for a request that is over")
		b.owed = append(b.owed, owed{a.ID, len(q.attempts) - 1})
		return false
	}
	c.out++
	return true
}

// nextOfClosed is the number that the module gives its next attempt for a request that the books
// have let go of.
func (b *Contract) nextOfClosed(id int64) int {
	for i := range b.closed {
		if c := &b.closed[i]; c.id == id && c.attempts > 0 {
			c.attempts++
			return c.attempts - 1
		}
	}
	b.lastOver = (b.lastOver + 1) % closedKept
	b.closed[b.lastOver] = closedRequest{id, 1}
	return 0
}

// settle books the outcome of an attempt that was not let out and returns it.
func (b *Contract) settle(o owed) decide.Event {
	last := true
	if q := b.requests[o.id]; q != nil && o.attempt < len(q.attempts) && q.attempts[o.attempt].unsent {
		b.end(q, o.attempt, decide.NotSent)
		last = q.over
		b.balance(q)
	}
	return &decide.AttemptResult{ID: o.id, Attempt: o.attempt, Result: decide.NotSent, Last: last,
		Load: decide.LoadReport{Utilization: -1}}
}

func (b *Contract) cancel(a decide.Cancel) bool {
	b.ring.add(note{at: b.now, what: noteCancel, id: a.ID, n: a.Attempt})
	q := b.requests[a.ID]
	if q == nil || a.Attempt < 0 || a.Attempt >= len(q.attempts) || !q.attempts[a.Attempt].out {
		b.breach(CancelUnknown, a.ID, "", fmt.Sprintf("a cancel of attempt %d, which is not out", a.Attempt))
		return false
	}
	return !q.attempts[a.Attempt].unsent
}

func (b *Contract) answer(id int64, what noteKind) bool {
	b.ring.add(note{at: b.now, what: what, id: id})
	q := b.requests[id]
	if q == nil || q.over {
		b.breach(AnswerOver, id, "", "a final answer to a request that is over or was never asked")
		return false
	}
	q.over = true
	b.balance(q)
	return true
}

func (b *Contract) probe(a decide.HealthCheck) bool {
	b.ring.add(note{at: b.now, what: noteProbe, cache: a.Cache})
	c := b.caches[a.Cache]
	if c == nil || !c.listed {
		b.breach(ProbeUnlisted, 0, a.Cache, "a probe of a cache that is not listed")
		return false
	}
	c.probes = append(c.probes, b.now)
	return true
}
