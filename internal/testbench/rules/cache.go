package rules

// startTimeTolerance is how far a start time in the endpoint list, which has millisecond resolution, may lie before the actual
// start.
const startTimeTolerance Time = 1000 // µs

// cache is the record of a cache name across successive processes.
type cache struct {
	name         string
	zone, cell   string
	process      *cacheProcess
	load         slidingWindow
	notifiedLoad slidingWindow // the part of load from routers that had been notified of the cache's start
	overloaded   bool          // the load exceeded the limit when work last arrived
}

// cacheProcess is one process of a cache. Each attempt points to its process, so the end of the process ends all of its
// attempts at once.
type cacheProcess struct {
	down             bool
	downAt           Time
	started          Time
	capacity         float64 // work (µs) per second when warm; 0 if unknown
	startFraction    float64 // fraction of the capacity at the start
	warmupDuration   Time
	overloadReported bool
	notifiedRouters  map[string]bool // routers that were notified of the start; nil before CacheUp
}

// capacityFraction returns the fraction of its warm capacity that the process has now. The fraction rises linearly from
// startFraction to 1 over the warmup duration.
func (p *cacheProcess) capacityFraction(now Time) float64 {
	age := now - p.started
	if age >= p.warmupDuration {
		return 1
	}
	return p.startFraction + (1-p.startFraction)*float64(age)/float64(p.warmupDuration)
}

// cache returns the cache with the given name, and creates its record at the first event.
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

// Place sets the zone and the cell of a cache, for classes with a deduplication scope. Caches without a call to Place share one
// zone and cell.
func (w *Watcher) Place(cache, zone, cell string) {
	c := w.cache(cache)
	c.zone, c.cell = zone, cell
}

// CacheUp implements Observer.
func (w *Watcher) CacheUp(now Time, name string, capacity, startFraction float64, warmup Time) {
	w.advance(now)
	c := w.cache(name)
	if !c.process.down {
		c.process.down, c.process.downAt = true, now // the end of the previous process was not reported
	}
	c.process = &cacheProcess{
		started:         now,
		capacity:        capacity,
		startFraction:   startFraction,
		warmupDuration:  warmup,
		notifiedRouters: map[string]bool{},
	}
	c.load.init(w.settings.OverloadWindow)
	c.notifiedLoad.init(w.settings.OverloadWindow)
	c.overloaded = false
}

// StartNotified implements Observer.
func (w *Watcher) StartNotified(now Time, router, cache string, start Time) {
	w.advance(now)
	process := w.cache(cache).process
	if process.notifiedRouters != nil && start >= process.started-startTimeTolerance {
		process.notifiedRouters[router] = true
	}
}

// CacheDown implements Observer.
func (w *Watcher) CacheDown(now Time, name string, overloaded bool) {
	w.advance(now)
	c := w.cache(name)
	process := c.process
	if process.down {
		return
	}
	process.down, process.downAt = true, now
	if !overloaded {
		return
	}
	if process.capacityFraction(now) >= 1 {
		w.counts.Overloads++
		return
	}
	w.reportWarmupOverload(c, now, "the cache crashed")
}
