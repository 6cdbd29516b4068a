package standin

import (
	"encoding/json"

	"starlingwinch/internal/testbench/rules"
)

// RouterSettings are what a router is told at its start. DefaultRouterSettings holds the operators' figures.
type RouterSettings struct {
	Name      string
	Listen    string
	Discovery string
	Seed      string // hexadecimal; empty for none
	Cores     float64
	MemoryMB  int64
	Sockets   int

	Routers              int
	Classes              []Class
	MaxAttempts          int
	AllowHealthChecks    bool
	AllowHedging         bool
	AllowCancel          bool
	RetryAfter           bool
	MaxRetryAfter        Time // longest advice that clients follow
	MaxOpen              int
	DialTimeout          Time
	Keepalive            Time
	PollInterval         Time
	SlowStartWindow      Time
	DrainGrace           Time
	OverloadWindow       Time
	SlowStartMinCapacity float64
	Pushed               bool // lists are pushed; else discovery has to be asked

	HealthCheckCost, ConnectionCost, DialCost float64

	PeerListen string   // where messages of other routers come to; empty where there are none
	Peers      []string // of the routers, its own address among them
}

// DefaultRouterSettings are those of the operators' fleet.
func DefaultRouterSettings() RouterSettings {
	return RouterSettings{
		Cores: 1, MemoryMB: 256, Sockets: 1024,
		Routers: 3, Classes: DefaultClasses(), MaxAttempts: 3, AllowHealthChecks: true, AllowHedging: true, AllowCancel: true,
		RetryAfter: true, MaxRetryAfter: 1500 * Millisecond, MaxOpen: 20000, DialTimeout: 200 * Millisecond,
		Keepalive: 60 * Second, PollInterval: 6 * Second, SlowStartWindow: 23 * Second, DrainGrace: Second, OverloadWindow: 3 * Second,
		SlowStartMinCapacity: 0.16, HealthCheckCost: 0.01, ConnectionCost: 0.03, DialCost: 0.03,
	}
}

// The names that effects have in the settings.
var semanticsNames = [...]string{Idempotent: "read_like", IdempotentByKey: "idempotency_key", NonIdempotent: "non_idempotent"}

// The names that groups have in the settings.
var scopeNames = [...]string{rules.ScopeCell: "cell", rules.ScopeZone: "zone", rules.ScopeAll: "all"}

// JSON is the configuration as a router reads it. Times are in microseconds.
func (s RouterSettings) JSON() []byte {
	type object = map[string]any
	categories := []object{}
	for _, c := range s.Classes {
		categories = append(categories, object{"name": c.Name, "effect": semanticsNames[c.Semantics], "dedupScope": scopeNames[c.Scope],
			"keyTtl": c.IdempotencyWindow, "aim": c.LatencyObjective, "hardLimit": c.ClientTimeout, "worth": c.PriorityWeight,
			"lateWorth": c.LateWeightFraction})
	}
	mode, askEvery := "subscribe", s.PollInterval
	if s.Pushed {
		mode, askEvery = "automatic", 0
	}
	settings := object{
		"instances": s.Routers, "discovery": mode, "weights": "none", "categories": categories,
		"limits": object{"cancel": s.AllowCancel, "probes": s.AllowHealthChecks, "secondCopies": s.AllowHedging, "retryAfter": s.RetryAfter,
			"maxAttempts": s.MaxAttempts, "maxRetryAfter": s.MaxRetryAfter, "maxOpen": s.MaxOpen,
			"dialTimeout": s.DialTimeout, "keepalive": s.Keepalive},
		"rules": object{"askEvery": askEvery, "cold": s.SlowStartWindow, "drainGrace": s.DrainGrace, "fall": s.OverloadWindow,
			"startCapacity": s.SlowStartMinCapacity},
		"penalties": object{"probe": s.HealthCheckCost, "connection": s.ConnectionCost, "handshake": s.DialCost},
	}
	config := object{"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "settings": settings,
		"limits": object{"cores": s.Cores, "memory_mb": s.MemoryMB, "sockets": s.Sockets}}
	if s.PeerListen != "" {
		config["peer_listen"], config["peers"] = s.PeerListen, s.Peers
		settings["limits"].(object)["peerMessages"] = true
	}
	if s.Seed != "" {
		config["seed"] = s.Seed
	}
	b, err := json.MarshalIndent(config, "", " ")
	if err != nil { // a figure that is no number; whoever set it is at fault
		panic(err)
	}
	return b
}
