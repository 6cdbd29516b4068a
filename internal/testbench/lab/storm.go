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
	Seed    int64
	Clients int
	Load    float64 // of what warm caches bear
	Before  Time    // of calm, before it all
	Outage  Time    // for which no cache runs
	For     Time    // how long it is watched from the caches' return on
	Ignore  float64 // share of clients that take no advice and retry at once
	Layer   bool    // all clients come from one address
	InStep  bool    // those that obey back off by one fixed span
	Silent  int     // connections beside, that say nothing
	Again   Time    // a second outage begins so long after the first one's end; 0 for none
	Burst   float64 // the load is so many times as high ...
	BurstAt Time    // ... from this moment after the caches' return ...
	BurstTo Time    // ... up to this one
	Keeps   bool    // the caches still hold the keys that they held: cold ones can do little, but know it all
	Warm    bool    // nothing goes: the caches are warm, and clients come all at once
}

// StormWindow is the span over which goodput is judged.
const StormWindow = 3 * second

// StormPart is one window of a storm. All but At is work, in seconds of one core, as requests of their class take on
// average.
type StormPart struct {
	At     Time    // its beginning, from the caches' return
	Asked  float64 // of requests made
	InTime float64 // of those answered in time
	Bear   float64 // that caches, and the store behind them, can do
}

// Goodput is the share of what could be done that was.
func (p StormPart) Goodput() float64 {
	if least := min(p.Asked, p.Bear); least > 0 {
		return min(1, p.InTime/least)
	}
	return 1
}

// StormResult is what came of a storm.
type StormResult struct {
	*Result
	Parts            []StormPart
	Requests, InTime int // made from the caches' return on
	Fell             int // caches and stores that fell over
	Tries, Refused   int // of the whole run
	Changes          []StormChange
	InStep           float64 // share of waits that are the commonest one, of those that refusals named
	Jump             float64 // most by which the budget of retries rose at once
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

// Share is that of requests that were served in time.
func (r *StormResult) Share() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }

// Least is the least goodput of any window.
func (r *StormResult) Least() float64 {
	least := 1.0
	for _, p := range r.Parts {
		least = min(least, p.Goodput())
	}
	return least
}

// Bound is the share of work in time that caches could have done at best, had nothing been wasted.
func (r *StormResult) Bound() float64 {
	could, asked := 0.0, 0.0
	for _, p := range r.Parts {
		could, asked = could+min(p.Asked, p.Bear), asked+p.Asked
	}
	return could / asked
}

// Used is the share of what caches could do, or of what was asked where that is less, that was done in time, without
// the first window.
func (r *StormResult) Used() float64 {
	could, done := 0.0, 0.0
	for _, p := range r.Parts[min(1, len(r.Parts)):] {
		could, done = could+min(p.Asked, p.Bear), done+p.InTime
	}
	if could == 0 {
		return 1
	}
	return min(1, done/could)
}

// turnaround is how long a client that retries at once takes for that.
const turnaround = 10 * millisecond

// stormMost bounds the steps of a run, by the second.
const stormMost = 2_000_000

// storming is a storm that is under way.
type storming struct {
	*world
	storm   Storm
	from    Time // the caches' return
	books   StormBooks
	bearing *Bearing
	result  StormResult
	clients []*standin.Client
	rate    float64 // of each client
	stood   *stood
	held    map[*standin.Cache][]string // keys, as the caches went
}

// stood is what was seen at the seam between routers and their decision modules.
type stood struct {
	waits map[Time]int // that refusals named, to the millisecond
	jump  float64      // of the budget
}

// hearing stands behind what a test plants, and hears what the module is told.
type hearing struct {
	guard.Module
	seen    *stood
	retries float64
}

// Handle implements guard.Module.
func (h *hearing) Handle(now Time, ev decide.Event) []decide.Action {
	if p, ok := ev.(*decide.RetryStorm); ok {
		if p.Active && h.retries > 0 {
			h.seen.jump = max(h.seen.jump, p.RetryBudgetFraction-h.retries)
		}
		h.retries = p.RetryBudgetFraction
	}
	return h.Module.Handle(now, ev)
}

// standing stands before it, and sees what routers are told to do.
type standing struct {
	guard.Module
	seen *stood
}

// Handle implements guard.Module.
func (s *standing) Handle(now Time, ev decide.Event) []decide.Action {
	actions := s.Module.Handle(now, ev)
	for _, a := range actions {
		if a, ok := a.(decide.Reject); ok {
			s.seen.waits[a.RetryAfter/millisecond]++
		}
	}
	return actions
}

// count sums up what was seen at the seam.
func (r *storming) count() {
	all, most := 0, 0
	for _, n := range r.stood.waits { // any order: a sum and a maximum
		all, most = all+n, max(most, n)
	}
	r.result.InStep = float64(most) / float64(max(1, all))
	r.result.Jump = r.stood.jump
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
	stood := &stood{waits: map[Time]int{}}
	wrap := o.Wrap
	o.Wrap = func(m guard.Module) guard.Module {
		m = &hearing{m, stood, 0}
		if wrap != nil {
			m = wrap(m)
		}
		return &standing{m, stood}
	}
	w, err := newWorld(base, o)
	if err != nil {
		return nil, err
	}
	r := &storming{stood: stood, held: map[*standin.Cache][]string{}, world: w, storm: s, from: sim.Start + lead + s.Before + s.Outage}
	r.setUp()
	if !s.Warm {
		w.sim.At(r.from-s.Outage, r.cachesGo)
		w.sim.At(r.from, r.cachesCome)
		if s.Again > 0 {
			w.sim.At(r.from+s.Again, r.cachesGo)
			w.sim.At(r.from+s.Again+s.Outage, r.cachesCome)
		}
	} else {
		w.sim.At(r.from, r.reconnect)
	}
	end := r.from + s.For
	for now := w.sim.Now(); now < end; now = w.sim.Now() {
		if !w.runPart(min(end, now+tickEvery), stormMost*(1+(end-sim.Start)/second)) {
			break
		}
		w.watcher.Tick(w.sim.Now())
		if now >= r.from && now%(100*millisecond) == 0 {
			r.books.Bear(now, r.bearing.Now()/10)
		}
		if w.now()%second == 0 && o.Timeline != nil {
			w.window()
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
	for _, c := range w.storms {
		c.At -= s.Before + s.Outage
		r.result.Changes = append(r.result.Changes, c)
	}
	r.count()
	r.result.Parts, r.result.Requests, r.result.InTime = r.books.Parts(), r.books.Requests, r.books.InTime
	r.result.Fell, r.result.Tries, r.result.Refused = w.falls, r.result.Counts.Asked, r.result.Counts.Refused
	return &r.result, nil
}

// setUp makes the clients, each a host of its own but behind a layer.
func (r *storming) setUp() {
	r.books = StormBooks{From: r.from, For: r.storm.For}
	r.bearing = NewBearing(r.fleet, r.fleetOptions())
	r.rate = r.storm.Load * r.bearing.Now() / r.bearing.Mean / float64(r.storm.Clients)
	zones := script.Zones()
	for i := range r.storm.Clients {
		zone := zones[i%len(zones)]
		o := StormClient(r.fleetOptions().Client, i, r.storm.Clients, r.storm.Ignore)
		o.Zone, o.Classes, o.Keys, o.Rate = zone, r.classes, r.fleet.Keys, r.rate
		o.Routers = func() []standin.Target { return r.front.routers(zone) }
		o.Began = func(class *standin.Class) { r.books.Began(r.sim.Now(), class) }
		o.Ended = func(class *standin.Class, asked Time, inAim bool) { r.books.Ended(r.sim.Now(), class, asked, inAim) }
		if o.RetryAfterCompliance > 0 && r.storm.InStep {
			o.RetryWait, o.RetryWaitTime = standin.FixedWait, 200*millisecond
		}
		name := fmt.Sprintf("c-%d", i+1)
		host := name
		if r.storm.Layer {
			host = "layer-" + zone
		}
		if r.hosts[host] == nil {
			r.host(host, zone)
		}
		c := standin.NewClient(r.hosts[host].Machine(), o, r.fleet.Workload, r.sim.Rand(name), r.eyes)
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
		r.silent(i)
	}
}

func (r *storming) setRate(times float64) {
	for _, c := range r.clients {
		c.SetRate(times * r.rate)
	}
}

func (r *storming) cachesGo() {
	r.eyes.say("all caches go")
	for _, c := range r.fleet.Caches {
		r.held[c] = c.Memory()
		c.Stop()
	}
}

func (r *storming) cachesCome() {
	r.eyes.say("all caches are back, cold")
	for _, c := range r.fleet.Caches {
		r.fail(r.fleet.Restart(c))
		if r.storm.Keeps {
			c.Warm(r.held[c])
		}
	}
	r.reconnect()
}

// reconnect has all clients connect anew, within a moment.
func (r *storming) reconnect() {
	for _, c := range r.clients {
		r.sim.At(r.sim.Now()+r.rand.Int64N(20*millisecond), func() {
			if r.storm.Warm {
				c.Start()
			}
			c.Reconnect()
		})
	}
}

// silent has a connection come at the caches' return that never says anything, and come again once it is closed.
func (r *storming) silent(i int) {
	zones := script.Zones()
	zone := zones[i%len(zones)]
	name := "silent-" + zone
	if r.hosts[name] == nil {
		r.host(name, zone)
	}
	r.sim.At(r.from+r.rand.Int64N(20*millisecond), func() { r.mute(r.hosts[name].Machine(), zone, i) })
}

func (r *storming) mute(m machine.Machine, zone string, i int) {
	routers := r.front.routers(zone)
	if len(routers) == 0 {
		return
	}
	m.Dial(routers[i%len(routers)].Addr, second, func(c machine.Conn, err error) machine.Handler {
		again := func() { m.At(m.Now()+200*millisecond, func() { r.mute(m, zone, i) }) }
		if err != nil {
			again()
			return nil
		}
		return &muted{c, again}
	})
}

// muted is a connection that says nothing.
type muted struct {
	conn  machine.Conn
	again func()
}

func (c *muted) Writable() {}

func (c *muted) Readable() {
	var b [64]byte
	if _, err := c.conn.Read(b[:]); err != nil && err != machine.ErrWait {
		c.conn.Close()
		c.again()
	}
}
