package sim

import (
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/recordedlog"
)

// Process is a host as one process sees it, from its start to its end: a machine.Machine. Misuse panics, as it is a fault of
// the code under test.
type Process struct {
	world          *World
	host           *Host
	dead           bool
	timerLane      uint64
	postLane       uint64
	timers         int
	descriptors    int
	conns          []*Conn
	dials          []*dial
	listeners      []*listener
	packets        []*packetConn
	signals        func(machine.Signal)
	diskLane       uint64
	diskBusyUntil  Time                 // when the last work on the disk is over
	diskWork       []func(machine.Disk) // work that has not been done yet
	pendingSignals []machine.Signal
	resumed        func() // called after a pause of minPause or more; nil for none
	minPause       Time
	lastCall       Time // of the process
}

var _ machine.Machine = (*Process)(nil)

func newProcess(h *Host) *Process {
	return &Process{world: h.world, host: h, timerLane: h.world.lane(), postLane: h.world.lane()}
}

// lane returns a new lane.
func (w *World) lane() uint64 {
	w.lanes++
	return w.lanes
}

// enter checks a call of the process.
func (p *Process) enter() {
	if p.dead {
		panic("sim: " + p.host.name + ": a call to the machine by a process that was killed")
	}
	if p.world.inWork {
		panic("sim: " + p.host.name + ": the work given to Work calls the machine")
	}
}

// Now implements machine.Machine.
func (p *Process) Now() Time {
	p.enter()
	return p.world.now
}

// Wall implements machine.Machine.
func (p *Process) Wall() Time {
	p.enter()
	return p.world.now + p.host.clockOffset
}

// ClockLag is 0: a call takes no time here.
func (p *Process) ClockLag() Time { return 0 }

// OnResume implements machine.Machine.
func (p *Process) OnResume(after Time, f func()) {
	p.enter()
	p.resumed, p.minPause, p.lastCall = f, after, p.world.now
}

// reportPause is called before each call of the process, and reports where there was none for long.
func (p *Process) reportPause() {
	before := p.lastCall
	p.lastCall = p.world.now
	if p.resumed != nil && !p.dead && p.lastCall-before >= p.minPause {
		p.resumed()
	}
}

// Entropy implements machine.Machine.
func (p *Process) Entropy() uint64 {
	p.enter()
	return p.host.entropy.Uint64()
}

// At implements machine.Machine.
func (p *Process) At(t Time, f func()) machine.Timer {
	p.enter()
	ev := p.world.event(TimerFired)
	ev.target, ev.fn = p, f
	p.timers++
	p.world.schedule(ev, t, p.timerLane)
	return &timer{world: p.world, event: ev, id: ev.id}
}

// Post implements machine.Machine. The work of a Work may call it too.
func (p *Process) Post(f func()) {
	if p.dead {
		p.enter()
	}
	ev := p.world.event(Posted)
	ev.target, ev.fn = p, f
	p.world.schedule(ev, p.world.now, p.postLane)
}

// maxWorkDuration is the longest time that a Work takes.
const maxWorkDuration = 500 // µs

// Work implements machine.Machine. It runs f at once and done up to maxWorkDuration later.
func (p *Process) Work(f, done func()) {
	p.enter()
	p.world.inWork = true
	f()
	p.world.inWork = false
	ev := p.world.event(WorkDone)
	ev.target, ev.fn = p, done
	p.world.schedule(ev, p.world.now+1+p.host.work.Int64N(maxWorkDuration), p.world.lane())
}

// OnDisk implements machine.Machine. The work happens when its time is over; where the process is killed before, a part of it
// has been done.
func (p *Process) OnDisk(f func(machine.Disk), done func()) {
	p.enter()
	p.diskWork = append(p.diskWork, f)
	p.diskBusyUntil = max(p.world.now, p.diskBusyUntil) + 1 + p.host.work.Int64N(maxWorkDuration) + p.host.disk.extraDelay
	ev := p.world.event(WorkDone)
	ev.target = p
	ev.fn = func() {
		p.diskWork = p.diskWork[1:]
		p.world.inWork = true
		f(diskSession{p.host.disk, p})
		p.world.inWork = false
		done()
	}
	p.world.schedule(ev, p.diskBusyUntil, p.diskLane)
}

// ReadFile implements machine.Machine.
func (p *Process) ReadFile(name string, most int64) ([]byte, error) {
	p.enter()
	if p.outOfDescriptors() {
		return nil, machine.ErrDescriptors
	}
	return p.host.disk.read(name, most)
}

// OnSignal implements machine.Machine.
func (p *Process) OnSignal(f func(machine.Signal)) {
	p.enter()
	p.signals = f
	for _, s := range p.pendingSignals {
		p.signal(s)
	}
	p.pendingSignals = nil
}

// signal schedules the call for a signal.
func (p *Process) signal(s machine.Signal) {
	ev := p.world.event(Signalled)
	ev.target, ev.n = p, int(s)
	p.world.schedule(ev, p.world.now, p.postLane)
}

// Log implements machine.Machine. The work of a Work may call it too.
func (p *Process) Log(line string) {
	if p.dead {
		p.enter()
	}
	p.world.trace = mixBytes(p.world.trace, []byte(recordedlog.Wording(line)))
	if p.host.Logged != nil {
		p.host.Logged(line)
	}
}

// outOfDescriptors reports whether no descriptor is left.
func (p *Process) outOfDescriptors() bool { return p.descriptors >= p.host.options.Descriptors }

// releaseDescriptor frees a descriptor. Listeners that waited for one accept again in a later turn.
func (p *Process) releaseDescriptor() {
	p.descriptors--
	for _, l := range p.listeners {
		if len(l.queue) > 0 {
			l.queueAccept()
		}
	}
}

// remove takes x out of a list whose order does not matter.
func remove[T comparable](list []T, x T) []T {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i] == x {
			last := len(list) - 1
			list[i] = list[last]
			var none T
			list[last] = none
			return list[:last]
		}
	}
	return list
}
