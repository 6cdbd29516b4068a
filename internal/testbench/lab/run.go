// Package lab runs routers among stand-ins in a simulated world, applies a script of faults, and reports broken rules.
// A run is deterministic: the script, including its seed, decides every byte of the run, independently of anything else in
// the process. One goroutine executes a run. Several runs may execute concurrently, as they share no state.
//
// Package rules judges the routers by the traffic on the sockets. The lab adds only checks of faults that the sockets do not
// show, such as a router that crashes, a run that does not end, and resources that remain after all work has ended.
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
	// Wrap wraps the decision module of each router; see NodeConfig.
	Wrap func(guard.Module) guard.Module
	// Unguarded disables the routers' guard; see NodeConfig.
	Unguarded bool
	// Storm is the operators' retry-storm configuration; nil means none.
	Storm *retrystorm.Config
	// Change, if not nil, changes each script before the run.
	Change func(*script.Script)
	// Follow is the id of a request whose history the result includes.
	Follow string
	// State configures where routers store their snapshots; with the zero value, they store none.
	State snapshotstore.Config
	// Fleet, if not nil, changes the options of the stand-ins' fleet before the fleet is created.
	Fleet func(*standin.Options)
	// Weight returns the relative share of its zone's connections that the front gives to the router with this index, counted
	// from 0; nil means 1 for each router.
	Weight func(router int) int
	// Caches, if not nil, is called at the start with the names of the caches, in the order of their places.
	Caches func(names []string)
	// Counts, if not nil, is called each simulated second with the counts so far.
	Counts func(at Time, c rules.Counts)
	// Timeline, if not nil, is called with each line of the human-readable timeline, in order.
	Timeline func(at Time, line string)
}

// ScriptTime converts an instant of a router's clock to script time.
func ScriptTime(now sim.Time) Time { return now - sim.Start - lead }

// Bounds of a run.
const (
	settleFor      = 8 * second // maximum duration of the run after the clients have stopped
	settleStep     = 100 * millisecond
	tickEvery      = 5 * millisecond
	usageEvery     = 100 * millisecond
	minSteps       = 300_000
	stepsPerSecond = 100_000 // of simulated time
)

// Run executes a script. Run returns an error only if the script could not be executed; broken rules are in the result.
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

// play runs the world to its end, or until the run crashes or is stuck.
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

// runTo runs the world up to an instant and reports whether the run can continue.
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

// runPart runs the world up to an instant. It reports a panic, or too many events, as a broken rule.
func (w *world) runPart(until Time, most int64) (ok bool) {
	defer func() {
		if r := recover(); r != nil {
			who := ""
			if h := w.sim.Acting(); h != nil {
				who = h.Name()
			}
			w.reportBroken(Broken{Rule: Crash, At: w.now(), Router: who, Text: fmt.Sprintf("%v%s", r, stack())})
			ok = false
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

// stack formats the project's functions on the stack of a panic, without the parts that differ between runs.
func stack() string {
	var pcs [64]uintptr
	frames := runtime.CallersFrames(pcs[:runtime.Callers(3, pcs[:])])
	var lines []string
	for {
		f, more := frames.Next()
		name, ours := strings.CutPrefix(f.Function, "starlingwinch/")
		if name == "internal/testbench/lab.(*world).runPart" {
			more = false // the callers of the runner differ between runs
		}
		if ours && !strings.HasPrefix(name, "internal/testbench/lab.") && !strings.HasPrefix(name, "internal/testbench/sim.") {
			lines = append(lines, fmt.Sprintf(" | %s %s:%d", name, path.Base(f.File), f.Line))
		}
		if !more || len(lines) == maxFrames {
			return strings.Join(lines, "")
		}
	}
}

// usage reports to the watcher the number of descriptors that each router holds.
func (w *world) usage() {
	for _, r := range w.routers {
		if r.node != nil {
			w.watcher.Usage(w.sim.Now(), r.name, r.host.Descriptors(), w.script.Fleet.Sockets)
		}
	}
}

// quiet reports whether all requests, drains and other work have ended.
func (w *world) quiet() bool {
	if w.fleet.Open() > 0 {
		return false
	}
	for _, r := range w.routers {
		if r.terminating {
			return false
		}
		if r.node == nil {
			continue
		}
		for resource, n := range r.node.RecordCounts() {
			if n != 0 && resource != connections {
				return false
			}
		}
	}
	return true
}

// Names of the resources that an idle router may hold: connections, and a few periodic timers.
const (
	connections = "connections"
	ownTimers   = "timers"
)

// Limits of the descriptors that an idle router holds besides its connections, and of its timers.
const (
	otherDescriptors = 8
	otherTimers      = 1024
	hookDescriptors  = 4 // per hook: those of its worker, and those of a hook set that is replacing the current set
)

// checkLeftovers reports resources that an idle router still holds. Without this check, a leak would show only after weeks.
func (w *world) checkLeftovers() {
	now := w.sim.Now()
	for _, r := range w.routers {
		if r.node == nil || r.terminating {
			continue
		}
		left := r.node.RecordCounts()
		for _, resource := range slices.Sorted(maps.Keys(left)) {
			if resource != connections && resource != ownTimers {
				w.watcher.Leftover(now, r.name, resource, left[resource])
			}
		}
		conns, held, timers := left[connections], r.host.Descriptors(), r.host.Pending()+left[ownTimers]
		others := otherDescriptors + hookDescriptors*len(w.script.Hooks)
		if _, reported := left[connections]; reported && held > conns+others {
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
