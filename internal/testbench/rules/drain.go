package rules

import "fmt"

// listing is a router's latest notice about whether one cache takes work.
type listing struct {
	withdrawn   bool // the cache takes no work now
	withdrawnAt Time // instant of the notice that the cache takes no work
	restoredAt  Time // instant of the notice that the cache takes work again; valid when withdrawn is false
}

// Listed implements Observer.
func (w *Watcher) Listed(now Time, routerName, cacheName string, takesWork bool) {
	w.advance(now)
	listed := w.router(routerName).listed
	l := listed[cacheName]
	switch {
	case !takesWork && l == nil:
		listed[cacheName] = &listing{withdrawn: true, withdrawnAt: now}
	case !takesWork && !l.withdrawn:
		*l = listing{withdrawn: true, withdrawnAt: now}
	case takesWork && l != nil && l.withdrawn:
		l.withdrawn, l.restoredAt = false, now // the listing stays: an attempt that was sent before may arrive later
	}
}

// checkDrain reports a new attempt at a draining or removed cache after the drain grace. r is nil for an unknown request.
func (w *Watcher) checkDrain(r *request, id string, a *attempt) {
	l := w.router(a.router).listed[a.cache.name]
	if l == nil || a.earliestSent <= l.withdrawnAt+w.settings.DrainGrace+w.settings.Slack ||
		!l.withdrawn && a.latestSent >= l.restoredAt {
		return
	}
	w.reportViolation(r, Violation{Rule: LateDrain, At: a.latestSent, Request: id, Cache: a.cache.name, Router: a.router,
		Text: fmt.Sprintf("sent %s after the router was notified", span(a.earliestSent-l.withdrawnAt))})
}
