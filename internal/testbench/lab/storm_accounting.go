package lab

import (
	"starlingwinch/internal/testbench/standin"
)

// FleetCapacity tells what a fleet can bear at a moment. Use NewFleetCapacity.
type FleetCapacity struct {
	MeanWork    float64 // work of a request, in seconds of one core
	fleet       *standin.Fleet
	writes      float64 // share of requests
	store       standin.StoreOptions
	cacheOfRank []*standin.Cache // of keys, by their rank
}

// NewFleetCapacity is for a fleet of which no cache is away.
func NewFleetCapacity(f *standin.Fleet, o standin.Options) *FleetCapacity {
	b := &FleetCapacity{fleet: f, store: o.Store}
	for _, c := range o.Classes {
		b.MeanWork += c.Share * float64(c.Work) / float64(second)
		if c.Write {
			b.writes += c.Share
		}
	}
	names := make([]string, 0, len(f.Caches))
	byName := map[string]*standin.Cache{}
	for _, c := range f.Caches {
		names, byName[c.Name()] = append(names, c.Name()), c
	}
	home := Placement(names)
	for rank := range o.Keys {
		b.cacheOfRank = append(b.cacheOfRank, byName[home(f.Keys.Name(rank))])
	}
	return b
}

// Now is the work, in seconds of one core in a second, that the caches and the store behind them can do at the
// moment: a request whose key its home does not hold is a fetch from the store.
func (b *FleetCapacity) Now() float64 {
	able := 0.0
	for _, c := range b.fleet.Caches {
		able += c.Able() / float64(second)
	}
	missing := 1.0
	for rank, c := range b.cacheOfRank {
		if c.Keeps(b.fleet.Keys.Name(rank)) {
			missing -= b.fleet.Keys.Share(rank)
		}
	}
	fetches := float64(b.store.Places) * float64(second) / float64(b.store.Latency)
	return min(able, fetches/((1-b.writes)*missing+b.writes)*b.MeanWork)
}

// StormAccounting keep what was asked and served in a storm, by windows.
type StormAccounting struct {
	From, For        Time // what lies before From is not booked, and windows past For are not shown
	Requests, InTime int  // made from From on, and so early that their aim lies within For
	intervals        []StormInterval
}

// Began books a request that is made.
func (b *StormAccounting) Began(now Time, class *standin.Class) {
	if now >= b.From {
		b.intervalAt(now).Offered += float64(class.Work) / float64(second)
	}
}

// Ended books a request that is over.
func (b *StormAccounting) Ended(now Time, class *standin.Class, asked Time, inAim bool) {
	if inAim && now >= b.From {
		b.intervalAt(now).InTime += float64(class.Work) / float64(second)
	}
	if asked < b.From || asked+class.Aim > b.From+b.For {
		return
	}
	b.Requests++
	if inAim {
		b.InTime++
	}
}

// AddCapacity books what could be done over a span, of which now is a part.
func (b *StormAccounting) AddCapacity(now Time, work float64) { b.intervalAt(now).Capacity += work }

// Intervals are the windows that are whole.
func (b *StormAccounting) Intervals() (whole []StormInterval) {
	for _, p := range b.intervals {
		if p.At+StormWindow <= b.For {
			whole = append(whole, p)
		}
	}
	return whole
}

// intervalAt is the window of a moment.
func (b *StormAccounting) intervalAt(at Time) *StormInterval {
	i := int((at - b.From) / StormWindow)
	for len(b.intervals) <= i {
		b.intervals = append(b.intervals, StormInterval{At: Time(len(b.intervals)) * StormWindow})
	}
	return &b.intervals[i]
}

// StormClient makes the options of client i of a storm those of one that asks at a rate: the first ones, a share, take no
// advice and retry at once.
func StormClient(o standin.ClientOptions, i, all int, ignore float64) standin.ClientOptions {
	o.Connections, o.Retries, o.Honour, o.TryShare = 8, 1<<20, 1, 1
	o.Wait, o.WaitTime = standin.Exponential, 50*millisecond
	if i < int(ignore*float64(all)) {
		o.Honour, o.Wait, o.WaitTime = 0, standin.FixedWait, turnaround
	}
	return o
}
