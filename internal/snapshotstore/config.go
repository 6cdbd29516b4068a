package snapshotstore

import (
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/snapshot"
)

// Config is an operators' file of the kind "state".
type Config struct {
	Folder          string        `toml:"folder" max:"4096" doc:"the folder that the state is kept in, which must be there and be this router's alone; empty for none"`
	WriteInterval   time.Duration `toml:"every" min:"50ms" max:"1h" doc:"between two writes, at least"`
	WriteAtEnd      bool          `toml:"at_end" doc:"write once more at the end of a drain, however soon after the last time"`
	MaxAge          time.Duration `toml:"oldest" min:"1s" max:"720h" doc:"what was known longer ago is nothing"`
	KeysPerEndpoint int           `toml:"keys" min:"0" max:"4096" doc:"keys that each cache likely keeps, at most"`
	HalfLife        HalfLives     `toml:"half_life"`
}

// HalfLives are those of the figures.
type HalfLives struct {
	Limit  time.Duration `toml:"limit" min:"0s" max:"720h" doc:"requests out at a cache"`
	Late   time.Duration `toml:"late" min:"0s" max:"720h" doc:"share of a cache's answers that come late"`
	Erring time.Duration `toml:"erring" min:"0s" max:"720h" doc:"shares of errors"`
	Health time.Duration `toml:"health" min:"0s" max:"720h" doc:"marks of probes"`
	Keys   time.Duration `toml:"keys" min:"0s" max:"720h" doc:"keys that caches likely keep"`
	Zones  time.Duration `toml:"zones" min:"0s" max:"720h" doc:"zones out of reach"`
	Origin time.Duration `toml:"origin" min:"0s" max:"720h" doc:"bounds towards the origin"`
	Retry  time.Duration `toml:"retry" min:"0s" max:"720h" doc:"budget of retries and share of lost attempts"`
}

// Default is what holds where no file says otherwise: nothing is kept.
func Default() Config {
	return Config{
		WriteInterval: 2 * time.Second, WriteAtEnd: true, MaxAge: 5 * time.Minute, KeysPerEndpoint: 64,
		// A new process does better with open bounds towards the origin and a full budget of retries than with
		// what trouble has left of them: 2 points of the requests in its first 5 s (docs/design/state.md).
		HalfLife: HalfLives{Limit: 3 * time.Second, Late: 10 * time.Second, Erring: 4 * time.Second,
			Health: 10 * time.Second, Keys: 20 * time.Second, Zones: 5 * time.Second, Origin: 0, Retry: 0},
	}
}

// Kind is the kind of file that sets it.
var Kind = operatorconfig.Define("state", "what a router has learned, kept over a restart", Default(), checkConfig)

// checkConfig looks at what no single range tells.
func checkConfig(c Config, bad operatorconfig.ReportFunc) {
	if c.Folder != "" && !strings.HasPrefix(c.Folder, "/") {
		bad("folder", "not an absolute path (%.80q)", c.Folder)
	}
	if c.MaxAge < c.WriteInterval {
		bad("oldest", "below every (%s, wanted at least %s)", operatorconfig.FormatDuration(c.MaxAge), operatorconfig.FormatDuration(c.WriteInterval))
	}
}

// HalfLives are those of the learned figures.
func (c Config) HalfLives() snapshot.HalfLives {
	h := c.HalfLife
	return snapshot.HalfLives{ConcurrencyLimit: h.Limit.Microseconds(), LateRatio: h.Late.Microseconds(),
		ErrorRatio: h.Erring.Microseconds(), Health: h.Health.Microseconds(), Keys: h.Keys.Microseconds(),
		Zones: h.Zones.Microseconds(), Origin: h.Origin.Microseconds(), Retry: h.Retry.Microseconds()}
}
