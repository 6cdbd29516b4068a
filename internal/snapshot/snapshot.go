// Package snapshot defines the learned state of a router that is stored across restarts: each figure with the time at
// which it was current, the decay of figures with age, and the binary encoding.
//
// The package makes no decisions and performs no I/O. A snapshot holds IDs, figures and hashes of keys. It holds no
// values, keys, addresses or secrets.
package snapshot

import "starlingwinch/decide"

// Time is an instant or a duration in microseconds. Instants are Unix times of the system clock.
type Time = decide.Time

// Snapshot is the learned state of a router.
type Snapshot struct {
	At     Time            // when the figures in Router were current
	Router decide.Snapshot // figures of the router as a whole and of zones; Router.Caches is not used
	Caches []Endpoint      // one entry per cache, sorted by ID
}

// Endpoint is the learned state of one cache process. StartedAt is the start time from the endpoint list, by the system
// clock.
type Endpoint struct {
	decide.EndpointSnapshot
	At     Time // when all fields except CachedKeys were current
	KeysAt Time // when CachedKeys was current; 0 if the keys were not collected
}
