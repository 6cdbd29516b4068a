// Package settings parses and checks the configuration that a platform gives to a router. The platform's names stand only in
// this package, in the struct tags of platformSettings and in the schema; the convert methods translate them into the terms of
// the package decide.
//
// Parse ignores unknown keys, because a platform may send keys that a router does not use. Check is strict and reports all
// errors at once. Neither function opens files or starts anything.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"starlingwinch/decide"
)

// platformSettings is the JSON form of the settings. Decoding ignores keys without a field. Times are microseconds, and 0 if the
// key is absent.
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

// platformLimits holds the features that a router may use, and limits on them.
type platformLimits struct {
	AllowCancel       bool  `json:"cancel"`
	AllowHealthChecks bool  `json:"probes"`
	AllowHedging      bool  `json:"secondCopies"`
	AllowRetryAfter   bool  `json:"retryAfter"` // rejections may carry a retry-after time of at most MaxRetryAfter
	PeerMessages      bool  `json:"peerMessages"`
	MaxAttempts       *int  `json:"maxAttempts"` // nil if absent, which means one attempt
	MaxRetryAfter     int64 `json:"maxRetryAfter"`
	MaxOpenRequests   int   `json:"maxOpen"`
	DialTimeout       int64 `json:"dialTimeout"`
	Keepalive         int64 `json:"keepalive"`
}

// platformRules holds the properties of caches and of the endpoint list.
type platformRules struct {
	PollInterval         int64   `json:"askEvery"`
	SlowStartWindow      int64   `json:"cold"`
	DrainGrace           int64   `json:"drainGrace"`
	OverloadWindow       int64   `json:"fall"`
	SlowStartMinCapacity float64 `json:"startCapacity"`
}

// platformCosts holds the penalty points for actions of a router.
type platformCosts struct {
	HealthCheck float64 `json:"probe"`
	Connection  float64 `json:"connection"`
	Dial        float64 `json:"handshake"`
}

// Values of Discovery and Weights that change the default behaviour.
const (
	discoverySubscribe = "subscribe"
	weightsLive        = "live"
)

// semantics maps the platform's names to decide.Semantics. Any other name means NonIdempotent, the semantics with the fewest
// guarantees.
var semantics = map[string]decide.Semantics{
	"read_like":       decide.Idempotent,
	"idempotency_key": decide.IdempotentByKey,
	"non_idempotent":  decide.NonIdempotent,
}

// deduplicationScopes maps the platform's names to decide.DeduplicationScope. Any other name means the cell, the smallest scope.
var deduplicationScopes = map[string]decide.DeduplicationScope{
	"all":  decide.DeduplicatedEverywhere,
	"zone": decide.DeduplicatedInZone,
	"cell": decide.DeduplicatedInCell,
}

// Transport holds the settings for the code that executes decisions. The simulator enforces these limits itself; outside the
// simulator, the router's transport must enforce them. A value of 0 means that the setting is absent.
type Transport struct {
	MaxOpenRequests int         // maximum number of open requests of a router
	DialTimeout     decide.Time // a connection that is not established within this time has failed
	PeerMessages    bool        // whether routers may send messages to one another
	Keepalive       decide.Time // idle time after which a cache closes a connection
}

var errNoSettings = errors.New("no settings")

// Parse parses the settings of one router. Absent settings get the most restrictive values.
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

// convert returns the settings for the package decide.
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

// convert returns the class for the package decide.
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

// transport returns the settings for the code that executes decisions.
func (p *platformSettings) transport() Transport {
	return Transport{
		MaxOpenRequests: p.Limits.MaxOpenRequests,
		DialTimeout:     p.Limits.DialTimeout,
		PeerMessages:    p.Limits.PeerMessages,
		Keepalive:       p.Limits.Keepalive,
	}
}

// DescribeJSONError converts an error of the JSON decoder to one whose text names no Go types. The text does not say which input
// was decoded, so callers add that.
func DescribeJSONError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("wrong type: %s in field %q", typeErr.Value, typeErr.Field)
	}
	return fmt.Errorf("not JSON: %w", err)
}
