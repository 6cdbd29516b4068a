package machine

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Options say what a real machine is to use. The zero value is good.
type Options struct {
	Log         io.Writer // os.Stderr where it is nil
	Descriptors int       // how many connections may be open at once; 0 is as many as the system lets
	Kernel      *Kernel   // RealKernel where it is nil
}

// Real is the machine this process runs on: Linux, by its system calls (epoll(7), socket(7)).
//
// Its loop goes in turns: the events that the kernel has, then the functions posted before, then the
// timers that were due when it was asked for the events, each kind bounded by what was there when its part of the turn began. Now is
// read once before each call of a handler, function or timer and stands still while the call lasts.
// Timers fire up to a millisecond late, which is the kernel's measure for a wait.
//
// Until Run is called, the goroutine that called New takes the loop's place.
type Real struct {
	kernel       Kernel
	start        time.Time
	startWall    Time // Unix time at the start
	now          Time
	running      bool
	polledAt     time.Time // when the kernel was last asked for events
	lastCall     Time      // when anybody was called last
	resumed      func()    // to be called after a span without a call; nil for none
	resumedAfter Time      // that span

	poll     *poller
	timers   timers
	conns    int // open ones and those coming up
	maxConns int // upper bound on conns; 0 for none

	workers map[*process]bool // those that run

	inbox         inbox
	work          workQueue
	disk          workQueue
	signals       signals
	log           *logger
	peekBuffer    [1]byte         // what Conn.Quiet looks into
	wokeGoroutine atomic.Bool     // Work or Log has given a goroutine something to do
	packets       *receiveBuffers // what datagrams are received into; nil where none are

	mu    sync.Mutex
	state state
}

type state uint8

const (
	ready state = iota
	running
	stopped
)

var _ Machine = (*Real)(nil)

// New gives a machine whose loop does not run yet. Signals are taken from here on.
func New(opts Options) (*Real, error) {
	m := &Real{kernel: RealKernel(), start: time.Now(), maxConns: opts.Descriptors, workers: map[*process]bool{}}
	if opts.Kernel != nil {
		m.kernel = *opts.Kernel
	}
	m.startWall = m.kernel.Wall().UnixMicro()
	m.now = m.startWall
	// First of all: what follows may have to wait, and a SIGHUP that nobody takes ends the process.
	m.signals.begin(m.Post)
	if err := m.open(); err != nil {
		m.signals.end()
		return nil, err
	}
	w := opts.Log
	if w == nil {
		w = os.Stderr
	}
	m.log = newLogger(w)
	m.work.post, m.work.maxWorkers = m.Post, defaultWorkers
	m.disk.post, m.disk.maxWorkers = m.Post, 1
	return m, nil
}

// open opens the poller and what wakes it.
func (m *Real) open() error {
	err := m.retryShortage(func() (err error) {
		m.poll, err = newPoller(&m.kernel)
		return err
	})
	if err != nil {
		return err
	}
	if err := m.retryShortage(func() error { return m.inbox.open(m) }); err != nil {
		m.poll.close()
		return err
	}
	return nil
}

// Run runs the loop until Stop is called, and then closes all that is open and has the last lines of
// the log written, for which it waits 100 ms at most. A machine runs once.
func (m *Real) Run() {
	if !m.changeState(ready, running) {
		return
	}
	m.running = true
	for m.turn() {
	}
	m.changeState(running, stopped)
	m.close()
}

// Stop has Run return soon. Any goroutine may call it, and more than once. Nothing is called from the turn's
// end on, and what is posted is dropped; work that has begun goes on, but its end is told to nobody.
func (m *Real) Stop() {
	if m.changeState(ready, stopped) {
		m.close()
		return
	}
	m.inbox.stop()
}

func (m *Real) changeState(from, to state) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != from {
		return false
	}
	m.state = to
	return true
}

// turn is one round of the loop; false says that it was the last.
func (m *Real) turn() bool {
	if m.mayWait() {
		// On one processor, a goroutine made runnable in this turn would wait until the scheduler notices that the loop
		// blocks in a system call.
		if m.wokeGoroutine.Load() {
			m.wokeGoroutine.Store(false)
			runtime.Gosched()
		}
		m.poll.wait(m.timeToNextTimer())
	} else {
		m.poll.poll()
	}
	m.polledAt = time.Now()
	m.readClock()
	polledNow, before := m.now, m.timers.set
	posted, goesOn := m.inbox.take()
	if !goesOn {
		return false
	}

	// The ends of all connections are recorded first: a handler may act on a connection whose event comes later in this turn.
	for i := range m.poll.n {
		if c, ok := m.poll.owner(&m.poll.events[i]).(*conn); ok {
			c.noteEnd(m.poll.events[i].Events)
		}
	}
	for i := 0; i < m.poll.n; i++ {
		ev := &m.poll.events[i]
		m.beforeCall() // which may close what the event is for
		if w := m.poll.owner(ev); w != nil {
			w.event(ev.Events)
		}
	}

	for i, f := range posted {
		posted[i] = nil
		m.beforeCall()
		f()
	}

	// In a long turn, timers that bound a wait come due while what they wait for is still unread in the kernel. Of the timers
	// set before the turn only those fire that were due when the kernel was polled. Timers set in the turn come behind them
	// (At sees to that), so that a timer which sets itself again delays neither the turn nor the others.
	m.readClock()
	now, set := m.now, m.timers.set
	due := func(t *timer) bool { return t.nr < set && (t.at <= polledNow || t.nr >= before && t.at <= now) }
	for t := m.timers.first(); t != nil && due(t); t = m.timers.first() {
		if m.beforeCall(); t != m.timers.first() {
			continue // it was taken back
		}
		t.take()()
		m.readClock()
	}
	return true
}

// mayWait reports whether the loop may wait; from then on a Post wakes it.
func (m *Real) mayWait() bool {
	if t := m.timers.first(); t != nil {
		m.readClock()
		if t.at <= m.now {
			return false
		}
	}
	return m.inbox.mayWait()
}

// timeToNextTimer returns how long the loop may wait; a negative value means until an event.
func (m *Real) timeToNextTimer() Time {
	if t := m.timers.first(); t != nil {
		return t.at - m.now
	}
	return -1
}

func (m *Real) readClock() { m.now = m.startWall + time.Since(m.start).Microseconds() }

// beforeCall reads the clock for the next call, and calls the function of Resumed after a long span without one.
func (m *Real) beforeCall() {
	m.readClock()
	before := m.lastCall
	m.lastCall = m.now
	if m.resumed != nil && m.now-before >= m.resumedAfter {
		m.resumed()
	}
}

// close gives everything back.
func (m *Real) close() {
	m.signals.end()
	m.work.end()
	m.disk.end()
	m.inbox.close()
	for p := range m.workers { // any order
		p.end()
		p.conn.Close()
	}
	m.poll.close()
	m.timers = timers{}
	m.log.close()
}

// Now implements Machine.
func (m *Real) Now() Time {
	if !m.running {
		m.readClock()
	}
	return m.now
}

// Wall implements Machine.
func (m *Real) Wall() Time { return m.kernel.Wall().UnixMicro() }

// Late implements Machine.
func (m *Real) Late() Time { return m.startWall + time.Since(m.start).Microseconds() - m.now }

// Resumed implements Machine.
func (m *Real) Resumed(after Time, f func()) { m.resumed, m.resumedAfter, m.lastCall = f, after, m.now }

// Entropy implements Machine.
func (m *Real) Entropy() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.NativeEndian.Uint64(b[:])
}

// At implements Machine.
func (m *Real) At(t Time, f func()) Timer { return m.at(t, f) }

func (m *Real) at(t Time, f func()) *timer { return m.timers.add(max(t, m.Now()), f) }

// Post implements Machine.
func (m *Real) Post(f func()) { m.inbox.put(f) }

// Work implements Machine. Two of them run at a time; the others wait in the order in which they came.
func (m *Real) Work(f, done func()) {
	m.work.add(f, done)
	m.wokeGoroutine.Store(true)
}

// OnDisk implements Machine.
func (m *Real) OnDisk(f func(Disk), done func()) {
	m.disk.add(func() { f(m.kernel.Disk) }, done)
	m.wokeGoroutine.Store(true)
}

// Signals implements Machine.
func (m *Real) Signals(f func(Signal)) { m.signals.handleWith(f) }

// Log implements Machine.
func (m *Real) Log(line string) {
	m.log.enqueue(line)
	m.wokeGoroutine.Store(true)
}

// hasConnCapacity reports whether one more connection may be opened.
func (m *Real) hasConnCapacity() bool { return m.maxConns == 0 || m.conns < m.maxConns }

var errNoIP = errors.New("not an IP address and a port")
