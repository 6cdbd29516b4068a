package standin

import "starlingwinch/internal/testbench/rules"

// Class is one kind of request, with its objectives and its work at a cache.
type Class struct {
	Name               string
	TrafficFraction    float64 // fraction of all requests that belong to this class
	Semantics          Semantics
	Write              bool                     // the store carries out the request
	LatencyObjective   Time                     // a reply within this time earns the full weight
	ClientTimeout      Time                     // how long a client waits, over all its attempts
	IdempotencyWindow  Time                     // how long caches drop repeats; IdempotentByKey only
	Scope              rules.DeduplicationScope // which caches drop repeats
	PriorityWeight     float64                  // points for an answer within the objective
	LateWeightFraction float64                  // fraction of PriorityWeight that a late answer earns
	Work               Time                     // mean work of one request on one core, in µs
	CV                 float64                  // coefficient of variation of the work
}

// Semantics defines whether a request may run more than once.
type Semantics uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Semantics = iota
	// IdempotentByKey requests carry a key, and caches drop repeats of it inside the class's window.
	IdempotentByKey
	// NonIdempotent requests take effect each time they run.
	NonIdempotent
)

// DefaultClasses returns the four classes of the usual workload.
func DefaultClasses() []Class {
	return []Class{
		{
			Name: "call-lookup", TrafficFraction: 0.49, Semantics: Idempotent,
			LatencyObjective: 500 * Millisecond, ClientTimeout: 1200 * Millisecond,
			PriorityWeight: 2, LateWeightFraction: 0.5,
			Work: 60 * Millisecond, CV: 2,
		},
		{
			Name: "log-page", TrafficFraction: 0.473, Semantics: Idempotent,
			LatencyObjective: Second, ClientTimeout: 3 * Second,
			PriorityWeight: 5, LateWeightFraction: 0.2,
			Work: 175 * Millisecond, CV: 2,
		},
		{
			Name: "add-contact", TrafficFraction: 0.026, Semantics: IdempotentByKey, Write: true,
			LatencyObjective: 600 * Millisecond, ClientTimeout: 1200 * Millisecond,
			IdempotencyWindow: 1200 * Millisecond, Scope: rules.ScopeAll,
			PriorityWeight: 3, LateWeightFraction: 0.25,
			Work: 100 * Millisecond, CV: 2,
		},
		{
			Name: "confirm-contact", TrafficFraction: 0.011, Semantics: IdempotentByKey, Write: true,
			LatencyObjective: 1200 * Millisecond, ClientTimeout: 2500 * Millisecond,
			IdempotencyWindow: 4 * Second, Scope: rules.ScopeAll,
			PriorityWeight: 5, LateWeightFraction: 0.2,
			Work: 175 * Millisecond, CV: 2,
		},
	}
}
