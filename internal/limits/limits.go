// Package limits is what an operator may set of the router's time-outs and bounds, in a file of the kind "limits".
// What the protocol and the machine fix is not here.
package limits

import (
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Limits holds every limit.
type Limits struct {
	Clients   Clients   `toml:"clients"`
	Caches    Caches    `toml:"caches"`
	Discovery Discovery `toml:"discovery"`
}

// Clients are the limits of the clients' side.
type Clients struct {
	CommandTime          time.Duration `toml:"command_time" min:"100ms" max:"1m" doc:"for a command to come whole, and for a connection's first one to begin"`
	IdleTime             time.Duration `toml:"idle_time" min:"100ms" max:"1h" doc:"for the next command to begin, before the connection is closed"`
	CrowdedIdleTime      time.Duration `toml:"crowded_idle_time" min:"100ms" max:"1h" doc:"the same, where more than half of the clients' descriptors are taken"`
	WriteTime            time.Duration `toml:"write_time" min:"100ms" max:"1m" doc:"for a client to take an answer"`
	LingerTime           time.Duration `toml:"linger_time" min:"10ms" max:"10s" doc:"for a client to read why its connection is closed"`
	MaxPipelined         int           `toml:"pipelined" min:"1" max:"4096" doc:"commands of one connection that may await their answers"`
	AddressTimeout       time.Duration `toml:"address_time" min:"0s" max:"25s" doc:"for the address to become free at a start, beyond what the process before may take to end"`
	MaxConsecutiveErrors int           `toml:"errors_in_a_row" min:"1" max:"1000" doc:"bad commands after which a connection is closed"`
}

// Caches are the limits of the caches' side.
type Caches struct {
	FleetConnections   int           `toml:"fleet_connections" min:"1" max:"100000" doc:"connections to one cache over all routers"`
	MinConnections     int           `toml:"least_connections" min:"1" max:"1000" doc:"one router's part of them, however many routers there are"`
	ConcurrentDials    int           `toml:"dials_at_a_time" min:"1" max:"1000" doc:"connections to one cache that come up at a time"`
	MinRestTime        time.Duration `toml:"rest_time" min:"0s" max:"1s" doc:"a connection rests so long between an answer and the next request, at least"`
	FullRestTime       time.Duration `toml:"full_rest_time" min:"0s" max:"10s" doc:"a connection that has rested so long is taken first"`
	HealthCheckTimeout time.Duration `toml:"probe_time" min:"1ms" max:"1m" doc:"for a cache to answer a probe"`
}

// Discovery are the limits of the calls for the list of caches.
type Discovery struct {
	WatchTime   time.Duration       `toml:"watch_time" min:"1s" max:"1m" doc:"discovery may hold a watch open so long, at most"`
	AnswerTime  time.Duration       `toml:"answer_time" min:"100ms" max:"1m" doc:"for discovery to answer; beyond what a watch may wait, 1 s at most"`
	MaxListSize operatorconfig.Size `toml:"list_size" min:"64KiB" max:"64MiB" doc:"bytes of a list"`
}

// Default is what holds where no file says otherwise.
func Default() Limits {
	return Limits{
		Clients: Clients{
			CommandTime:          2500 * time.Millisecond,
			IdleTime:             10 * time.Second,
			CrowdedIdleTime:      2200 * time.Millisecond,
			WriteTime:            5 * time.Second,
			LingerTime:           time.Second,
			MaxPipelined:         512,
			AddressTimeout:       20 * time.Second, // with the 3.7 s that a process takes to end, under the 30 s of a start
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

// Kind is the kind of file that sets them.
var Kind = operatorconfig.Define("limits", "time-outs and bounds of the router", Default(), check)

// check looks at limits that bind one another.
func check(l Limits, bad operatorconfig.ReportFunc) {
	if c := l.Clients; c.CrowdedIdleTime > c.IdleTime {
		bad("clients.crowded_idle_time", "above clients.idle_time (%s, wanted at most %s)",
			operatorconfig.FormatDuration(c.CrowdedIdleTime), operatorconfig.FormatDuration(c.IdleTime))
	}
	c := l.Caches
	if c.MinConnections > c.FleetConnections {
		bad("caches.least_connections", "above caches.fleet_connections (%d, wanted at most %d)",
			c.MinConnections, c.FleetConnections)
	}
	if c.MinRestTime > c.FullRestTime {
		bad("caches.full_rest_time", "below caches.rest_time (%s, wanted at least %s)",
			operatorconfig.FormatDuration(c.FullRestTime), operatorconfig.FormatDuration(c.MinRestTime))
	}
}
