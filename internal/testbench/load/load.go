// Package load measures routers: a cache that answers at once at almost no cost, and clients that send to it through a
// router, in a closed loop (each sends again as soon as it is answered) or an open one (requests arrive at a rate, whatever
// the answers). It runs on a machine, beside the processes that it measures.
package load

import "starlingwinch/internal/machine"

// Time is an instant or a span in microseconds.
type Time = machine.Time

// readSize is the size of a connection's read buffer, in bytes.
const readSize = 64 << 10

// overdueSlack is how much longer than a request's wait its answer may take before it counts as overdue.
const overdueSlack Time = 50_000 // µs

// Options say how clients send requests.
type Options struct {
	Connections      int
	Rate             float64 // requests a second over all connections, in an open loop; 0 for a closed one
	Pipeline         int     // requests that a connection has out at a time, in a closed loop; 0 for 1
	Keys             int
	HotFraction      float64 // fraction of requests that name one key
	Class            string
	Wait             Time // the time that a request is given
	Idle             int  // further connections that send one request and then none
	Plain            bool // GET KEY, for proxies that know no other commands
	Write            bool // C.SET, of a class whose repeats caches drop
	LatencyObjective Time // an answer up to here is in time
}
