package snapshotstore

import (
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/snapshot"
)

// Config is an operators' file of the kind "state". Its tags hold the words of the file; HalfLives below translates them.
type Config struct {
	// Folder is an absolute path. Empty switches the store off: each start of a router learns anew.
	Folder string `toml:"folder" max:"4096" doc:"the folder that the state is kept in, which must be there and be this router's alone; empty for none"`
	// WriteInterval is the least time between two writes. Raising it loses more at a crash; lowering it costs disk writes.
	WriteInterval time.Duration `toml:"every" min:"50ms" max:"1h" doc:"between two writes, at least"`
	// WriteAtEnd has a drain wait for one more write, so that the next process starts from the latest figures.
	WriteAtEnd bool `toml:"at_end" doc:"write once more at the end of a drain, however soon after the last time"`
	// MaxAge bounds what is believed at a start. Raising it lets a router act on older figures; lowering it has one that was
	// down for longer start with nothing.
	MaxAge time.Duration `toml:"oldest" min:"1s" max:"720h" doc:"what was known longer ago is nothing"`
	// KeysPerEndpoint is a number of keys, 8 bytes each. Raising it makes files larger; lowering it makes the first requests
	// after a restart miss more often.
	KeysPerEndpoint int `toml:"keys" min:"0" max:"4096" doc:"keys that each cache likely keeps, at most"`
	// HalfLife says how fast each figure loses its weight.
	HalfLife HalfLives `toml:"half_life"`
}

// HalfLives are the half-lives of figures, in the words of the file. Raising one has a router believe older figures for
// longer; lowering it has it start closer to the defaults; 0 ignores the figure.
type HalfLives struct {
	// Limit is that of the concurrency limits of caches.
	Limit time.Duration `toml:"limit" min:"0s" max:"720h" doc:"requests out at a cache"`
	// Late is that of the ratios of late answers.
	Late time.Duration `toml:"late" min:"0s" max:"720h" doc:"share of a cache's answers that come late"`
	// Erring is that of the ratios of errors.
	Erring time.Duration `toml:"erring" min:"0s" max:"720h" doc:"shares of errors"`
	// Health is that of the results of health checks.
	Health time.Duration `toml:"health" min:"0s" max:"720h" doc:"marks of probes"`
	// Keys is that of the keys that caches likely hold.
	Keys time.Duration `toml:"keys" min:"0s" max:"720h" doc:"keys that caches likely keep"`
	// Zones is that of failed connections to zones.
	Zones time.Duration `toml:"zones" min:"0s" max:"720h" doc:"zones out of reach"`
	// Origin is that of the origin's concurrency limit and miss ratio.
	Origin time.Duration `toml:"origin" min:"0s" max:"720h" doc:"bounds towards the origin"`
	// Retry is that of the retry budget and the ratio of lost attempts.
	Retry time.Duration `toml:"retry" min:"0s" max:"720h" doc:"budget of retries and share of lost attempts"`
}

// Default returns what holds where no file says otherwise: the store is off.
//
// The origin's limits and the retry budget are not restored by default: after an outage, a new process does better with its
// starting values than with the low ones of the outage.
func Default() Config {
	return Config{
		WriteInterval:   2 * time.Second,
		WriteAtEnd:      true,
		MaxAge:          5 * time.Minute,
		KeysPerEndpoint: 64,
		HalfLife: HalfLives{
			Limit:  3 * time.Second,
			Late:   10 * time.Second,
			Erring: 4 * time.Second,
			Health: 10 * time.Second,
			Keys:   20 * time.Second,
			Zones:  5 * time.Second,
			Origin: 0,
			Retry:  0,
		},
	}
}

// Kind is the kind of operators' file that holds a Config.
var Kind = operatorconfig.Define("state", "what a router has learned, kept over a restart", Default(), checkConfig)

// checkConfig reports figures that are wrong beside one another, and a folder that is no absolute path.
func checkConfig(c Config, bad operatorconfig.ReportFunc) {
	if c.Folder != "" && !strings.HasPrefix(c.Folder, "/") {
		bad("folder", "not an absolute path (%.80q)", c.Folder)
	}
	if c.MaxAge < c.WriteInterval {
		bad("oldest", "below every (%s, wanted at least %s)",
			operatorconfig.FormatDuration(c.MaxAge), operatorconfig.FormatDuration(c.WriteInterval))
	}
}

// HalfLives returns the half-lives as the package snapshot takes them.
func (c Config) HalfLives() snapshot.HalfLives {
	return snapshot.HalfLives{
		ConcurrencyLimit: c.HalfLife.Limit.Microseconds(),
		LateRatio:        c.HalfLife.Late.Microseconds(),
		ErrorRatio:       c.HalfLife.Erring.Microseconds(),
		Health:           c.HalfLife.Health.Microseconds(),
		Keys:             c.HalfLife.Keys.Microseconds(),
		Zones:            c.HalfLife.Zones.Microseconds(),
		Origin:           c.HalfLife.Origin.Microseconds(),
		Retry:            c.HalfLife.Retry.Microseconds(),
	}
}
