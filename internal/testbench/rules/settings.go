package rules

// Semantics is the effect of executing a request twice.
type Semantics uint8

// Semantics of classes.
const (
	NonIdempotent   Semantics = iota // must never run twice; the default for a class that is not in the settings
	Idempotent                       // may be repeated freely
	IdempotentByKey                  // caches drop repeats inside the deduplication scope, for the idempotency window
)

// DeduplicationScope is the set of caches that drop repeats of a request with an idempotency key.
type DeduplicationScope uint8

// Scopes of deduplication.
const (
	ScopeCell DeduplicationScope = iota // caches in the cell of the first cache
	ScopeZone                           // caches in the zone of the first cache
	ScopeAll                            // every cache
)

// Class describes one kind of request.
type Class struct {
	Semantics          Semantics
	Scope              DeduplicationScope // IdempotentByKey only
	IdempotencyWindow  Time               // IdempotentByKey only: from the first attempt that may have run
	LatencyObjective   Time               // an answer within this time earns the full weight; 0 means the deadline
	ClientTimeout      Time               // the longest time that a client waits
	PriorityWeight     float64            // points for an answer within the latency objective
	LateWeightFraction float64            // fraction of the weight that a later answer earns
}

// Settings are the limits of the rules. Zero is an ordinary value unless the comment of the field says otherwise.
type Settings struct {
	Classes      map[string]Class
	MaxAttempts  int  // most attempts of a request by one router; 0 for no limit
	AllowHedging bool // two attempts of a request may be in flight at once

	// Slack is added to each time limit; it is 50 ms on sockets.
	Slack Time
	// MaxTransit bounds the transit time of a byte between a router and a cache. An attempt with an unknown time of sending
	// may have been sent up to MaxTransit before its arrival.
	MaxTransit Time
	// ExtraRetention extends the time for which requests are retained after their deadlines, for networks that delay bytes.
	ExtraRetention Time

	// DrainGrace is how long after the notice attempts to a draining or removed cache may still be sent.
	DrainGrace Time

	// OverloadMultiple, times the current capacity over an OverloadWindow, is the work above which a cache that is warming
	// up counts as overloaded. 0 disables the check.
	OverloadMultiple float64
	// OverloadWindow is the span over which a cache's work is summed.
	OverloadWindow Time
	// OverloadTolerance is the fraction by which work may exceed that limit by chance.
	OverloadTolerance float64
	// MeanWork is the mean work of a request. If it is not 0, AllowedWork replaces OverloadTolerance.
	MeanWork Time

	// StoreOverloadWindow is the span before the store's crash over which the fetches are summed.
	StoreOverloadWindow Time
	// MaxStoreWarmupFraction is the fraction of these fetches that may be misses at caches that are warming up; above this
	// fraction, the routers are responsible for the crash.
	MaxStoreWarmupFraction float64
}
