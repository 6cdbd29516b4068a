package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// enter checks an event of the loop against the books and books it. It reports whether the module
// is to be told.
func (b *Contract) enter(ev decide.Event) bool {
	repair := len(b.repairs) > 0 && b.repairs[ev]
	if repair {
		delete(b.repairs, ev)
	}
	switch ev := ev.(type) {
	case *decide.EndpointList:
		b.list(ev)
	case *decide.Request:
		b.ring.add(note{at: b.now, what: noteRequest, id: ev.ID})
		if b.requests[ev.ID] != nil {
			b.breach(RequestTwice, ev.ID, "", "the request is open already")
			return false
		}
		b.open(ev)
	case *decide.ResponseStarted:
		return b.started(ev)
	case *decide.AttemptResult:
		return b.outcome(ev, repair)
	case *decide.ClientGone:
		return b.departed(ev, repair)
	case *decide.HealthCheckResult:
		return b.probed(ev, repair)
	case *decide.Timer:
		if !b.timers.take(ev.Token) {
			b.breach(TimerUnset, 0, "", fmt.Sprintf("timer %d is not set, or has fired", ev.Token))
			return false
		}
	}
	return true
}

// list books which caches are listed, just as the module takes it.
func (b *Contract) list(ev *decide.EndpointList) {
	if ev.Kind == decide.FailedUpdate {
		return
	}
	named := make(map[string]bool, len(ev.Endpoints))
	for i := range ev.Endpoints {
		e := &ev.Endpoints[i]
		if e.Status == decide.Removed {
			if c := b.caches[e.ID]; c != nil {
				b.unlist(c)
			}
			continue
		}
		named[e.ID] = true
		if c := b.name(e.ID); !c.listed {
			c.listed = true
			b.ring.add(note{at: b.now, what: noteListed, cache: c.name})
		}
	}
	if ev.Kind == decide.DeltaUpdate {
		return
	}
	for _, name := range b.names() {
		if c := b.caches[name]; !named[name] {
			b.unlist(c)
		}
	}
}

func (b *Contract) unlist(c *cache) {
	if c.listed {
		c.listed, c.ours = false, 0
		c.listing++
		b.ring.add(note{at: b.now, what: noteRemoved, cache: c.name})
	}
	b.drop(c)
}

func (b *Contract) started(ev *decide.ResponseStarted) bool {
	b.ring.add(note{at: b.now, what: noteStarted, id: ev.ID, n: ev.Attempt})
	q := b.requests[ev.ID]
	if q == nil || !q.isOut(ev.Attempt) {
		b.breach(StartedUnknown, ev.ID, "", fmt.Sprintf("attempt %d is not out", ev.Attempt))
		return false
	}
	q.attempts[ev.Attempt].streams = true
	return true
}

// isOut reports whether the loop owes an outcome for an attempt.
func (q *request) isOut(n int) bool {
	return n >= 0 && n < len(q.attempts) && q.attempts[n].out && !q.attempts[n].unsent
}

func (b *Contract) outcome(ev *decide.AttemptResult, repair bool) bool {
	q := b.requests[ev.ID]
	if q == nil || !q.isOut(ev.Attempt) {
		b.ring.add(note{at: b.now, what: noteOutcome, id: ev.ID, n: ev.Attempt, result: ev.Result})
		if repair {
			return false // the missing one has come after all
		}
		kind, text := OutcomeTwice, "attempt %d has had its outcome"
		if ev.ID > b.newest || ev.Attempt < 0 || q != nil && ev.Attempt >= len(q.attempts) {
			kind, text = OutcomeUnknown, "attempt %d was never sent"
		}
		b.breach(kind, ev.ID, "", fmt.Sprintf(text, ev.Attempt))
		return false
	}
	b.ring.add(note{at: b.now, what: noteOutcome, id: ev.ID, n: ev.Attempt, result: ev.Result,
		cache: q.attempts[ev.Attempt].to.name})
	b.end(q, ev.Attempt, ev.Result)
	// Last may come before its Departed does: the loop knew that the client had gone.
	q.over = q.over || ev.Last
	b.balance(q)
	return true
}

func (b *Contract) departed(ev *decide.ClientGone, repair bool) bool {
	b.ring.add(note{at: b.now, what: noteDeparted, id: ev.ID})
	q := b.requests[ev.ID]
	switch {
	case q == nil && ev.ID > b.newest:
		b.breach(DepartedWrong, ev.ID, "", "the request was never asked")
		return false
	case q == nil:
		return true // it crossed the final answer
	case q.departed:
		if !repair {
			b.breach(DepartedWrong, ev.ID, "", "the client has left already")
		}
		return false
	}
	q.over, q.departed = true, true
	b.balance(q)
	return true
}

func (b *Contract) probed(ev *decide.HealthCheckResult, repair bool) bool {
	b.ring.add(note{at: b.now, what: noteProbed, cache: ev.Cache, result: ev.Result})
	c := b.caches[ev.Cache]
	if c == nil || len(c.probes) == 0 {
		if !repair {
			b.breach(ProbedUnknown, 0, ev.Cache, "no probe is out")
		}
		return false
	}
	c.probes = append(c.probes[:0], c.probes[1:]...)
	c.told = max(0, c.told-1)
	b.drop(c)
	return true
}
