package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
)

// Mass is a day with many routers, of which each sends a cache a request every few seconds.
type Mass struct {
	Day     string // one of MassDays
	Seed    int64
	Routers int
	Caches  int
	Length  time.Duration
	Load    float64 // of what warm caches bear; 0 for massLoad
}

// Figures of these worlds: load, and how uneven routers are. One in so many has several times the traffic of another.
const (
	massLoad   = .58
	heavyOneIn = 10
	heavyTimes = 5
	badOneIn   = 8 // caches that a day makes slow or failing
	massStore  = 4
)

// MassDays are the days there are.
var MassDays = []string{"calm", "roll", "herd", "zone", "split", "join"}

// MassResult is what came of a day.
type MassResult struct {
	*Result
	Losses     *Losses
	Tally      standin.Tally // of all clients and classes
	Windows    []MassWindow
	Dials      int // connections that came to caches ...
	TurnedAway int // ... and that were turned away for want of room
}

// MassWindow is a span of a day.
type MassWindow struct {
	At                     Time
	Asked, InTime, Refused int // tries of clients
}

// Served is the share of the worth of all requests that was earned.
func (r *MassResult) Served() float64 { return r.Tally.Earned / max(r.Tally.Offered, 1e-9) }

// RefusedShare is the share of requests whose last try was refused.
func (r *MassResult) RefusedShare() float64 { return share(r.Tally.Rejected, r.Tally.Requests) }

// Late is the share of requests that were served past their aim.
func (r *MassResult) Late() float64 { return share(r.Tally.Late, r.Tally.Requests) }

// PerRequest is a count as a share of clients' requests.
func (r *MassResult) PerRequest(n int) float64 { return share(n, r.Tally.Requests) }

func share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// massWindow is the span of a window.
const massWindow = 2 * second

// PlayMass plays a day in a virtual world.
func PlayMass(m Mass, o Options) (*MassResult, error) {
	s, err := m.script()
	if err != nil {
		return nil, err
	}
	r := &MassResult{Losses: NewLosses(classesOf(s))}
	o.Fleet = m.fleet
	o.Weight = func(router int) int {
		if router%heavyOneIn == 0 {
			return heavyTimes
		}
		return 1
	}
	if o.Wrap != nil {
		return nil, errors.New("lab: a day with many routers takes no wrapped module")
	}
	o.Wrap = r.Losses.Wrap
	var last rules.Tally
	o.Counts = func(at Time, c rules.Counts) {
		if at%massWindow == 0 {
			r.Windows = append(r.Windows, MassWindow{at, c.Asked - last.Asked, c.InTime - last.InTime, c.Refused - last.Refused})
			last = c.Tally
		}
	}
	w, err := newWorld(s, o)
	if err != nil {
		return nil, err
	}
	if m.Day == "join" { // open watches fall silent, once, as the caches begin to be replaced
		w.sim.At(sim.Start+lead+microseconds(m.Length)/4, w.fleet.Discovery.LoseWatches)
	}
	w.play()
	if w.err != nil {
		return nil, w.err
	}
	r.Result = w.result()
	for _, t := range w.fleet.Tallies() {
		r.Tally.Add(t)
	}
	for _, c := range w.fleet.Caches {
		came, turned := c.Dials()
		r.Dials, r.TurnedAway = r.Dials+came, r.TurnedAway+turned
	}
	return r, nil
}

// fleet scales the operators' usual fleet of nine caches to a larger one, with caches that choke under a crowd and a store
// that takes massStore times the misses that are left where all memory works as one.
func (m Mass) fleet(o *standin.Options) {
	times := float64(m.Caches) / 9
	o.Keys = int(float64(o.Keys) * times)
	hits := standin.NewKeys(o.Keys, o.Zipf, o.Offset, rand.New(rand.NewPCG(1, 1))).Mass(o.Cache.MemoryKeys * m.Caches)
	left := 1 - hits
	for _, c := range o.Classes {
		if c.Write {
			left += 2 * c.TrafficFraction // itself, and the copy that it voids
		}
	}
	o.Store.Concurrency = int(massStore * left * o.Client.Rate * float64(o.Store.Latency) / float64(second))
	o.Store.Queue = int(float64(o.Store.Queue) * times)
	o.Cache.Capacity.Congestion = standin.Congestion{Threshold: 5.5, Window: 2 * second, Slowdown: 2.7, RecoveryUtilization: .32,
		RecoveryWindow: 3500 * millisecond,
		MaxDuration:    25 * second}
	o.Discovery.CallCost, o.Discovery.LineCost = 2*millisecond, Time(100/times)
}

// script is the day as a world and its faults.
func (m Mass) script() (script.Script, error) {
	s := script.Default()
	s.Seed, s.Routers, s.Caches, s.Length = m.Seed, m.Routers, m.Caches, m.Length
	load := m.Load
	if load == 0 {
		load = massLoad
	}
	work := 0.0
	for _, c := range standin.DefaultClasses() {
		work += c.TrafficFraction * float64(c.Work) / float64(second)
	}
	s.Rate = load * float64(m.Caches) * standin.DefaultOptions().Cache.Capacity.Cores / work
	s.Clients.Groups, s.Clients.Retries = 60, 2
	s.Fleet.Sockets = 512
	at := func(share float64) time.Duration {
		return time.Duration(share * float64(m.Length)).Truncate(time.Millisecond)
	}
	add := func(f script.Fault) { s.Faults = append(s.Faults, f) }
	caches := func(from, to int) string { return span1("c", from, to) }
	routers := func(from, to int) string { return span1("router:", from, to) }
	bad := func(kind string) {
		f := script.Fault{Kind: kind, Target: caches(1, max(1, m.Caches/badOneIn)), At: at(.3), For: at(.4)}
		if kind == script.Errors {
			f.Chance = .3
		}
		add(f)
	}
	// replace has caches replaced one after another.
	replace := func(part float64, from, to time.Duration) {
		n := int(part * float64(m.Caches))
		const steps = 8
		for i := range steps {
			first, last := 1+i*n/steps, (i+1)*n/steps
			if last >= first {
				add(script.Fault{Kind: script.Replace, Target: caches(first, last), At: from + (to-from)*time.Duration(i)/steps,
					How: "new-address"})
			}
		}
	}
	switch m.Day {
	case "calm":
		add(script.Fault{Kind: script.Burst, Target: "clients", At: at(.25), For: at(.25), Factor: 1.5})
	case "roll":
		for i := range 10 {
			first, last := 1+i*m.Routers/10, (i+1)*m.Routers/10
			if last >= first {
				add(script.Fault{Kind: script.RouterTerm, Target: routers(first, last), At: at(.1 + .07*float64(i))})
			}
		}
		replace(.5, at(.1), at(.8))
		add(script.Fault{Kind: script.ListMoved, Target: "discovery", At: at(.5)})
	case "herd":
		add(script.Fault{Kind: script.RouterRestart, Target: routers(1, max(1, m.Routers*7/10)), At: at(.3), For: 800 * time.Millisecond})
		bad(script.Errors)
	case "zone":
		lost := script.Zones()[2]
		add(script.Fault{Kind: script.SwallowDials, Target: "zone:" + lost, At: at(.2), For: 5 * time.Second})
		add(script.Fault{Kind: script.Hang, Target: "zone:" + lost, At: at(.2), For: 5 * time.Second})
		add(script.Fault{Kind: script.RestartCold, Target: "zone:" + lost, At: at(.2) + 5*time.Second})
		add(script.Fault{Kind: script.Cut, Target: script.Zones()[0] + "<>" + script.Zones()[1], At: at(.6), For: 2 * time.Second})
		bad(script.Slow)
	case "split":
		add(script.Fault{Kind: script.Cut, Target: script.Zones()[0] + "<>" + script.Zones()[2], At: at(.2), For: 6 * time.Second})
		add(script.Fault{Kind: script.ListLate, Target: "discovery", At: at(.2), For: at(.5), Delay: 4 * time.Second})
		add(script.Fault{Kind: script.ResetInside, Target: "all", At: at(.3), For: at(.3), Chance: .02})
	case "join":
		replace(.6, at(.2), at(.2)+7*time.Second)
		s.Clients.Impatient, s.Clients.Wait, s.Clients.Honour = .02, "at-once", .3
		add(script.Fault{Kind: script.Spoil, Target: caches(1, max(1, m.Caches/badOneIn)), At: at(.3), For: at(.2), Chance: .05})
	default:
		return s, fmt.Errorf("lab: no day is named %q (wanted one of %v)", m.Day, MassDays)
	}
	s.Sort()
	return s, s.Check()
}

// span1 names the things from one number to another.
func span1(of string, from, to int) string {
	if from == to {
		return fmt.Sprintf("%s%d", of, from)
	}
	return fmt.Sprintf("%s%d-%d", of, from, to)
}

// MassDay reports whether there is a day of that name.
func MassDay(name string) bool { return slices.Contains(MassDays, name) }
