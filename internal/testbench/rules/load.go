package rules

import (
	"fmt"
	"math"
)

// windowBins is the number of parts that a window of load is summed in.
const windowBins = 12

// slidingWindow sums work over a span that slides on with time.
type slidingWindow struct {
	binLength Time // length of a bin
	newestBin Time // number of the newest bin, in parts since the clock's zero
	sums      [windowBins]Time
	total     Time
}

func (w *slidingWindow) init(span Time) { *w = slidingWindow{binLength: max(span/windowBins, 1)} }

// slide lets go of what is older than the window.
func (w *slidingWindow) slide(now Time) {
	n := now / w.binLength
	if n-w.newestBin >= windowBins {
		w.sums, w.total = [windowBins]Time{}, 0
		w.newestBin = n
		return
	}
	for w.newestBin < n {
		w.newestBin++
		i := w.newestBin % windowBins
		w.total -= w.sums[i]
		w.sums[i] = 0
	}
}

func (w *slidingWindow) add(now, work Time) {
	w.slide(now)
	w.sums[w.newestBin%windowBins] += work
	w.total += work
}

// cache is a cache's name through its lives.
type cache struct {
	name         string
	zone, cell   string
	process      *cacheProcess
	load         slidingWindow
	notifiedLoad slidingWindow // ... by routers that had been told of its start
	overloaded   bool          // its load was over the multiple when work last came
}

// cacheProcess is one process of a cache. Attempts point to theirs, so its end ends them all at once.
type cacheProcess struct {
	down             bool
	downAt           Time
	started          Time
	capacity         float64 // work (µs) a second when warm; 0 where it was not told
	startFraction    float64
	warmupDuration   Time
	overloadReported bool            // has been reported
	notifiedRouters  map[string]bool // routers that have been told of its start
}

// capacityFraction is the share of its capacity that it can do: it rises evenly from the cold share.
func (l *cacheProcess) capacityFraction(now Time) float64 {
	age := now - l.started
	if age >= l.warmupDuration {
		return 1
	}
	return l.startFraction + (1-l.startFraction)*float64(age)/float64(l.warmupDuration)
}

func (w *Watcher) cache(name string) *cache {
	c := w.caches[name]
	if c == nil {
		c = &cache{name: name, process: &cacheProcess{}}
		c.load.init(w.settings.OverloadWindow)
		c.notifiedLoad.init(w.settings.OverloadWindow)
		w.caches[name] = c
	}
	return c
}

// Place tells the zone and the cell of a cache, for the classes whose key is known there alone. Caches
// that were not placed are in one zone and cell.
func (w *Watcher) Place(cache, zone, cell string) {
	c := w.cache(cache)
	c.zone, c.cell = zone, cell
}

// CacheUp implements Observer.
func (w *Watcher) CacheUp(now Time, name string, capacity, coldShare float64, coldFor Time) {
	w.advance(now)
	c := w.cache(name)
	if !c.process.down {
		c.process.down, c.process.downAt = true, now // its end was not told
	}
	c.process = &cacheProcess{started: now, capacity: capacity, startFraction: coldShare, warmupDuration: coldFor, notifiedRouters: map[string]bool{}}
	c.load.init(w.settings.OverloadWindow)
	c.notifiedLoad.init(w.settings.OverloadWindow)
	c.overloaded = false
}

// StartNotified implements Observer.
func (w *Watcher) StartNotified(now Time, router, cache string, start Time) {
	w.advance(now)
	if l := w.cache(cache).process; l.notifiedRouters != nil && start >= l.started-startTimeTolerance {
		l.notifiedRouters[router] = true
	}
}

// CacheDown implements Observer.
func (w *Watcher) CacheDown(now Time, name string, fallen bool) {
	w.advance(now)
	c := w.cache(name)
	l := c.process
	if l.down {
		return
	}
	l.down, l.downAt = true, now
	if !fallen {
		return
	}
	if l.capacityFraction(now) >= 1 {
		w.counts.Overloads++
		return
	}
	w.reportWarmupOverload(c, now, "it fell")
}

// Offered implements Observer. The work is a budget for each window: a short heavy burst can spend it
// before the window has passed.
func (w *Watcher) Offered(now Time, name, router string, work Time) {
	w.advance(now)
	c := w.cache(name)
	l := c.process
	c.load.add(now, work)
	if c.notifiedLoad.slide(now); router == "" || l.notifiedRouters[router] {
		c.notifiedLoad.add(now, work)
	}
	if w.settings.OverloadMultiple <= 0 || l.capacity <= 0 || l.down {
		return
	}
	warmth := l.capacityFraction(now)
	able := l.capacity * warmth * float64(w.settings.OverloadWindow) / 1e6
	allowed := w.settings.OverloadMultiple * (1 + w.settings.OverloadTolerance) * able
	if w.settings.MeanWork > 0 {
		allowed = AllowedWork(w.settings.OverloadMultiple*able, w.settings.MeanWork)
	}
	over := float64(c.load.total) > allowed
	switch {
	case over && warmth < 1:
		w.reportWarmupOverload(c, now, fmt.Sprintf("%.1f times what it can do, in the last %s",
			float64(c.load.total)/able, span(w.settings.OverloadWindow)))
	case over && !c.overloaded:
		w.counts.Overloads++
	}
	c.overloaded = over
}

// AllowedWork is what a cold cache bears before it falls, where its limit is work of N requests of mean work: that of
// N + 2 x root of N + 2, as arrivals from many routers vary by chance.
func AllowedWork(limit float64, mean Time) float64 {
	n := limit / float64(mean)
	return (n + 2*math.Sqrt(n) + 2) * float64(mean)
}

// minNotifiedFraction is the part of a load that has to come from routers that know of a cache's start, for it to be theirs to
// answer for; toldSlack is what the list's time of a start may lie before it, as it counts in milliseconds.
const (
	minNotifiedFraction = 2. / 3
	startTimeTolerance  = 1000
)

// reportWarmupOverload reports a cold cache once a life. Who has not been told that a cache has started can't spare it.
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

// storeLoad is what the store was asked for.
type storeLoad struct{ all, warmup slidingWindow }

func (s *storeLoad) init(span Time) {
	s.all.init(span)
	s.warmup.init(span)
}

// StoreOffered implements Observer.
func (w *Watcher) StoreOffered(now Time, work Time, cold string) {
	w.advance(now)
	w.store.all.add(now, work)
	// Misses at cold caches count from when routers can know of the start: until then nobody can spare the store.
	if cold != "" && len(w.cache(cold).process.notifiedRouters) > 0 {
		w.store.warmup.add(now, work)
	}
}

// StoreFell implements Observer.
func (w *Watcher) StoreFell(now Time) {
	w.advance(now)
	w.store.all.slide(now)
	w.store.warmup.slide(now)
	all, cold := float64(w.store.all.total), float64(w.store.warmup.total)
	if cold > w.settings.MaxStoreWarmupFraction*all {
		w.reportViolation(nil, Violation{Rule: StoreOverload, At: now,
			Text: fmt.Sprintf("%.0f%% of its load was misses at cold caches", 100*cold/all)})
	}
}
