package machine

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestPollBoundCountsFromTheLastCompletePoll guards against input that waited during a long turn counting as new.
func TestPollBoundCountsFromTheLastCompletePoll(t *testing.T) {
	for _, test := range []struct {
		name                 string
		began, ended, limit  Time
		blocked, incomplete  bool
		wantSince, wantEmpty Time
	}{
		{name: "without a wait", began: 500, ended: 510, wantSince: 100, wantEmpty: 500},
		{name: "with events left in the kernel", began: 500, ended: 510, incomplete: true, wantSince: 100, wantEmpty: 100},
		{name: "after a wait", began: 500, ended: 90_000, limit: 100_000, blocked: true, wantSince: 90_000, wantEmpty: 90_000},
		{name: "after a wait without a limit", began: 500, ended: 90_000, limit: -1, blocked: true, wantSince: 90_000, wantEmpty: 90_000},
		{name: "suspended during a wait", began: 500, ended: 900_000, limit: 100_000, blocked: true, wantSince: 500, wantEmpty: 500},
	} {
		bound := pollBound{since: 50, emptySince: 100}
		bound.polled(test.began, test.ended, test.limit, test.blocked, !test.incomplete)
		if bound.since != test.wantSince || bound.emptySince != test.wantEmpty {
			t.Errorf("%s: got bounds %d and %d, want %d and %d", test.name, bound.since, bound.emptySince, test.wantSince, test.wantEmpty)
		}
	}
}

// TestFailedPollLeavesBound guards against input counting as new that was pending while a poll failed.
func TestFailedPollLeavesBound(t *testing.T) {
	kernel := RealKernel()
	fails := true
	kernel.EpollPoll = func(epoll int, events []syscall.EpollEvent) (int, error) {
		if fails {
			return 0, syscall.EINTR
		}
		return RealKernel().EpollPoll(epoll, events)
	}
	m, err := New(Options{Kernel: &kernel})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Stop()
	m.polls = pollBound{since: 1, emptySince: 1}
	m.wait(-1) // returns at once
	m.pollNow()
	if m.polls.emptySince != 1 {
		t.Errorf("got %d for the time without pending input after polls that failed, want 1", m.polls.emptySince)
	}
	fails = false
	m.pollNow()
	if m.polls.since != 1 || m.polls.emptySince == 1 {
		t.Errorf("got bounds %+v after a poll, want one that counts from before the failures", m.polls)
	}
}

// scriptedSource is an inputSource that returns fixed values.
type scriptedSource struct {
	left   int
	lastAt Time
	known  bool
}

func (s *scriptedSource) unread() (int, bool)       { return s.left, s.known }
func (s *scriptedSource) lastArrival() (Time, bool) { return s.lastAt, s.known }

// TestInputAgeAdvancesOnBusyConnection guards against requests of a client that always has unread input counting as older and older,
// and against their counting as new.
func TestInputAgeAdvancesOnBusyConnection(t *testing.T) {
	const queued, readSize, interval = 100_000, 10_000, Time(10_000) // each byte waits for ten reads
	const waited = queued / readSize * interval
	age := inputAge{since: 1_000_000}
	now := age.since
	source := &scriptedSource{left: queued, known: true}
	for range 1000 {
		now += interval
		source.lastAt = now
		age.read(readSize, now, source)
		bound := now - age.first
		if arrived := min(now-1_000_000, waited); bound < arrived-interval || bound > 2*waited+2*interval {
			t.Fatalf("%d us after the start: got an age of at most %d us for bytes that are %d us old", now-1_000_000, bound, arrived)
		}
		if age.last != age.first {
			t.Fatal("the last byte of a read counts as newer while more is unread")
		}
	}
}

// TestInputAgeWithoutKernelSupport checks that the bound stays old where the kernel does not tell what is unread.
func TestInputAgeWithoutKernelSupport(t *testing.T) {
	age := inputAge{since: 1000}
	age.read(10, 1_000_000, &scriptedSource{})
	if age.first != 1000 || age.last != 1000 {
		t.Errorf("got bounds %d and %d, want 1000", age.first, age.last)
	}
}

// arrivalReader is a handler that reports the bounds of each read.
type arrivalReader struct {
	conn  Conn
	reads chan [2]Time
}

func (r *arrivalReader) Readable() {
	for {
		if _, err := r.conn.Read(make([]byte, 1<<10)); errors.Is(err, ErrWait) || err != nil {
			return
		}
		first, last := r.conn.Arrival()
		r.reads <- [2]Time{first, last}
	}
}
func (r *arrivalReader) Writable() {}

// TestArrivalOfInputThatWaitedInTheKernel guards against input counting as new that has waited while the loop was busy or the
// listener paused. Input that came late to an old connection must count as new.
func TestArrivalOfInputThatWaitedInTheKernel(t *testing.T) {
	const wait, tolerance = 300 * time.Millisecond, 60 * time.Millisecond
	reads := make(chan [2]Time, 100)
	r := startLoop(t, Options{})
	addr, l := r.listen(func(c Conn) Handler { return &arrivalReader{c, reads} })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	send := func(c net.Conn) {
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	clock := func() (now Time) {
		r.runInLoop(func() { now = r.Now() })
		return now
	}
	want := func(what string, since, until Time) {
		t.Helper()
		read := await(t, what, reads)
		slack := tolerance.Microseconds()
		if read[0] > until || read[1] < since-slack || read[1] > until+slack {
			t.Errorf("%s: got bounds %d and %d us after the bytes were sent", what, read[0]-since, read[1]-since)
		}
	}
	// busy keeps the loop busy for wait, after f.
	busy := func(f func()) (since, until Time) {
		since = clock()
		started, end := make(chan struct{}), make(chan struct{})
		r.Post(func() { close(started); <-end })
		await(t, "the busy loop", started)
		f()
		until = since + tolerance.Microseconds()
		time.Sleep(wait) // the loop must stand still for a time
		close(end)
		return since, until
	}

	open := dial()
	send(open)
	await(t, "the first byte", reads)
	since, until := busy(func() { send(open) })
	want("byte on an open connection of a busy loop", since, until)
	since, until = busy(func() { send(dial()) })
	want("byte on a new connection of a busy loop", since, until)

	r.runInLoop(l.Pause)
	since = clock()
	old := dial()
	send(old)
	until = clock()
	time.Sleep(wait)
	sinceFresh := clock()
	fresh := dial()
	send(fresh)
	untilFresh := clock()
	r.runInLoop(l.Resume)
	want("byte on a connection of a paused listener", since, until)
	want("byte that came shortly before the listener was resumed", sinceFresh, untilFresh)

	time.Sleep(wait)
	since = clock()
	send(open)
	want("byte after a quiet time", since, clock())
}

// TestOverdueTimerDoesNotWaitForAnEvent guards against a loop that waits without a limit: a timer that became due between two readings
// of the clock gave a negative time to wait, which means until an event.
func TestOverdueTimerDoesNotWaitForAnEvent(t *testing.T) {
	m, err := New(Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Stop()
	if got := m.timeToNextTimer(); got >= 0 {
		t.Errorf("got a wait of %d us without timers, want no limit", got)
	}
	m.timers.add(m.now-1, func() {})
	if got := m.timeToNextTimer(); got != 0 {
		t.Errorf("got a wait of %d us with an overdue timer, want 0", got)
	}
}
