package endpoints

import (
	"slices"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// The sources that there are, by the names that operators know them by.
const (
	Discovery = "discovery" // the platform's
	Eureka    = "eureka"
	File      = "file"
)

// Config is an operators' file of the kind "membership".
type Config struct {
	Order       []string           `toml:"order" min:"1" max:"3" doc:"the sources of the list of caches that are asked, the one that wins where they disagree first: discovery, eureka, file"`
	File        string             `toml:"file" max:"4096" doc:"the file with a fixed list of caches, in the platform's form; empty for none"`
	Damping     DampingSection     `toml:"damping"`
	MassRemoval MassRemovalSection `toml:"loss"`
}

// DampingSection holds caches down that a registry takes away and brings back again and again.
type DampingSection struct {
	Penalty     int           `toml:"penalty" min:"1" max:"1000000" doc:"added for each flap"`
	Suppress    int           `toml:"suppress" min:"1" max:"1000000" doc:"above that, good news is held down"`
	Reuse       int           `toml:"reuse" min:"1" max:"1000000" doc:"good news is held down until the figure has come down to that"`
	HalfLife    time.Duration `toml:"half_life" min:"100ms" max:"1h" doc:"in which the figure halves"`
	MaxSuppress time.Duration `toml:"longest" min:"100ms" max:"24h" doc:"for which good news is held down, at most"`
}

// MassRemovalSection says when a registry's list is asked for again before it is believed.
type MassRemovalSection struct {
	Percent       int           `toml:"percent" min:"1" max:"100" doc:"more than so many of the caches that took work are left out at once"`
	ConfirmWithin time.Duration `toml:"within" min:"10ms" max:"10s" doc:"an absence that nobody has confirmed or denied by then is obeyed"`
	MinEndpoints  int           `toml:"least" min:"1" max:"10000" doc:"with fewer caches that took work there is no check"`
}

// DefaultConfig is what holds where no file says otherwise.
func DefaultConfig() Config {
	d, l := DefaultDamping(), DefaultMassRemoval()
	return Config{
		Order: []string{Discovery, Eureka, File},
		Damping: DampingSection{Penalty: int(d.Penalty), Suppress: int(d.Suppress), Reuse: int(d.Reuse),
			HalfLife: time.Duration(d.HalfLife) * time.Microsecond, MaxSuppress: time.Duration(d.MaxSuppress) * time.Microsecond},
		MassRemoval: MassRemovalSection{Percent: int(100 * l.Fraction), ConfirmWithin: time.Duration(l.ConfirmWithin) * time.Microsecond, MinEndpoints: l.MinEndpoints},
	}
}

// Kind is the kind of file that sets it.
var Kind = operatorconfig.Define("membership", "how the sources of the list of caches are merged", DefaultConfig(), checkConfig)

// checkConfig looks at what no single range tells.
func checkConfig(c Config, bad operatorconfig.ReportFunc) {
	known := []string{Discovery, Eureka, File}
	for i, name := range c.Order {
		switch {
		case !slices.Contains(known, name):
			bad("order", "unknown source %.40q (wanted discovery, eureka or file)", name)
		case slices.Index(c.Order, name) < i:
			bad("order", "%s stands twice", name)
		}
	}
	if c.File != "" && !slices.Contains(c.Order, File) {
		bad("file", "set, but order does not name file")
	}
	o := c.Options(known)
	if err := o.check(); err != nil {
		bad("damping", "%v", err)
	}
}

// Options are those of New, for the sources that are in use. Registries flap and lose their lists; the
// platform's word, and a file's, is taken as it is.
func (c Config) Options(inUse []string) Options {
	o := Options{
		Damping: Damping{Penalty: float64(c.Damping.Penalty), Suppress: float64(c.Damping.Suppress),
			Reuse: float64(c.Damping.Reuse), HalfLife: c.Damping.HalfLife.Microseconds(),
			MaxSuppress: c.Damping.MaxSuppress.Microseconds()},
		MassRemoval: MassRemoval{Fraction: float64(c.MassRemoval.Percent) / 100, ConfirmWithin: c.MassRemoval.ConfirmWithin.Microseconds(), MinEndpoints: c.MassRemoval.MinEndpoints},
		MaxRemoved:  2000,
	}
	for _, name := range c.Order {
		if slices.Contains(inUse, name) {
			o.Sources = append(o.Sources, SourceOptions{Name: name, Damped: name == Eureka, ConfirmMassRemoval: name == Eureka})
		}
	}
	return o
}
