package decide

const (
	// warmingGrowth is the number of attempts allowed per recently served attempt at a cache that warms up
	// while few warm caches are left for comparison.
	warmingGrowth = 2
	// warmTrafficPeriod is the time for which the sum over warm caches is reused; µs.
	warmTrafficPeriod = 1000
	// maxCachesSummedEachTime is the number of caches up to which the sum is recomputed for each request. A
	// sum over few caches costs little.
	maxCachesSummedEachTime = 64
)

// slowStartState is the period in which a cache's process warms up.
type slowStartState struct {
	from  Time // start of the process, or the time of listing if the stated start is later
	until Time // end of the warm-up; 0 if the process started long ago
}

// warming reports whether the cache still warms up.
func (s *slowStartState) warming(now Time) bool { return now < s.until }

// begin sets the period from the start of a process. It is called for every listing, because a later list may
// correct the start.
func (s *slowStartState) begin(startedAt, now, window Time) {
	s.from, s.until = min(startedAt, now), 0
	if startedAt > 0 {
		s.until = s.from + window
	}
}

// capacityFraction returns the minimum fraction of its capacity that a cache currently has.
func (r *Router) capacityFraction(c *cache) float64 {
	if !c.slowStart.warming(r.now) {
		return 1
	}
	elapsed := float64(r.now-c.slowStart.from) / float64(r.settings.SlowStartWindow)
	return r.settings.SlowStartMinCapacity + (1-r.settings.SlowStartMinCapacity)*max(0, elapsed)
}

// admitsDuringSlowStart reports whether a cache may receive one more attempt. A warm cache always may. All
// routers send to the same cache, and a cache that is pushed over its capacity for the overload window stays
// down, so each router limits itself to its share of the slow-start budget. A second hash of the key selects
// the keys, so that all routers select the same keys and the cache fills steadily.
//
// Low traffic per router: hot keys are admitted, because nearly all keys go to several caches.
func (r *Router) admitsDuringSlowStart(q *request, c *cache) bool {
	if !c.slowStart.warming(r.now) {
		return true
	}
	warm := r.sumWarmTraffic()
	capacity := r.capacityFraction(c)
	// The deficit is 1 if no cache is warm, and 0 if at least half of the weight is warm.
	deficit := max(0, 1-2*warm.weight/warm.totalWeight)
	if position := unitInterval(mix(mix(q.Key) + 1)); position >= deficit {
		retry := len(q.attempts) > 0 // during an outage, most attempts are retries
		hot := r.replicas(q.Key) >= 2 && !r.lowTraffic()
		if retry || hot || position >= capacity {
			return false
		}
	}
	// The admitted keys together can still exceed the capacity, so the cache receives no more than its share
	// relative to the warm caches. After a power cut there is no warm cache, and the limit follows the number
	// of attempts that the cache serves: its load grows with that number, and stays below the multiple of its
	// capacity that would overload it.
	comparedWithWarm := capacity * c.Weight * warm.sent / max(warm.weight, c.Weight)
	comparedWithServed := deficit * warmingGrowth * c.served.value(r.now, r.settings.OverloadWindow)
	return r.recentlySent(c) < 1+max(comparedWithWarm, comparedWithServed)
}

// warmTraffic is the total traffic and weight of the warm caches.
type warmTraffic struct {
	computedAt  Time
	sent        float64 // recent attempts sent to warm caches
	weight      float64 // of warm caches
	totalWeight float64 // of all serving caches; 0 if the sum must be recomputed
}

func (w *warmTraffic) invalidate() { w.totalWeight = 0 }

// sumWarmTraffic returns the totals over the warm caches, recomputed once per period. With thousands of
// caches, some of which always warm up, a sum for each request would be most of the cost of the request.
func (r *Router) sumWarmTraffic() *warmTraffic {
	w := &r.warmTraffic
	samePeriod := r.now/warmTrafficPeriod == w.computedAt/warmTrafficPeriod
	if w.totalWeight != 0 && samePeriod && len(r.serving) > maxCachesSummedEachTime {
		return w
	}
	*w = warmTraffic{computedAt: r.now}
	for _, c := range r.serving {
		w.totalWeight += c.Weight
		if !c.slowStart.warming(r.now) {
			w.sent += r.recentlySent(c)
			w.weight += c.Weight
		}
	}
	return w
}

// recentlySent returns the number of attempts sent to a cache, decaying within the overload window.
func (r *Router) recentlySent(c *cache) float64 {
	return c.sent.value(r.now, r.settings.OverloadWindow)
}
