package lab

import (
	"fmt"
	"strings"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
)

// Storm is a storm of retries and reconnects: all caches go, come back cold, and all clients reconnect at that moment.
type Storm struct {
	Seed              int64
	Clients           int
	Load              float64 // of what warm caches bear
	Before            Time    // of calm, before it all
	Outage            Time    // for which no cache runs
	For               Time    // how long it is watched from the caches' return on
	IgnoreAdvice      float64 // share of clients that take no advice and retry at once
	SharedAddress     bool    // all clients come from one address
	FixedBackoff      bool    // those that obey back off by one fixed span
	Silent            int     // connections beside, that say nothing
	SecondOutageAfter Time    // a second outage begins so long after the first one's end; 0 for none
	Burst             float64 // the load is so many times as high ...
	BurstAt           Time    // ... from this moment after the caches' return ...
	BurstTo           Time    // ... up to this one
	KeysRetained      bool    // the caches still hold the keys that they held: cold ones can do little, but know it all
	Warm              bool    // nothing goes: the caches are warm, and clients come all at once
}

// StormWindow is the span over which goodput is judged.
const StormWindow = 3 * second

// StormInterval is one window of a storm. All but At is work, in seconds of one core, as requests of their class take on
// average.
type StormInterval struct {
	At       Time    // its beginning, from the caches' return
	Offered  float64 // of requests made
	InTime   float64 // of those answered in time
	Capacity float64 // that caches, and the store behind them, can do
}

// Goodput is the share of what could be done that was.
func (p StormInterval) Goodput() float64 {
	if least := min(p.Offered, p.Capacity); least > 0 {
		return min(1, p.InTime/least)
	}
	return 1
}

// StormResult is what came of a storm.
type StormResult struct {
	*Result
	Intervals          []StormInterval
	Requests, InTime   int // made from the caches' return on
	Overloads          int // caches and stores that fell over
	Tries, Refused     int // of the whole run
	Changes            []StormChange
	CommonestWaitRatio float64 // share of waits that are the commonest one, of those that refusals named
	MaxBudgetRise      float64 // most by which the budget of retries rose at once
}

// stormLine is in the line of the log at each change of a router's state.
const stormLine = `msg="` + retrystorm.ChangeMessage + `"`

// StormChange is one change of state, as a router's log tells it.
type StormChange struct {
	At     Time // from the beginning of the run
	Router string
	Line   string
}

// CalmAt is when the last router was calm for good, from the caches' return on; 0 where none ever was not, -1 where one
// was not at the end.
func (r *StormResult) CalmAt() Time {
	last := map[string]StormChange{}
	for _, c := range r.Changes {
		last[c.Router] = c
	}
	at := Time(0)
	for _, c := range last { // any order: the latest counts
		if !strings.Contains(c.Line, " to=calm ") {
			return -1
		}
		at = max(at, c.At)
	}
	return at
}

// InTimeRatio is that of requests that were served in time.
func (r *StormResult) InTimeRatio() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }

// MinGoodput is the least goodput of any window.
func (r *StormResult) MinGoodput() float64 {
	least := 1.0
	for _, p := range r.Intervals {
		least = min(least, p.Goodput())
	}
	return least
}

// Bound is the share of work in time that caches could have done at best, had nothing been wasted.
func (r *StormResult) Bound() float64 {
	could, asked := 0.0, 0.0
	for _, p := range r.Intervals {
		could, asked = could+min(p.Offered, p.Capacity), asked+p.Offered
	}
	return could / asked
}

// Used is the share of what caches could do, or of what was asked where that is less, that was done in time, without
// the first window.
func (r *StormResult) Used() float64 {
	could, done := 0.0, 0.0
	for _, p := range r.Intervals[min(1, len(r.Intervals)):] {
		could, done = could+min(p.Offered, p.Capacity), done+p.InTime
	}
	if could == 0 {
		return 1
	}
	return min(1, done/could)
}

// turnaround is how long a client that retries at once takes for that.
const turnaround = 10 * millisecond

// maxStormSteps bounds the steps of a run, by the second.
const maxStormSteps = 2_000_000

// stormRun is a storm that is under way.
type stormRun struct {
	*world
	storm        Storm
	from         Time // the caches' return
	accounting   StormAccounting
	capacity     *FleetCapacity
	result       StormResult
	clients      []*standin.Client
	rate         float64 // of each client
	observations *stormObservations
	keysBefore   map[*standin.Cache][]string // keys, as the caches went
}

// stormObservations is what was seen at the seam between routers and their decision modules.
type stormObservations struct {
	retryAfters   map[Time]int // that refusals named, to the millisecond
	maxBudgetRise float64      // of the budget
}

// retryStormObserver stands behind what a test plants, and hears what the module is told.
type retryStormObserver struct {
	guard.Module
	observations   *stormObservations
	budgetFraction float64
}

// Handle implements guard.Module.
func (h *retryStormObserver) Handle(now Time, ev decide.Event) []decide.Action {
	if p, ok := ev.(*decide.RetryStorm); ok {
		if p.Active && h.budgetFraction > 0 {
			h.observations.maxBudgetRise = max(h.observations.maxBudgetRise, p.RetryBudgetFraction-h.budgetFraction)
		}
		h.budgetFraction = p.RetryBudgetFraction
	}
	return h.Module.Handle(now, ev)
}

// rejectObserver stands before it, and sees what routers are told to do.
type rejectObserver struct {
	guard.Module
	observations *stormObservations
}

// Handle implements guard.Module.
func (s *rejectObserver) Handle(now Time, ev decide.Event) []decide.Action {
	actions := s.Module.Handle(now, ev)
	for _, a := range actions {
		if a, ok := a.(decide.Reject); ok {
			s.observations.retryAfters[a.RetryAfter/millisecond]++
		}
	}
	return actions
}

// summarizeObservations sums up what was seen at the seam.
func (r *stormRun) summarizeObservations() {
	all, most := 0, 0
	for _, n := range r.observations.retryAfters { // any order: a sum and a maximum
		all, most = all+n, max(most, n)
	}
	r.result.CommonestWaitRatio = float64(most) / float64(max(1, all))
	r.result.MaxBudgetRise = r.observations.maxBudgetRise
}

// PlayStorm plays a storm in a virtual world.
func PlayStorm(s Storm, o Options) (*StormResult, error) {
	if o.Storm == nil {
		on := retrystorm.DefaultEnabled()
		o.Storm = &on
	}
	base := script.Default()
	base.Seed, base.Rate, base.Clients.Groups = s.Seed, 0, 0
	base.Length = time.Duration(s.Before+s.Outage+s.For) * time.Microsecond
	stood := &stormObservations{retryAfters: map[Time]int{}}
	wrap := o.Wrap
	o.Wrap = func(m guard.Module) guard.Module {
		m = &retryStormObserver{m, stood, 0}
		if wrap != nil {
			m = wrap(m)
		}
		return &rejectObserver{m, stood}
	}
	w, err := newWorld(base, o)
	if err != nil {
		return nil, err
	}
	r := &stormRun{
		world:        w,
		storm:        s,
		from:         sim.Start + lead + s.Before + s.Outage,
		observations: stood,
		keysBefore:   map[*standin.Cache][]string{},
	}
	r.setUp()
	if !s.Warm {
		w.sim.At(r.from-s.Outage, r.stopCaches)
		w.sim.At(r.from, r.restartCaches)
		if s.SecondOutageAfter > 0 {
			w.sim.At(r.from+s.SecondOutageAfter, r.stopCaches)
			w.sim.At(r.from+s.SecondOutageAfter+s.Outage, r.restartCaches)
		}
	} else {
		w.sim.At(r.from, r.reconnect)
	}
	end := r.from + s.For
	for now := w.sim.Now(); now < end; now = w.sim.Now() {
		if !w.runPart(min(end, now+tickEvery), maxStormSteps*(1+(end-sim.Start)/second)) {
			break
		}
		w.watcher.Tick(w.sim.Now())
		if now >= r.from && now%(100*millisecond) == 0 {
			r.accounting.AddCapacity(now, r.capacity.Now()/10)
		}
		if w.now()%second == 0 && o.Timeline != nil {
			w.logWindow()
		}
	}
	for _, c := range r.clients {
		c.Stop()
	}
	if w.err != nil {
		return nil, w.err
	}
	w.watcher.Close(w.sim.Now())
	r.result.Result = w.result()
	for _, c := range w.stormChanges {
		c.At -= s.Before + s.Outage
		r.result.Changes = append(r.result.Changes, c)
	}
	r.summarizeObservations()
	r.result.Intervals, r.result.Requests, r.result.InTime = r.accounting.Intervals(), r.accounting.Requests, r.accounting.InTime
	r.result.Overloads, r.result.Tries, r.result.Refused = w.falls, r.result.Counts.Asked, r.result.Counts.Refused
	return &r.result, nil
}

// setUp makes the clients, each a host of its own but behind a layer.
func (r *stormRun) setUp() {
	r.accounting = StormAccounting{From: r.from, For: r.storm.For}
	r.capacity = NewFleetCapacity(r.fleet, r.fleetOptions())
	r.rate = r.storm.Load * r.capacity.Now() / r.capacity.MeanWork / float64(r.storm.Clients)
	zones := script.Zones()
	for i := range r.storm.Clients {
		zone := zones[i%len(zones)]
		o := StormClient(r.fleetOptions().Client, i, r.storm.Clients, r.storm.IgnoreAdvice)
		o.Zone, o.Classes, o.Keys, o.Rate = zone, r.classes, r.fleet.Keys, r.rate
		o.Routers = func() []standin.Target { return r.front.routers(zone) }
		o.Began = func(class *standin.Class) { r.accounting.Began(r.sim.Now(), class) }
		o.Ended = func(class *standin.Class, asked Time, inAim bool) {
			r.accounting.Ended(r.sim.Now(), class, asked, inAim)
		}
		if o.Honour > 0 && r.storm.FixedBackoff {
			o.Wait, o.WaitTime = standin.FixedWait, 200*millisecond
		}
		name := fmt.Sprintf("c-%d", i+1)
		host := name
		if r.storm.SharedAddress {
			host = "layer-" + zone
		}
		if r.hosts[host] == nil {
			r.host(host, zone)
		}
		c := standin.NewClient(r.hosts[host].Machine(), o, r.fleet.Workload, r.sim.Rand(name), r.observer)
		r.clients = append(r.clients, c)
	}
	if !r.storm.Warm {
		r.sim.At(sim.Start+lead, func() {
			for _, c := range r.clients {
				c.Start()
			}
		})
	}
	if r.storm.Burst > 0 {
		r.sim.At(r.from+r.storm.BurstAt, func() { r.setRate(r.storm.Burst) })
		r.sim.At(r.from+r.storm.BurstTo, func() { r.setRate(1) })
	}
	for i := range r.storm.Silent {
		r.addSilent(i)
	}
}

func (r *stormRun) setRate(times float64) {
	for _, c := range r.clients {
		c.SetRate(times * r.rate)
	}
}

func (r *stormRun) stopCaches() {
	r.observer.logTimeline("all caches go")
	for _, c := range r.fleet.Caches {
		r.keysBefore[c] = c.Memory()
		c.Stop()
	}
}

func (r *stormRun) restartCaches() {
	r.observer.logTimeline("all caches are back, cold")
	for _, c := range r.fleet.Caches {
		r.fail(r.fleet.Restart(c))
		if r.storm.KeysRetained {
			c.Warm(r.keysBefore[c])
		}
	}
	r.reconnect()
}

// reconnect has all clients connect anew, within a moment.
func (r *stormRun) reconnect() {
	for _, c := range r.clients {
		r.sim.At(r.sim.Now()+r.rand.Int64N(20*millisecond), func() {
			if r.storm.Warm {
				c.Start()
			}
			c.Reconnect()
		})
	}
}

// addSilent has a connection come at the caches' return that never says anything, and come again once it is closed.
func (r *stormRun) addSilent(i int) {
	zones := script.Zones()
	zone := zones[i%len(zones)]
	name := "silent-" + zone
	if r.hosts[name] == nil {
		r.host(name, zone)
	}
	r.sim.At(r.from+r.rand.Int64N(20*millisecond), func() { r.dialSilent(r.hosts[name].Machine(), zone, i) })
}

func (r *stormRun) dialSilent(m machine.Machine, zone string, i int) {
	routers := r.front.routers(zone)
	if len(routers) == 0 {
		return
	}
	m.Dial(routers[i%len(routers)].Addr, second, func(c machine.Conn, err error) machine.Handler {
		again := func() { m.At(m.Now()+200*millisecond, func() { r.dialSilent(m, zone, i) }) }
		if err != nil {
			again()
			return nil
		}
		return &silentConnection{c, again}
	})
}

// silentConnection is a connection that says nothing.
type silentConnection struct {
	conn  machine.Conn
	again func()
}

func (c *silentConnection) Writable() {}

func (c *silentConnection) Readable() {
	var b [64]byte
	if _, err := c.conn.Read(b[:]); err != nil && err != machine.ErrWait {
		c.conn.Close()
		c.again()
	}
}
