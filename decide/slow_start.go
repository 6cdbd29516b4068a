package decide

const (
	// warmingGrowth is the number of attempts for each one lately served, at a cache that warms up while few
	// warm ones are left to compare with.
	warmingGrowth = 2
	// warmTrafficPeriod is for how long the sum over warm caches is reused; µs.
	warmTrafficPeriod = 1000
	// maxCachesSummedEachTime is the number of caches up to which the sum is not reused: adding up a few
	// costs little.
	maxCachesSummedEachTime = 64
)

// slowStartState is when a cache's process warms up.
type slowStartState struct {
	from  Time // start of the process, or when it was listed if it claims a later start
	until Time // the cache counts as warm from then on; 0 if it started long ago
}

// warming reports whether the cache still warms up.
func (s *slowStartState) warming(now Time) bool { return now < s.until }

// begin takes over the start of a process. It is called for each listing, as a wrong start may be corrected.
func (s *slowStartState) begin(startedAt, now, window Time) {
	s.from, s.until = min(startedAt, now), 0
	if startedAt > 0 {
		s.until = s.from + window
	}
}

// capacityFraction returns the fraction of its capacity that a cache has by now, at least.
func (r *Router) capacityFraction(c *cache) float64 {
	if !c.slowStart.warming(r.now) {
		return 1
	}
	elapsed := float64(r.now-c.slowStart.from) / float64(r.settings.SlowStartWindow)
	return r.settings.SlowStartMinCapacity + (1-r.settings.SlowStartMinCapacity)*max(0, elapsed)
}

// admitsDuringSlowStart reports whether a cache may get one more attempt; a warm one always may. Every router
// sends to the same cache, and one that is pushed over its capacity for the overload window stays down, so
// each router keeps to its part of the slow-start budget. A second hash of the key selects the keys, so that
// routers agree and the cache fills steadily.
//
// Low traffic per router: hot keys are admitted, as nearly all keys go to several caches there.
func (r *Router) admitsDuringSlowStart(q *request, c *cache) bool {
	if !c.slowStart.warming(r.now) {
		return true
	}
	warm := r.sumWarmTraffic()
	capacity := r.capacityFraction(c)
	// The deficit is 1 where no cache is warm, and 0 where half of the capacity is.
	deficit := max(0, 1-2*warm.weight/warm.totalWeight)
	if position := unitInterval(mix(mix(q.Key) + 1)); position >= deficit {
		retry := len(q.attempts) > 0 // during an outage, retries are most of what is sent
		hot := r.replicas(q.Key) >= 2 && !r.lowTraffic()
		if retry || hot || position >= capacity {
			return false
		}
	}
	// The admitted keys can still add up: the cache gets no more than its part of what warm ones get. After a
	// power cut there is no warm one, and what the cache serves is the measure: its work grows with that, and
	// stays below the multiple of its capacity that would push it over.
	comparedWithWarm := capacity * c.Weight * warm.sent / max(warm.weight, c.Weight)
	comparedWithServed := deficit * warmingGrowth * c.served.value(r.now, r.settings.OverloadWindow)
	return r.recentlySent(c) < 1+max(comparedWithWarm, comparedWithServed)
}

// warmTraffic sums up the caches that are warm.
type warmTraffic struct {
	computedAt  Time
	sent        float64 // attempts lately sent to warm caches
	weight      float64 // of warm caches
	totalWeight float64 // of all serving caches; 0 if the sum has to be made anew
}

func (w *warmTraffic) invalidate() { w.totalWeight = 0 }

// sumWarmTraffic sums up the warm caches, once in each period. With thousands of caches, some of which always
// warm up, a sum for each request would be most of the request's cost.
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

// recentlySent returns the number of attempts sent to a cache, fading within the overload window.
func (r *Router) recentlySent(c *cache) float64 {
	return c.sent.value(r.now, r.settings.OverloadWindow)
}
