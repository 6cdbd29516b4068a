package rules

import "fmt"

// maxAttemptsPerRequest bounds the attempts recorded for one request, because each attempt is compared with all earlier attempts.
const maxAttemptsPerRequest = 64

// attempt is one command that a cache received for a request.
type attempt struct {
	router               string
	cache                *cache
	process              *cacheProcess
	latestSent           Time // latest instant at which the router can have sent the first byte
	earliestSent         Time // earliest such instant; equal to latestSent where the time is known
	firstByte            Time // arrival of the first byte
	replied              bool
	reply                Answer
	value                string
	valueDropped         bool // a long value that was released
	ended                bool
	endedAt              Time // instant of the reply or of the end of the connection
	ran                  bool
	outsideDeduplication bool // sent outside the deduplication scope or the idempotency window
}

// wasRejectedBy reports whether the router can have known by t that the attempt will never run. A rejection that the cache
// writes to a connection that the router has closed does not reach the router.
func (a *attempt) wasRejectedBy(t Time) bool {
	return a.replied && a.reply == Refused && !a.ended && a.endedAt <= t
}

// inFlightAt reports whether the attempt was in flight on an open connection at t.
func (a *attempt) inFlightAt(t Time) bool {
	if (a.replied || a.ended) && a.endedAt <= t {
		return false
	}
	return !a.process.down || a.process.downAt > t
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
		// A cache that reads late knows only a bound on the time of sending. No attempt is sent before its request.
		at.latestSent, at.earliestSent = max(at.latestSent, r.sent.Sent), max(at.earliestSent, r.sent.Sent)
	}
	w.checkDrain(r, a.ID, &at)
	if r == nil {
		w.reportViolation(nil, Violation{Rule: BadCommand, At: now, Request: a.ID, Cache: a.Cache, Router: a.Router,
			Text: "no recent request of a client has this id"})
		return
	}
	r.record(historyEvent{at: now, kind: eventAttemptBegan, peer: a.Cache, router: a.Router, sent: at.latestSent})
	if a.Key != r.sent.Key || a.IdemKey != r.sent.IdemKey || a.Class != r.sent.Class {
		w.reportViolation(r, Violation{Rule: BadCommand, At: now, Cache: a.Cache, Router: a.Router,
			Text: "the key, class or idempotency key differs from the client's request"})
	}
	if len(r.attempts) >= maxAttemptsPerRequest {
		w.reportViolation(r, Violation{Rule: TooManyAttempts, At: now, Cache: a.Cache, Router: a.Router,
			Text: fmt.Sprintf("more than %d, the most that are recorded for a request", maxAttemptsPerRequest)})
		return
	}
	r.attempts = append(r.attempts, at)
	w.checkAttempt(r, len(r.attempts)-1)
}

// find returns the request's first attempt at a cache for which fits returns true, or nil if there is none.
func (r *request) find(cacheName string, fits func(*attempt) bool) *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.cache.name == cacheName && fits(a) {
			return a
		}
	}
	return nil
}

func inFlight(a *attempt) bool  { return !a.replied && !a.ended }
func unreplied(a *attempt) bool { return !a.replied }
func notRun(a *attempt) bool    { return !a.ran }

// Replied implements Observer.
func (w *Watcher) Replied(now Time, cacheName, id string, kind Answer, value string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil {
		return
	}
	r.record(historyEvent{at: now, kind: eventCacheReplied, answer: kind, peer: cacheName})
	// A reply from the current process answers no attempt at an earlier process of the cache.
	current := w.cache(cacheName).process
	a := r.find(cacheName, func(a *attempt) bool { return inFlight(a) && a.process == current })
	if a == nil {
		a = r.find(cacheName, unreplied) // written to a connection that has since been closed
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
	// An attempt at an earlier process ended with that process, even if no end of its connection was reported.
	current := w.cache(cacheName).process
	a := r.find(cacheName, func(a *attempt) bool { return inFlight(a) && a.process == current })
	if a == nil {
		a = r.find(cacheName, inFlight)
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
