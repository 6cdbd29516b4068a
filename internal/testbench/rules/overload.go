package rules

import (
	"fmt"
	"math"
)

// minNotifiedFraction is the fraction of a cache's load that must come from routers that were notified of the cache's start
// for the routers to be responsible for the load.
const minNotifiedFraction = 2. / 3

// Offered implements Observer. The limit is a budget of work per window, so a short heavy burst can exceed the budget before
// the window has passed.
func (w *Watcher) Offered(now Time, name, router string, work Time) {
	w.advance(now)
	c := w.cache(name)
	process := c.process
	c.load.add(now, work)
	c.notifiedLoad.slide(now)
	if router == "" || process.notifiedRouters[router] {
		c.notifiedLoad.add(now, work)
	}
	if w.settings.OverloadMultiple <= 0 || process.capacity <= 0 || process.down {
		return
	}
	fraction := process.capacityFraction(now)
	capacityWork := process.capacity * fraction * float64(w.settings.OverloadWindow) / 1e6
	overloaded := float64(c.load.total) > w.allowedWork(capacityWork)
	switch {
	case overloaded && fraction < 1:
		w.reportWarmupOverload(c, now, fmt.Sprintf("%.1f times its capacity over the last %s",
			float64(c.load.total)/capacityWork, span(w.settings.OverloadWindow)))
	case overloaded && !c.overloaded:
		w.counts.Overloads++
	}
	c.overloaded = overloaded
}

// allowedWork returns the work that a cache may be sent in one overload window; capacityWork is the work that the cache can do
// in the window.
func (w *Watcher) allowedWork(capacityWork float64) float64 {
	if w.settings.MeanWork > 0 {
		return AllowedWork(w.settings.OverloadMultiple*capacityWork, w.settings.MeanWork)
	}
	return w.settings.OverloadMultiple * (1 + w.settings.OverloadTolerance) * capacityWork
}

// AllowedWork returns the work that is allowed where the limit is the work of n requests of mean work: the work of
// n + 2√n + 2 requests, because arrivals from many routers vary by chance.
func AllowedWork(limit float64, mean Time) float64 {
	n := limit / float64(mean)
	return (n + 2*math.Sqrt(n) + 2) * float64(mean)
}

// reportWarmupOverload reports a cache that was overloaded while it was warming up, once for each process. Load from routers
// that were not notified of the start breaks no rule.
func (w *Watcher) reportWarmupOverload(c *cache, now Time, how string) {
	c.notifiedLoad.slide(now)
	c.load.slide(now)
	if c.process.overloadReported || float64(c.notifiedLoad.total) < minNotifiedFraction*float64(c.load.total) {
		return
	}
	c.process.overloadReported = true
	w.reportViolation(nil, Violation{Rule: WarmupOverload, At: now, Cache: c.name,
		Text: fmt.Sprintf("%s, %s after its start", how, span(now-c.process.started))})
}

// storeLoad is the work of the fetches from the store.
type storeLoad struct {
	all    slidingWindow
	warmup slidingWindow // misses at caches that are warming up
}

func (s *storeLoad) init(span Time) {
	s.all.init(span)
	s.warmup.init(span)
}

// StoreOffered implements Observer.
func (w *Watcher) StoreOffered(now Time, work Time, warmingUp string) {
	w.advance(now)
	w.store.all.add(now, work)
	// Misses at a cache that is warming up count once a router was notified of the start: before that, no router can protect
	// the store.
	if warmingUp != "" && len(w.cache(warmingUp).process.notifiedRouters) > 0 {
		w.store.warmup.add(now, work)
	}
}

// StoreFell implements Observer.
func (w *Watcher) StoreFell(now Time) {
	w.advance(now)
	w.store.all.slide(now)
	w.store.warmup.slide(now)
	all, warmup := float64(w.store.all.total), float64(w.store.warmup.total)
	if warmup > w.settings.MaxStoreWarmupFraction*all {
		w.reportViolation(nil, Violation{Rule: StoreOverload, At: now,
			Text: fmt.Sprintf("%.0f%% of its load was misses at cold caches", 100*warmup/all)})
	}
}
