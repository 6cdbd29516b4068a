package endpoints

import (
	"slices"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// The names of the sources in the operators' file and in the log.
const (
	Discovery = "discovery" // the platform's discovery service
	Eureka    = "eureka"    // a Eureka registry
	File      = "file"      // a file with a fixed list
)

// Config holds the settings of an operators' file of the kind "membership".
type Config struct {
	Order       []string           `toml:"order" min:"1" max:"3" doc:"the sources of the list of caches that are asked, the one that wins where they disagree first: discovery, eureka, file"`
	File        string             `toml:"file" max:"4096" doc:"the file with a fixed list of caches, in the platform's form; empty for none"`
	Damping     DampingSection     `toml:"damping"`
	MassRemoval MassRemovalSection `toml:"loss"`
}

// DampingSection sets the flap damping of caches that a registry repeatedly removes and adds.
type DampingSection struct {
	Penalty     int           `toml:"penalty" min:"1" max:"1000000" doc:"added for each flap"`
	Suppress    int           `toml:"suppress" min:"1" max:"1000000" doc:"above that, good news is held down"`
	Reuse       int           `toml:"reuse" min:"1" max:"1000000" doc:"good news is held down until the figure has come down to that"`
	HalfLife    time.Duration `toml:"half_life" min:"100ms" max:"1h" doc:"in which the figure halves"`
	MaxSuppress time.Duration `toml:"longest" min:"100ms" max:"24h" doc:"for which good news is held down, at most"`
}

// MassRemovalSection sets when a registry must confirm a list before the router applies its omissions.
type MassRemovalSection struct {
	Percent       int           `toml:"percent" min:"1" max:"100" doc:"more than so many of the caches that took work are left out at once"`
	ConfirmWithin time.Duration `toml:"within" min:"10ms" max:"10s" doc:"an absence that nobody has confirmed or denied by then is obeyed"`
	MinEndpoints  int           `toml:"least" min:"1" max:"10000" doc:"with fewer caches that took work there is no check"`
}

// DefaultConfig returns the settings that apply where no operators' file changes them.
func DefaultConfig() Config {
	damping, massRemoval := DefaultDamping(), DefaultMassRemoval()
	return Config{
		Order: []string{Discovery, Eureka, File},
		Damping: DampingSection{
			Penalty:     int(damping.Penalty),
			Suppress:    int(damping.Suppress),
			Reuse:       int(damping.Reuse),
			HalfLife:    duration(damping.HalfLife),
			MaxSuppress: duration(damping.MaxSuppress),
		},
		MassRemoval: MassRemovalSection{
			Percent:       int(100 * massRemoval.Fraction),
			ConfirmWithin: duration(massRemoval.ConfirmWithin),
			MinEndpoints:  massRemoval.MinEndpoints,
		},
	}
}

// Kind is the kind of operators' file that sets a Config.
var Kind = operatorconfig.Define("membership", "how the sources of the list of caches are merged", DefaultConfig(), checkConfig)

// checkConfig checks the constraints that involve several keys, or the elements of a list.
func checkConfig(c Config, report operatorconfig.ReportFunc) {
	known := []string{Discovery, Eureka, File}
	for i, name := range c.Order {
		switch {
		case !slices.Contains(known, name):
			report("order", "unknown source %.40q (wanted discovery, eureka or file)", name)
		case slices.Index(c.Order, name) < i:
			report("order", "%s is listed more than once", name)
		}
	}
	if c.File != "" && !slices.Contains(c.Order, File) {
		report("file", "is set, but order does not include file")
	}
	options := c.Options(known)
	if err := options.check(); err != nil {
		report("damping", "%v", err)
	}
}

// maxRemovedRemembered limits the number of removed endpoints whose state a router retains.
const maxRemovedRemembered = 2000

// Options returns the options of New for the sources that are in use. Damping and the confirmation of mass removals apply to
// registries only, as the lists of the platform's discovery and of the file are authoritative.
func (c Config) Options(inUse []string) Options {
	options := Options{
		Damping: Damping{
			Penalty:     float64(c.Damping.Penalty),
			Suppress:    float64(c.Damping.Suppress),
			Reuse:       float64(c.Damping.Reuse),
			HalfLife:    c.Damping.HalfLife.Microseconds(),
			MaxSuppress: c.Damping.MaxSuppress.Microseconds(),
		},
		MassRemoval: MassRemoval{
			Fraction:      float64(c.MassRemoval.Percent) / 100,
			ConfirmWithin: c.MassRemoval.ConfirmWithin.Microseconds(),
			MinEndpoints:  c.MassRemoval.MinEndpoints,
		},
		MaxRemoved: maxRemovedRemembered,
	}
	for _, name := range c.Order {
		if slices.Contains(inUse, name) {
			isRegistry := name == Eureka
			options.Sources = append(options.Sources, SourceOptions{Name: name, Damped: isRegistry, ConfirmMassRemoval: isRegistry})
		}
	}
	return options
}
