// Package eureka implements a client of a Eureka registry (Netflix Eureka 1.x and Spring Cloud's server). The client polls the
// registry's REST interface as one of the sources of the endpoint list, and registers the router if operators configure that.
//
// Other Eureka clients poll every 30 s and see a change up to 90 s later. This client polls for deltas several times a second.
// That costs a registry little, since the registry caches the delta response; docs/operators/eureka.md has the figures.
//
// The package only reports the registry's list and leaves its interpretation to package endpoints. It doesn't resolve host
// names or follow redirects, and uses HTTP without TLS. The format follows the registry's wiki ("Eureka REST operations") and
// the variants that servers send beyond it.
package eureka

import "starlingwinch/internal/machine"

// Time is an instant or a duration in microseconds.
type Time = machine.Time

const (
	millisecond Time = 1000
	second      Time = 1000 * millisecond
	minute      Time = 60 * second
)
