package endpoints

import (
	"errors"
	"fmt"
)

// Options are the parameters of a Merger.
type Options struct {
	Sources      []SourceOptions // in the operators' order: where sources disagree, the first one takes precedence
	Damping      Damping         // for sources with Damped set
	MassRemoval  MassRemoval     // for sources with ConfirmMassRemoval set
	MaxEndpoints int             // maximum number of known endpoints, without removed ones; 0 means 10,000
	MaxRemoved   int             // maximum number of removed endpoints that are retained; 0 means 10,000
}

// SourceOptions describes one source.
type SourceOptions struct {
	Name               string
	Damped             bool // flap damping applies to endpoints that the source repeatedly removes and adds
	ConfirmMassRemoval bool // the source must confirm a full list that omits most of its endpoints
}

const (
	defaultMaxEndpoints = 10_000
	maxSources          = 16
	maxDuration         = 24 * 3600 * 1e6 // of any option; µs
	maxHalfLives        = 64              // in MaxSuppress, so that the cap of a penalty is a finite number
)

// optionRange is a numeric option and its valid range.
type optionRange struct {
	name      string
	value     float64
	low, high float64
}

// check returns an error that names the first option that is out of range. It names options that the operators' file can set
// after the file's keys: Damping.Longest is MaxSuppress, and Loss stands for MassRemoval. The values are those of the fields, so
// durations are in µs, and Loss.Share is a fraction where the file has a percentage, loss.percent.
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
		{"MaxEndpoints", float64(o.MaxEndpoints), 0, 1e6},
		{"MaxRemoved", float64(o.MaxRemoved), 0, 1e6},
	}
	if damped {
		ranges = append(ranges, o.Damping.ranges()...)
	}
	if confirmed {
		ranges = append(ranges, o.MassRemoval.ranges()...)
	}
	for _, r := range ranges {
		if !(r.value >= r.low && r.value <= r.high) { // true for NaN too
			return fmt.Errorf("membership: %s is %v, want a value from %v to %v", r.name, r.value, r.low, r.high)
		}
	}
	// If the cap of a penalty does not exceed Suppress, no endpoint is ever suppressed.
	if limit := o.Damping.maxPenalty(); damped && limit <= o.Damping.Suppress {
		return fmt.Errorf("membership: Damping.Longest caps the penalty at %.0f, which does not exceed Damping.Suppress (%.0f)",
			limit, o.Damping.Suppress)
	}
	return nil
}

func (o *Options) checkSources() error {
	if len(o.Sources) == 0 {
		return errors.New("membership: Sources is empty")
	}
	if len(o.Sources) > maxSources {
		return fmt.Errorf("membership: Sources has more than %d entries", maxSources)
	}
	names := map[string]bool{}
	for i, s := range o.Sources {
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("membership: Sources[%d].Name %q is empty or a duplicate", i, s.Name)
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
		{"Damping.HalfLife", float64(d.HalfLife), 1, maxDuration},
		{"Damping.Longest", float64(d.MaxSuppress), 1, min(maxDuration, maxHalfLives*float64(d.HalfLife))},
	}
}

func (r *MassRemoval) ranges() []optionRange {
	return []optionRange{
		{"Loss.Share", r.Fraction, 0, 1},
		{"Loss.Within", float64(r.ConfirmWithin), 1, maxDuration},
		{"Loss.Least", float64(r.MinEndpoints), 1, 1e6},
	}
}
