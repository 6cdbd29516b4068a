// Package loopback runs real router processes beside stand-ins for all that surrounds them, on this machine's
// loopback addresses. The stand-ins share one machine in this process; each router has addresses of its own at
// every cache and at discovery, so that it is known who calls. The four rules are watched from outside by
// package rules.
//
// It never looks into a router but for what the system tells of a process, it judges no time that this process
// itself was late for (see witness), and it leaves no process behind: each is ended by its id, and by the
// kernel where this process dies.
package loopback

import (
	"io"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/standin"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

const (
	millisecond = standin.Millisecond
	second      = standin.Second
)

// Options describe a run.
type Options struct {
	Script  script.Script // the world, and what goes wrong in it
	Endless bool          // clients go on until an interrupt, whatever the script's length
	Program string        // a router's binary; empty has it built
	// Visitors says that somebody else may ask the routers besides; what they ask for is not watched.
	Visitors bool

	Storm *Storm // nil for none
	Fleet *Fleet // likewise

	// Calls says which system calls of the routers fail, in the words of faultkernel.Parse; the program has to be one that
	// BuildTrial has built. "" for none.
	Calls string

	Ready func(Addresses) // once all routers serve; may be nil
	// See is called every second from then on; may be nil. An error ends the run like an interrupt: nobody looks on.
	See func(Snapshot) error
	Log io.Writer // takes the routers' lines as they come; may be nil

	started func(pid int) // of each process; for tests
}

// Addresses are where the parts listen.
type Addresses struct {
	Routers   []standin.Target
	Discovery []string // for each router
	Dir       string   // holds the routers' configuration files
}

// Report is what a run has shown.
type Report struct {
	Counts      rules.Counts     // of tries, by the watcher
	Tallies     []*standin.Tally // of requests with all their tries, by class
	Broken      []Finding        // rules broken, the first ones
	Misses      Misses           // requests that were not served in time
	Troubles    []string         // what was wrong with a process, each in one line
	Routers     []RouterReport
	Lag         Lag
	Forgiven    map[string]int // by class: answers that were late only because this process was
	Interrupted bool
	// Storm is what was asked and served in the storm, where there was one.
	Storm *lab.StormBooks
	// Classes are the clients'.
	Classes []standin.Class
	Outs    []Out // in the order of their marks
}

// Out is one time that a cache was marked as out of service in the registry.
type Out struct {
	Cache  string
	At     Time   // when the registry showed it, since the clients' start
	Sent   int    // requests that reached it from then on, until it was up again
	Last   Time   // how long after the mark the last of them came; 0 for none
	Router string // who sent that one
}

// Finding is a broken rule with the life of its request.
type Finding struct {
	rules.Violation
	History []string
}

// RouterReport is what is known of a router over all its processes.
type RouterReport struct {
	Name        string
	Starts      int
	PeakRSS     int64           // bytes, the most of any of its processes
	Descriptors int             // the most that were seen
	Lines       int             // of its log
	Counters    map[string]bool // the names of those that its log tells of
	Tail        []string
}

// OK reports whether no rule was broken and every process did as it should.
func (r *Report) OK() bool { return r.Counts.Violations() == 0 && len(r.Troubles) == 0 }

// Requests sums the tallies of all classes up.
func (r *Report) Requests() standin.Tally {
	var sum standin.Tally
	for _, t := range r.Tallies {
		sum.Add(t)
	}
	return sum
}

// InTime is the operators' measure: the worth of the requests that were served within their aim, at whichever try,
// over the worth of all that were made. A late answer earns nothing here.
func (r *Report) InTime() float64 { return r.InTimeSince(nil) }

// InTimeSince is InTime without what an earlier snapshot has counted.
func (r *Report) InTimeSince(before []*standin.Tally) float64 {
	earned, asked := 0.0, 0.0
	for i, t := range r.Tallies {
		worth, served, made := r.Classes[i].PriorityWeight, t.OnTime+r.Forgiven[t.Class], t.Requests
		if before != nil {
			served, made = served-before[i].OnTime, made-before[i].Requests
		}
		earned += worth * float64(served)
		asked += worth * float64(made)
	}
	if asked == 0 {
		return 1
	}
	return earned / asked
}

// Service is the worth earned of the worth asked for; a late answer earns a part of it.
func (r *Report) Service() float64 { return standin.Service(r.Tallies) }

// PeakRSS is the most bytes that any router held, Descriptors the most descriptors.
func (r *Report) PeakRSS() (most int64) {
	for _, router := range r.Routers {
		most = max(most, router.PeakRSS)
	}
	return most
}

// Descriptors is the most descriptors that any router held.
func (r *Report) Descriptors() (most int) {
	for _, router := range r.Routers {
		most = max(most, router.Descriptors)
	}
	return most
}
