// Package eureka follows an Eureka registry (Netflix Eureka 1.x, Spring Cloud's server) by its REST interface, as one
// of the sources of the list of caches, and registers the router there where operators ask for it.
//
// Clients of Eureka ask every 30 s and learn of a change up to 90 s later. This one asks several times a
// second for what has changed, which costs a registry little as it keeps that answer ready; see
// docs/operators/eureka.md for the figures.
//
// It decides nothing about what the list means, looks up no names, follows no redirect, and speaks HTTP
// without TLS. The form is that of the registry's wiki ("Eureka REST operations") and of what servers
// send, which is more than the wiki tells.
package eureka

import "starlingwinch/internal/machine"

// Time is an instant or a span in microseconds.
type Time = machine.Time

const (
	millisecond Time = 1000
	second      Time = 1000 * millisecond
	minute      Time = 60 * second
)
