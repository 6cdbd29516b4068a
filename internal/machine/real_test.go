package machine

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// descriptors is how many the process holds.
func descriptors(t testing.TB) int {
	t.Helper()
	d, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(d) - 1 // without the one that lists them
}

func TestPostKeepsOrderOfEachGoroutine(t *testing.T) {
	r := newRig(t, Options{})
	const goroutines, each = 8, 5000
	var got [goroutines][]int
	var all sync.WaitGroup
	for g := range goroutines {
		all.Go(func() {
			for i := range each {
				r.Post(func() { got[g] = append(got[g], i) })
			}
		})
	}
	all.Wait()
	r.do(func() {
		for g := range got {
			if len(got[g]) != each || !slices.IsSorted(got[g]) {
				t.Errorf("goroutine %d: %d of %d ran, or in another order", g, len(got[g]), each)
			}
		}
	})
}

func TestNestedPostRunsInLaterTurn(t *testing.T) {
	r := newRig(t, Options{})
	order := make(chan string, 3)
	r.do(func() {
		r.Post(func() { order <- "posted" })
		r.At(0, func() { order <- "timer" })
		order <- "first"
	})
	for _, want := range []string{"first", "timer", "posted"} {
		if got := await(t, want, order); got != want {
			t.Errorf("%s came, want %s", got, want)
		}
	}
}

func TestWorkRunsTwoAtATimeAndEndsInLoop(t *testing.T) {
	r := newRig(t, Options{})
	const jobs = 20
	var mu sync.Mutex
	now, most := 0, 0
	begun := make(chan struct{}, jobs)
	hold := make(chan struct{})
	ended := 0 // the loop's
	all := make(chan struct{})
	r.do(func() {
		for range jobs {
			r.Work(func() {
				mu.Lock()
				now++
				most = max(most, now)
				mu.Unlock()
				begun <- struct{}{}
				<-hold
				mu.Lock()
				now--
				mu.Unlock()
			}, func() {
				if ended++; ended == jobs {
					close(all)
				}
			})
		}
	})
	await(t, "the first work", begun)
	await(t, "the second work", begun)
	r.pass() // the loop goes on meanwhile
	close(hold)
	await(t, "the end of all work", all)
	if most != defaultWorkers {
		t.Errorf("%d ran at a time", most)
	}
}

func TestReadFileIsWholeOrFails(t *testing.T) {
	r := newRig(t, Options{})
	dir := t.TempDir()
	file, fifo := filepath.Join(dir, "file"), filepath.Join(dir, "fifo")
	if err := os.WriteFile(file, []byte("0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	r.do(func() {
		if b, err := r.ReadFile(file, 10); string(b) != "0123456789" || err != nil {
			t.Errorf("%q, %v", b, err)
		}
		for _, c := range []struct {
			name string
			most int64
			want string
		}{
			{file, 9, "10 bytes, more than 9"},
			{dir, 1 << 20, "not a regular file"},
			{fifo, 1 << 20, "not a regular file"},
			{filepath.Join(dir, "none"), 1 << 20, "no such file"},
			{"/proc/self/status", 10, "more than 10 bytes"}, // it has no size of its own
		} {
			b, err := r.ReadFile(c.name, c.most)
			if b != nil || err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: %q, %v, want %q", c.name, b, err, c.want)
			} else if !strings.Contains(err.Error(), c.name) {
				t.Errorf("%q does not name the file", err)
			}
		}
	})
}

func TestSignalsAreQueuedUntilHandlerIsSet(t *testing.T) {
	r := newRig(t, Options{})
	kept := func() (n int) {
		r.do(func() { n = len(r.signals.pending) })
		return n
	}
	for i, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		syscall.Kill(syscall.Getpid(), sig)
		for end := time.Now().Add(patience); kept() <= i; {
			if time.Now().After(end) {
				t.Fatalf("%v did not come", sig)
			}
		}
	}
	got := make(chan Signal, 8)
	r.do(func() { r.Signals(func(s Signal) { got <- s }) })
	syscall.Kill(syscall.Getpid(), syscall.SIGINT)
	for _, want := range []Signal{HangUp, Terminate, Terminate} {
		if s := await(t, "a signal", got); s != want {
			t.Errorf("signal %v came, want %v", s, want)
		}
	}
}

// gate is a log's reader that stands still until it is opened.
type gate struct {
	open    chan struct{}
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    strings.Builder
}

func (g *gate) Write(b []byte) (int, error) {
	g.once.Do(func() { close(g.entered) })
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *gate) lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Split(strings.TrimSuffix(g.text.String(), "\n"), "\n")
}

func TestUnreadLogDropsAndCountsLines(t *testing.T) {
	g := &gate{open: make(chan struct{}), entered: make(chan struct{})}
	r := newRig(t, Options{Log: g})
	r.Log("first")
	await(t, "the first line's write", g.entered)
	r.do(func() {
		for i := range 300 {
			r.Log(fmt.Sprintf("line %d", i))
		}
	})
	close(g.open)
	r.end()
	lines := g.lines()
	if want := 1 + maxQueuedLines + 1; len(lines) != want {
		t.Fatalf("%d lines, want %d", len(lines), want)
	}
	for i, want := range map[int]string{0: "first", 1: "line 0", maxQueuedLines: "line 255", maxQueuedLines + 1: "44 lines dropped"} {
		if !strings.HasSuffix(lines[i], " "+want) {
			t.Errorf("line %d is %q, want %q", i, lines[i], want)
		}
	}
}

func TestUnreadLogDoesNotDelayStop(t *testing.T) {
	g := &gate{open: make(chan struct{}), entered: make(chan struct{})}
	defer close(g.open)
	r := newRig(t, Options{Log: g})
	r.Log("stuck")
	await(t, "the line's write", g.entered)
	r.end()
}

func TestStopReleasesEverything(t *testing.T) {
	// The runtime keeps a goroutine and descriptors of its own from the first use on.
	if m, err := New(Options{Log: io.Discard}); err != nil {
		t.Fatal(err)
	} else {
		m.Stop()
		m.Run()
	}
	full, l := fullAddress(t), closedAddress(t)
	settle := func() (fds, goroutines int) { return descriptors(t), runtime.NumGoroutine() }
	fds, goroutines := settle()

	m, err := New(Options{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	never := func(Conn, error) Handler {
		t.Error("a callback came after Stop")
		return nil
	}
	ln, err := m.Listen(l, func(c Conn) Handler { return &hooks{} })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.ListenPacket("127.0.0.1:0", func(string, []byte) {}); err != nil {
		t.Fatal(err)
	}
	m.Dial(full, 3600_000_000, never)
	m.At(m.Now()+3600_000_000, func() { t.Error("a timer fired after Stop") })
	m.Dial(ln.Addr(), 5_000_000, func(c Conn, err error) Handler {
		if err != nil {
			t.Error(err)
		}
		m.Work(func() {}, func() {
			m.Stop()
			m.Stop()
			m.Post(func() { t.Error("a posted function was called after Stop") })
		})
		return &hooks{}
	})
	ran := make(chan struct{})
	go func() {
		m.Run()
		close(ran)
	}()
	await(t, "the end of Run", ran)
	m.Run() // a second time it does nothing
	m.Post(func() { t.Error("a posted function was called after Stop") })
	m.Log("dropped")

	// Goroutines that have nothing left to do are still on their way out.
	for end := time.Now().Add(patience); ; runtime.Gosched() {
		nowFds, nowGoroutines := settle()
		if nowFds == fds && nowGoroutines <= goroutines {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d descriptors and %d goroutines before, %d and %d after",
				fds, goroutines, nowFds, nowGoroutines)
		}
	}
}

func TestEntropyAndWallClock(t *testing.T) {
	r := newRig(t, Options{})
	seen := map[uint64]bool{}
	for range 1000 {
		seen[r.Entropy()] = true
	}
	if len(seen) != 1000 {
		t.Errorf("%d different numbers of 1000", len(seen))
	}
	before := time.Now().UnixMicro()
	wall := r.Wall()
	if after := time.Now().UnixMicro(); wall < before || wall > after {
		t.Errorf("the clock has %d, between %d and %d", wall, before, after)
	}
}
