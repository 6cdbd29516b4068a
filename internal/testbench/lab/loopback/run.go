package loopback

import (
	"fmt"
	"io"
	"os"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/standin"
)

// Bounds of a run.
const (
	startWithin      = 20 * second       // from the processes' start until all routers serve
	settleWithin     = 300 * millisecond // past the longest deadline, for clients to see their requests to the end
	settleEvery      = 20 * millisecond
	maxBroken        = 20 // broken rules that are reported with the lives of their requests
	maxProcessFaults = 50
)

// phase is how far a run has come.
type phase uint8

const (
	starting phase = iota
	serviceRunning
	settling // the clients ask no more
	ending   // the routers are told to end
)

// run is one run. All of it belongs to the machine's loop, but for what it is set up with.
type run struct {
	o       Options
	m       *machine.Real
	starter *processStarter
	dir     string
	program string

	routerSet standin.RouterSettings
	fleet     *standin.Fleet
	seen      *observer
	routers   []*router
	faults    faults
	registry  *registries // nil where the script has none
	storm     *stormRun   // nil where there is none
	mesh      *Mesh       // nil where routers keep no view of one another

	phase    phase
	start    Time // of the clients
	report   Report
	err      error
	previous previousSnapshot
	parent   int // the process that has started this one
}

// Run carries a script out and returns what it has shown. An interrupt ends it early, in order; a second one at
// once. The error is about the harness; what is wrong with a router stands in the report.
func Run(o Options) (report Report, err error) {
	if err := Check(o.Script); err != nil {
		return Report{}, err
	}
	dir, err := os.MkdirTemp("", "starlingwinch-lab-")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	r := &run{o: o, dir: dir, program: o.Program, parent: os.Getppid()}
	if r.program == "" {
		if r.program, err = Build(dir); err != nil {
			return Report{}, err
		}
	}
	if r.m, err = machine.New(machine.Options{Log: io.Discard}); err != nil {
		return Report{}, err
	}
	defer r.m.Stop()
	r.starter = newProcessStarter()
	defer r.endAll()
	if err := r.setUp(); err != nil {
		return Report{}, err
	}
	r.m.Run()
	return r.report, r.err
}

// endAll ends what is left, whatever has happened.
func (r *run) endAll() {
	for _, rt := range r.routers {
		if rt.proc != nil {
			rt.proc.kill()
		}
		for _, old := range rt.previous { // any order: all
			old.proc.kill()
		}
		rt.port.release()
	}
	r.starter.close()
}

func (r *run) setUp() error {
	s := &r.o.Script
	fo := fleetOptions(s)
	r.routerSet = routerSettings(s, fo.Classes)
	r.report.Classes = fo.Classes
	r.seen = newObserver(ruleSettings(&fo, &r.routerSet), r.o.Visitors, r.addBroken)
	same := func(string, string) machine.Machine { return r.m }
	alone := func() machine.Machine { return r.m }
	places := standin.Places{Cache: same, Store: alone, Discovery: alone, Client: same, Routers: r.front}
	var err error
	if r.fleet, err = standin.NewFleet(fo, places, part(s.Seed, 1), r.seen); err != nil {
		return err
	}
	r.faults.init(r)
	if r.o.Storm != nil {
		r.storm = newStorm(r, fo)
		r.report.Storm = &r.storm.accounting
	}
	if s.Registry.Enabled {
		if r.registry, err = newRegistries(r); err != nil {
			return err
		}
	}
	if r.o.Fleet != nil {
		if r.mesh, err = newMesh(r, len(fo.Routers)); err != nil {
			return err
		}
	}
	for i, name := range fo.Routers {
		rt, err := newRouter(r, name, fo.Zones[i%len(fo.Zones)])
		if err != nil {
			return err
		}
		r.routers = append(r.routers, rt)
	}
	for _, rt := range r.routers {
		rt.start()
	}
	r.m.OnSignal(r.signal)
	r.m.At(r.m.Now()+startWithin, func() {
		if r.phase == starting {
			r.err = fmt.Errorf("the routers did not serve within %d s; log:\n%s", startWithin/second, r.tails())
			r.m.Stop()
		}
	})
	return nil
}

// addBroken takes a broken rule in.
func (r *run) addBroken(v rules.Violation) {
	if len(r.report.Broken) < maxBroken {
		r.report.Broken = append(r.report.Broken, Finding{Violation: v})
	}
}

// addProcessFault takes in what was wrong with a process.
func (r *run) addProcessFault(format string, args ...any) {
	if len(r.report.ProcessFaults) < maxProcessFaults {
		r.report.ProcessFaults = append(r.report.ProcessFaults, fmt.Sprintf(format, args...))
	}
}

// served is called when a router serves: once all do, the clients begin.
func (r *run) served() {
	if r.phase != starting {
		return
	}
	for _, rt := range r.routers {
		if rt.state != serving {
			return
		}
	}
	r.phase = serviceRunning
	r.start = r.m.Now()
	r.seen.start = r.start
	r.checkPunctuality()
	if r.o.Ready != nil {
		a := Addresses{Dir: r.dir}
		for _, rt := range r.routers {
			a.Routers = append(a.Routers, standin.Target{Name: rt.name, Addr: rt.port.addr})
			a.Discovery = append(a.Discovery, r.fleet.Lists[rt.name])
		}
		r.o.Ready(a)
	}
	if r.storm != nil {
		r.storm.begin()
	}
	r.fleet.Start()
	r.faults.begin()
	if r.mesh != nil {
		r.mesh.begin()
	}
	r.checkProcesses()
	if !r.o.Endless {
		r.m.At(r.start+span(r.o.Script.Length), r.settle)
	}
}

// checkPunctuality looks at the loop's punctuality, and finds what is overdue.
func (r *run) checkPunctuality() {
	now := r.m.Now()
	r.seen.clock.punctualUntil(now)
	r.seen.watcher.Tick(r.seen.clock.at(now))
	r.m.At(now+checkInterval, r.checkPunctuality)
}

// checkProcesses looks at the processes and shows the state, every second.
func (r *run) checkProcesses() {
	if r.phase == ending {
		return
	}
	now := r.m.Now()
	for _, rt := range r.routers {
		rt.checkUsage(now)
	}
	if r.o.See != nil && r.o.See(r.snapshot()) != nil {
		r.settle()
	}
	// Once the parent process is gone, nobody is left to interrupt an endless run.
	if r.o.Endless && os.Getppid() != r.parent {
		r.settle()
	}
	r.m.At(now+second, r.checkProcesses)
}

// signal ends the run, in order at the first signal and at once at the second; a terminal's end is one too.
func (r *run) signal(machine.Signal) {
	again := r.report.Interrupted
	r.report.Interrupted = true
	if again || r.phase == starting {
		r.err = ErrInterrupted
		r.m.Stop()
		return
	}
	r.settle()
}

// settle has the clients ask no more, and waits for the answers to what they have asked.
func (r *run) settle() {
	if r.phase != serviceRunning {
		return
	}
	r.phase = settling
	r.fleet.Stop()
	longest := Time(0)
	for _, c := range r.report.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	r.settled(r.m.Now() + longest + longSlack + settleWithin)
}

func (r *run) settled(until Time) {
	if now := r.m.Now(); r.fleet.Open() > 0 && now < until {
		r.m.At(now+settleEvery, func() { r.settled(until) })
		return
	}
	for _, rt := range r.routers {
		rt.checkUsage(r.m.Now())
	}
	r.phase = ending
	r.faults.end()
	for _, rt := range r.routers {
		rt.term(false)
	}
	r.ended()
}

// ended is called when a router's process has ended: with the last one the run is over.
func (r *run) ended() {
	if r.phase != ending {
		return
	}
	for _, rt := range r.routers {
		if rt.state != down || len(rt.previous) > 0 {
			return
		}
	}
	now := r.m.Now()
	r.seen.watcher.Close(r.seen.time(now))
	r.report.Counts = r.seen.watcher.Counts()
	r.report.Tallies = r.fleet.Tallies()
	r.report.Misses, r.report.Forgiven = r.seen.misses, r.seen.forgiven
	r.report.Lag = r.seen.clock.lag
	for i := range r.report.Broken {
		f := &r.report.Broken[i]
		f.History = r.seen.watcher.History(f.Request)
	}
	for _, rt := range r.routers {
		r.report.Routers = append(r.report.Routers, rt.report)
	}
	if r.registry != nil {
		r.report.Outs = r.registry.outs
	}
	r.fleet.Close()
	r.m.Stop()
}

// fail ends the run: the harness could not carry something out.
func (r *run) fail(format string, args ...any) {
	r.err = fmt.Errorf(format, args...)
	r.m.Stop()
}

func (r *run) tails() string {
	var text string
	for _, rt := range r.routers {
		for _, line := range rt.report.Tail {
			text += rt.name + ": " + line + "\n"
		}
	}
	return text
}

// span is a duration in the machine's measure.
func span(d time.Duration) Time { return d.Microseconds() }
