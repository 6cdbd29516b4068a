// Package settings reads and checks what a platform configures a router with. It is an edge: the platform's words end here,
// in the struct tags of platformSettings and the names of the schema, and convert turns them into the terms of the package
// decide.
//
// Parse is tolerant, as a platform may send more than a router knows. Check is strict, and reports everything that is wrong
// at once. Neither reads a file or starts anything.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"starlingwinch/decide"
)

// platformSettings is the platform's form of the settings. Keys that it does not name are skipped. Times are microseconds,
// and 0 where they are left out.
type platformSettings struct {
	Routers   int             `json:"instances"`
	Discovery string          `json:"discovery"` // discoverySubscribe, or automatic
	Weights   string          `json:"weights"`   // weightsLive, or another kind
	Zone      string          `json:"az"`
	Classes   []platformClass `json:"categories"`
	Limits    platformLimits  `json:"limits"`
	Rules     platformRules   `json:"rules"`
	Penalties platformCosts   `json:"penalties"`
}

// platformClass is one class of requests.
type platformClass struct {
	Name               string  `json:"name"`
	Semantics          string  `json:"effect"`     // a key of semantics
	DeduplicationScope string  `json:"dedupScope"` // a key of deduplicationScopes
	IdempotencyWindow  int64   `json:"keyTtl"`
	LatencyObjective   int64   `json:"aim"`
	ClientTimeout      int64   `json:"hardLimit"`
	PriorityWeight     float64 `json:"worth"`
	LateWeightFraction float64 `json:"lateWorth"`
}

// platformLimits are what a router may do, and how much of it.
type platformLimits struct {
	AllowCancel       bool  `json:"cancel"`
	AllowHealthChecks bool  `json:"probes"`
	AllowHedging      bool  `json:"secondCopies"`
	AllowRetryAfter   bool  `json:"retryAfter"` // rejections may name a time to stay away, up to MaxRetryAfter
	PeerMessages      bool  `json:"peerMessages"`
	MaxAttempts       *int  `json:"maxAttempts"` // nil where it is left out, which is one attempt
	MaxRetryAfter     int64 `json:"maxRetryAfter"`
	MaxOpenRequests   int   `json:"maxOpen"`
	DialTimeout       int64 `json:"dialTimeout"`
	Keepalive         int64 `json:"keepalive"`
}

// platformRules are what holds of caches and the endpoint list.
type platformRules struct {
	PollInterval         int64   `json:"askEvery"`
	SlowStartWindow      int64   `json:"cold"`
	DrainGrace           int64   `json:"drainGrace"`
	OverloadWindow       int64   `json:"fall"`
	SlowStartMinCapacity float64 `json:"startCapacity"`
}

// platformCosts are points that are lost by what a router does.
type platformCosts struct {
	HealthCheck float64 `json:"probe"`
	Connection  float64 `json:"connection"`
	Dial        float64 `json:"handshake"`
}

// The platform's words that stand for something other than the default.
const (
	discoverySubscribe = "subscribe"
	weightsLive        = "live"
)

// semantics are the platform's words for decide.Semantics. Any other word means NonIdempotent, which promises least.
var semantics = map[string]decide.Semantics{
	"read_like":       decide.Idempotent,
	"idempotency_key": decide.IdempotentByKey,
	"non_idempotent":  decide.NonIdempotent,
}

// deduplicationScopes are the platform's words for decide.DeduplicationScope. Any other word means the cell, the smallest one.
var deduplicationScopes = map[string]decide.DeduplicationScope{
	"all":  decide.DeduplicatedEverywhere,
	"zone": decide.DeduplicatedInZone,
	"cell": decide.DeduplicatedInCell,
}

// Transport holds the settings that bind the code which carries decisions out. The simulator enforces them by itself; a
// router has to. 0 stands for a setting that is left out.
type Transport struct {
	MaxOpenRequests int         // requests that a router may have open
	DialTimeout     decide.Time // a connection that is not established by then has failed
	PeerMessages    bool        // routers may send messages to one another
	Keepalive       decide.Time // a cache closes a connection that was idle for so long
}

var errNoSettings = errors.New("no settings")

// Parse reads the settings of one router. Those that are left out have the values that allow the router least.
func Parse(raw json.RawMessage) (decide.Settings, Transport, error) {
	if len(raw) == 0 {
		return decide.Settings{}, Transport{}, errNoSettings
	}
	var p platformSettings
	if err := json.Unmarshal(raw, &p); err != nil {
		return decide.Settings{}, Transport{}, fmt.Errorf("settings: %w", DescribeJSONError(err))
	}
	return p.convert(), p.transport(), nil
}

// convert returns the settings in the terms of the package decide.
func (p *platformSettings) convert() decide.Settings {
	s := decide.Settings{
		Routers:           p.Routers,
		Zone:              p.Zone,
		WatchRequired:     p.Discovery == discoverySubscribe,
		WeightsFollowLoad: p.Weights == weightsLive,

		MaxAttempts:          1,
		AllowHedging:         p.Limits.AllowHedging,
		AllowCancel:          p.Limits.AllowCancel,
		AllowHealthChecks:    p.Limits.AllowHealthChecks,
		DrainGrace:           p.Rules.DrainGrace,
		SlowStartWindow:      p.Rules.SlowStartWindow,
		SlowStartMinCapacity: p.Rules.SlowStartMinCapacity,
		OverloadWindow:       p.Rules.OverloadWindow,
		PollInterval:         p.Rules.PollInterval,
		HealthCheckCost:      p.Penalties.HealthCheck,
		ConnectionCost:       p.Penalties.Connection,
		DialCost:             p.Penalties.Dial,
	}
	if p.Limits.MaxAttempts != nil {
		s.MaxAttempts = *p.Limits.MaxAttempts
	}
	if p.Limits.AllowRetryAfter {
		s.MaxRetryAfter = p.Limits.MaxRetryAfter
	}
	for i := range p.Classes {
		s.Classes = append(s.Classes, p.Classes[i].convert())
	}
	return s
}

// convert returns a class in the terms of the package decide.
func (c *platformClass) convert() decide.Class {
	return decide.Class{
		Name:               c.Name,
		Semantics:          semantics[c.Semantics],
		DeduplicationScope: deduplicationScopes[c.DeduplicationScope],
		IdempotencyWindow:  c.IdempotencyWindow,
		LatencyObjective:   c.LatencyObjective,
		ClientTimeout:      c.ClientTimeout,
		PriorityWeight:     c.PriorityWeight,
		LateWeightFraction: c.LateWeightFraction,
	}
}

// transport returns the settings that do not concern decisions.
func (p *platformSettings) transport() Transport {
	return Transport{
		MaxOpenRequests: p.Limits.MaxOpenRequests,
		DialTimeout:     p.Limits.DialTimeout,
		PeerMessages:    p.Limits.PeerMessages,
		Keepalive:       p.Limits.Keepalive,
	}
}

// DescribeJSONError returns a decoder's error in words that name no Go types. Callers print it beside the name of what was read.
func DescribeJSONError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("wrong shape: %s where %q is read", t.Value, t.Field)
	}
	return fmt.Errorf("not JSON: %w", err)
}
