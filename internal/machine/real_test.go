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

// openDescriptors returns the number of open descriptors of the process.
func openDescriptors(t testing.TB) int {
	t.Helper()
	d, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(d) - 1 // without the descriptor of the listed directory itself
}

func TestPostKeepsOrderOfEachGoroutine(t *testing.T) {
	r := startLoop(t, Options{})
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
	r.runInLoop(func() {
		for g := range got {
			if len(got[g]) != each || !slices.IsSorted(got[g]) {
				t.Errorf("goroutine %d: got %d functions run, want %d in the order of their posting", g, len(got[g]), each)
			}
		}
	})
}

func TestNestedPostRunsInLaterTurn(t *testing.T) {
	r := startLoop(t, Options{})
	order := make(chan string, 3)
	r.runInLoop(func() {
		r.Post(func() { order <- "posted" })
		r.At(0, func() { order <- "timer" })
		order <- "first"
	})
	for _, want := range []string{"first", "timer", "posted"} {
		if got := await(t, want, order); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func TestWorkRunsTwoAtATimeAndEndsInLoop(t *testing.T) {
	r := startLoop(t, Options{})
	const jobs = 20
	var mu sync.Mutex
	running, maxRunning := 0, 0
	begun := make(chan struct{}, jobs)
	release := make(chan struct{})
	ended := 0 // accessed only by the event loop
	all := make(chan struct{})
	r.runInLoop(func() {
		for range jobs {
			r.Work(func() {
				mu.Lock()
				running++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				begun <- struct{}{}
				<-release
				mu.Lock()
				running--
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
	r.waitTurns() // the loop must continue while both jobs are blocked
	close(release)
	await(t, "the end of all work", all)
	if maxRunning != defaultWorkers {
		t.Errorf("got %d jobs at a time, want %d", maxRunning, defaultWorkers)
	}
}

func TestReadFileIsWholeOrFails(t *testing.T) {
	r := startLoop(t, Options{})
	dir := t.TempDir()
	file, fifo := filepath.Join(dir, "file"), filepath.Join(dir, "fifo")
	if err := os.WriteFile(file, []byte("0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	r.runInLoop(func() {
		if b, err := r.ReadFile(file, 10); string(b) != "0123456789" || err != nil {
			t.Errorf("got %q and error %v, want the whole file", b, err)
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
			{"/proc/self/status", 10, "more than 10 bytes"}, // reports a size of 0
		} {
			b, err := r.ReadFile(c.name, c.most)
			if b != nil || err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: got %q and error %v, want no bytes and an error with %q", c.name, b, err, c.want)
			} else if !strings.Contains(err.Error(), c.name) {
				t.Errorf("error %q does not contain the file name %s", err, c.name)
			}
		}
	})
}

func TestSignalsAreQueuedUntilHandlerIsSet(t *testing.T) {
	r := startLoop(t, Options{})
	pendingSignals := func() (n int) {
		r.runInLoop(func() { n = len(r.signals.pending) })
		return n
	}
	for i, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		syscall.Kill(syscall.Getpid(), sig)
		for end := time.Now().Add(eventTimeout); pendingSignals() <= i; {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for signal %v", sig)
			}
		}
	}
	got := make(chan Signal, 8)
	r.runInLoop(func() { r.OnSignal(func(s Signal) { got <- s }) })
	syscall.Kill(syscall.Getpid(), syscall.SIGINT)
	for _, want := range []Signal{HangUp, Terminate, Terminate} {
		if s := await(t, "a signal", got); s != want {
			t.Errorf("got signal %v, want %v", s, want)
		}
	}
}

// blockedWriter is a log writer that blocks until open is closed.
type blockedWriter struct {
	open    chan struct{}
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    strings.Builder
}

func (g *blockedWriter) Write(b []byte) (int, error) {
	g.once.Do(func() { close(g.entered) })
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *blockedWriter) lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Split(strings.TrimSuffix(g.text.String(), "\n"), "\n")
}

func TestUnreadLogDropsAndCountsLines(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{}), entered: make(chan struct{})}
	r := startLoop(t, Options{Log: g})
	r.Log("first")
	await(t, "the first line's write", g.entered)
	r.runInLoop(func() {
		for i := range 300 {
			r.Log(fmt.Sprintf("line %d", i))
		}
	})
	close(g.open)
	r.stopAndWait()
	lines := g.lines()
	if want := 1 + maxQueuedLines + 1; len(lines) != want {
		t.Fatalf("got %d lines, want %d", len(lines), want)
	}
	for i, want := range map[int]string{0: "first", 1: "line 0", maxQueuedLines: "line 255", maxQueuedLines + 1: "44 lines dropped"} {
		if !strings.HasSuffix(lines[i], " "+want) {
			t.Errorf("line %d: got %q, want it to end with %q", i, lines[i], want)
		}
	}
}

func TestUnreadLogDoesNotDelayStop(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{}), entered: make(chan struct{})}
	defer close(g.open)
	r := startLoop(t, Options{Log: g})
	r.Log("stuck")
	await(t, "the line's write", g.entered)
	r.stopAndWait()
}

func TestStopReleasesEverything(t *testing.T) {
	// The Go runtime keeps a goroutine and descriptors after the first use, so use a machine once before counting.
	if m, err := New(Options{Log: io.Discard}); err != nil {
		t.Fatal(err)
	} else {
		m.Stop()
		m.Run()
	}
	full, l := fullBacklogAddress(t), closedAddress(t)
	countResources := func() (fds, goroutines int) { return openDescriptors(t), runtime.NumGoroutine() }
	fds, goroutines := countResources()

	m, err := New(Options{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	failIfCalled := func(Conn, error) Handler {
		t.Error("a dial callback was called after Stop")
		return nil
	}
	ln, err := m.Listen(l, func(c Conn) Handler { return &funcHandler{} })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.ListenPacket("127.0.0.1:0", func(string, []byte) {}); err != nil {
		t.Fatal(err)
	}
	m.Dial(full, 3600_000_000, failIfCalled)
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
		return &funcHandler{}
	})
	ran := make(chan struct{})
	go func() {
		m.Run()
		close(ran)
	}()
	await(t, "Run to return", ran)
	m.Run() // a second call does nothing
	m.Post(func() { t.Error("a posted function was called after Stop") })
	m.Log("dropped")

	// Goroutines that have finished their work may not have exited yet.
	for end := time.Now().Add(eventTimeout); ; runtime.Gosched() {
		nowFds, nowGoroutines := countResources()
		if nowFds == fds && nowGoroutines <= goroutines {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d descriptors and %d goroutines after Stop, want %d and at most %d as before",
				nowFds, nowGoroutines, fds, goroutines)
		}
	}
}

func TestEntropyAndWallClock(t *testing.T) {
	r := startLoop(t, Options{})
	seen := map[uint64]bool{}
	for range 1000 {
		seen[r.Entropy()] = true
	}
	if len(seen) != 1000 {
		t.Errorf("got %d different numbers in 1000 calls, want 1000", len(seen))
	}
	before := time.Now().UnixMicro()
	wall := r.Wall()
	if after := time.Now().UnixMicro(); wall < before || wall > after {
		t.Errorf("Wall: got %d, want a time from %d to %d", wall, before, after)
	}
}
