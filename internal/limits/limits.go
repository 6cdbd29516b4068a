// Package limits holds the router's timeouts and bounds that operators may set, in a file of the kind "limits". What the
// protocol and the machine fix is not here.
package limits

import (
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Limits are all of them. The tags hold the words of the file.
type Limits struct {
	Clients   Clients   `toml:"clients"`
	Caches    Caches    `toml:"caches"`
	Discovery Discovery `toml:"discovery"`
}

// Clients are the limits of connections of clients.
type Clients struct {
	// CommandTime bounds a command that has begun. Raising it lets slow clients hold descriptors; lowering it cuts off clients
	// on slow links.
	CommandTime time.Duration `toml:"command_time" min:"100ms" max:"1m" doc:"for a command to come whole, and for a connection's first one to begin"`
	// IdleTime bounds the time between commands. Raising it costs descriptors; lowering it makes clients connect more often.
	IdleTime time.Duration `toml:"idle_time" min:"100ms" max:"1h" doc:"for the next command to begin, before the connection is closed"`
	// CrowdedIdleTime is IdleTime while descriptors are scarce. Raising it frees them later; lowering it makes clients connect
	// again just when there are many.
	CrowdedIdleTime time.Duration `toml:"crowded_idle_time" min:"100ms" max:"1h" doc:"the same, where more than half of the clients' descriptors are taken"`
	// WriteTime bounds the wait for a client that does not read. Raising it holds memory; lowering it cuts off slow clients.
	WriteTime time.Duration `toml:"write_time" min:"100ms" max:"1m" doc:"for a client to take an answer"`
	// LingerTime follows an error that closes a connection. Raising it holds descriptors; lowering it loses the error.
	LingerTime time.Duration `toml:"linger_time" min:"10ms" max:"10s" doc:"for a client to read why its connection is closed"`
	// MaxPipelined is a number of commands. Raising it lets one client hold more memory; lowering it slows pipelines.
	MaxPipelined int `toml:"pipelined" min:"1" max:"4096" doc:"commands of one connection that may await their answers"`
	// AddressTimeout bounds a start. Raising it delays the report that another program has the address; lowering it fails a
	// start while the process before is still ending.
	AddressTimeout time.Duration `toml:"address_time" min:"0s" max:"25s" doc:"for the address to become free at a start, beyond what the process before may take to end"`
	// MaxConsecutiveErrors is a number of commands. Raising it serves broken clients for longer; lowering it closes connections
	// of clients that make few mistakes.
	MaxConsecutiveErrors int `toml:"errors_in_a_row" min:"1" max:"1000" doc:"bad commands after which a connection is closed"`
}

// Caches are the limits of connections to caches.
type Caches struct {
	// FleetConnections is divided by the number of routers. Raising it costs points and descriptors of caches; lowering it
	// makes requests wait for a connection.
	FleetConnections int `toml:"fleet_connections" min:"1" max:"100000" doc:"connections to one cache over all routers"`
	// MinConnections is a number of connections of one router. Raising it exceeds FleetConnections with many routers; lowering
	// it leaves a router no second connection.
	MinConnections int `toml:"least_connections" min:"1" max:"1000" doc:"one router's part of them, however many routers there are"`
	// ConcurrentDials is a number of connections. Raising it floods a cache that comes back; lowering it warms up slowly.
	ConcurrentDials int `toml:"dials_at_a_time" min:"1" max:"1000" doc:"connections to one cache that come up at a time"`
	// MinRestTime is the least pause of a connection. Raising it needs more connections for the same rate; lowering it reuses
	// connections before a close or a second answer of the cache has arrived.
	MinRestTime time.Duration `toml:"rest_time" min:"0s" max:"1s" doc:"a connection rests so long between an answer and the next request, at least"`
	// FullRestTime is the pause from which on a connection is preferred, as a cache may close one right after an answer. Raising
	// it leaves fewer connections to prefer; lowering it uses ones that are being closed.
	FullRestTime time.Duration `toml:"full_rest_time" min:"0s" max:"10s" doc:"a connection that has rested so long is taken first"`
	// HealthCheckTimeout bounds a health check. Raising it detects failed caches later; lowering it takes slow ones for failed.
	HealthCheckTimeout time.Duration `toml:"probe_time" min:"1ms" max:"1m" doc:"for a cache to answer a probe"`
}

// Discovery are the limits of calls for the endpoint list.
type Discovery struct {
	// WatchTime is how long a call may wait for a change. Raising it notices a dead connection later; lowering it makes more
	// calls.
	WatchTime time.Duration `toml:"watch_time" min:"1s" max:"1m" doc:"discovery may hold a watch open so long, at most"`
	// AnswerTime bounds a call, beyond what a watch may wait. Raising it notices a failed discovery later; lowering it gives up
	// calls that would be answered.
	AnswerTime time.Duration `toml:"answer_time" min:"100ms" max:"1m" doc:"for discovery to answer; beyond what a watch may wait, 1 s at most"`
	// MaxListSize is a number of bytes. Raising it costs memory; lowering it refuses the lists of large fleets.
	MaxListSize operatorconfig.Size `toml:"list_size" min:"64KiB" max:"64MiB" doc:"bytes of a list"`
}

// Default returns what holds where no file says otherwise.
func Default() Limits {
	return Limits{
		Clients: Clients{
			CommandTime:          2500 * time.Millisecond,
			IdleTime:             10 * time.Second,
			CrowdedIdleTime:      2200 * time.Millisecond,
			WriteTime:            5 * time.Second,
			LingerTime:           time.Second,
			MaxPipelined:         512,
			AddressTimeout:       20 * time.Second, // and the 3.7 s in which a process ends are below the 30 s of a start
			MaxConsecutiveErrors: 16,
		},
		Caches: Caches{
			FleetConnections:   72,
			MinConnections:     2,
			ConcurrentDials:    4,
			MinRestTime:        4 * time.Millisecond,
			FullRestTime:       40 * time.Millisecond,
			HealthCheckTimeout: 500 * time.Millisecond,
		},
		Discovery: Discovery{
			WatchTime:   4 * time.Second, // see retry.MaxWatchWait
			AnswerTime:  2 * time.Second,
			MaxListSize: 8 << 20,
		},
	}
}

// Kind is the kind of operators' file that holds Limits.
var Kind = operatorconfig.Define("limits", "time-outs and bounds of the router", Default(), check)

// check reports limits that are wrong beside one another.
func check(l Limits, bad operatorconfig.ReportFunc) {
	if l.Clients.CrowdedIdleTime > l.Clients.IdleTime {
		bad("clients.crowded_idle_time", "above clients.idle_time (%s, wanted at most %s)",
			operatorconfig.FormatDuration(l.Clients.CrowdedIdleTime), operatorconfig.FormatDuration(l.Clients.IdleTime))
	}
	if l.Caches.MinConnections > l.Caches.FleetConnections {
		bad("caches.least_connections", "above caches.fleet_connections (%d, wanted at most %d)",
			l.Caches.MinConnections, l.Caches.FleetConnections)
	}
	if l.Caches.MinRestTime > l.Caches.FullRestTime {
		bad("caches.full_rest_time", "below caches.rest_time (%s, wanted at least %s)",
			operatorconfig.FormatDuration(l.Caches.FullRestTime), operatorconfig.FormatDuration(l.Caches.MinRestTime))
	}
}
