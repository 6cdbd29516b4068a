package decide

// defaultWeight is the weight of a cache that the list gives none.
const defaultWeight = 1

// cache is what this router knows of one cache server. Attempts refer to it even after it was removed from
// the list.
type cache struct {
	Endpoint
	zone *zone

	listedAt     Time    // when the list named it first
	listedBy     int     // number of the list that named it last
	placedWeight float64 // weight with which it is in the placement; 0 if it is not

	inFlight         int  // attempts that are out, of finished requests too
	overtaken        int  // those of them that later attempts have overtaken
	attemptsSent     int  // attempts ever sent
	lastAnswerAt     Time // when an attempt was last served, or answered with an error or a rejection
	lastTimelySentAt Time // when the latest attempt was sent that was served within its response timeout

	limit      concurrencyLimit
	sent       decayingCounter // attempts sent, within the overload window
	served     decayingCounter // attempts served, within the overload window
	lateRatio  movingAverage   // ratio of served attempts that exceeded the response timeout
	errors     errorRatio
	health     healthState
	outlier    outlierState
	slowStart  slowStartState
	cachedKeys recentKeys
	// responsive is set when a likely hit is served in time, and unset when one is late. A late likely miss
	// counts against the origin only where the cache is responsive.
	responsive bool
}

// newCache returns the record of a cache that the list names for the first time.
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

// processRestarted drops what was known of the previous process of a cache.
func (r *Router) processRestarted(c *cache) {
	c.health.healthy, c.health.failures = true, 0
	c.cachedKeys = newRecentKeys()
	c.outlier = outlierState{}
	if r.storm.Outage {
		// What was observed lately was an outage, not an overload.
		c.zone.failedConnections = 0
		c.limit.value = minConcurrencyInOutage
	}
}
