package rules

import "fmt"

// maxAttemptsPerRequest bounds the attempts that are held of one request. The danger: a router that sends one again
// and again would have each compared with all before it.
const maxAttemptsPerRequest = 64

// attempt is one command of a request at a cache.
type attempt struct {
	router               string
	cache                *cache
	process              *cacheProcess
	latestSent           Time // the latest at which its first byte can have been sent
	earliestSent         Time // ... and the earliest; the same where it is known
	firstByte            Time
	replied              bool
	reply                Answer
	value                string
	valueDropped         bool // value was long, and is no longer held
	ended                bool
	endedAt              Time // when it was replied to or its connection ended
	ran                  bool
	outsideDeduplication bool // sent where, or when, nobody drops the repeat any more
}

// wasRejectedBy reports whether the router can have known by t that the attempt will never run. The
// danger: a refusal that is written to a connection that the router has closed tells it nothing.
func (a *attempt) wasRejectedBy(t Time) bool {
	return a.replied && a.reply == Refused && !a.ended && a.endedAt <= t
}

// outAt reports whether the attempt was out on an open connection at t.
func (a *attempt) outAt(t Time) bool {
	if (a.replied || a.ended) && a.endedAt <= t {
		return false
	}
	return !a.process.down || a.process.downAt > t
}

// listing is what a router was last told of a cache: no work from `from` on, up to `to` once that is past.
type listing struct {
	out      bool
	from, to Time
}

func (r *request) dropLongValues() {
	for i := range r.attempts {
		if len(r.attempts[i].value) > maxRetainedValue {
			r.attempts[i].value, r.attempts[i].valueDropped = "", true
		}
	}
}

// Began implements Observer.
func (w *Watcher) Began(now Time, a Attempt) {
	w.advance(now)
	w.counts.Attempts++
	c := w.cache(a.Cache)
	at := attempt{router: a.Router, cache: c, process: c.process, latestSent: a.Sent, earliestSent: a.Sent, firstByte: a.First}
	if a.Sent == 0 || a.Sent >= a.First {
		at.latestSent, at.earliestSent = a.First, a.First-w.settings.MaxTransit
	}
	r := w.requests[a.ID]
	if r != nil {
		// A cache that reads late knows no more than that its bytes came after those before them. Nothing is sent for a
		// request that was not asked yet.
		at.latestSent, at.earliestSent = max(at.latestSent, r.sent.Sent), max(at.earliestSent, r.sent.Sent)
	}
	w.checkDrain(r, a.ID, &at)
	if r == nil {
		w.reportViolation(nil, Violation{Rule: BadCommand, At: now, Request: a.ID, Cache: a.Cache, Router: a.Router,
			Text: "no client has sent this request of late"})
		return
	}
	r.record(historyEvent{at: now, kind: eventAttemptBegan, peer: a.Cache, router: a.Router, sent: at.latestSent})
	if a.Key != r.sent.Key || a.IdemKey != r.sent.IdemKey || a.Class != r.sent.Class {
		w.reportViolation(r, Violation{Rule: BadCommand, At: now, Cache: a.Cache, Router: a.Router,
			Text: "key, class or idempotency key are not as the client sent them"})
	}
	if len(r.attempts) >= maxAttemptsPerRequest {
		w.reportViolation(r, Violation{Rule: TooManyAttempts, At: now, Cache: a.Cache, Router: a.Router,
			Text: fmt.Sprintf("more than %d, whatever is allowed", maxAttemptsPerRequest)})
		return
	}
	r.attempts = append(r.attempts, at)
	w.checkAttempt(r, len(r.attempts)-1, now)
}

// checkDrain finds new work to a cache that drains or is gone, beyond the grace.
func (w *Watcher) checkDrain(r *request, id string, a *attempt) {
	l := w.router(a.router).listed[a.cache.name]
	if l == nil || a.earliestSent <= l.from+w.settings.DrainGrace+w.settings.Slack || !l.out && a.latestSent >= l.to {
		return
	}
	w.reportViolation(r, Violation{Rule: LateDrain, At: a.latestSent, Request: id, Cache: a.cache.name, Router: a.router,
		Text: fmt.Sprintf("sent %s after the router was told", span(a.earliestSent-l.from))})
}

// checkAttempt judges the attempt that has just begun against the request's others and its final answer.
func (w *Watcher) checkAttempt(r *request, latest int, now Time) {
	a := &r.attempts[latest]
	v := Violation{At: a.latestSent, Cache: a.cache.name, Router: a.router}
	if r.state == stateAnswered && a.earliestSent > r.finalAt {
		v.Rule = SentAfterFinal
		v.Text = fmt.Sprintf("sent %s after it was %s", span(a.earliestSent-r.finalAt), r.final)
		w.reportViolation(r, v)
	} else if r.state == stateLeft && a.earliestSent > r.leftAt+clientLeftGrace+w.settings.Slack {
		v.Rule = SentAfterLeft
		v.Text = fmt.Sprintf("sent %s after that", span(a.earliestSent-r.leftAt))
		w.reportViolation(r, v)
	} else if r.state == stateAnswered && r.final == Refused && !r.class.refusable() {
		v.Rule, v.Text = RefusedAfterRun, "an attempt was under way when it was refused"
		w.reportViolation(r, v)
	}
	same := 0
	for i := range r.attempts {
		if r.attempts[i].router == a.router {
			same++
		}
	}
	if w.settings.MaxAttempts > 0 && same > w.settings.MaxAttempts {
		v.Rule, v.Text = TooManyAttempts, fmt.Sprintf("the %dth", same)
		w.reportViolation(r, v)
	}
	resent := false
	for i := range latest {
		// A client that sends a request once more, as its connection's close crossed it, may reach
		// another router, which knows nothing of the first one's attempts.
		if r.attempts[i].router != a.router {
			continue
		}
		earlier, later := i, latest
		if a.latestSent < r.attempts[i].latestSent {
			earlier, later = latest, i // the one that was sent first has come last
		}
		w.scheduleOverlapCheck(r, earlier, later)
		resent = w.checkResent(r, &r.attempts[earlier], &r.attempts[later], resent) || resent
	}
}

// checkResent judges two attempts of a request, one sent after the other. Only one violation is
// reported of one attempt, and said tells that there was one.
func (w *Watcher) checkResent(r *request, earlier, later *attempt, said bool) bool {
	if r.class.Semantics == Idempotent || earlier.wasRejectedBy(later.latestSent) {
		return false
	}
	v := Violation{Rule: NonIdempotentResent, At: later.latestSent, Cache: later.cache.name, Router: later.router,
		Text: "an earlier attempt at " + earlier.cache.name + " may have run"}
	if r.class.Semantics == IdempotentByKey {
		v.Rule = KeyedResent
		after := later.earliestSent - earlier.latestSent
		switch {
		case !sameGroup(r.class.Scope, earlier.cache, later.cache):
			v.Text += ", whose group drops the repeat, and this is another"
		case after > r.class.IdempotencyWindow+w.settings.Slack:
			v.Text += ", sent " + span(after) + " before, longer than the key is known"
		default:
			return false
		}
	}
	later.outsideDeduplication = true
	if !said {
		w.reportViolation(r, v)
	}
	return true
}

// sameGroup reports whether two caches drop each other's repeats.
func sameGroup(scope DeduplicationScope, a, b *cache) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.zone == b.zone
	default:
		return a.cell == b.cell
	}
}

// scheduleOverlapCheck has two attempts looked at once the close of the earlier one must have been seen. The
// danger: a router that closes one connection and sends on another at once is seen to do so by two caches, the
// farther of which hears of the close last.
func (w *Watcher) scheduleOverlapCheck(r *request, earlier, later int) {
	if w.settings.AllowHedging {
		return
	}
	at := r.attempts[later].latestSent + w.settings.MaxTransit + w.settings.Slack
	if r.attempts[earlier].outAt(at) {
		w.pendingChecks.push(pendingCheck{at: at, kind: checkOverlap, request: r, earlier: earlier, later: later})
	}
}

func (w *Watcher) reportOverlap(r *request, earlier, later int, at Time) {
	e, l := &r.attempts[earlier], &r.attempts[later]
	if e.outAt(at) {
		w.reportViolation(r, Violation{Rule: SecondCopy, At: l.latestSent, Cache: l.cache.name, Router: l.router,
			Text: "the attempt at " + e.cache.name + " was still out"})
	}
}

// find returns the request's attempt at a cache that an event is about: the first that fits best.
func (r *request) find(cacheName string, fits func(*attempt) bool) *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.cache.name == cacheName && fits(a) {
			return a
		}
	}
	return nil
}

func isOut(a *attempt) bool     { return !a.replied && !a.ended }
func unreplied(a *attempt) bool { return !a.replied }
func notRun(a *attempt) bool    { return !a.ran }

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
	// Inside its scope and window a repeat is dropped by the caches; the routers may rely on it.
	if r.class.Semantics == IdempotentByKey && !r.anyOutsideDeduplication() {
		w.counts.Undropped++
		return
	}
	w.reportViolation(r, Violation{Rule: RanTwice, At: now, Cache: a.Cache, Router: a.Router,
		Text: fmt.Sprintf("it took place %d times", r.effects)})
}

// anyOutsideDeduplication reports whether an attempt was sent where, or when, its repeat is not dropped. Which of two
// attempts runs first is not the routers' to choose, so any one counts.
func (r *request) anyOutsideDeduplication() bool {
	for i := range r.attempts {
		if r.attempts[i].outsideDeduplication {
			return true
		}
	}
	return false
}

// Replied implements Observer.
func (w *Watcher) Replied(now Time, cacheName, id string, kind Answer, value string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil {
		return
	}
	r.record(historyEvent{at: now, kind: eventCacheReplied, answer: kind, peer: cacheName})
	// What the present process says is not the answer to an attempt at one before.
	here := w.cache(cacheName).process
	a := r.find(cacheName, func(a *attempt) bool { return isOut(a) && a.process == here })
	if a == nil {
		a = r.find(cacheName, unreplied) // written to a connection that is closed by now
	}
	if a == nil {
		w.counts.Strange++
		return
	}
	if !a.ended {
		a.endedAt = now
	}
	a.replied, a.reply, a.value = true, kind, value
}

// Ended implements Observer.
func (w *Watcher) Ended(now Time, cacheName, id string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil {
		return
	}
	r.record(historyEvent{at: now, kind: eventAttemptEnded, peer: cacheName})
	// An attempt at a process before has ended with that process, whatever was seen of its connection.
	here := w.cache(cacheName).process
	a := r.find(cacheName, func(a *attempt) bool { return isOut(a) && a.process == here })
	if a == nil {
		a = r.find(cacheName, isOut)
	}
	if a != nil {
		a.ended, a.endedAt = true, now
	}
}

// Bad implements Observer.
func (w *Watcher) Bad(now Time, cacheName, why string) {
	w.advance(now)
	w.reportViolation(nil, Violation{Rule: BadCommand, At: now, Cache: cacheName, Text: why})
}

// Listed implements Observer.
func (w *Watcher) Listed(now Time, routerName, cacheName string, takesWork bool) {
	w.advance(now)
	listed := w.router(routerName).listed
	l := listed[cacheName]
	switch {
	case !takesWork && l == nil:
		listed[cacheName] = &listing{out: true, from: now}
	case !takesWork && !l.out:
		*l = listing{out: true, from: now}
	case takesWork && l != nil && l.out:
		l.out, l.to = false, now // kept, as what was sent before may come later
	}
}
