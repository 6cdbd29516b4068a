package retrystorm

import (
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Config is the content of an operator configuration file of the kind "storm". The struct tags hold the key names of the file.
type Config struct {
	// Enabled enables the detector. If the detector is disabled, the bounds never change.
	Enabled bool `toml:"enabled" doc:"storms are noticed and damped"`

	// Enter is the ratio of retries to requests at which a storm begins. A higher value detects storms later. A lower value
	// mistakes ordinary retries for a storm.
	Enter float64 `toml:"enter" min:"0.01" max:"1" doc:"share of retries among all that is asked at which a storm rises"`
	// Leave is the ratio of retries to requests below which a storm ends. It must be below Enter. A higher value ends storms
	// earlier, and lets them recur. A lower value applies the bounds for longer.
	Leave float64 `toml:"leave" min:"0" max:"1" doc:"share of retries below which it is over"`
	// EnterOutage is the ratio of attempts that do not reach their cache at which a storm begins. A higher value misses
	// partial outages. A lower value mistakes the loss of a few caches for an outage.
	EnterOutage float64 `toml:"enter_away" min:"0.05" max:"1" doc:"share of attempts that meet no cache at which a storm rises"`
	// MinRetryRate is the minimum number of retries per second in a storm. A higher value ignores storms of few clients. With a
	// lower value, a few retries during low traffic count as a storm.
	MinRetryRate float64 `toml:"least_rate" min:"0.1" max:"100000" doc:"retries a second below which nothing is a storm"`
	// Confirm is the time after which a rising storm is confirmed. A higher value detects storms later. A lower value mistakes
	// short bursts for storms.
	Confirm time.Duration `toml:"confirm" min:"0s" max:"10s" doc:"a rising storm that lasts so long is one"`
	// Settle is the time for which rates must be low before a storm ends. A higher value applies the bounds for longer. A lower
	// value lets the state flap.
	Settle time.Duration `toml:"settle" min:"100ms" max:"30s" doc:"shares have to stay low so long before bounds rise again"`
	// RecoveryTime is the time over which the bounds are relaxed. A higher value rejects retries for longer. A lower value lets
	// waiting clients retry at the same time.
	RecoveryTime time.Duration `toml:"ease" min:"100ms" max:"1m" doc:"bounds rise to what they were within that time"`

	// RetryBudgetFraction is the fraction of the retry budget that is available in a storm. A higher value spends more capacity
	// on retries. A lower value fails more requests whose first attempt failed.
	RetryBudgetFraction float64 `toml:"retries" min:"0" max:"1" doc:"share of the budget of retries that is left in a storm"`
	// MinRetryAfterJitter is the jitter of retry-after times at the start of a storm. A higher value delays clients for longer.
	// A lower value lets them retry at the same time.
	MinRetryAfterJitter time.Duration `toml:"least_wait" min:"1ms" max:"10s" doc:"refusals name times that differ by up to so much, at first"`
	// MaxRetryAfterJitter is the maximum jitter, reached in a long storm. The trade-offs are those of MinRetryAfterJitter.
	MaxRetryAfterJitter time.Duration `toml:"most_wait" min:"1ms" max:"1m" doc:"and in a storm that goes on; never past what clients honour"`

	// Remembered is the capacity for unserved requests, at 16 bytes each. A higher value uses more memory. A lower value misses
	// retries in a large storm.
	Remembered int `toml:"remembered" min:"1024" max:"4194304" doc:"refusals that are remembered, to know them when they come back (16 bytes each)"`
	// FairShareFactor is the number of requests that an address may make in a storm, as a multiple of the mean of all
	// addresses. 0 means no limit. A higher value permits more requests of a single aggressive address. A lower value rejects
	// requests of busy but harmless addresses.
	FairShareFactor float64 `toml:"address_share" min:"0" max:"1000" doc:"times the fair share that one address may ask for in a storm; 0 for any"`
	// MinAddresses is the minimum number of addresses per second at which fair shares apply. With a higher value, no address
	// is limited in small installations. A lower value can limit a proxy that represents many clients.
	MinAddresses int `toml:"addresses" min:"2" max:"100000" doc:"addresses below which there are no fair shares: a front layer speaks for all"`
	// LimitReconnects makes the router open the first connections to a cache after an outage one at a time.
	LimitReconnects bool `toml:"gentle_dials" doc:"connections to a cache that was away are opened one at a time at first"`
}

// Default returns the configuration that applies without a file of this kind: the detector is disabled.
func Default() Config {
	return Config{
		Enabled: false,

		Enter:        0.2,
		Leave:        0.08,
		EnterOutage:  0.5,
		MinRetryRate: 5,
		Confirm:      200 * time.Millisecond,
		Settle:       300 * time.Millisecond,
		RecoveryTime: 500 * time.Millisecond,

		RetryBudgetFraction: 0.1,
		MinRetryAfterJitter: 250 * time.Millisecond,
		MaxRetryAfterJitter: time.Second,

		Remembered:      1 << 16,
		FairShareFactor: 8,
		MinAddresses:    16,
		LimitReconnects: true,
	}
}

// DefaultEnabled returns the default configuration with the detector enabled.
func DefaultEnabled() Config {
	c := Default()
	c.Enabled = true
	return c
}

// Kind is the kind of operator configuration file that holds a Config.
var Kind = operatorconfig.Define("storm", "storms of retries and reconnects", Default(), checkConfig)

// checkConfig reports values that contradict one another.
func checkConfig(c Config, bad operatorconfig.ReportFunc) {
	if c.Leave >= c.Enter {
		bad("leave", "not below enter (%v, wanted below %v)", c.Leave, c.Enter)
	}
	if c.MinRetryAfterJitter > c.MaxRetryAfterJitter {
		bad("least_wait", "above most_wait (%s, wanted at most %s)",
			operatorconfig.FormatDuration(c.MinRetryAfterJitter), operatorconfig.FormatDuration(c.MaxRetryAfterJitter))
	}
	if c.FairShareFactor > 0 && c.FairShareFactor < 1 {
		bad("address_share", "below a fair share (%v, wanted 0 or at least 1)", c.FairShareFactor)
	}
}
