// Package lab runs routers among stand-ins, in a virtual world on which a script of faults is played, and finds the
// rules that break. A run is decided by its script alone, seed included: the same script gives the same
// run to the byte, whatever else the process does. One goroutine carries a run out; several runs may go on side
// by side, as they share nothing.
//
// The lab never judges: package rules does, from what is on the sockets. What it adds is what no
// socket shows: a router that crashes, a run that does not end, and what is left behind once all is quiet.
package lab

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"runtime"
	"slices"
	"strings"

	"starlingwinch/internal/guard"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/snapshotstore"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
)

// Options say how a script is run.
type Options struct {
	Node Start // the router under test
	// Wrap stands between each router and its decision module; see NodeConfig.
	Wrap func(guard.Module) guard.Module
	// Unguarded has the routers' guard prevent nothing; see NodeConfig.
	Unguarded bool
	// Storm is what operators say of storms; nil for nothing.
	Storm *retrystorm.Config
	// Change, where it is not nil, changes each script before it is played.
	Change func(*script.Script)
	// Follow is the id of a request whose life the result is to hold.
	Follow string
	// State says where routers keep what they have learned; the zero value is nowhere.
	State snapshotstore.Config
	// Fleet, where it is not nil, changes the fleet that stands around the routers before it is made.
	Fleet func(*standin.Options)
	// Weight is how many of its zone's connections the front deals to a router, from 0, for each one of another; nil for one.
	Weight func(router int) int
	// Caches is told the names of the caches at the start, in the order of their places. It may be nil.
	Caches func(names []string)
	// Counts is told what has been counted, each second. It may be nil.
	Counts func(at Time, c rules.Counts)
	// Timeline is told what a person wants to know, in order.
	Timeline func(at Time, line string)
}

// ScriptTime is the script's time at an instant of a router's clock.
func ScriptTime(now sim.Time) Time { return now - sim.Start - lead }

// Bounds of a run.
const (
	settleFor      = 8 * second // after the clients have stopped
	settleStep     = 100 * millisecond
	tickEvery      = 5 * millisecond
	usageEvery     = 100 * millisecond
	minSteps       = 300_000
	stepsPerSecond = 100_000 // of simulated time
)

// Run plays a script. The error tells what kept it from being played; broken rules are in the result.
func Run(s script.Script, o Options) (*Result, error) {
	if o.Change != nil {
		s = s.Clone()
		o.Change(&s)
		s.Sort()
	}
	for _, f := range s.Faults {
		if f.Kind == script.HandOver || f.Kind == script.Signals {
			return nil, fmt.Errorf("%s: only real processes can have it (lab soak)", f)
		}
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	if o.Node == nil {
		return nil, errors.New("lab: no router to run")
	}
	w, err := newWorld(s, o)
	if err != nil {
		return nil, err
	}
	w.play()
	if w.err != nil {
		return nil, w.err
	}
	return w.result(), nil
}

// play runs the world to its end, which is early where it crashes or is stuck.
func (w *world) play() {
	end := sim.Start + lead + microseconds(w.script.Length)
	if !w.runTo(end) {
		return
	}
	w.fleet.Stop()
	w.observer.logTimeline("the script is over, the clients stop")
	for until := end + settleFor; w.sim.Now() < until; {
		if !w.runTo(w.sim.Now() + settleStep) {
			return
		}
		if w.quiet() {
			break
		}
	}
	w.checkLeftovers()
	w.watcher.Close(w.sim.Now())
}

// runTo plays up to an instant and reports whether the run can go on.
func (w *world) runTo(until Time) bool {
	most := int64(minSteps) + int64(stepsPerSecond)*((until-sim.Start)/second)
	for w.sim.Now() < until {
		next := min(until, w.sim.Now()-w.sim.Now()%tickEvery+tickEvery)
		if !w.runPart(next, most) {
			return false
		}
		now := w.sim.Now()
		if w.registry != nil {
			w.registry.knowledge.update(now)
		}
		w.watcher.Tick(now)
		if now%usageEvery == 0 {
			w.usage()
		}
		if w.now()%second == 0 {
			w.reportSecond()
		}
	}
	return w.err == nil
}

// runPart plays up to an instant and catches what panics.
func (w *world) runPart(until Time, most int64) (on bool) {
	defer func() {
		if r := recover(); r != nil {
			who := ""
			if h := w.sim.Acting(); h != nil {
				who = h.Name()
			}
			w.reportBroken(Broken{Rule: Crash, At: w.now(), Router: who, Text: fmt.Sprintf("%v%s", r, stack())})
			on = false
		}
	}()
	if w.sim.RunUntil(until, func() bool { return w.sim.Steps() > most }) {
		w.reportBroken(Broken{Rule: Stuck, At: w.now(), Text: fmt.Sprintf("%d events", w.sim.Steps())})
		return false
	}
	return true
}

// maxFrames bounds the frames of a reported stack.
const maxFrames = 8

// stack names the project's functions that led to the panic, without what differs from run to run.
func stack() string {
	var pcs [64]uintptr
	frames := runtime.CallersFrames(pcs[:runtime.Callers(3, pcs[:])])
	var lines []string
	for {
		f, more := frames.Next()
		name, ours := strings.CutPrefix(f.Function, "starlingwinch/")
		if name == "internal/testbench/lab.(*world).runPart" {
			more = false // who has called the runner is no part of it
		}
		if ours && !strings.HasPrefix(name, "internal/testbench/lab.") && !strings.HasPrefix(name, "internal/testbench/sim.") {
			lines = append(lines, fmt.Sprintf(" | %s %s:%d", name, path.Base(f.File), f.Line))
		}
		if !more || len(lines) == maxFrames {
			return strings.Join(lines, "")
		}
	}
}

// usage reports the descriptors that each router holds to the watcher.
func (w *world) usage() {
	for _, r := range w.routers {
		if r.node != nil {
			w.watcher.Usage(w.sim.Now(), r.name, r.host.Descriptors(), w.script.Fleet.Sockets)
		}
	}
}

// quiet reports whether nothing is under way any more.
func (w *world) quiet() bool {
	if w.fleet.Open() > 0 {
		return false
	}
	for _, r := range w.routers {
		if r.ending {
			return false
		}
		if r.node == nil {
			continue
		}
		for what, n := range r.node.Holdings() {
			if n != 0 && what != connections {
				return false
			}
		}
	}
	return true
}

// What a quiet router may hold: connections, and a few timers that come again and again.
const (
	connections = "connections"
	ownTimers   = "timers"
)

// A quiet router's descriptors beside its connections, and its timers.
const (
	otherDescriptors = 8
	otherTimers      = 1024
	hookDescriptors  = 4 // of each hook: its worker's, and those of a set that takes over
)

// checkLeftovers reports resources that a quiet router still holds: a leak shows only after weeks otherwise.
func (w *world) checkLeftovers() {
	now := w.sim.Now()
	for _, r := range w.routers {
		if r.node == nil || r.ending {
			continue
		}
		left := r.node.Holdings()
		for _, what := range slices.Sorted(maps.Keys(left)) {
			if what != connections && what != ownTimers {
				w.watcher.Leftover(now, r.name, what, left[what])
			}
		}
		conns, held, timers := left[connections], r.host.Descriptors(), r.host.Pending()+left[ownTimers]
		others := otherDescriptors + hookDescriptors*len(w.script.Hooks)
		if _, told := left[connections]; told && held > conns+others {
			w.watcher.Leftover(now, r.name, "descriptors beyond its connections", held-conns)
		}
		if timers > held+otherTimers {
			w.watcher.Leftover(now, r.name, "timers", timers)
		}
		w.hooks.checkWorkers(r)
	}
}

func (w *world) result() *Result {
	r := &Result{Broken: w.broken, More: w.moreBroken, Excused: w.excused, Counts: w.watcher.Counts(), Steps: w.sim.Steps(),
		Simulated: w.sim.Now() - sim.Start, History: w.observer.history, Discovery: w.fleet.Discovery.Usage()}
	if last := w.watcher.History(w.options.Follow); last != nil {
		r.History = last
	}
	r.setTrace(w.sim.TraceHash())
	return r
}

// reportSecond passes the counts of the last second to the callbacks of the options.
func (w *world) reportSecond() {
	if w.options.Timeline != nil {
		w.logWindow()
	}
	if w.options.Counts != nil {
		w.options.Counts(w.now(), w.watcher.Counts())
	}
}

// logWindow writes the counts of the last second to the timeline.
func (w *world) logWindow() {
	c := w.watcher.Counts()
	was := w.observer.lastTally
	w.observer.lastTally = c.Tally
	w.observer.logTimelinef("  asked %d, served %d (in time %d), refused %d, failed %d, lost %d",
		c.Asked-was.Asked, c.Served-was.Served, c.InTime-was.InTime, c.Refused-was.Refused, c.Failed-was.Failed,
		c.Lost-was.Lost)
}
