// Package eureka follows an Eureka registry (Netflix Eureka 1.x, Spring Cloud's server) by its REST interface, as one of the
// sources of the endpoint list, and registers the router there where operators configure it.
//
// Clients of Eureka poll every 30 s and see a change up to 90 s later. This one polls several times a second for the changes,
// which costs a registry little as it caches that answer; docs/operators/eureka.md has the figures.
//
// The package decides nothing about what the list means, resolves no names, follows no redirects, and speaks HTTP without TLS.
// The format is that of the registry's wiki ("Eureka REST operations") and of what servers send beyond it.
package eureka

import "starlingwinch/internal/machine"

// Time is an instant or a span in microseconds.
type Time = machine.Time

const (
	millisecond Time = 1000
	second      Time = 1000 * millisecond
	minute      Time = 60 * second
)
