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

// Config is the configuration of a router. It combines the platform's file, which ParseConfig reads, with the operators' files.
type Config struct {
	Name         string
	Listen       string   // address for clients
	Discovery    string   // address of the discovery service
	Seed         uint64   // of the random number generators; 0 takes a seed from the machine's entropy source
	RouterNumber int      // the router's index among its peers, from 0; negative if unknown
	RouterCount  int      // number of routers in the cluster; 0 if RouterNumber is unknown
	PeerListen   string   // address for gossip; empty for none
	PeerAddrs    []string // gossip addresses of all routers of the cluster, including this router
	Digest       uint32   // digest of the settings, which are the same for all routers of the cluster
	Build        uint32   // digest of the program's version
	Limits       Limits
	LastKnown    discovery.List // the last known endpoint list; may be outdated
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

	// WrapModule, if not nil, returns the module that the contract calls in place of the decision module. Tests use it to plant a
	// defect.
	WrapModule func(guard.Module) guard.Module
	// GuardObserveOnly makes the guard count violations without preventing them. It serves the same tests.
	GuardObserveOnly bool
}

// Limits are the resource limits of the machine that the router runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Defaults for settings that the configuration omits, in microseconds.
const (
	defaultDialTimeout = 250_000
	defaultKeepalive   = 15_000_000
)

// configDocument is the JSON document in the platform's file.
type configDocument struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Peers     []string        `json:"peers"`
	PeerAddr  string          `json:"peer_listen"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// ParseConfig parses the platform's file, and sets the configuration of the operators' files to its defaults. The error names the
// invalid field.
func ParseConfig(raw []byte) (*Config, error) {
	document, err := decodeConfig(raw)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:           document.Name,
		Listen:         document.Listen,
		Discovery:      document.Discovery,
		PeerListen:     document.PeerAddr,
		PeerAddrs:      document.Peers,
		Limits:         document.Limits,
		LastKnown:      discovery.List{Index: discovery.NoIndex},
		OperatorLimits: limits.Default(),
		Endpoints:      endpoints.DefaultConfig(),
		Eureka:         eureka.Default(),
		SnapshotStore:  snapshotstore.Default(),
		RetryStorm:     retrystorm.Default(),
		Gossip:         gossip.DefaultOperatorConfig(),
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if c.Seed, err = parseSeed(document.Seed); err != nil {
		return nil, err
	}
	c.RouterNumber = slices.Index(document.Peers, document.PeerAddr)
	if c.RouterNumber >= 0 {
		c.RouterCount = len(document.Peers)
	}
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	if len(document.Known) > 0 && string(document.Known) != "null" {
		if c.LastKnown, err = discovery.Parse(document.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if c.Settings, c.Transport, err = settings.Parse(document.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := checkTransport(c.Transport); err != nil {
		return nil, err
	}
	c.Digest = digestOf(document.Settings)
	c.setDefaults()
	return c, nil
}

// decodeConfig decodes the platform's file.
func decodeConfig(raw []byte) (document configDocument, err error) {
	err = json.Unmarshal(raw, &document)
	if err == nil {
		return document, nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return document, fmt.Errorf("%s: got a JSON %s, want %s", wrongType.Field, wrongType.Value, wrongType.Type.Kind())
	}
	return document, fmt.Errorf("not JSON: %w", err)
}

// checkAddresses returns an error that names the first invalid address.
func (c *Config) checkAddresses() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// parseSeed parses a hexadecimal seed. An empty text gives 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", text)
	}
	return seed, nil
}

// check returns an error that names the first limit that is out of range. 0 selects the default.
func (l Limits) check() error {
	isCoresValid := l.Cores >= 0 && l.Cores <= settings.MaxCores // false for NaN
	switch {
	case !isCoresValid:
		return errors.New("limits.cores: out of range")
	case l.MemoryMB < 0 || l.MemoryMB > settings.MaxMemoryMB:
		return errors.New("limits.memory_mb: out of range")
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return errors.New("limits.sockets: out of range")
	}
	return nil
}

// checkTransport returns an error for durations that would overflow to negative values, with which every dial would fail or every
// connection would be closed.
func checkTransport(t settings.Transport) error {
	if t.DialTimeout > settings.MaxTime {
		return errors.New("settings.limits.dialTimeout: out of range")
	}
	if t.Keepalive > settings.MaxTime {
		return errors.New("settings.limits.keepalive: out of range")
	}
	return nil
}

// setDefaults sets the defaults for the transport settings and limits that the platform's file omits.
func (c *Config) setDefaults() {
	if c.Transport.DialTimeout <= 0 {
		c.Transport.DialTimeout = defaultDialTimeout
	}
	if c.Transport.Keepalive <= 0 {
		c.Transport.Keepalive = defaultKeepalive
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
}

// digestOf returns the 32-bit FNV-1a hash of a part of the configuration.
func digestOf(raw []byte) uint32 {
	digest := fnv.New32a()
	digest.Write(raw)
	return digest.Sum32()
}
