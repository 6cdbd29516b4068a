package decide

const (
	// initialConcurrency is the number of attempts that all routers together keep out at a cache before
	// anything is known of it.
	initialConcurrency = 8
	// minInitialConcurrency is one router's part of initialConcurrency, at least.
	minInitialConcurrency = 1
	// minConcurrency is where a limit stops falling. Below 1, a limit is the fraction of time in which an
	// attempt is out.
	minConcurrency = .1
	// concurrencyStep is by how many attempts one late attempt lowers a limit. A limit below 1 falls by this
	// fraction of itself.
	concurrencyStep = .5
	// toleratedLateRatio is the ratio of late attempts at which a limit stays where it is: some requests are
	// long by nature.
	toleratedLateRatio = .2
	// otherCacheWeight is the weight of one router's result at one cache for its limits at all other
	// caches, in units of caches.
	otherCacheWeight = .3
	// minSpreadFraction is the fraction of a result from which the other limits are adjusted at all. In
	// fleets of thousands, each result would otherwise visit every cache for a thousandth of an adjustment.
	minSpreadFraction = .002
	// minConcurrencyInOutage is the lowest limit during an outage: a cache that comes back is slow even with
	// one attempt out, and nobody would notice that it is back if nothing were sent.
	minConcurrencyInOutage = 1
)

// concurrencyLimit is the number of attempts that may be out at once. It is adapted by additive increase and
// multiplicative decrease: an attempt in time raises it, a late one lowers it.
type concurrencyLimit struct {
	value float64
}

// adjust takes in one attempt. In equilibrium the tolerated ratio of attempts is late.
func (l *concurrencyLimit) adjust(inTime bool, tolerated float64) {
	if inTime {
		l.value += concurrencyStep * tolerated / (1 - tolerated)
	} else {
		l.value = max(minConcurrency, l.value-concurrencyStep*min(l.value, 1))
	}
}

// initialLimit returns the limit of a cache that was just listed.
func (r *Router) initialLimit() concurrencyLimit {
	perRouter := initialConcurrency / float64(max(1, r.settings.Routers))
	return concurrencyLimit{max(minInitialConcurrency, perRouter)}
}

// soleAttemptLimit returns the limit at which all routers together keep one attempt out at a cache.
func (r *Router) soleAttemptLimit() float64 { return 1 / float64(max(1, r.settings.Routers)) }

// hasCapacity reports whether the concurrency limit of a cache admits one more attempt.
//
// A limit below 1 leaves gaps between attempts. A cache that is slow from overload recovers only when it has
// been mostly idle, and one attempt of every router at all times is enough to keep it slow.
func (r *Router) hasCapacity(c *cache) bool {
	if r.storm.Active && r.now >= r.lastSendAt+r.settings.DrainGrace/4 {
		return true // with all limits low and nothing sent, nobody would notice that the caches have recovered
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

// adjustLimits takes one attempt into the limit of its cache, and in part into those of all others.
func (r *Router) adjustLimits(c *cache, inTime bool) {
	r.adjustFleetLimits(inTime)
	c.limit.adjust(inTime, toleratedLateRatio)
}

// adjustFleetLimits takes a result at one cache into the limits of all caches, in part. Of many routers, each
// sends a cache little, and would notice a surge or a lost zone at each cache separately, when it is over.
// Limits of one attempt of all routers or less stay as they are.
//
// Low traffic per router: the limits stay, as all routers would lower them for one cache that
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

// learnConcurrency takes the result of an attempt into the limit of its cache. Results in time raise the
// limit only where it is in use, so that it does not grow without bound while there is little to do.
func (r *Router) learnConcurrency(result *finishedAttempt) {
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
