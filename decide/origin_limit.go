package decide

const (
	// toleratedOriginLateRatio is the ratio of late likely misses at which the origin limit stays constant.
	// It is below toleratedLateRatio because an overloaded origin recovers slowly.
	toleratedOriginLateRatio = .15
	// originObjectiveFraction is the fraction of the latency objective after which a likely miss counts as
	// late at the origin.
	originObjectiveFraction = .65
	// originMissWindow is the number of likely misses over which the ratio of true misses decays.
	originMissWindow = 64
	// minOriginConcurrency is the lowest origin limit.
	minOriginConcurrency = 1
)

// originLimit limits the likely misses that one router keeps in flight at the origin, the store behind the
// caches. An overloaded origin serves all requests late, including writes, and continues work that no client
// waits for.
type originLimit struct {
	limit    concurrencyLimit // maximum number of expected misses in flight; 0 until a cache is known
	inFlight int              // likely misses in flight
	// missRatio is the ratio of likely misses that were true misses, or that failed as if they were.
	missRatio movingAverage
	// lastTimelySentAt is the send time of the latest attempt, to any cache, that the origin served in time.
	lastTimelySentAt Time
}

// newOriginLimit returns the limit before the first list. Each likely miss counts as a true miss until
// results show otherwise.
func newOriginLimit() originLimit {
	return originLimit{missRatio: movingAverage{value: 1, window: originMissWindow}}
}

// initialize sets the first limit from the number of known caches. Without caches, the limit stays unset: a
// limit computed for zero caches would delay most requests for seconds after the first list.
func (o *originLimit) initialize(caches, routers int) {
	if o.limit.value == 0 && caches > 0 {
		o.limit.value = max(minInitialConcurrency, initialConcurrency*float64(caches)/float64(max(1, routers)))
	}
}

// full reports whether no further likely miss may be sent. Only the expected number of true misses counts: if
// there are many routers, each knows few keys, and most of its likely misses are hits on keys that other
// routers requested.
func (o *originLimit) full() bool { return float64(o.inFlight)*o.missRatio.value >= o.limit.value }

// idle reports whether the origin has spare capacity for avoidable misses.
func (o *originLimit) idle() bool { return float64(o.inFlight) < o.limit.value/2 }

// observeMissRatio records whether a likely miss was a true miss. The terms are added one by one, which
// rounds differently from movingAverage.observe, and recorded runs depend on this rounding.
func (o *originLimit) observeMissRatio(miss bool) {
	o.missRatio.value -= o.missRatio.value / o.missRatio.window
	if miss {
		o.missRatio.value += 1.0 / o.missRatio.window
	}
}

// adjust updates the limit with one likely miss, which the origin served in time or not.
func (o *originLimit) adjust(inTime bool) {
	o.limit.adjust(inTime, toleratedOriginLateRatio)
	o.limit.value = max(minOriginConcurrency, o.limit.value)
}

// lower reduces the limit by the given number of late attempts.
func (o *originLimit) lower(attempts float64) {
	o.limit.value = max(minOriginConcurrency, o.limit.value-concurrencyStep*attempts)
}

// updateOriginLimit applies the result of an attempt to the limit and the miss ratio of the origin.
func (r *Router) updateOriginLimit(result *finishedAttempt) {
	o := &r.origin
	served := result.result == Served
	lateAt := originObjectiveFraction * float64(result.request.class.LatencyObjective)
	inTime := served && result.likelyMiss && float64(result.elapsed) < lateAt
	// Errors of a cache that answers mostly errors do not count against the origin.
	failed := result.result == Errored && !r.answersErrors(result.cache)
	if failed || inTime && float64(o.inFlight+1) > o.limit.value/2 {
		o.adjust(inTime)
	}
	// Low traffic per router: a late true miss counts in full, because originOverdue counts only part of it.
	if result.likelyMiss && result.miss && !inTime && r.lowTraffic() {
		o.lower(1)
	}
	if result.likelyMiss && (served || failed) {
		o.observeMissRatio(result.miss || failed)
	}
}

// originOverdue lowers the origin limit for a likely miss that is in flight for longer than the origin should
// take.
//
// Low traffic per router: each router knows few keys, and most of its likely misses are hits. The attempt
// counts only by the ratio of true misses, and only if its cache has answered since the attempt was sent.
func (r *Router) originOverdue(a *attempt) {
	if !r.lowTraffic() {
		r.origin.adjust(false)
		return
	}
	expectedMisses := 0.0
	if a.cache.lastAnswerAt > a.sentAt {
		expectedMisses = r.origin.missRatio.value
	}
	r.origin.lower(expectedMisses)
}
