package decide

// defaultWeight is the weight of a cache without a weight in the endpoint list.
const defaultWeight = 1

// cache is the router's state for one cache server. Attempts refer to it even after the cache has been
// removed from the endpoint list.
type cache struct {
	Endpoint
	zone *zone

	listedAt       Time    // when the cache first appeared in the list
	lastListNumber int     // number of the latest list that contains the cache
	placedWeight   float64 // weight in the placement; 0 if the cache is not in it

	inFlight         int  // attempts in flight, including those of finished requests
	overtaken        int  // attempts in flight that later attempts have overtaken
	attemptsSent     int  // attempts sent since the cache was listed
	lastAnswerAt     Time // when the cache last answered: served, error or rejection
	lastTimelySentAt Time // send time of the latest attempt served in time

	limit      concurrencyLimit
	sent       decayingCounter // attempts sent, decaying within the overload window
	served     decayingCounter // attempts served, decaying within the overload window
	lateRatio  movingAverage   // ratio of served attempts that exceeded the response timeout
	errors     errorRatio
	health     healthState
	outlier    outlierState
	slowStart  slowStartState
	cachedKeys recentKeys
	// responsive is set when a likely hit is served in time, and cleared when a likely hit is late. A late
	// likely miss counts against the origin only if the cache is responsive.
	responsive bool
}

// newCache returns the state of a cache that is new in the endpoint list.
func (r *Router) newCache() *cache {
	return &cache{
		listedAt:   r.now,
		limit:      r.initialLimit(),
		lateRatio:  movingAverage{window: lateWindow},
		health:     healthState{healthy: true},
		cachedKeys: newRecentKeys(),
		responsive: true,
	}
}

// processRestarted discards the state that belongs to the previous process of a cache.
func (r *Router) processRestarted(c *cache) {
	c.health.healthy, c.health.failures = true, 0
	c.cachedKeys = newRecentKeys()
	c.outlier = outlierState{}
	if r.storm.Outage {
		// Recent observations reflect an outage, not an overload.
		c.zone.failedConnections = 0
		c.limit.value = minConcurrencyInOutage
	}
}
