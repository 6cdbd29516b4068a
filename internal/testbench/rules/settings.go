package rules

// Semantics says what may happen when a request is carried out twice.
type Semantics uint8

// Semantics of classes.
const (
	NonIdempotent   Semantics = iota // must never run twice; also any class that is not in the settings
	Idempotent                       // may be repeated freely
	IdempotentByKey                  // repeats are dropped inside the scope, for the idempotency window
)

// DeduplicationScope names the caches that drop repeats of a keyed request.
type DeduplicationScope uint8

// Scopes of deduplication.
const (
	ScopeCell DeduplicationScope = iota // caches of the first cache's cell
	ScopeZone                           // caches of its zone
	ScopeAll                            // every cache
)

// Class describes one kind of request.
type Class struct {
	Semantics          Semantics
	Scope              DeduplicationScope // IdempotentByKey only
	IdempotencyWindow  Time               // IdempotentByKey only: from the first attempt that may have run
	LatencyObjective   Time               // an answer up to here earns the full weight; 0 for up to the deadline
	ClientTimeout      Time               // the longest that a client waits
	PriorityWeight     float64            // points for an answer within the latency objective
	LateWeightFraction float64            // fraction of the weight that a later answer earns
}

// Settings are the limits of the rules. A zero is taken as it is unless the field says otherwise.
type Settings struct {
	Classes      map[string]Class
	MaxAttempts  int  // attempts of a request by one router; 0 for any number
	AllowHedging bool // two attempts of a request may be out at once

	// Slack is added to each time limit: 50 ms on sockets.
	Slack Time
	// MaxTransit bounds the time of a byte between a router and a cache. An attempt whose time of sending is not known
	// counts as sent this long before it arrived.
	MaxTransit Time
	// ExtraRetention is how much longer than its class needs a request is remembered after its deadline, for networks
	// that delay bytes.
	ExtraRetention Time

	// DrainGrace is how long after the notice attempts to a draining or removed cache may still be sent.
	DrainGrace Time

	// OverloadMultiple, times the current capacity over an OverloadWindow, is the work that pushes over a cache that
	// warms up. 0 disables the check.
	OverloadMultiple float64
	// OverloadWindow is the span over which a cache's work is summed.
	OverloadWindow Time
	// OverloadTolerance is the fraction by which work may exceed that limit by chance.
	OverloadTolerance float64
	// MeanWork of a request, where it is not 0, replaces OverloadTolerance by AllowedWork.
	MeanWork Time

	// StoreOverloadWindow is the span before the store's fall over which its fetches are summed.
	StoreOverloadWindow Time
	// MaxStoreWarmupFraction is the fraction of these fetches that may be misses at caches that warm up; above it the
	// routers answer for the fall.
	MaxStoreWarmupFraction float64
}
