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

// Mass is a day with many routers, each of which sends a given cache only one request every few seconds.
type Mass struct {
	Day     string // one of MassDays
	Seed    int64
	Routers int
	Caches  int
	Length  time.Duration
	Load    float64 // fraction of the capacity of warm caches; 0 means massLoad
}

// Parameters of these worlds.
const (
	massLoad   = .58 // default of Mass.Load
	heavyOneIn = 10  // one router in heavyOneIn has heavyTimes the traffic of another router
	heavyTimes = 5
	badOneIn   = 8 // a day makes one cache in badOneIn slow or failing
	massStore  = 4 // capacity of the store, as a multiple of the misses of a fleet that caches each key once
)

// MassDays lists the names of all days.
var MassDays = []string{"calm", "roll", "herd", "zone", "split", "join"}

// MassResult is the result of a day.
type MassResult struct {
	*Result
	LossReport    *LossReport
	Tally         standin.Tally // sum over all clients and classes
	Windows       []MassWindow
	Dials         int // connections that routers opened to caches
	RejectedDials int // connections that caches rejected because they had no capacity
}

// MassWindow holds the counts of one window of a day.
type MassWindow struct {
	At                        Time
	Attempts, InTime, Refused int // numbers of clients' tries
}

// Served returns the earned fraction of the priority weight of all requests.
func (r *MassResult) Served() float64 { return r.Tally.Earned / max(r.Tally.Offered, 1e-9) }

// RefusedRatio returns the fraction of requests whose last try was rejected.
func (r *MassResult) RefusedRatio() float64 { return ratio(r.Tally.Rejected, r.Tally.Requests) }

// Late returns the fraction of requests that were served after their latency objective.
func (r *MassResult) Late() float64 { return ratio(r.Tally.Late, r.Tally.Requests) }

// PerRequest returns n divided by the number of clients' requests.
func (r *MassResult) PerRequest(n int) float64 { return ratio(n, r.Tally.Requests) }

func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// massWindow is the length of a MassWindow.
const massWindow = 2 * second

// PlayMass runs a day in a simulated world.
func PlayMass(m Mass, o Options) (*MassResult, error) {
	s, err := m.script()
	if err != nil {
		return nil, err
	}
	r := &MassResult{LossReport: NewLossReport(classesOf(s))}
	o.Fleet = m.scaleFleet
	o.Weight = func(router int) int {
		if router%heavyOneIn == 0 {
			return heavyTimes
		}
		return 1
	}
	if o.Wrap != nil {
		return nil, errors.New("lab: a day with many routers takes no wrapped module")
	}
	o.Wrap = r.LossReport.Wrap
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
	if m.Day == "join" { // open watches become silent once, near the start of the cache replacement
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
		dials, rejected := c.Dials()
		r.Dials, r.RejectedDials = r.Dials+dials, r.RejectedDials+rejected
	}
	return r, nil
}

// scaleFleet scales the operators' usual fleet of nine caches to m.Caches. The caches slow down under congestion, and the store
// bears massStore times the misses of a fleet that caches each key once.
func (m Mass) scaleFleet(o *standin.Options) {
	times := float64(m.Caches) / 9
	o.Keys = int(float64(o.Keys) * times)
	hits := standin.NewKeys(o.Keys, o.Zipf, o.Offset, rand.New(rand.NewPCG(1, 1))).Mass(o.Cache.MemoryKeys * m.Caches)
	left := 1 - hits
	for _, c := range o.Classes {
		if c.Write {
			left += 2 * c.TrafficFraction // the write itself, and the later miss on the copy that the write invalidates
		}
	}
	o.Store.Concurrency = int(massStore * left * o.Client.Rate * float64(o.Store.Latency) / float64(second))
	o.Store.Queue = int(float64(o.Store.Queue) * times)
	o.Cache.Capacity.Congestion = standin.Congestion{Threshold: 5.5, Window: 2 * second, Slowdown: 2.7, RecoveryUtilization: .32, RecoveryWindow: 3500 * millisecond,
		MaxDuration: 25 * second}
	o.Discovery.CallCost, o.Discovery.LineCost = 2*millisecond, Time(100/times)
}

// script returns the script of the day.
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
	if m.Day == "join" {
		s.Clients.Impatient, s.Clients.Wait, s.Clients.Honour = .02, "at-once", .3
	}
	faults, err := m.faults()
	if err != nil {
		return s, err
	}
	s.Faults = append(s.Faults, faults...)
	s.Sort()
	return s, s.Check()
}

// faults returns the faults of the day.
func (m Mass) faults() ([]script.Fault, error) {
	p := &massPlan{mass: m}
	switch m.Day {
	case "calm":
		p.add(script.Fault{Kind: script.Burst, Target: "clients", At: p.at(.25), For: p.at(.25), Factor: 1.5})
	case "roll":
		for i := range 10 {
			first, last := 1+i*m.Routers/10, (i+1)*m.Routers/10
			if last >= first {
				p.add(script.Fault{Kind: script.RouterTerm, Target: targetRange("router:", first, last), At: p.at(.1 + .07*float64(i))})
			}
		}
		p.replaceCaches(.5, p.at(.1), p.at(.8))
		p.add(script.Fault{Kind: script.ListMoved, Target: "discovery", At: p.at(.5)})
	case "herd":
		p.add(script.Fault{Kind: script.RouterRestart, Target: targetRange("router:", 1, max(1, m.Routers*7/10)), At: p.at(.3),
			For: 800 * time.Millisecond})
		p.badCaches(script.Errors)
	case "zone":
		lost := script.Zones()[2]
		p.add(script.Fault{Kind: script.SwallowDials, Target: "zone:" + lost, At: p.at(.2), For: 5 * time.Second})
		p.add(script.Fault{Kind: script.Hang, Target: "zone:" + lost, At: p.at(.2), For: 5 * time.Second})
		p.add(script.Fault{Kind: script.RestartCold, Target: "zone:" + lost, At: p.at(.2) + 5*time.Second})
		p.add(script.Fault{Kind: script.Cut, Target: script.Zones()[0] + "<>" + script.Zones()[1], At: p.at(.6), For: 2 * time.Second})
		p.badCaches(script.Slow)
	case "split":
		p.add(script.Fault{Kind: script.Cut, Target: script.Zones()[0] + "<>" + script.Zones()[2], At: p.at(.2), For: 6 * time.Second})
		p.add(script.Fault{Kind: script.ListLate, Target: "discovery", At: p.at(.2), For: p.at(.5), Delay: 4 * time.Second})
		p.add(script.Fault{Kind: script.ResetInside, Target: "all", At: p.at(.3), For: p.at(.3), Chance: .02})
	case "join":
		p.replaceCaches(.6, p.at(.2), p.at(.2)+7*time.Second)
		p.add(script.Fault{Kind: script.Spoil, Target: p.badTarget(), At: p.at(.3), For: p.at(.2), Chance: .05})
	default:
		return nil, fmt.Errorf("lab: no day is named %q (wanted one of %v)", m.Day, MassDays)
	}
	return p.faults, nil
}

// massPlan collects the faults of a day.
type massPlan struct {
	mass   Mass
	faults []script.Fault
}

func (p *massPlan) add(f script.Fault) { p.faults = append(p.faults, f) }

// at returns the time at which a fraction of the day is over, in whole milliseconds.
func (p *massPlan) at(fraction float64) time.Duration {
	return time.Duration(fraction * float64(p.mass.Length)).Truncate(time.Millisecond)
}

// badTarget returns the target of the caches that a day makes slow or failing.
func (p *massPlan) badTarget() string { return targetRange("c", 1, max(1, p.mass.Caches/badOneIn)) }

// badCaches makes some caches slow or failing during the middle of the day.
func (p *massPlan) badCaches(kind string) {
	f := script.Fault{Kind: kind, Target: p.badTarget(), At: p.at(.3), For: p.at(.4)}
	if kind == script.Errors {
		f.Chance = .3
	}
	p.add(f)
}

// replaceCaches replaces a fraction of the caches, one group after another, between two times.
func (p *massPlan) replaceCaches(fraction float64, from, to time.Duration) {
	n := int(fraction * float64(p.mass.Caches))
	const steps = 8
	for i := range steps {
		first, last := 1+i*n/steps, (i+1)*n/steps
		if last >= first {
			p.add(script.Fault{Kind: script.Replace, Target: targetRange("c", first, last),
				At: from + (to-from)*time.Duration(i)/steps, How: "new-address"})
		}
	}
}

// targetRange returns the script target for the caches or routers with numbers from one to another.
func targetRange(of string, from, to int) string {
	if from == to {
		return fmt.Sprintf("%s%d", of, from)
	}
	return fmt.Sprintf("%s%d-%d", of, from, to)
}

// MassDay reports whether a day with that name exists.
func MassDay(name string) bool { return slices.Contains(MassDays, name) }
