package rules

import "fmt"

// listing is what a router was last notified of about one cache.
type listing struct {
	out  bool // the cache takes no work now
	from Time // no work since this notice
	to   Time // up to this one, once out is false again
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
		l.out, l.to = false, now // the listing stays, as an attempt sent before may arrive later
	}
}

// checkDrain reports a new attempt at a draining or removed cache after the drain grace. r is nil for an unknown request.
func (w *Watcher) checkDrain(r *request, id string, a *attempt) {
	l := w.router(a.router).listed[a.cache.name]
	if l == nil || a.earliestSent <= l.from+w.settings.DrainGrace+w.settings.Slack || !l.out && a.latestSent >= l.to {
		return
	}
	w.reportViolation(r, Violation{Rule: LateDrain, At: a.latestSent, Request: id, Cache: a.cache.name, Router: a.router,
		Text: fmt.Sprintf("sent %s after the router was told", span(a.earliestSent-l.from))})
}
