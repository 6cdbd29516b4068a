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

// Storm is a retry storm: all caches stop and restart without their keys, and all clients reconnect at the restart.
type Storm struct {
	Seed              int64
	Clients           int
	Load              float64 // fraction of the capacity of warm caches
	Before            Time    // duration of the run before the outage
	Outage            Time    // duration for which no cache runs
	For               Time    // duration of the run after the caches' return
	IgnoreAdvice      float64 // fraction of clients that ignore retry-after and retry at once
	SharedAddress     bool    // the clients of each zone come from one address
	FixedBackoff      bool    // clients that honour retry-after back off by one fixed time
	Silent            int     // number of additional connections that send nothing
	SecondOutageAfter Time    // from the end of the first outage to a second one; 0 for none
	Burst             float64 // factor of the load from BurstAt to BurstTo; 0 for none
	BurstAt           Time    // from the caches' return
	BurstTo           Time    // from the caches' return
	KeysRetained      bool    // the caches return with their previous keys, but must still warm up
	Warm              bool    // no outage: the caches are warm, and all clients connect at once
}

// StormWindow is the length of the windows for which goodput is computed.
const StormWindow = 3 * second

// StormInterval is one window of a storm. All fields but At are work in seconds of one core. A request counts with the mean
// work of its class.
type StormInterval struct {
	At       Time    // beginning of the window, from the caches' return
	Offered  float64 // work of the requests made
	InTime   float64 // work of the requests answered in time
	Capacity float64 // work that the caches, and the store behind them, can do
}

// Goodput returns the fraction of the possible work that was done in time.
func (p StormInterval) Goodput() float64 {
	if least := min(p.Offered, p.Capacity); least > 0 {
		return min(1, p.InTime/least)
	}
	return 1
}

// StormResult is the result of a storm.
type StormResult struct {
	*Result
	Intervals          []StormInterval
	Requests, InTime   int // requests made after the caches' return
	Overloads          int // number of collapses of caches and of the store under overload
	Tries, Refused     int // over the whole run
	Changes            []StormChange
	CommonestWaitRatio float64 // fraction of all retry-after times that have the commonest value
	MaxBudgetRise      float64 // largest single rise of the retry budget's fraction
}

// stormLine marks the log line of a change of a router's retry-storm state.
const stormLine = `msg="` + retrystorm.ChangeMessage + `"`

// StormChange is one change of a router's retry-storm state, as its log reports it.
type StormChange struct {
	At     Time // from the beginning of the run
	Router string
	Line   string
}

// CalmAt returns the time, from the caches' return, of the last router's final change to calm. CalmAt returns 0 if all routers
// were always calm, and -1 if a router is not calm at the end.
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

// InTimeRatio returns the fraction of requests that were served in time.
func (r *StormResult) InTimeRatio() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }

// MinGoodput returns the lowest goodput of any window.
func (r *StormResult) MinGoodput() float64 {
	least := 1.0
	for _, p := range r.Intervals {
		least = min(least, p.Goodput())
	}
	return least
}

// Bound returns the fraction of the offered work that caches could have done in time without any wasted work.
func (r *StormResult) Bound() float64 {
	possible, offered := 0.0, 0.0
	for _, p := range r.Intervals {
		possible, offered = possible+min(p.Offered, p.Capacity), offered+p.Offered
	}
	return possible / offered
}

// Used returns the fraction of the possible work that was done in time, without the first window. The possible work is the
// lesser of the caches' capacity and the offered work.
func (r *StormResult) Used() float64 {
	possible, done := 0.0, 0.0
	for _, p := range r.Intervals[min(1, len(r.Intervals)):] {
		possible, done = possible+min(p.Offered, p.Capacity), done+p.InTime
	}
	if possible == 0 {
		return 1
	}
	return min(1, done/possible)
}

// turnaround is the delay before a retry of a client that retries at once.
const turnaround = 10 * millisecond

// maxStormSteps bounds the events of a run, for each second of simulated time.
const maxStormSteps = 2_000_000

// stormRun is the state of a running storm.
type stormRun struct {
	*world
	storm        Storm
	from         Time // the caches' return
	accounting   StormAccounting
	capacity     *FleetCapacity
	result       StormResult
	clients      []*standin.Client
	rate         float64 // request rate of each client
	observations *stormObservations
	keysBefore   map[*standin.Cache][]string // keys of each cache at the beginning of the outage
}

// stormObservations holds observations of the events and actions between routers and their decision modules.
type stormObservations struct {
	retryAfters   map[Time]int // counts of retry-after times, in milliseconds
	maxBudgetRise float64      // largest single rise of the retry budget's fraction
}

// retryStormObserver observes the events that reach the decision module. Options.Wrap wraps retryStormObserver, which
// therefore sees the events that a planted defect passes on.
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

// rejectObserver observes the actions that a router executes. It wraps the module that Options.Wrap returns.
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

// summarizeObservations adds the observations to the result.
func (r *stormRun) summarizeObservations() {
	all, most := 0, 0
	for _, n := range r.observations.retryAfters { // any order: a sum and a maximum
		all, most = all+n, max(most, n)
	}
	r.result.CommonestWaitRatio = float64(most) / float64(max(1, all))
	r.result.MaxBudgetRise = r.observations.maxBudgetRise
}

// PlayStorm runs a storm in a simulated world.
func PlayStorm(s Storm, o Options) (*StormResult, error) {
	if o.Storm == nil {
		on := retrystorm.DefaultEnabled()
		o.Storm = &on
	}
	base := script.Default()
	base.Seed, base.Rate, base.Clients.Groups = s.Seed, 0, 0
	base.Length = time.Duration(s.Before+s.Outage+s.For) * time.Microsecond
	observations := &stormObservations{retryAfters: map[Time]int{}}
	wrap := o.Wrap
	o.Wrap = func(m guard.Module) guard.Module {
		m = &retryStormObserver{m, observations, 0}
		if wrap != nil {
			m = wrap(m)
		}
		return &rejectObserver{m, observations}
	}
	w, err := newWorld(base, o)
	if err != nil {
		return nil, err
	}
	r := &stormRun{
		world:        w,
		storm:        s,
		from:         sim.Start + lead + s.Before + s.Outage,
		observations: observations,
		keysBefore:   map[*standin.Cache][]string{},
	}
	r.setUp()
	r.scheduleOutages()
	r.play()
	if w.err != nil {
		return nil, w.err
	}
	r.finish()
	return &r.result, nil
}

// scheduleOutages schedules the outages, or the simultaneous connect of all clients if the storm has no outage.
func (r *stormRun) scheduleOutages() {
	if r.storm.Warm {
		r.sim.At(r.from, r.reconnect)
		return
	}
	r.sim.At(r.from-r.storm.Outage, r.stopCaches)
	r.sim.At(r.from, r.restartCaches)
	if again := r.storm.SecondOutageAfter; again > 0 {
		r.sim.At(r.from+again, r.stopCaches)
		r.sim.At(r.from+again+r.storm.Outage, r.restartCaches)
	}
}

// play runs the world to the end of the storm, or until the run crashes or is stuck.
func (r *stormRun) play() {
	end := r.from + r.storm.For
	for now := r.sim.Now(); now < end; now = r.sim.Now() {
		if !r.runPart(min(end, now+tickEvery), maxStormSteps*(1+(end-sim.Start)/second)) {
			break
		}
		r.watcher.Tick(r.sim.Now())
		if now >= r.from && now%(100*millisecond) == 0 {
			r.accounting.AddCapacity(now, r.capacity.Now()/10)
		}
		if r.now()%second == 0 && r.options.Timeline != nil {
			r.logWindow()
		}
	}
	for _, c := range r.clients {
		c.Stop()
	}
}

// finish fills in the result after the end of the storm.
func (r *stormRun) finish() {
	r.watcher.Close(r.sim.Now())
	r.result.Result = r.world.result()
	for _, c := range r.stormChanges {
		c.At -= r.storm.Before + r.storm.Outage
		r.result.Changes = append(r.result.Changes, c)
	}
	r.summarizeObservations()
	r.result.Intervals = r.accounting.Intervals()
	r.result.Requests, r.result.InTime = r.accounting.Requests, r.accounting.InTime
	r.result.Overloads = r.overloadCollapses
	r.result.Tries, r.result.Refused = r.result.Counts.Asked, r.result.Counts.Refused
}

// setUp creates the clients, each on a separate host, or with SharedAddress on one shared host in each zone.
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
		if o.RetryAfterCompliance > 0 && r.storm.FixedBackoff {
			o.RetryWait, o.RetryWaitTime = standin.FixedWait, 200*millisecond
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

// reconnect makes all clients reconnect within 20 ms.
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

// addSilent opens a connection that sends nothing within 20 ms of the caches' return, and opens it again after each close.
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

// silentConnection is a connection that sends nothing.
type silentConnection struct {
	conn  machine.Conn
	again func()
}

// Writable implements machine.Handler.
func (c *silentConnection) Writable() {}

// Readable implements machine.Handler.
func (c *silentConnection) Readable() {
	var b [64]byte
	if _, err := c.conn.Read(b[:]); err != nil && err != machine.ErrWait {
		c.conn.Close()
		c.again()
	}
}
