package decide

const (
	// initialConcurrency is the number of attempts that all routers together keep in flight at a cache before
	// they have observed the cache.
	initialConcurrency = 8
	// minInitialConcurrency is the minimum share of initialConcurrency for one router.
	minInitialConcurrency = 1
	// minConcurrency is the lower bound of a limit. A limit below 1 is the fraction of time in which an
	// attempt is in flight.
	minConcurrency = .1
	// concurrencyStep is the number of attempts by which one late attempt lowers a limit. A limit below 1
	// falls by this fraction of its value.
	concurrencyStep = .5
	// toleratedLateRatio is the ratio of late attempts at which a limit stays constant. Some requests are
	// inherently long.
	toleratedLateRatio = .2
	// otherCacheWeight is the weight of one router's result at one cache in the limits of all other caches,
	// in units of caches.
	otherCacheWeight = .3
	// minSpreadFraction is the smallest fraction of a result that is applied to the limits of other caches.
	// In fleets of thousands of caches, every result would otherwise visit each cache for a thousandth of an
	// adjustment.
	minSpreadFraction = .002
	// minConcurrencyInOutage is the lowest limit during an outage. A cache that recovers is slow even with
	// one attempt in flight, and no router would detect the recovery if it sent nothing.
	minConcurrencyInOutage = 1
)

// concurrencyLimit is the number of attempts that may be in flight at once. It adapts by additive increase
// and multiplicative decrease: an attempt in time raises the limit, and a late attempt lowers it.
type concurrencyLimit struct {
	value float64
}

// adjust updates the limit with one attempt. In equilibrium, the tolerated ratio of attempts is late.
func (l *concurrencyLimit) adjust(inTime bool, tolerated float64) {
	if inTime {
		l.value += concurrencyStep * tolerated / (1 - tolerated)
	} else {
		l.value = max(minConcurrency, l.value-concurrencyStep*min(l.value, 1))
	}
}

// initialLimit returns the limit of a newly listed cache.
func (r *Router) initialLimit() concurrencyLimit {
	perRouter := initialConcurrency / float64(max(1, r.settings.Routers))
	return concurrencyLimit{max(minInitialConcurrency, perRouter)}
}

// soleAttemptLimit returns the limit at which all routers together keep one attempt in flight at a cache.
func (r *Router) soleAttemptLimit() float64 { return 1 / float64(max(1, r.settings.Routers)) }

// hasCapacity reports whether the concurrency limit of a cache admits one more attempt.
//
// A limit below 1 leaves gaps between attempts. A cache that is slow from overload recovers only after it has
// been mostly idle, and one attempt per router at all times is enough to keep the cache slow.
func (r *Router) hasCapacity(c *cache) bool {
	if r.storm.Active && r.now >= r.lastSendAt+r.settings.DrainGrace/4 {
		return true // with low limits and no attempts, no recovery would be detected
	}
	limit := c.limit.value
	if r.storm.Outage {
		limit = max(limit, minConcurrencyInOutage)
	}
	responding := c.inFlight - c.overtaken
	if limit >= 1 || responding > 0 {
		return float64(responding) < limit
	}
	gap := Time(float64(r.shortestTimeout) * (1/c.limit.value - 1))
	return r.now >= c.sent.updatedAt+gap
}

// adjustLimits applies one attempt to the limit of its cache and, in part, to the limits of all other caches.
func (r *Router) adjustLimits(c *cache, inTime bool) {
	r.adjustFleetLimits(inTime)
	c.limit.adjust(inTime, toleratedLateRatio)
}

// adjustFleetLimits applies part of a result at one cache to the limits of all caches. With many routers,
// each router sends few requests to a cache. From the results of each cache separately, the router would
// detect a surge or the loss of a zone only after it is over. Limits at or below one attempt of all routers
// together do not change.
//
// Low traffic per router: the limits do not change, because all routers would lower them for one cache that
// hangs.
func (r *Router) adjustFleetLimits(inTime bool) {
	if r.lowTraffic() {
		return
	}
	weight := otherCacheWeight * float64(r.settings.Routers)
	fraction := weight / (weight + float64(len(r.serving)))
	if fraction < minSpreadFraction {
		return
	}
	sole := r.soleAttemptLimit()
	for _, c := range r.serving {
		if c.limit.value <= sole {
			continue
		}
		adjusted := c.limit
		adjusted.adjust(inTime, toleratedLateRatio)
		c.limit.value = max(sole, c.limit.value+fraction*(adjusted.value-c.limit.value))
	}
}

// updateConcurrencyLimit applies the result of an attempt to the limit of its cache. A result in time raises
// the limit only if the limit is in use, so that the limit does not grow without bound at low load.
func (r *Router) updateConcurrencyLimit(result *finishedAttempt) {
	c := result.cache
	refusedConnection := result.result == ConnectFailed && !r.storm.Outage
	if result.result == Rejected || refusedConnection {
		r.adjustLimits(c, result.onTime)
		return
	}
	if result.onTime && float64(c.inFlight+1) > c.limit.value/2 {
		r.adjustLimits(c, true)
		return
	}
	withinObjective := result.elapsed < result.request.class.LatencyObjective
	if result.result == Served && c.limit.value < r.soleAttemptLimit() && withinObjective {
		c.limit.adjust(true, toleratedLateRatio)
	}
}
