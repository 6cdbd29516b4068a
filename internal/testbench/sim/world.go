// Package sim is a discrete-event simulator for the router and the stand-ins: hosts with a clock, a network and files, all
// behind package machine. Equal seeds give equal runs, to the byte, and no run ever waits for real time.
//
// One goroutine runs everything, in the order of a heap of events by time and then by the number
// under which they were scheduled. The package starts no goroutine, reads no clock and depends on no order of a map. All
// chance comes from named streams of the seed, so that a draw from one changes nothing in another. Time that code takes to
// run is not modelled: a callback takes none (see Host.Stall).
//
// The models are FoundationDB's simulation (Zhou et al., SIGMOD 2021) and TigerBeetle's VOPR. TCP is
// modelled as far as a process can see RFC 9293: order, windows, half-open and half-closed connections, resets and lost
// handshakes, but no segments.
package sim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"starlingwinch/internal/machine"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

// Spans of time.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// Start is the instant at which every world begins, in Unix time.
const Start Time = 1_750_000_000 * Second

// World is the clock, the hosts and the links between them. It is not safe for use by more than one goroutine.
type World struct {
	// Near and Far are the initial links within a zone and between zones; set them before the first Host.
	Near, Far Link
	// ShuffleTies has the seed decide the order of what happens at one instant, instead of the order
	// in which it was scheduled. What a machine promises holds all the same: timers fire as they
	// were set, posts run as they were posted, and a connection's bytes stay in order.
	ShuffleTies bool
	// SilentAfter is how long a connection's bytes may be held by a Cut until TCP has given up: beyond it, the
	// connection stays silent after the Heal. 0 stands for no limit.
	SilentAfter Time
	// OnEvent is called with each event before it happens. It must change nothing.
	OnEvent func(Event)

	seed          uint64
	now           Time
	queue         eventQueue
	stoppedEvents int // stopped events in the queue
	free          []*event
	lastID        uint64 // of events
	lastOrder     uint64
	lanes         uint64
	conns         uint64
	steps         int64
	trace         uint64
	streams       map[string]*rand.Rand
	hosts         []*Host
	byIP          map[netip.Addr]*Host
	zones         map[string]*zone
	inEvent       bool // an event is happening
	inWork        bool // the function of a Work runs
	acting        *Host
}

// New makes a world without hosts.
func New(seed uint64) *World {
	return &World{
		Near:    Link{Latency: 250, Jitter: 50, Split: 0.05},
		Far:     Link{Latency: 8 * Millisecond, Jitter: 400, Split: 0.05},
		seed:    seed,
		now:     Start,
		trace:   seed,
		streams: map[string]*rand.Rand{},
		byIP:    map[netip.Addr]*Host{},
		zones:   map[string]*zone{},
	}
}

// Now is the current instant.
func (w *World) Now() Time { return w.now }

// Steps is the number of events that were carried out.
func (w *World) Steps() int64 { return w.steps }

// TraceHash is a hash over all events so far, with their bytes: equal runs have equal ones.
func (w *World) TraceHash() uint64 { return w.trace }

// Acting is the host whose event is being carried out or was the last to be, nil where it was
// a script's: the host whose callback has panicked.
func (w *World) Acting() *Host { return w.acting }

// Hosts are all hosts in the order in which they were made.
func (w *World) Hosts() []*Host { return w.hosts }

// Rand is the stream of chance of that name. Streams do not depend on one another.
func (w *World) Rand(name string) *rand.Rand {
	r, ok := w.streams[name]
	if !ok {
		h := w.seed
		for i := range len(name) {
			h = mix(h, uint64(name[i]))
		}
		r = rand.New(rand.NewPCG(h, mix(h, w.seed)))
		w.streams[name] = r
	}
	return r
}

// At has f called at t, outside of all hosts: scripts inject faults with it.
func (w *World) At(t Time, f func()) machine.Timer {
	ev := w.event(Script)
	ev.fn = f
	w.schedule(ev, t, 0)
	return &timer{world: w, event: ev, id: ev.id}
}

// Step makes the next event happen and reports whether there was one.
func (w *World) Step() bool {
	if w.inEvent {
		panic("sim: Step or Run was called from within a callback")
	}
	ev := w.next()
	if ev == nil {
		return false
	}
	w.queue.pop()
	w.now = ev.at
	w.execute(ev)
	return true
}

// Run makes all events up to and at the instant until happen, and stops the clock there.
func (w *World) Run(until Time) {
	w.RunUntil(until, func() bool { return false })
}

// RunUntil is a Run that ends as soon as done is true, and reports whether it was.
func (w *World) RunUntil(until Time, done func() bool) bool {
	for {
		if done() {
			return true
		}
		ev := w.next()
		if ev == nil || ev.at > until {
			w.now = max(w.now, until)
			return false
		}
		w.Step()
	}
}

// next is the event that is due first, nil for none. Stopped events before it are dropped.
func (w *World) next() *event {
	for len(w.queue) > 0 {
		ev := w.queue[0].event
		if !ev.stopped {
			return ev
		}
		w.queue.pop()
		w.drop(ev)
	}
	return nil
}

// execute runs one event. A panic of a callback goes through to the caller, who may go on with Step.
func (w *World) execute(ev *event) {
	w.inEvent = true
	defer w.idle()
	if w.dispatch(ev) {
		w.release(ev)
	}
}

// idle marks the end of an event, also after a panic.
func (w *World) idle() { w.inEvent, w.inWork = false, false }

// dispatch defers the event where its process is stalled or a cut holds it back, and delivers it otherwise. It reports
// whether the event is done with.
func (w *World) dispatch(ev *event) bool {
	p := ev.target
	if p != nil {
		if p.dead {
			return true
		}
		if p.host.stalled() {
			p.host.deferred = append(p.host.deferred, ev)
			return false
		}
	}
	if ev.crossesLink() && w.holdBack(ev) {
		return false
	}
	if q := ev.process(); q != nil && !q.dead && !q.host.stalled() {
		if q.reportPause(); ev.stopped {
			return true
		}
	}
	w.record(ev)
	ev.id = 0 // it cannot be stopped any more
	return w.deliver(ev)
}

// deliver carries an event out and reports whether it is done with.
func (w *World) deliver(ev *event) bool {
	switch ev.kind {
	case Script:
		ev.fn()
	case TimerFired:
		ev.target.timers--
		ev.fn()
	case Posted, WorkDone:
		ev.fn()
	case Signalled:
		ev.target.signals(machine.Signal(ev.n))
	case SynArrived:
		ev.dial.synArrived()
	case SynAckArrived:
		ev.dial.synAckArrived()
	case RefusalArrived:
		ev.dial.refusalArrived()
	case DialEnded:
		ev.dial.complete(ev.err)
	case OpenArrived:
		ev.conn.openArrived()
	case BytesArrived, EndArrived, ResetArrived, CreditArrived:
		ev.conn.arrived(ev)
	case AcceptQueued:
		ev.listener.acceptQueued = false
		ev.listener.acceptAll()
	case ReadableQueued:
		ev.conn.readableQueued = false
		ev.conn.callReadable()
	case WritableQueued:
		ev.conn.callWritable()
	case DatagramArrived:
		return w.datagramCame(ev)
	case DatagramQueued:
		ev.packets.read(ev)
	case HostResumed:
		ev.host.resume()
	default:
		panic(fmt.Sprintf("sim: event of unknown kind %d", ev.kind))
	}
	return true
}
