package snapshotstore

import (
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/snapshot"
)

// Config is the content of an operator configuration file of the kind "state". The struct tags hold the key names of the file.
type Config struct {
	// Folder is an absolute path. An empty path disables the store, and a restarted router has no learned state.
	Folder string `toml:"folder" max:"4096" doc:"the folder that the state is kept in, which must be there and be this router's alone; empty for none"`
	// WriteInterval is the minimum time between two writes. A higher value loses more state in a crash. A lower value
	// causes more disk writes.
	WriteInterval time.Duration `toml:"every" min:"50ms" max:"1h" doc:"between two writes, at least"`
	// WriteAtEnd makes a drain wait for a final write, so that the next process starts with the latest figures.
	WriteAtEnd bool `toml:"at_end" doc:"write once more at the end of a drain, however soon after the last time"`
	// MaxAge is the maximum age of restored state. With a higher value, a router may act on older figures. With a lower value, a
	// router that was down for longer starts without learned state.
	MaxAge time.Duration `toml:"oldest" min:"1s" max:"720h" doc:"what was known longer ago is nothing"`
	// KeysPerEndpoint is the maximum number of keys per cache, at 8 bytes each. A higher value makes files larger. With a lower
	// value, the first requests after a restart miss more often.
	KeysPerEndpoint int `toml:"keys" min:"0" max:"4096" doc:"keys that each cache likely keeps, at most"`
	// HalfLife holds the half-life of each figure.
	HalfLife HalfLives `toml:"half_life"`
}

// HalfLives are the half-lives of figures, named as in the file. With a higher half-life, a router relies on older figures for
// longer. With a lower half-life, a restarted router begins closer to the defaults. 0 ignores the stored figure.
type HalfLives struct {
	// Limit is the half-life of the concurrency limits of caches.
	Limit time.Duration `toml:"limit" min:"0s" max:"720h" doc:"requests out at a cache"`
	// Late is the half-life of the ratios of late responses.
	Late time.Duration `toml:"late" min:"0s" max:"720h" doc:"share of a cache's answers that come late"`
	// ErrorRatio is the half-life of the error ratios.
	ErrorRatio time.Duration `toml:"erring" min:"0s" max:"720h" doc:"shares of errors"`
	// Health is the half-life of the results of health checks.
	Health time.Duration `toml:"health" min:"0s" max:"720h" doc:"marks of probes"`
	// Keys is the half-life of the keys that caches likely hold.
	Keys time.Duration `toml:"keys" min:"0s" max:"720h" doc:"keys that caches likely keep"`
	// Zones is the half-life of failed connections to zones.
	Zones time.Duration `toml:"zones" min:"0s" max:"720h" doc:"zones out of reach"`
	// Origin is the half-life of the origin limit and the miss ratio of the origin.
	Origin time.Duration `toml:"origin" min:"0s" max:"720h" doc:"bounds towards the origin"`
	// Retry is the half-life of the retry budget and the ratio of lost attempts.
	Retry time.Duration `toml:"retry" min:"0s" max:"720h" doc:"budget of retries and share of lost attempts"`
}

// Default returns the configuration that applies without a file of this kind: the store is disabled.
//
// By default the origin's figures and the retry budget are not restored: after an outage, a new process performs better with
// the initial values than with the low values of the outage.
func Default() Config {
	return Config{
		WriteInterval:   2 * time.Second,
		WriteAtEnd:      true,
		MaxAge:          5 * time.Minute,
		KeysPerEndpoint: 64,
		HalfLife: HalfLives{
			Limit:      3 * time.Second,
			Late:       10 * time.Second,
			ErrorRatio: 4 * time.Second,
			Health:     10 * time.Second,
			Keys:       20 * time.Second,
			Zones:      5 * time.Second,
			Origin:     0,
			Retry:      0,
		},
	}
}

// Kind is the kind of operator configuration file that holds a Config.
var Kind = operatorconfig.Define("state", "what a router has learned, kept over a restart", Default(), checkConfig)

// checkConfig reports values that contradict one another, and a folder that is not an absolute path.
func checkConfig(c Config, bad operatorconfig.ReportFunc) {
	if c.Folder != "" && !strings.HasPrefix(c.Folder, "/") {
		bad("folder", "not an absolute path (%.80q)", c.Folder)
	}
	if c.MaxAge < c.WriteInterval {
		bad("oldest", "below every (%s, wanted at least %s)",
			operatorconfig.FormatDuration(c.MaxAge), operatorconfig.FormatDuration(c.WriteInterval))
	}
}

// HalfLives converts the half-lives to those of package snapshot.
func (c Config) HalfLives() snapshot.HalfLives {
	return snapshot.HalfLives{
		ConcurrencyLimit: c.HalfLife.Limit.Microseconds(),
		LateRatio:        c.HalfLife.Late.Microseconds(),
		ErrorRatio:       c.HalfLife.ErrorRatio.Microseconds(),
		Health:           c.HalfLife.Health.Microseconds(),
		Keys:             c.HalfLife.Keys.Microseconds(),
		Zones:            c.HalfLife.Zones.Microseconds(),
		Origin:           c.HalfLife.Origin.Microseconds(),
		Retry:            c.HalfLife.Retry.Microseconds(),
	}
}
