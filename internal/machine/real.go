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

// Options configures a real machine. The zero value is valid.
type Options struct {
	Log         io.Writer // nil means os.Stderr
	Descriptors int       // maximum number of open connections; 0 means only the system's limit applies
	Kernel      *Kernel   // nil means RealKernel
}

// Real implements Machine on Linux by its system calls (epoll(7), socket(7)).
//
// The loop runs in turns. A turn handles the events that the kernel reports, then the functions posted before, then the timers
// that were due when the kernel was polled. Each of the three steps handles only items that existed when the step began. The
// clock behind Now is read once before each callback and does not advance during the callback. Timers fire up to a
// millisecond late, because the kernel's wait has a resolution of one millisecond.
//
// Until Run is called, the goroutine that called New takes the place of the loop.
type Real struct {
	kernel       Kernel
	start        time.Time
	startWall    Time // Unix time at the start
	now          Time
	running      bool
	polls        pollBound // bounds of the arrival of input
	polledAt     time.Time // when the kernel was last polled for events
	lastCall     Time      // the time of the last callback
	resumed      func()    // called after an interval without callbacks; nil for none
	resumedAfter Time      // length of that interval

	poll     *poller
	timers   timers
	conns    int // connections that are open or being established
	maxConns int // upper bound on conns; 0 for none

	workers map[*process]bool // the running workers

	inbox         inbox
	work          workQueue
	disk          workQueue
	signals       signals
	log           *logger
	peekBuffer    [1]byte         // receives the byte that Conn.HasNothingUnread peeks at
	wokeGoroutine atomic.Bool     // the loop made another goroutine runnable
	packets       *receiveBuffers // nil until the first ListenPacket

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

// New returns a machine whose loop does not run yet. The machine receives the process's signals as soon as New is called.
func New(opts Options) (*Real, error) {
	m := &Real{kernel: RealKernel(), start: time.Now(), maxConns: opts.Descriptors, workers: map[*process]bool{}}
	if opts.Kernel != nil {
		m.kernel = *opts.Kernel
	}
	m.startWall = m.kernel.Wall().UnixMicro()
	m.now = m.startWall
	// Signals come first: the calls below may block, and an unhandled SIGHUP ends the process.
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

// open opens the poller and the eventfd that wakes it.
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

// Run runs the loop until Stop is called. It then closes all descriptors and waits up to 100 ms for the last log lines to be
// written. A machine runs only once.
func (m *Real) Run() {
	if !m.changeState(ready, running) {
		return
	}
	m.running = true
	m.readClock()
	m.polls = pollBound{since: m.now, emptySince: m.now}
	for m.turn() {
	}
	m.changeState(running, stopped)
	m.close()
}

// Stop makes Run return soon. Any goroutine may call Stop, and more than once. After the current turn there are no callbacks,
// and posted functions are dropped. Work that has begun continues, but its done function is not called.
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

// turn runs one turn of the loop and reports whether another turn follows.
func (m *Real) turn() bool {
	if m.mayWait() {
		// On one processor, a goroutine made runnable in this turn would wait until the scheduler notices that the loop
		// blocks in a system call.
		if m.wokeGoroutine.Load() {
			m.wokeGoroutine.Store(false)
			runtime.Gosched()
		}
		m.wait(m.timeToNextTimer()) // by the clock that mayWait has read
	} else {
		m.pollNow()
	}
	m.polledAt = time.Now()
	polledNow, setBefore := m.now, m.timers.setCount
	posted, more := m.inbox.take()
	if !more {
		return false
	}

	// The ends of all connections are recorded first, because a handler may use a connection whose event is handled later in
	// this turn.
	for i := range m.poll.n {
		if c, ok := m.poll.owner(&m.poll.events[i]).(*conn); ok {
			c.noteEnd(m.poll.events[i].Events)
		}
	}
	for i := 0; i < m.poll.n; i++ {
		ev := &m.poll.events[i]
		m.beforeCall() // may close the connection that the event is for
		if w := m.poll.owner(ev); w != nil {
			w.event(ev.Events)
		}
	}

	for i, f := range posted {
		posted[i] = nil
		m.beforeCall()
		f()
	}

	// In a long turn, a timeout may become due while the input that it waits for is still unread in the kernel. Of the timers
	// set before the turn, therefore, only those fire that were due when the kernel was polled. Timers set during the turn
	// sort after them, because At never sets a timer in the past, so that a timer that sets itself again delays neither the
	// turn nor other timers.
	m.readClock()
	now, set := m.now, m.timers.setCount
	due := func(t *timer) bool {
		return t.sequence < set && (t.at <= polledNow || t.sequence >= setBefore && t.at <= now)
	}
	for t := m.timers.first(); t != nil && due(t); t = m.timers.first() {
		if m.beforeCall(); t != m.timers.first() {
			continue // the timer was stopped
		}
		t.remove()()
		m.readClock()
	}
	return true
}

// wait fetches the events of the next turn, and waits for one up to the limit.
func (m *Real) wait(limit Time) {
	m.readClock()
	began := m.now
	blocked := m.poll.wait(limit)
	m.readClock()
	m.polls.polled(began, m.now, limit, blocked, m.poll.isComplete())
}

// pollNow fetches the events of the next turn without waiting.
func (m *Real) pollNow() {
	m.readClock()
	began := m.now
	m.poll.poll()
	m.readClock()
	m.polls.polled(began, m.now, 0, false, m.poll.isComplete())
}

// mayWait reports whether the loop may block. After it returns true, Post wakes the loop.
func (m *Real) mayWait() bool {
	if t := m.timers.first(); t != nil {
		m.readClock()
		if t.at <= m.now {
			return false
		}
	}
	return m.inbox.mayWait()
}

// timeToNextTimer returns how long the loop may wait; a negative value means until an event. It is 0 for a timer that is overdue.
func (m *Real) timeToNextTimer() Time {
	if t := m.timers.first(); t != nil {
		return max(0, t.at-m.now)
	}
	return -1
}

func (m *Real) readClock() { m.now = m.startWall + time.Since(m.start).Microseconds() }

// beforeCall reads the clock for the next callback and, after a long interval without callbacks, calls the function set by
// OnResume.
func (m *Real) beforeCall() {
	m.readClock()
	before := m.lastCall
	m.lastCall = m.now
	if m.resumed != nil && m.now-before >= m.resumedAfter {
		m.resumed()
	}
}

// close releases all resources.
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

// ClockLag implements Machine.
func (m *Real) ClockLag() Time { return m.startWall + time.Since(m.start).Microseconds() - m.now }

// OnResume implements Machine.
func (m *Real) OnResume(after Time, f func()) {
	m.resumed, m.resumedAfter, m.lastCall = f, after, m.now
}

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

// Work implements Machine. At most defaultWorkers functions run at a time; the others wait in the order of the calls.
func (m *Real) Work(f, done func()) {
	m.work.add(f, done)
	m.wokeGoroutine.Store(true)
}

// OnDisk implements Machine.
func (m *Real) OnDisk(f func(Disk), done func()) {
	m.disk.add(func() { f(m.kernel.Disk) }, done)
	m.wokeGoroutine.Store(true)
}

// OnSignal implements Machine.
func (m *Real) OnSignal(f func(Signal)) { m.signals.handleWith(f) }

// Log implements Machine.
func (m *Real) Log(line string) {
	m.log.enqueue(line)
	m.wokeGoroutine.Store(true)
}

// hasConnCapacity reports whether one more connection may be opened.
func (m *Real) hasConnCapacity() bool { return m.maxConns == 0 || m.conns < m.maxConns }

var errNoIP = errors.New("not an IP address and a port")
