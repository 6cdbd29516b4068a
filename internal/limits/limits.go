// Package limits holds the router's timeouts and limits that operators may set in a configuration file of kind "limits".
// Values fixed by the protocol or the machine are not part of it.
package limits

import (
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Limits holds all limits. The struct tags hold the key, the valid range and the documentation of each limit.
type Limits struct {
	Clients   Clients   `toml:"clients"`
	Caches    Caches    `toml:"caches"`
	Discovery Discovery `toml:"discovery"`
}

// Clients holds the limits of client connections.
type Clients struct {
	// CommandTime limits the time for a command to arrive completely, and for a new connection to start its first command. A
	// higher value lets slow clients hold descriptors; a lower value disconnects clients on slow links.
	CommandTime time.Duration `toml:"command_time" min:"100ms" max:"1m" doc:"for a command to come whole, and for a connection's first one to begin"`
	// IdleTime limits the time between commands. A higher value costs descriptors; a lower value makes clients reconnect more
	// often.
	IdleTime time.Duration `toml:"idle_time" min:"100ms" max:"1h" doc:"for the next command to begin, before the connection is closed"`
	// IdleTimeUnderPressure replaces IdleTime while descriptors are scarce. A higher value frees descriptors later; a lower value
	// makes clients reconnect just when there are many of them.
	IdleTimeUnderPressure time.Duration `toml:"crowded_idle_time" min:"100ms" max:"1h" doc:"the same, where more than half of the clients' descriptors are taken"`
	// WriteTime limits the time for which a client may leave a reply unread. A higher value holds memory for longer; a lower
	// value disconnects slow clients.
	WriteTime time.Duration `toml:"write_time" min:"100ms" max:"1m" doc:"for a client to take an answer"`
	// LingerTime limits the time for which a connection stays open after its last reply, such as an error that closes the
	// connection. A higher value holds descriptors; a lower value can lose the error before the client reads it.
	LingerTime time.Duration `toml:"linger_time" min:"10ms" max:"10s" doc:"for a client to read why its connection is closed"`
	// MaxPipelined limits the commands of one connection that wait for replies. A higher value lets one client hold more
	// memory; a lower value slows pipelining.
	MaxPipelined int `toml:"pipelined" min:"1" max:"4096" doc:"commands of one connection that may await their answers"`
	// AddressTimeout limits how long a starting router waits for its address to become free. A higher value delays the report
	// that another program holds the address; a lower value fails a start while the previous process is still shutting down.
	AddressTimeout time.Duration `toml:"address_time" min:"0s" max:"25s" doc:"for the address to become free at a start, beyond what the process before may take to end"`
	// MaxConsecutiveErrors limits the invalid commands in a row on one connection. A higher value serves faulty clients for
	// longer; a lower value disconnects clients that make few mistakes.
	MaxConsecutiveErrors int `toml:"errors_in_a_row" min:"1" max:"1000" doc:"bad commands after which a connection is closed"`
}

// Caches holds the limits of connections to caches.
type Caches struct {
	// FleetConnections limits the connections of all routers to one cache; the number is divided by the number of routers. A
	// higher value costs points and descriptors of caches; a lower value makes requests wait for a connection.
	FleetConnections int `toml:"fleet_connections" min:"1" max:"100000" doc:"connections to one cache over all routers"`
	// MinConnections is the minimum number of one router's connections to a cache. A higher value exceeds FleetConnections if
	// there are many routers; a lower value leaves a router without a second connection.
	MinConnections int `toml:"least_connections" min:"1" max:"1000" doc:"one router's part of them, however many routers there are"`
	// ConcurrentDials limits the connections to one cache that are established at the same time. A higher value floods a
	// cache that comes back; a lower value slows the warm-up.
	ConcurrentDials int `toml:"dials_at_a_time" min:"1" max:"1000" doc:"connections to one cache that come up at a time"`
	// MinRestTime is the minimum pause of a connection between a reply and the next request. A higher value requires more
	// connections for the same rate; a lower value reuses a connection before a close or a second reply from the cache has
	// arrived.
	MinRestTime time.Duration `toml:"rest_time" min:"0s" max:"1s" doc:"a connection rests so long between an answer and the next request, at least"`
	// FullRestTime is the pause after which a connection is preferred, as a cache may close a connection right after a reply.
	// A higher value leaves fewer connections to prefer; a lower value uses connections that are being closed.
	FullRestTime time.Duration `toml:"full_rest_time" min:"0s" max:"10s" doc:"a connection that has rested so long is taken first"`
	// HealthCheckTimeout limits the duration of a health check. A higher value detects failed caches later; a lower value
	// treats slow caches as failed.
	HealthCheckTimeout time.Duration `toml:"probe_time" min:"1ms" max:"1m" doc:"for a cache to answer a probe"`
}

// Discovery holds the limits of calls for the endpoint list.
type Discovery struct {
	// WatchTime is the maximum time for which a call may wait for a change. A higher value detects a dead connection later; a
	// lower value makes more calls.
	WatchTime time.Duration `toml:"watch_time" min:"1s" max:"1m" doc:"discovery may hold a watch open so long, at most"`
	// AnswerTime limits the duration of a call, in addition to the time for which a watch may wait. A higher value detects a
	// failure of discovery later; a lower value abandons calls that would still be answered.
	AnswerTime time.Duration `toml:"answer_time" min:"100ms" max:"1m" doc:"for discovery to answer; beyond what a watch may wait, 1 s at most"`
	// MaxListSize is the maximum size of the endpoint list in bytes. A higher value costs memory; a lower value rejects the
	// lists of large fleets.
	MaxListSize operatorconfig.Size `toml:"list_size" min:"64KiB" max:"64MiB" doc:"bytes of a list"`
}

// Default returns the limits that apply where no file sets them.
func Default() Limits {
	return Limits{
		Clients: Clients{
			CommandTime:           2500 * time.Millisecond,
			IdleTime:              10 * time.Second,
			IdleTimeUnderPressure: 2200 * time.Millisecond,
			WriteTime:             5 * time.Second,
			LingerTime:            time.Second,
			MaxPipelined:          512,
			AddressTimeout:        20 * time.Second, // with the 3.7 s that a process takes to end, below the 30 s allowed for a start
			MaxConsecutiveErrors:  16,
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

// Kind is the kind of the configuration file that holds Limits.
var Kind = operatorconfig.Define("limits", "time-outs and bounds of the router", Default(), check)

// check reports limits that contradict each other.
func check(l Limits, report operatorconfig.ReportFunc) {
	if l.Clients.IdleTimeUnderPressure > l.Clients.IdleTime {
		report("clients.crowded_idle_time", "above clients.idle_time (%s, wanted at most %s)",
			operatorconfig.FormatDuration(l.Clients.IdleTimeUnderPressure), operatorconfig.FormatDuration(l.Clients.IdleTime))
	}
	if l.Caches.MinConnections > l.Caches.FleetConnections {
		report("caches.least_connections", "above caches.fleet_connections (%d, wanted at most %d)",
			l.Caches.MinConnections, l.Caches.FleetConnections)
	}
	if l.Caches.MinRestTime > l.Caches.FullRestTime {
		report("caches.full_rest_time", "below caches.rest_time (%s, wanted at least %s)",
			operatorconfig.FormatDuration(l.Caches.FullRestTime), operatorconfig.FormatDuration(l.Caches.MinRestTime))
	}
}
