package decide

const (
	// toleratedOriginLateRatio is the ratio of late likely misses at which the origin limit stays where it
	// is. It is below toleratedLateRatio because an overloaded origin recovers slowly.
	toleratedOriginLateRatio = .15
	// originObjectiveFraction is the fraction of the latency objective after which a likely miss counts as
	// late at the origin.
	originObjectiveFraction = .65
	// originMissWindow is the number of likely misses over which the ratio of true misses fades.
	originMissWindow = 64
	// minOriginConcurrency is the lowest origin limit.
	minOriginConcurrency = 1
)

// originLimit limits the likely misses that one router keeps out at the origin, the store behind the caches.
// An overloaded origin serves everything late, writes too, and goes on with work that nobody waits for.
type originLimit struct {
	limit    concurrencyLimit // expected misses out at most; 0 until a cache is known
	inFlight int              // likely misses that are out
	// missRatio is the ratio of likely misses that were true ones, or failed as if they were.
	missRatio movingAverage
	// lastTimelySentAt is when the latest attempt was sent that the origin served in time, at any cache.
	lastTimelySentAt Time
}

// newOriginLimit returns the limit before the first list. Until more is known, each likely miss counts as a
// true one.
func newOriginLimit() originLimit {
	return originLimit{missRatio: movingAverage{value: 1, window: originMissWindow}}
}

// initialize sets the first limit, for all caches that are known. Without caches it stays unset: a limit for
// none would hold back most requests for seconds after the first list.
func (o *originLimit) initialize(caches, routers int) {
	if o.limit.value == 0 && caches > 0 {
		o.limit.value = max(minInitialConcurrency, initialConcurrency*float64(caches)/float64(max(1, routers)))
	}
}

// full reports whether no further likely miss may be sent. Only the expected number of true misses counts:
// one router of many knows few keys, and most of what it takes for misses are hits of other routers' keys.
func (o *originLimit) full() bool { return float64(o.inFlight)*o.missRatio.value >= o.limit.value }

// idle reports whether the origin has capacity to spare for misses that could be avoided.
func (o *originLimit) idle() bool { return float64(o.inFlight) < o.limit.value/2 }

// observeMissRatio takes in whether a likely miss was a true one. The terms are added one by one: this rounds
// differently from movingAverage.observe, and recorded runs depend on it.
func (o *originLimit) observeMissRatio(miss bool) {
	o.missRatio.value -= o.missRatio.value / o.missRatio.window
	if miss {
		o.missRatio.value += 1.0 / o.missRatio.window
	}
}

// adjust takes in whether the origin served a likely miss in time.
func (o *originLimit) adjust(inTime bool) {
	o.limit.adjust(inTime, toleratedOriginLateRatio)
	o.limit.value = max(minOriginConcurrency, o.limit.value)
}

// lower lowers the limit by so many late attempts.
func (o *originLimit) lower(attempts float64) {
	o.limit.value = max(minOriginConcurrency, o.limit.value-concurrencyStep*attempts)
}

// learnOrigin takes the result of an attempt into the limit and the miss ratio of the origin.
func (r *Router) learnOrigin(result *finishedAttempt) {
	o := &r.origin
	served := result.result == Served
	lateAt := originObjectiveFraction * float64(result.request.class.LatencyObjective)
	inTime := served && result.likelyMiss && float64(result.elapsed) < lateAt
	// Errors of a cache that answers mostly errors are its own.
	failed := result.result == Errored && !r.answersErrors(result.cache)
	if failed || inTime && float64(o.inFlight+1) > o.limit.value/2 {
		o.adjust(inTime)
	}
	// Low traffic per router: a true miss that came late counts in full, as originOverdue counts little of
	// it.
	if result.likelyMiss && result.miss && !inTime && r.lowTraffic() {
		o.lower(1)
	}
	if result.likelyMiss && (served || failed) {
		o.observeMissRatio(result.miss || failed)
	}
}

// originOverdue lowers the origin limit for a likely miss that is out for longer than the origin should take.
//
// Low traffic per router: each router knows few keys, and most of its likely misses are hits. The attempt
// counts only by the ratio of true misses, and only where its cache has answered since.
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
