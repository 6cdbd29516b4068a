package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strconv"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/gossip"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/settings"
	"starlingwinch/internal/snapshotstore"
)

// Config is what a router is told at its start.
type Config struct {
	Name         string
	Listen       string // address for clients
	Discovery    string // address of the discovery service
	Seed         uint64
	RouterNumber int      // the router's number among its peers, from 0
	RouterCount  int      // routers of the tier; 0 where its place among them is not told
	PeerListen   string   // where messages of other routers come to; empty where none do
	PeerAddrs    []string // of the routers of the tier, its own among them
	Digest       uint32   // of the platform's file, but for what differs from router to router
	Build        uint32   // digest of the program's version
	Limits       Limits
	LastKnown    discovery.List // the caches as last known; may be old
	Settings     decide.Settings
	Transport    settings.Transport

	// The operators' files.
	OperatorLimits limits.Limits
	Endpoints      endpoints.Config
	Eureka         eureka.Config
	Hooks          hooks.Config
	SnapshotStore  snapshotstore.Config
	RetryStorm     retrystorm.Config
	Events         eventlog.Config
	Gossip         gossip.OperatorConfig

	// Wrap puts something between the contract and the decision module; nil for nothing. It is there for
	// tests that plant a defect.
	Wrap func(guard.Module) guard.Module
	// GuardObserveOnly has the guard count what is not allowed and prevent none of it. It is there for the same tests.
	GuardObserveOnly bool
}

// Limits are those of the router's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Defaults for what the configuration leaves out, in microseconds.
const (
	defaultDialTimeout = 250_000
	defaultKeepalive   = 15_000_000
)

// ParseConfig reads the configuration. The error names the field that is wrong.
func ParseConfig(raw []byte) (*Config, error) {
	var in struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Peers     []string        `json:"peers"`
		PeerAddr  string          `json:"peer_listen"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return nil, fmt.Errorf("%s: a %s stands where %s is wanted", t.Field, t.Value, t.Type.Kind())
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	c := &Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Limits: in.Limits,
		LastKnown: discovery.List{Index: discovery.NoIndex}, OperatorLimits: limits.Default(), Endpoints: endpoints.DefaultConfig(),
		Eureka: eureka.Default(), SnapshotStore: snapshotstore.Default(), RetryStorm: retrystorm.Default(),
		Gossip: gossip.DefaultOperatorConfig(), PeerListen: in.PeerAddr, PeerAddrs: in.Peers}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if in.Seed != "" {
		seed, err := strconv.ParseUint(in.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", in.Seed)
		}
		c.Seed = seed
	}
	if c.RouterNumber = slices.Index(in.Peers, in.PeerAddr); c.RouterNumber >= 0 {
		c.RouterCount = len(in.Peers)
	}
	for _, f := range []struct {
		name string
		bad  bool
	}{{"cores", !(c.Limits.Cores >= 0 && c.Limits.Cores <= settings.MaxCores)},
		{"memory_mb", c.Limits.MemoryMB < 0 || c.Limits.MemoryMB > settings.MaxMemoryMB},
		{"sockets", c.Limits.Sockets < 0 || c.Limits.Sockets > 0 && c.Limits.Sockets < minSockets}} {
		if f.bad {
			return nil, fmt.Errorf("limits.%s: out of range", f.name)
		}
	}
	var err error
	if len(in.Known) > 0 && string(in.Known) != "null" {
		if c.LastKnown, err = discovery.Parse(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if c.Settings, c.Transport, err = settings.Parse(in.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// The danger: a time that overflows turns negative, and every dial fails or every connection is closed.
	if c.Transport.DialTimeout > settings.MaxTime {
		return nil, errors.New("settings.limits.dialTimeout: out of range")
	}
	if c.Transport.Keepalive > settings.MaxTime {
		return nil, errors.New("settings.limits.keepalive: out of range")
	}
	if c.Transport.DialTimeout <= 0 {
		c.Transport.DialTimeout = defaultDialTimeout
	}
	if c.Transport.Keepalive <= 0 {
		c.Transport.Keepalive = defaultKeepalive
	}
	c.Digest = digestOf(in.Settings)
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	return c, nil
}

// digestOf is a digest of a part of the configuration.
func digestOf(raw []byte) uint32 {
	f := fnv.New32a()
	f.Write(raw)
	return f.Sum32()
}
