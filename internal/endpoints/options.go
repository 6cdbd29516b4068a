package endpoints

import (
	"errors"
	"fmt"
)

// Options are the parameters of a Merger.
type Options struct {
	Sources      []SourceOptions // in the operators' order: the first one wins where they disagree
	Damping      Damping         // used where a source is Damped
	MassRemoval  MassRemoval     // used where a source has ConfirmMassRemoval
	MaxEndpoints int             // that are known at a time, removed ones not counted; 0 stands for 10,000
	MaxRemoved   int             // that are remembered after their removal; 0 stands for 10,000
}

// SourceOptions describes one source.
type SourceOptions struct {
	Name               string
	Damped             bool // endpoints that it removes and brings back again and again are suppressed
	ConfirmMassRemoval bool // a full list that omits most of its endpoints must be confirmed
}

const (
	defaultMaxEndpoints = 10_000
	maxSources          = 16
	maxSpan             = 24 * 3600 * 1e6 // of any option; µs
	maxHalfLives        = 64              // in MaxSuppress: the cap of a penalty stays a finite number
)

// optionRange is a numeric option and the range that it must be in.
type optionRange struct {
	name      string
	value     float64
	low, high float64
}

// check returns an error that names the first option that is out of range. Names are those of the operators' file, where an
// option stands in it.
func (o *Options) check() error {
	if err := o.checkSources(); err != nil {
		return err
	}
	damped, confirmed := false, false
	for _, s := range o.Sources {
		damped = damped || s.Damped
		confirmed = confirmed || s.ConfirmMassRemoval
	}
	ranges := []optionRange{
		{"Caches", float64(o.MaxEndpoints), 0, 1e6},
		{"Gone", float64(o.MaxRemoved), 0, 1e6},
	}
	if damped {
		ranges = append(ranges, o.Damping.ranges()...)
	}
	if confirmed {
		ranges = append(ranges, o.MassRemoval.ranges()...)
	}
	for _, r := range ranges {
		if !(r.value >= r.low && r.value <= r.high) { // NaN too is out of range
			return fmt.Errorf("membership: %s is %v, not from %v to %v", r.name, r.value, r.low, r.high)
		}
	}
	// A penalty that is capped at Suppress would never exceed it, and no endpoint would ever be suppressed.
	if limit := o.Damping.maxPenalty(); damped && limit <= o.Damping.Suppress {
		return fmt.Errorf("membership: Damping.Longest cuts the penalty at %.0f, and Damping.Suppress (%.0f) is not below",
			limit, o.Damping.Suppress)
	}
	return nil
}

func (o *Options) checkSources() error {
	if len(o.Sources) == 0 {
		return errors.New("membership: Sources is empty")
	}
	if len(o.Sources) > maxSources {
		return fmt.Errorf("membership: Sources: more than %d", maxSources)
	}
	names := map[string]bool{}
	for i, s := range o.Sources {
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("membership: Sources[%d].Name %q is empty or stands twice", i, s.Name)
		}
		names[s.Name] = true
	}
	return nil
}

func (d *Damping) ranges() []optionRange {
	return []optionRange{
		{"Damping.Penalty", d.Penalty, 1, 1e9},
		{"Damping.Reuse", d.Reuse, 1, 1e9},
		{"Damping.Suppress", d.Suppress, d.Reuse, 1e9},
		{"Damping.HalfLife", float64(d.HalfLife), 1, maxSpan},
		{"Damping.Longest", float64(d.MaxSuppress), 1, min(maxSpan, maxHalfLives*float64(d.HalfLife))},
	}
}

func (r *MassRemoval) ranges() []optionRange {
	return []optionRange{
		{"Loss.Share", r.Fraction, 0, 1},
		{"Loss.Within", float64(r.ConfirmWithin), 1, maxSpan},
		{"Loss.Least", float64(r.MinEndpoints), 1, 1e6},
	}
}
