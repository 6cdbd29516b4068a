package rules

import "fmt"

// Ran implements Observer.
func (w *Watcher) Ran(now Time, a Attempt, repeat bool) {
	w.advance(now)
	r := w.requests[a.ID]
	if r == nil {
		return
	}
	kind := eventRan
	if repeat {
		kind = eventDeduplicated
	}
	r.record(historyEvent{at: now, kind: kind, peer: a.Cache})
	got := r.find(a.Cache, func(x *attempt) bool { return !x.ran && x.firstByte == a.First })
	if got == nil {
		got = r.find(a.Cache, notRun)
	}
	if got != nil {
		got.ran = true
	}
	if repeat || r.class.Semantics == Idempotent {
		return
	}
	r.effects++
	if r.effects < 2 {
		return
	}
	// Routers may rely on caches to drop a repeat inside the deduplication scope and the idempotency window.
	if r.class.Semantics == IdempotentByKey && !r.anyOutsideDeduplication() {
		w.counts.Undropped++
		return
	}
	w.reportViolation(r, Violation{Rule: RanTwice, At: now, Cache: a.Cache, Router: a.Router,
		Text: fmt.Sprintf("the effect took place %d times", r.effects)})
}

// anyOutsideDeduplication reports whether any attempt was sent outside the deduplication scope or the idempotency window.
// Routers cannot choose which of two attempts runs first, so either attempt counts.
func (r *request) anyOutsideDeduplication() bool {
	for i := range r.attempts {
		if r.attempts[i].outsideDeduplication {
			return true
		}
	}
	return false
}

// checkAttempt checks the latest attempt against the request's final answer and its other attempts.
func (w *Watcher) checkAttempt(r *request, latest int) {
	w.checkAttemptAllowed(r, &r.attempts[latest])
	w.checkAttemptCount(r, &r.attempts[latest])
	a := &r.attempts[latest]
	resent := false
	for i := range latest {
		// A client that resends a request, because the close of its connection crossed the request, may reach another router,
		// which knows nothing of the first router's attempts.
		if r.attempts[i].router != a.router {
			continue
		}
		earlier, later := i, latest
		if a.latestSent < r.attempts[i].latestSent {
			earlier, later = latest, i // the attempt that was sent first arrived last
		}
		w.scheduleOverlapCheck(r, earlier, later)
		resent = w.checkResent(r, &r.attempts[earlier], &r.attempts[later], resent) || resent
	}
}

// checkAttemptAllowed reports an attempt that was sent after the end of its request.
func (w *Watcher) checkAttemptAllowed(r *request, a *attempt) {
	v := Violation{At: a.latestSent, Cache: a.cache.name, Router: a.router}
	switch {
	case r.state == stateAnswered && a.earliestSent > r.finalAt:
		v.Rule = SentAfterFinal
		v.Text = fmt.Sprintf("sent %s after the request was %s", span(a.earliestSent-r.finalAt), r.final)
	case r.state == stateLeft && a.earliestSent > r.leftAt+clientLeftGrace+w.settings.Slack:
		v.Rule = SentAfterLeft
		v.Text = fmt.Sprintf("sent %s after the client left", span(a.earliestSent-r.leftAt))
	case r.state == stateAnswered && r.final == Refused && !r.class.allowsRejectAfterRun():
		v.Rule = RefusedAfterRun
		v.Text = "an attempt was in flight when the request was refused"
	default:
		return
	}
	w.reportViolation(r, v)
}

// checkAttemptCount reports an attempt that exceeds the number of attempts that one router may make for a request.
func (w *Watcher) checkAttemptCount(r *request, a *attempt) {
	count := 0
	for i := range r.attempts {
		if r.attempts[i].router == a.router {
			count++
		}
	}
	if w.settings.MaxAttempts > 0 && count > w.settings.MaxAttempts {
		w.reportViolation(r, Violation{Rule: TooManyAttempts, At: a.latestSent, Cache: a.cache.name, Router: a.router,
			Text: fmt.Sprintf("attempt number %d", count)})
	}
}

// checkResent checks two attempts of a request, one sent after the other, and returns whether the later attempt broke a rule.
// At most one violation is reported for an attempt; the argument reported says whether there was one before.
func (w *Watcher) checkResent(r *request, earlier, later *attempt, reported bool) bool {
	if r.class.Semantics == Idempotent || earlier.wasRejectedBy(later.latestSent) {
		return false
	}
	v := Violation{Rule: NonIdempotentResent, At: later.latestSent, Cache: later.cache.name, Router: later.router,
		Text: "an earlier attempt at " + earlier.cache.name + " may have run"}
	if r.class.Semantics == IdempotentByKey {
		v.Rule = KeyedResent
		after := later.earliestSent - earlier.latestSent
		switch {
		case !sameScope(r.class.Scope, earlier.cache, later.cache):
			v.Text += ", and this cache is outside the deduplication scope of that cache"
		case after > r.class.IdempotencyWindow+w.settings.Slack:
			v.Text += ", sent " + span(after) + " before, which is longer than the idempotency window"
		default:
			return false
		}
	}
	later.outsideDeduplication = true
	if !reported {
		w.reportViolation(r, v)
	}
	return true
}

// sameScope reports whether two caches drop each other's repeats.
func sameScope(scope DeduplicationScope, a, b *cache) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.zone == b.zone
	default:
		return a.cell == b.cell
	}
}

// scheduleOverlapCheck schedules a check of two attempts for the instant by which the cache must have seen the close of the
// earlier attempt. When a router closes one connection and sends on another at once, two caches see these events, and the
// more distant cache may see the close only after the other cache has received the later attempt.
func (w *Watcher) scheduleOverlapCheck(r *request, earlier, later int) {
	if w.settings.AllowHedging {
		return
	}
	at := r.attempts[later].latestSent + w.settings.MaxTransit + w.settings.Slack
	if r.attempts[earlier].inFlightAt(at) {
		w.pendingChecks.push(pendingCheck{at: at, kind: checkOverlap, request: r, earlier: earlier, later: later})
	}
}

// reportOverlap reports the later attempt if the earlier attempt was still in flight at the instant at.
func (w *Watcher) reportOverlap(r *request, earlier, later int, at Time) {
	e, l := &r.attempts[earlier], &r.attempts[later]
	if e.inFlightAt(at) {
		w.reportViolation(r, Violation{Rule: SecondCopy, At: l.latestSent, Cache: l.cache.name, Router: l.router,
			Text: "the attempt at " + e.cache.name + " was still in flight"})
	}
}
