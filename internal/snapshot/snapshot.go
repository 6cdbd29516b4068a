// Package snapshot holds what a router has learned of its fleet as data that outlives the process: each piece with the
// instant as of which it was known, the rules by which it loses weight with age, and its form in bytes.
//
// The package makes no decisions and performs no I/O. A snapshot holds ids, figures and hashes of keys, and no value,
// key, address or secret.
package snapshot

import "starlingwinch/decide"

// Time is an instant or a span in microseconds. Instants are Unix time by the system's clock.
type Time = decide.Time

// Snapshot is everything that a router has learned.
type Snapshot struct {
	At     Time            // when Router was known
	Router decide.Snapshot // figures of the router as a whole, and of zones; its Caches are not used
	Caches []Endpoint      // one entry for each cache, by id
}

// Endpoint is what is known of one cache's process. StartedAt is the start that the endpoint list named, by the system's
// clock.
type Endpoint struct {
	decide.EndpointSnapshot
	At     Time // when everything but the keys was known
	KeysAt Time // when CachedKeys were known; 0 where they were not collected
}
