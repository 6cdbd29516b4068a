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

// Config is the configuration of a router: the platform's file, read by ParseConfig, and the operators' files.
type Config struct {
	Name         string
	Listen       string   // address for clients
	Discovery    string   // address of the discovery service
	Seed         uint64   // of the random draws; 0 for one of the machine's
	RouterNumber int      // the router's number among its peers, from 0; below 0 where it is not known
	RouterCount  int      // routers of the cluster; 0 where the router's number is not known
	PeerListen   string   // address for gossip; empty for none
	PeerAddrs    []string // gossip addresses of all routers of the cluster, this one's included
	Digest       uint32   // of the settings, which are the same for all routers of the cluster
	Build        uint32   // digest of the program's version
	Limits       Limits
	LastKnown    discovery.List // the endpoint list as last known; may be old
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

// configDocument is the platform's file as it is written.
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

// ParseConfig reads the platform's file. The operators' files are left at their defaults. The error names the field that is
// wrong.
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
		return document, fmt.Errorf("%s: a %s stands where %s is wanted", wrongType.Field, wrongType.Value, wrongType.Type.Kind())
	}
	return document, fmt.Errorf("not JSON: %w", err)
}

// checkAddresses names the first address that is not valid.
func (c *Config) checkAddresses() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// parseSeed reads a seed; an empty text is 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", text)
	}
	return seed, nil
}

// check names the first limit that is out of range. 0 stands for the default.
func (l Limits) check() error {
	isCoresValid := l.Cores >= 0 && l.Cores <= settings.MaxCores // false also where it is not a number
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

// checkTransport refuses times that would overflow into negative ones: every dial would fail, or every connection be closed.
func checkTransport(t settings.Transport) error {
	if t.DialTimeout > settings.MaxTime {
		return errors.New("settings.limits.dialTimeout: out of range")
	}
	if t.Keepalive > settings.MaxTime {
		return errors.New("settings.limits.keepalive: out of range")
	}
	return nil
}

// setDefaults fills in what the platform's file leaves out.
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

// digestOf returns a digest of a part of the configuration.
func digestOf(raw []byte) uint32 {
	digest := fnv.New32a()
	digest.Write(raw)
	return digest.Sum32()
}
