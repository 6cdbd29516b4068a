// Package load measures routers. It provides a cache that answers at once at almost no cost, and clients that send requests to
// the cache through a router, in a closed loop (each client sends again as soon as it is answered) or an open loop (requests
// arrive at a fixed rate, independent of the answers). It runs on a machine, beside the processes that it measures.
package load

import "starlingwinch/internal/machine"

// Time is an instant or a span in microseconds.
type Time = machine.Time

// readSize is the size of a connection's read buffer, in bytes.
const readSize = 64 << 10

// overdueSlack is added to a request's Wait; a later answer counts as overdue.
const overdueSlack Time = 50_000 // µs

// Options say how clients send requests.
type Options struct {
	Connections      int
	Rate             float64 // requests per second over all connections, in an open loop; 0 for a closed loop
	Pipeline         int     // concurrent requests per connection, in a closed loop; 0 means 1
	Keys             int
	HotFraction      float64 // fraction of requests for a single hot key
	Class            string
	Wait             Time // timeout of a request
	Idle             int  // additional connections that send a single request
	Plain            bool // send GET KEY, for proxies that support no other commands
	Write            bool // send C.SET, for a class whose repeats caches drop
	LatencyObjective Time // an answer within this time counts as in time
}
