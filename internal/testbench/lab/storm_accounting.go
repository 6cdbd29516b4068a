package lab

import (
	"starlingwinch/internal/testbench/standin"
)

// FleetCapacity computes the current capacity of a fleet. Use NewFleetCapacity.
type FleetCapacity struct {
	MeanWork    float64 // mean work of a request, in seconds of one core
	fleet       *standin.Fleet
	writes      float64 // fraction of requests that write
	store       standin.StoreOptions
	cacheOfRank []*standin.Cache // the cache that each key is placed on, by the key's rank
}

// NewFleetCapacity returns the capacity of a fleet whose caches are all running.
func NewFleetCapacity(f *standin.Fleet, o standin.Options) *FleetCapacity {
	b := &FleetCapacity{fleet: f, store: o.Store}
	for _, c := range o.Classes {
		b.MeanWork += c.TrafficFraction * float64(c.Work) / float64(second)
		if c.Write {
			b.writes += c.TrafficFraction
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

// Now returns the work, in seconds of one core per second, that the caches and the store behind them can do now. A request
// whose key is not in its home cache is a fetch from the store.
func (b *FleetCapacity) Now() float64 {
	capacity := 0.0
	for _, c := range b.fleet.Caches {
		capacity += c.Able() / float64(second)
	}
	missing := 1.0
	for rank, c := range b.cacheOfRank {
		if c.HasKey(b.fleet.Keys.Name(rank)) {
			missing -= b.fleet.Keys.Fraction(rank)
		}
	}
	fetches := float64(b.store.Concurrency) * float64(second) / float64(b.store.Latency)
	return min(capacity, fetches/((1-b.writes)*missing+b.writes)*b.MeanWork)
}

// StormAccounting counts the work that was offered and done in a storm, by windows.
type StormAccounting struct {
	From, For        Time // work before From is not counted, and windows past For are not returned
	Requests, InTime int  // requests made at or after From whose latency objective ends within For
	intervals        []StormInterval
}

// Began counts a request that a client makes.
func (b *StormAccounting) Began(now Time, class *standin.Class) {
	if now >= b.From {
		b.intervalAt(now).Offered += float64(class.Work) / float64(second)
	}
}

// Ended counts a request that has ended.
func (b *StormAccounting) Ended(now Time, class *standin.Class, asked Time, inAim bool) {
	if inAim && now >= b.From {
		b.intervalAt(now).InTime += float64(class.Work) / float64(second)
	}
	if asked < b.From || asked+class.LatencyObjective > b.From+b.For {
		return
	}
	b.Requests++
	if inAim {
		b.InTime++
	}
}

// AddCapacity adds work that the fleet could do in an interval that contains now.
func (b *StormAccounting) AddCapacity(now Time, work float64) { b.intervalAt(now).Capacity += work }

// Intervals returns the complete windows.
func (b *StormAccounting) Intervals() (whole []StormInterval) {
	for _, p := range b.intervals {
		if p.At+StormWindow <= b.For {
			whole = append(whole, p)
		}
	}
	return whole
}

// intervalAt returns the window that contains an instant.
func (b *StormAccounting) intervalAt(at Time) *StormInterval {
	i := int((at - b.From) / StormWindow)
	for len(b.intervals) <= i {
		b.intervals = append(b.intervals, StormInterval{At: Time(len(b.intervals)) * StormWindow})
	}
	return &b.intervals[i]
}

// StormClient returns the options of client i out of all clients of a storm. The first clients, up to the fraction ignore of
// all, ignore retry-after and retry at once.
func StormClient(o standin.ClientOptions, i, all int, ignore float64) standin.ClientOptions {
	o.Connections, o.Retries, o.RetryAfterCompliance, o.AttemptTimeoutFraction = 8, 1<<20, 1, 1
	o.RetryWait, o.RetryWaitTime = standin.Exponential, 50*millisecond
	if i < int(ignore*float64(all)) {
		o.RetryAfterCompliance, o.RetryWait, o.RetryWaitTime = 0, standin.FixedWait, turnaround
	}
	return o
}
