package sim

import (
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/recordedlog"
)

// Process is a host as one process sees it, from its start to its death: a machine.Machine. What
// it is misused for is told by a panic, for that is a mistake in the code under test.
type Process struct {
	w           *World
	host        *Host
	dead        bool
	timerLane   uint64
	postLane    uint64
	timers      int
	descriptors int
	conns       []*Conn
	dials       []*dialing
	listeners   []*listener
	packets     []*packetConn
	signals     func(machine.Signal)
	diskLane    uint64
	diskAt      Time                 // when the last of its works on the disk is over
	onDisk      []func(machine.Disk) // works that are not done yet
	kept        []machine.Signal
	resumed     func() // to be called after a span without a call; nil for none
	span        Time   // that span
	called      Time   // when anybody was called last
}

var _ machine.Machine = (*Process)(nil)

func newProcess(h *Host) *Process {
	return &Process{w: h.w, host: h, timerLane: h.w.lane(), postLane: h.w.lane()}
}

// lane is a new one.
func (w *World) lane() uint64 {
	w.lanes++
	return w.lanes
}

// enter checks a call of the process.
func (p *Process) enter() {
	if p.dead {
		panic("sim: " + p.host.name + ": a call to the machine by a process that was killed")
	}
	if p.w.working {
		panic("sim: " + p.host.name + ": the work given to Work calls the machine")
	}
}

func (p *Process) Now() Time {
	p.enter()
	return p.w.now
}

func (p *Process) Wall() Time {
	p.enter()
	return p.w.now + p.host.clock
}

// Late is 0: a call takes no time here.
func (p *Process) Late() Time { return 0 }

func (p *Process) Resumed(after Time, f func()) {
	p.enter()
	p.resumed, p.span, p.called = f, after, p.w.now
}

// goOn is called before the process is: it tells where there was no call for long.
func (p *Process) goOn() {
	before := p.called
	p.called = p.w.now
	if p.resumed != nil && !p.dead && p.called-before >= p.span {
		p.resumed()
	}
}

func (p *Process) Entropy() uint64 {
	p.enter()
	return p.host.entropy.Uint64()
}

func (p *Process) At(t Time, f func()) machine.Timer {
	p.enter()
	ev := p.w.event(TimerFired)
	ev.proc, ev.fn = p, f
	p.timers++
	p.w.schedule(ev, t, p.timerLane)
	return &timer{w: p.w, ev: ev, id: ev.id}
}

// Post may be called by the work of a Work too.
func (p *Process) Post(f func()) {
	if p.dead {
		p.enter()
	}
	ev := p.w.event(Posted)
	ev.proc, ev.fn = p, f
	p.w.schedule(ev, p.w.now, p.postLane)
}

// workTakes is how long a Work takes at the most.
const workTakes = 500

func (p *Process) Work(f, done func()) {
	p.enter()
	p.w.working = true
	f()
	p.w.working = false
	ev := p.w.event(WorkDone)
	ev.proc, ev.fn = p, done
	p.w.schedule(ev, p.w.now+1+p.host.work.Int64N(workTakes), p.w.lane())
}

// OnDisk does the work when its time is over. Where the process is killed before, a part of it has been done.
func (p *Process) OnDisk(f func(machine.Disk), done func()) {
	p.enter()
	p.onDisk = append(p.onDisk, f)
	p.diskAt = max(p.w.now, p.diskAt) + 1 + p.host.work.Int64N(workTakes) + p.host.disk.slow
	ev := p.w.event(WorkDone)
	ev.proc = p
	ev.fn = func() {
		p.onDisk = p.onDisk[1:]
		p.w.working = true
		f(onDisk{p.host.disk, p})
		p.w.working = false
		done()
	}
	p.w.schedule(ev, p.diskAt, p.diskLane)
}

func (p *Process) ReadFile(name string, most int64) ([]byte, error) {
	p.enter()
	if p.full() {
		return nil, machine.ErrDescriptors
	}
	return p.host.disk.read(name, most)
}

func (p *Process) Signals(f func(machine.Signal)) {
	p.enter()
	p.signals = f
	for _, s := range p.kept {
		p.signal(s)
	}
	p.kept = nil
}

func (p *Process) signal(s machine.Signal) {
	ev := p.w.event(Signalled)
	ev.proc, ev.n = p, int(s)
	p.w.schedule(ev, p.w.now, p.postLane)
}

// Log may be called by the work of a Work too.
func (p *Process) Log(line string) {
	if p.dead {
		p.enter()
	}
	p.w.trace = mixBytes(p.w.trace, []byte(recordedlog.Wording(line)))
	if p.host.Logged != nil {
		p.host.Logged(line)
	}
}

// full reports whether no descriptor is left.
func (p *Process) full() bool { return p.descriptors >= p.host.opts.Descriptors }

// giveBack frees a descriptor. Listeners that waited for one take connections in again, in a later turn.
func (p *Process) giveBack() {
	p.descriptors--
	for _, l := range p.listeners {
		if len(l.queue) > 0 {
			l.takeLater()
		}
	}
}

// remove takes x out of a list in which the order of the others is no matter.
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
