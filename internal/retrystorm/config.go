package retrystorm

import (
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Config is what operators may set, in a file of the kind "storm".
type Config struct {
	Enabled bool `toml:"enabled" doc:"storms are noticed and damped"`

	Enter        float64       `toml:"enter" min:"0.01" max:"1" doc:"share of retries among all that is asked at which a storm rises"`
	Leave        float64       `toml:"leave" min:"0" max:"1" doc:"share of retries below which it is over"`
	EnterOutage  float64       `toml:"enter_away" min:"0.05" max:"1" doc:"share of attempts that meet no cache at which a storm rises"`
	MinRetryRate float64       `toml:"least_rate" min:"0.1" max:"100000" doc:"retries a second below which nothing is a storm"`
	Confirm      time.Duration `toml:"confirm" min:"0s" max:"10s" doc:"a rising storm that lasts so long is one"`
	Settle       time.Duration `toml:"settle" min:"100ms" max:"30s" doc:"shares have to stay low so long before bounds rise again"`
	RecoveryTime time.Duration `toml:"ease" min:"100ms" max:"1m" doc:"bounds rise to what they were within that time"`

	RetryBudgetFraction float64       `toml:"retries" min:"0" max:"1" doc:"share of the budget of retries that is left in a storm"`
	MinRetryAfterJitter time.Duration `toml:"least_wait" min:"1ms" max:"10s" doc:"refusals name times that differ by up to so much, at first"`
	MaxRetryAfterJitter time.Duration `toml:"most_wait" min:"1ms" max:"1m" doc:"and in a storm that goes on; never past what clients honour"`

	Remembered      int     `toml:"remembered" min:"1024" max:"4194304" doc:"refusals that are remembered, to know them when they come back (16 bytes each)"`
	FairShareFactor float64 `toml:"address_share" min:"0" max:"1000" doc:"times the fair share that one address may ask for in a storm; 0 for any"`
	MinAddresses    int     `toml:"addresses" min:"2" max:"100000" doc:"addresses below which there are no fair shares: a front layer speaks for all"`
	LimitReconnects bool    `toml:"gentle_dials" doc:"connections to a cache that was away are opened one at a time at first"`
}

// DefaultEnabled is the default, switched on.
func DefaultEnabled() Config {
	c := Default()
	c.Enabled = true
	return c
}

// Default is what holds where no file says otherwise.
func Default() Config {
	return Config{
		Enabled: false,
		Enter:   0.2, Leave: 0.08, EnterOutage: 0.5, MinRetryRate: 5,
		Confirm: 200 * time.Millisecond, Settle: 300 * time.Millisecond, RecoveryTime: 500 * time.Millisecond,
		RetryBudgetFraction: 0.1, MinRetryAfterJitter: 250 * time.Millisecond, MaxRetryAfterJitter: time.Second,
		Remembered: 1 << 16, FairShareFactor: 8, MinAddresses: 16, LimitReconnects: true,
	}
}

// Kind is the kind of file that sets it.
var Kind = operatorconfig.Define("storm", "storms of retries and reconnects", Default(), check)

// check looks at figures that bind one another.
func check(c Config, bad operatorconfig.ReportFunc) {
	if c.Leave >= c.Enter {
		bad("leave", "not below enter (%v, wanted below %v)", c.Leave, c.Enter)
	}
	if c.MinRetryAfterJitter > c.MaxRetryAfterJitter {
		bad("least_wait", "above most_wait (%s, wanted at most %s)", operatorconfig.FormatDuration(c.MinRetryAfterJitter), operatorconfig.FormatDuration(c.MaxRetryAfterJitter))
	}
	if c.FairShareFactor > 0 && c.FairShareFactor < 1 {
		bad("address_share", "below a fair share (%v, wanted 0 or at least 1)", c.FairShareFactor)
	}
}
