package lab

import (
	"starlingwinch/internal/testbench/standin"
)

// Bearing tells what a fleet can bear at a moment. Use NewBearing.
type Bearing struct {
	Mean   float64 // work of a request, in seconds of one core
	fleet  *standin.Fleet
	writes float64 // share of requests
	store  standin.StoreOptions
	homes  []*standin.Cache // of keys, by their rank
}

// NewBearing is for a fleet of which no cache is away.
func NewBearing(f *standin.Fleet, o standin.Options) *Bearing {
	b := &Bearing{fleet: f, store: o.Store}
	for _, c := range o.Classes {
		b.Mean += c.TrafficFraction * float64(c.Work) / float64(second)
		if c.Write {
			b.writes += c.TrafficFraction
		}
	}
	names := make([]string, 0, len(f.Caches))
	byName := map[string]*standin.Cache{}
	for _, c := range f.Caches {
		names, byName[c.Name()] = append(names, c.Name()), c
	}
	home := Homes(names)
	for rank := range o.Keys {
		b.homes = append(b.homes, byName[home(f.Keys.Name(rank))])
	}
	return b
}

// Now is the work, in seconds of one core in a second, that the caches and the store behind them can do at the
// moment: a request whose key its home does not hold is a fetch from the store.
func (b *Bearing) Now() float64 {
	able := 0.0
	for _, c := range b.fleet.Caches {
		able += c.Able() / float64(second)
	}
	missing := 1.0
	for rank, c := range b.homes {
		if c.HasKey(b.fleet.Keys.Name(rank)) {
			missing -= b.fleet.Keys.Fraction(rank)
		}
	}
	fetches := float64(b.store.Concurrency) * float64(second) / float64(b.store.Latency)
	return min(able, fetches/((1-b.writes)*missing+b.writes)*b.Mean)
}

// StormBooks keep what was asked and served in a storm, by windows.
type StormBooks struct {
	From, For        Time // what lies before From is not booked, and windows past For are not shown
	Requests, InTime int  // made from From on, and so early that their aim lies within For
	parts            []StormPart
}

// Began books a request that is made.
func (b *StormBooks) Began(now Time, class *standin.Class) {
	if now >= b.From {
		b.part(now).Asked += float64(class.Work) / float64(second)
	}
}

// Ended books a request that is over.
func (b *StormBooks) Ended(now Time, class *standin.Class, asked Time, inAim bool) {
	if inAim && now >= b.From {
		b.part(now).InTime += float64(class.Work) / float64(second)
	}
	if asked < b.From || asked+class.LatencyObjective > b.From+b.For {
		return
	}
	b.Requests++
	if inAim {
		b.InTime++
	}
}

// Bear books what could be done over a span, of which now is a part.
func (b *StormBooks) Bear(now Time, work float64) { b.part(now).Bear += work }

// Parts are the windows that are whole.
func (b *StormBooks) Parts() (whole []StormPart) {
	for _, p := range b.parts {
		if p.At+StormWindow <= b.For {
			whole = append(whole, p)
		}
	}
	return whole
}

// part is the window of a moment.
func (b *StormBooks) part(at Time) *StormPart {
	i := int((at - b.From) / StormWindow)
	for len(b.parts) <= i {
		b.parts = append(b.parts, StormPart{At: Time(len(b.parts)) * StormWindow})
	}
	return &b.parts[i]
}

// StormClient makes the options of client i of a storm those of one that asks at a rate: the first ones, a share, take no
// advice and retry at once.
func StormClient(o standin.ClientOptions, i, all int, ignore float64) standin.ClientOptions {
	o.Connections, o.Retries, o.RetryAfterCompliance, o.AttemptTimeoutFraction = 8, 1<<20, 1, 1
	o.RetryWait, o.RetryWaitTime = standin.Exponential, 50*millisecond
	if i < int(ignore*float64(all)) {
		o.RetryAfterCompliance, o.RetryWait, o.RetryWaitTime = 0, standin.FixedWait, turnaround
	}
	return o
}
