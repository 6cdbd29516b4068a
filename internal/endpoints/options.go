package endpoints

import (
	"errors"
	"fmt"
	"math"
)

// Options is what a Members is told once, at its start.
type Options struct {
	Sources      []SourceOptions // the operators' order: the first one wins where they disagree
	Damping      Damping         // only of use where a source is Damped
	MassRemoval  MassRemoval     // only of use where a source is Checked
	MaxEndpoints int             // most that are known at a time, those that have gone not counted; 0 stands for 10,000
	MaxRemoved   int             // most that are remembered after they have gone; 0 stands for 10,000
}

// SourceOptions describes one source.
type SourceOptions struct {
	Name               string
	Damped             bool // a cache that it takes away and brings back again and again is held down
	ConfirmMassRemoval bool // a whole list of it that loses most of its caches at once is asked for again
}

// Damping holds down caches that flap (RFC 2439, 4.2). Each flap adds Penalty to the figure of a cache, which halves
// with every HalfLife. Above Suppress, good news is held down until the figure has come down to Reuse. The figure
// is cut where that takes Longest.
type Damping struct {
	Penalty, Suppress, Reuse float64
	HalfLife, MaxSuppress    Time
}

// MassRemoval says when a whole list is asked for again before it is believed.
type MassRemoval struct {
	Fraction      float64 // more than this share of the caches that took work is lost at once
	ConfirmWithin Time    // an absence that nobody has confirmed or denied by then is obeyed
	MinEndpoints  int     // below this many caches that took work there is no check
}

const (
	defaultMost = 10_000
	longest     = 24 * 3600 * 1e6 // of any span
)

// DefaultDamping holds a cache down from its third flap in quick succession on: 15 s at first, a minute at most. A
// cache that is restarted once flaps once. The fleet is small, so a span of RFC 2439 (a quarter of an hour)
// would cost more than the keys that move.
func DefaultDamping() Damping {
	return Damping{Penalty: 1000, Suppress: 2000, Reuse: 1000, HalfLife: 10e6, MaxSuppress: 60e6}
}

// DefaultMassRemoval leaves a fifth of the operators' grace of 1 s for what is already on its way.
func DefaultMassRemoval() MassRemoval {
	return MassRemoval{Fraction: 0.5, ConfirmWithin: 800e3, MinEndpoints: 4}
}

// check names the first field that is out of range.
func (o *Options) check() error {
	if len(o.Sources) == 0 {
		return errors.New("membership: Sources is empty")
	}
	if len(o.Sources) > 16 {
		return errors.New("membership: Sources: more than 16")
	}
	damped, checked := false, false
	names := map[string]bool{}
	for i, s := range o.Sources {
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("membership: Sources[%d].Name %q is empty or stands twice", i, s.Name)
		}
		names[s.Name] = true
		damped, checked = damped || s.Damped, checked || s.ConfirmMassRemoval
	}
	type field struct {
		name      string
		v, lo, hi float64
	}
	fields := []field{{"Caches", float64(o.MaxEndpoints), 0, 1e6}, {"Gone", float64(o.MaxRemoved), 0, 1e6}}
	if damped {
		d := &o.Damping
		fields = append(fields, field{"Damping.Penalty", d.Penalty, 1, 1e9}, field{"Damping.Reuse", d.Reuse, 1, 1e9},
			field{"Damping.Suppress", d.Suppress, d.Reuse, 1e9}, field{"Damping.HalfLife", float64(d.HalfLife), 1, longest},
			field{"Damping.Longest", float64(d.MaxSuppress), 1, min(longest, 64*float64(d.HalfLife))})
	}
	if checked {
		l := &o.MassRemoval
		fields = append(fields, field{"Loss.Share", l.Fraction, 0, 1}, field{"Loss.Within", float64(l.ConfirmWithin), 1, longest},
			field{"Loss.Least", float64(l.MinEndpoints), 1, 1e6})
	}
	for _, f := range fields {
		if !(f.v >= f.lo && f.v <= f.hi) { // also where it is not a number
			return fmt.Errorf("membership: %s is %v, not from %v to %v", f.name, f.v, f.lo, f.hi)
		}
	}
	// The danger: the figure is cut below Suppress, and nothing is ever held down.
	if most := o.Damping.most(); damped && most <= o.Damping.Suppress {
		return fmt.Errorf("membership: Damping.Longest cuts the penalty at %.0f, and Damping.Suppress (%.0f) is not below",
			most, o.Damping.Suppress)
	}
	return nil
}

// most is what a figure is cut at: from there it takes Longest to come down to Reuse.
func (d *Damping) most() float64 {
	return d.Reuse * math.Exp2(float64(d.MaxSuppress)/float64(d.HalfLife))
}

// decayed is what is left of a figure after a span.
func (d *Damping) decayed(figure float64, span Time) float64 {
	if figure == 0 {
		return 0
	}
	return figure * math.Exp2(-float64(span)/float64(d.HalfLife))
}

// until is how long it takes a figure to come down to Reuse.
func (d *Damping) until(figure float64) Time {
	return min(d.MaxSuppress, Time(math.Ceil(float64(d.HalfLife)*math.Log2(figure/d.Reuse))))
}
