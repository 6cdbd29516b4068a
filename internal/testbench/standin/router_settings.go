package standin

import (
	"encoding/json"

	"starlingwinch/internal/testbench/rules"
)

// RouterSettings is the configuration of a router. DefaultRouterSettings returns the default.
type RouterSettings struct {
	Name      string  // the router's name
	Listen    string  // address for clients
	Discovery string  // address of discovery
	Seed      string  // hexadecimal; empty for none
	Cores     float64 // limit of the process
	MemoryMB  int64   // limit of the process
	Sockets   int     // limit of the process

	Routers              int     // number of routers that share the caches
	Classes              []Class // classes of requests
	MaxAttempts          int     // maximum attempts per request
	AllowHealthChecks    bool
	AllowHedging         bool
	AllowCancel          bool
	RetryAfter           bool // rejections may carry a retry-after
	MaxRetryAfter        Time // longest retry-after that clients follow
	MaxOpen              int  // maximum of open requests
	DialTimeout          Time
	Keepalive            Time    // idle timeout of a client connection
	PollInterval         Time    // time without a watch after which a router counts as notified
	SlowStartWindow      Time    // time from a cache's start to its full capacity
	DrainGrace           Time    // time by which attempts to a draining cache must have ceased
	OverloadWindow       Time    // a cache that is overloaded over this time crashes
	SlowStartMinCapacity float64 // fraction of its capacity that a cache starts with
	Pushed               bool    // an agent pushes endpoint lists; the router does not request them

	HealthCheckCost float64 // points lost per health check per request
	ConnectionCost  float64 // points lost per 100 open connections per cache
	DialCost        float64 // points lost per new connection per request

	PeerListen string   // address for gossip; empty without gossip
	Peers      []string // gossip addresses of all routers, including this router
}

// DefaultRouterSettings returns the settings of a usual fleet with three routers.
func DefaultRouterSettings() RouterSettings {
	return RouterSettings{
		Cores: 1, MemoryMB: 256, Sockets: 1024,
		Routers: 3, Classes: DefaultClasses(), MaxAttempts: 3, AllowHealthChecks: true, AllowHedging: true, AllowCancel: true,
		RetryAfter: true, MaxRetryAfter: 1500 * Millisecond, MaxOpen: 20000, DialTimeout: 200 * Millisecond,
		Keepalive: 60 * Second, PollInterval: 6 * Second, SlowStartWindow: 23 * Second, DrainGrace: Second, OverloadWindow: 3 * Second,
		SlowStartMinCapacity: 0.16, HealthCheckCost: 0.01, ConnectionCost: 0.03, DialCost: 0.03,
	}
}

// semanticsNames are the names of Semantics in the configuration.
var semanticsNames = [...]string{Idempotent: "read_like", IdempotentByKey: "idempotency_key", NonIdempotent: "non_idempotent"}

// scopeNames are the names of deduplication scopes in the configuration.
var scopeNames = [...]string{rules.ScopeCell: "cell", rules.ScopeZone: "zone", rules.ScopeAll: "all"}

// JSON encodes the configuration in the format that a router reads. Times are in microseconds.
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
	if err != nil { // a setting is not finite, which is an error of the caller
		panic(err)
	}
	return b
}
