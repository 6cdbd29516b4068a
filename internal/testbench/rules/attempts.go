package rules

import "fmt"

// mostAttempts bounds the attempts that are held of one request. The danger: a router that sends one again
// and again would have each compared with all before it.
const mostAttempts = 64

// attempt is one command of a request at a cache.
type attempt struct {
	router   string
	cache    *cache
	life     *cacheLife
	sent     Time // the latest at which its first byte can have been sent
	earliest Time // ... and the earliest; the same where it is known
	first    Time
	replied  bool
	reply    Answer
	value    string
	dropped  bool // value was long, and is no longer held
	ended    bool
	over     Time // when it was replied to or its connection ended
	ran      bool
	beyond   bool // sent where, or when, nobody drops the repeat any more
}

// turnedAway reports whether the router can have known by t that the attempt will never run. The
// danger: a refusal that is written to a connection that the router has closed tells it nothing.
func (a *attempt) turnedAway(t Time) bool {
	return a.replied && a.reply == Refused && !a.ended && a.over <= t
}

// outAt reports whether the attempt was out on an open connection at t.
func (a *attempt) outAt(t Time) bool {
	if (a.replied || a.ended) && a.over <= t {
		return false
	}
	return !a.life.down || a.life.downAt > t
}

// listing is what a router was last told of a cache: no work from `from` on, up to `to` once that is past.
type listing struct {
	out      bool
	from, to Time
}

func (r *request) dropLongValues() {
	for i := range r.attempts {
		if len(r.attempts[i].value) > longestKept {
			r.attempts[i].value, r.attempts[i].dropped = "", true
		}
	}
}

// Began implements Observer.
func (w *Watcher) Began(now Time, a Attempt) {
	w.advance(now)
	w.counts.Attempts++
	c := w.cache(a.Cache)
	at := attempt{router: a.Router, cache: c, life: c.life, sent: a.Sent, earliest: a.Sent, first: a.First}
	if a.Sent == 0 || a.Sent >= a.First {
		at.sent, at.earliest = a.First, a.First-w.set.Flight
	}
	r := w.requests[a.ID]
	if r != nil {
		// A cache that reads late knows no more than that its bytes came after those before them. Nothing is sent for a
		// request that was not asked yet.
		at.sent, at.earliest = max(at.sent, r.ask.Sent), max(at.earliest, r.ask.Sent)
	}
	w.checkDrain(r, a.ID, &at)
	if r == nil {
		w.violate(nil, Violation{Rule: BadCommand, At: now, Request: a.ID, Cache: a.Cache, Router: a.Router,
			Text: "no client has sent this request of late"})
		return
	}
	r.note(moment{at: now, kind: hasBegun, who: a.Cache, router: a.Router, sent: at.sent})
	if a.Key != r.ask.Key || a.IdemKey != r.ask.IdemKey || a.Class != r.ask.Class {
		w.violate(r, Violation{Rule: BadCommand, At: now, Cache: a.Cache, Router: a.Router,
			Text: "key, class or idempotency key are not as the client sent them"})
	}
	if len(r.attempts) >= mostAttempts {
		w.violate(r, Violation{Rule: TooManyAttempts, At: now, Cache: a.Cache, Router: a.Router,
			Text: fmt.Sprintf("more than %d, whatever is allowed", mostAttempts)})
		return
	}
	r.attempts = append(r.attempts, at)
	w.checkAttempt(r, len(r.attempts)-1, now)
}

// checkDrain finds new work to a cache that drains or is gone, beyond the grace.
func (w *Watcher) checkDrain(r *request, id string, a *attempt) {
	l := w.router(a.router).listed[a.cache.name]
	if l == nil || a.earliest <= l.from+w.set.DrainGrace+w.set.Slack || !l.out && a.sent >= l.to {
		return
	}
	w.violate(r, Violation{Rule: LateDrain, At: a.sent, Request: id, Cache: a.cache.name, Router: a.router,
		Text: fmt.Sprintf("sent %s after the router was told", span(a.earliest-l.from))})
}

// checkAttempt judges the attempt that has just begun against the request's others and its final answer.
func (w *Watcher) checkAttempt(r *request, latest int, now Time) {
	a := &r.attempts[latest]
	v := Violation{At: a.sent, Cache: a.cache.name, Router: a.router}
	if r.state == answered && a.earliest > r.finalAt {
		v.Rule = SentAfterFinal
		v.Text = fmt.Sprintf("sent %s after it was %s", span(a.earliest-r.finalAt), r.final)
		w.violate(r, v)
	} else if r.state == left && a.earliest > r.leftAt+leftGrace+w.set.Slack {
		v.Rule = SentAfterLeft
		v.Text = fmt.Sprintf("sent %s after that", span(a.earliest-r.leftAt))
		w.violate(r, v)
	} else if r.state == answered && r.final == Refused && !r.class.refusable() {
		v.Rule, v.Text = RefusedAfterRun, "an attempt was under way when it was refused"
		w.violate(r, v)
	}
	same := 0
	for i := range r.attempts {
		if r.attempts[i].router == a.router {
			same++
		}
	}
	if w.set.MaxAttempts > 0 && same > w.set.MaxAttempts {
		v.Rule, v.Text = TooManyAttempts, fmt.Sprintf("the %dth", same)
		w.violate(r, v)
	}
	resent := false
	for i := range latest {
		// A client that sends a request once more, as its connection's close crossed it, may reach
		// another router, which knows nothing of the first one's attempts.
		if r.attempts[i].router != a.router {
			continue
		}
		earlier, later := i, latest
		if a.sent < r.attempts[i].sent {
			earlier, later = latest, i // the one that was sent first has come last
		}
		w.orderCopyCheck(r, earlier, later)
		resent = w.checkResent(r, &r.attempts[earlier], &r.attempts[later], resent) || resent
	}
}

// checkResent judges two attempts of a request, one sent after the other. Only one violation is
// reported of one attempt, and said tells that there was one.
func (w *Watcher) checkResent(r *request, earlier, later *attempt, said bool) bool {
	if r.class.Effect == Safe || earlier.turnedAway(later.sent) {
		return false
	}
	v := Violation{Rule: UnsafeResent, At: later.sent, Cache: later.cache.name, Router: later.router,
		Text: "an earlier attempt at " + earlier.cache.name + " may have run"}
	if r.class.Effect == Keyed {
		v.Rule = KeyedResent
		after := later.earliest - earlier.sent
		switch {
		case !sameGroup(r.class.Scope, earlier.cache, later.cache):
			v.Text += ", whose group drops the repeat, and this is another"
		case after > r.class.Window+w.set.Slack:
			v.Text += ", sent " + span(after) + " before, longer than the key is known"
		default:
			return false
		}
	}
	later.beyond = true
	if !said {
		w.violate(r, v)
	}
	return true
}

// sameGroup reports whether two caches drop each other's repeats.
func sameGroup(scope Scope, a, b *cache) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.zone == b.zone
	default:
		return a.cell == b.cell
	}
}

// orderCopyCheck has two attempts looked at once the close of the earlier one must have been seen. The
// danger: a router that closes one connection and sends on another at once is seen to do so by two caches, the
// farther of which hears of the close last.
func (w *Watcher) orderCopyCheck(r *request, earlier, later int) {
	if w.set.Copies {
		return
	}
	at := r.attempts[later].sent + w.set.Flight + w.set.Slack
	if r.attempts[earlier].outAt(at) {
		w.due.push(due{at: at, kind: dueCopy, r: r, earlier: earlier, later: later})
	}
}

func (w *Watcher) checkCopy(r *request, earlier, later int, at Time) {
	e, l := &r.attempts[earlier], &r.attempts[later]
	if e.outAt(at) {
		w.violate(r, Violation{Rule: SecondCopy, At: l.sent, Cache: l.cache.name, Router: l.router,
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
	kind := hasRun
	if repeat {
		kind = hasDropped
	}
	r.note(moment{at: now, kind: kind, who: a.Cache})
	got := r.find(a.Cache, func(x *attempt) bool { return !x.ran && x.first == a.First })
	if got == nil {
		got = r.find(a.Cache, notRun)
	}
	if got != nil {
		got.ran = true
	}
	if repeat || r.class.Effect == Safe {
		return
	}
	r.effects++
	if r.effects < 2 {
		return
	}
	// Inside its scope and window a repeat is dropped by the caches; the routers may rely on it.
	if r.class.Effect == Keyed && !r.anyBeyond() {
		w.counts.Undropped++
		return
	}
	w.violate(r, Violation{Rule: EffectTwice, At: now, Cache: a.Cache, Router: a.Router,
		Text: fmt.Sprintf("it took place %d times", r.effects)})
}

// anyBeyond reports whether an attempt was sent where, or when, its repeat is not dropped. Which of two
// attempts runs first is not the routers' to choose, so any one counts.
func (r *request) anyBeyond() bool {
	for i := range r.attempts {
		if r.attempts[i].beyond {
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
	r.note(moment{at: now, kind: hasReplied, answer: kind, who: cacheName})
	// What the present process says is not the answer to an attempt at one before.
	here := w.cache(cacheName).life
	a := r.find(cacheName, func(a *attempt) bool { return isOut(a) && a.life == here })
	if a == nil {
		a = r.find(cacheName, unreplied) // written to a connection that is closed by now
	}
	if a == nil {
		w.counts.Strange++
		return
	}
	if !a.ended {
		a.over = now
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
	r.note(moment{at: now, kind: hasEnded, who: cacheName})
	// An attempt at a process before has ended with that process, whatever was seen of its connection.
	here := w.cache(cacheName).life
	a := r.find(cacheName, func(a *attempt) bool { return isOut(a) && a.life == here })
	if a == nil {
		a = r.find(cacheName, isOut)
	}
	if a != nil {
		a.ended, a.over = true, now
	}
}

// Bad implements Observer.
func (w *Watcher) Bad(now Time, cacheName, why string) {
	w.advance(now)
	w.violate(nil, Violation{Rule: BadCommand, At: now, Cache: cacheName, Text: why})
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
