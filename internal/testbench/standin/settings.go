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

	Routers     int
	Classes     []Class
	MaxAttempts int
	Probes      bool
	Copies      bool
	Cancel      bool
	RetryAfter  bool
	MaxWait     Time // longest advice that clients follow
	MaxOpen     int
	DialTimeout Time
	Keepalive   Time
	AskEvery    Time
	Cold        Time
	DrainGrace  Time
	Fall        Time
	ColdShare   float64
	Pushed      bool // lists are pushed; else discovery has to be asked

	ProbePrice, ConnPrice, DialPrice float64

	PeerListen string   // where messages of other routers come to; empty where there are none
	Peers      []string // of the routers, its own address among them
}

// DefaultRouterSettings are those of the operators' fleet.
func DefaultRouterSettings() RouterSettings {
	return RouterSettings{
		Cores: 1, MemoryMB: 256, Sockets: 1024,
		Routers: 3, Classes: DefaultClasses(), MaxAttempts: 3, Probes: true, Copies: true, Cancel: true,
		RetryAfter: true, MaxWait: 1500 * Millisecond, MaxOpen: 20000, DialTimeout: 200 * Millisecond,
		Keepalive: 60 * Second, AskEvery: 6 * Second, Cold: 23 * Second, DrainGrace: Second, Fall: 3 * Second,
		ColdShare: 0.16, ProbePrice: 0.01, ConnPrice: 0.03, DialPrice: 0.03,
	}
}

// The names that effects have in the settings.
var effectNames = [...]string{Safe: "read_like", Keyed: "idempotency_key", Unsafe: "non_idempotent"}

// The names that groups have in the settings.
var scopeNames = [...]string{rules.ScopeCell: "cell", rules.ScopeZone: "zone", rules.ScopeAll: "all"}

// JSON is the configuration as a router reads it. Times are in microseconds.
func (s RouterSettings) JSON() []byte {
	type object = map[string]any
	categories := []object{}
	for _, c := range s.Classes {
		categories = append(categories, object{"name": c.Name, "effect": effectNames[c.Effect], "dedupScope": scopeNames[c.Scope],
			"keyTtl": c.Window, "aim": c.Aim, "hardLimit": c.Deadline, "worth": c.Worth, "lateWorth": c.LateWorth})
	}
	mode, askEvery := "subscribe", s.AskEvery
	if s.Pushed {
		mode, askEvery = "automatic", 0
	}
	settings := object{
		"instances": s.Routers, "discovery": mode, "weights": "none", "categories": categories,
		"limits": object{"cancel": s.Cancel, "probes": s.Probes, "secondCopies": s.Copies, "retryAfter": s.RetryAfter,
			"maxAttempts": s.MaxAttempts, "maxRetryAfter": s.MaxWait, "maxOpen": s.MaxOpen,
			"dialTimeout": s.DialTimeout, "keepalive": s.Keepalive},
		"rules": object{"askEvery": askEvery, "cold": s.Cold, "drainGrace": s.DrainGrace, "fall": s.Fall,
			"startCapacity": s.ColdShare},
		"penalties": object{"probe": s.ProbePrice, "connection": s.ConnPrice, "handshake": s.DialPrice},
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
