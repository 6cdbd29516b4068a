package retrystorm

import (
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Config is an operators' file of the kind "storm". Its tags hold the words of the file.
type Config struct {
	// Enabled switches the detector on. Without it the bounds never change.
	Enabled bool `toml:"enabled" doc:"storms are noticed and damped"`

	// Enter is a ratio of requests. Raising it detects storms later; lowering it takes ordinary retries for a storm.
	Enter float64 `toml:"enter" min:"0.01" max:"1" doc:"share of retries among all that is asked at which a storm rises"`
	// Leave is a ratio of requests, below Enter. Raising it ends storms earlier, and lets them come back; lowering it keeps
	// bounds for longer.
	Leave float64 `toml:"leave" min:"0" max:"1" doc:"share of retries below which it is over"`
	// EnterOutage is a ratio of attempts. Raising it misses partial outages; lowering it takes the loss of a few caches for
	// an outage.
	EnterOutage float64 `toml:"enter_away" min:"0.05" max:"1" doc:"share of attempts that meet no cache at which a storm rises"`
	// MinRetryRate is a number of retries a second. Raising it ignores storms of few clients; lowering it lets a few retries
	// of little traffic count as a storm.
	MinRetryRate float64 `toml:"least_rate" min:"0.1" max:"100000" doc:"retries a second below which nothing is a storm"`
	// Confirm is the time in the state rising. Raising it detects storms later; lowering it takes short bursts for storms.
	Confirm time.Duration `toml:"confirm" min:"0s" max:"10s" doc:"a rising storm that lasts so long is one"`
	// Settle is the time for which rates have to be low. Raising it keeps bounds for longer; lowering it lets the state flap.
	Settle time.Duration `toml:"settle" min:"100ms" max:"30s" doc:"shares have to stay low so long before bounds rise again"`
	// RecoveryTime is the time in which bounds are relaxed. Raising it rejects retries for longer; lowering it lets clients
	// that wait come back together.
	RecoveryTime time.Duration `toml:"ease" min:"100ms" max:"1m" doc:"bounds rise to what they were within that time"`

	// RetryBudgetFraction is a fraction of the retry budget. Raising it spends more work on retries; lowering it fails more
	// requests whose first attempt failed.
	RetryBudgetFraction float64 `toml:"retries" min:"0" max:"1" doc:"share of the budget of retries that is left in a storm"`
	// MinRetryAfterJitter is the jitter at the start of a storm. Raising it keeps clients away for longer; lowering it has
	// them come back together.
	MinRetryAfterJitter time.Duration `toml:"least_wait" min:"1ms" max:"10s" doc:"refusals name times that differ by up to so much, at first"`
	// MaxRetryAfterJitter is the jitter in a storm that goes on. Its costs are those of MinRetryAfterJitter.
	MaxRetryAfterJitter time.Duration `toml:"most_wait" min:"1ms" max:"1m" doc:"and in a storm that goes on; never past what clients honour"`

	// Remembered is a number of requests, 16 bytes each. Raising it costs memory; lowering it misses retries in a large storm.
	Remembered int `toml:"remembered" min:"1024" max:"4194304" doc:"refusals that are remembered, to know them when they come back (16 bytes each)"`
	// FairShareFactor is a multiple of the mean of all addresses. Raising it leaves more to a single aggressive address;
	// lowering it rejects busy addresses that do no harm.
	FairShareFactor float64 `toml:"address_share" min:"0" max:"1000" doc:"times the fair share that one address may ask for in a storm; 0 for any"`
	// MinAddresses is a number of addresses a second. Raising it bounds no address in small installations; lowering it can
	// bound a proxy that speaks for many clients.
	MinAddresses int `toml:"addresses" min:"2" max:"100000" doc:"addresses below which there are no fair shares: a front layer speaks for all"`
	// LimitReconnects has the first connections to a cache after an outage be opened one at a time.
	LimitReconnects bool `toml:"gentle_dials" doc:"connections to a cache that was away are opened one at a time at first"`
}

// Default returns what holds where no file says otherwise: the detector is off.
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

// DefaultEnabled returns the default with the detector on.
func DefaultEnabled() Config {
	c := Default()
	c.Enabled = true
	return c
}

// Kind is the kind of operators' file that holds a Config.
var Kind = operatorconfig.Define("storm", "storms of retries and reconnects", Default(), check)

// check reports figures that are wrong beside one another.
func check(c Config, bad operatorconfig.ReportFunc) {
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
