package worker

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

const workerCommand = "hook-worker"

// TestMain runs the worker's Main if the test binary was started as a worker process.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == workerCommand {
		if Main() != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// peer is the router's end of a connection to a worker.
type peer struct {
	t        testing.TB
	conn     io.ReadWriteCloser
	received []byte
	cmd      *exec.Cmd
}

// startGoroutine runs a worker in a goroutine.
func startGoroutine(t testing.TB) *peer {
	near, far := net.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- Serve(far, nil)
		far.Close()
	}()
	t.Cleanup(func() {
		near.Close()
		<-done
	})
	return &peer{t: t, conn: near}
}

// startProcess runs a worker in a separate process.
func startProcess(t testing.TB) *peer {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	near, far := os.NewFile(uintptr(ends[0]), "near"), os.NewFile(uintptr(ends[1]), "far")
	cmd := exec.Command(os.Args[0], workerCommand)
	cmd.Env = []string{"GOMAXPROCS=2", "GOTRACEBACK=none"}
	cmd.Stdin = far
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	far.Close()
	t.Cleanup(func() {
		near.Close()
		cmd.Process.Kill()
		cmd.Wait()
	})
	return &peer{t: t, conn: near, cmd: cmd}
}

func (p *peer) send(b []byte) {
	p.t.Helper()
	if _, err := p.conn.Write(b); err != nil {
		p.t.Fatal(err)
	}
}

// next returns the next frame; kind 0 is the end of the connection.
func (p *peer) next() (byte, []byte) {
	p.t.Helper()
	for {
		kind, body, rest, err := wire.Next(p.received, wire.MaxFrameToRouter)
		if err != nil {
			p.t.Fatal(err)
		}
		if kind != 0 {
			p.received = rest
			return kind, body
		}
		b := make([]byte, 4096)
		n, err := p.conn.Read(b)
		p.received = append(p.received, b[:n]...)
		if n == 0 && err != nil {
			return 0, nil
		}
	}
}

func (p *peer) load(engine, code string, b plugin.Budget) {
	p.t.Helper()
	p.send(wire.AppendLoad(nil, &wire.Load{Name: "test", Engine: engine, Budget: b, Code: []byte(code)}))
	if kind, body := p.next(); kind != wire.KindLoaded {
		f, _ := wire.ParseLoadFailed(body)
		p.t.Fatalf("load: got frame of kind %d, failure %v", kind, f)
	}
}

func (p *peer) call(seq uint64, key string) {
	p.t.Helper()
	p.send(wire.AppendCall(nil, seq, &plugin.Call{Point: plugin.OnRequest, Key: key}))
}

func (p *peer) reply() wire.Reply {
	p.t.Helper()
	var r wire.Reply
	kind, body := p.next()
	if kind != wire.KindReply {
		p.t.Fatalf("got frame of kind %d, want a reply", kind)
	}
	if err := wire.ParseReply(body, &r); err != nil {
		p.t.Fatal(err)
	}
	return r
}

const testScript = `
version = 1
def on_request(r):
    if r.key == "loop":
        for i in range(1 << 40):
            pass
    if r.key == "crash":
        return [][1]
    if r.key == "double":
        s = "x"
        for i in range(40):
            s += s
    if r.key == "sort":
        return refuse(len(sorted(range(1 << 28))))
    if r.key == "list":
        x = []
        for i in range(1 << 40):
            x.append("%d" % i)
    return refuse(7)
`

// generousBudget lets the tests pass on a loaded machine.
var generousBudget = plugin.Budget{Time: 100_000, LoadTime: 2_000_000, Steps: 1 << 40, Depth: 64, Memory: 8 << 20, LogLines: 4, LogLineSize: 100}

func TestWorkerRepliesInOrder(t *testing.T) {
	for name, p := range map[string]*peer{"goroutine": startGoroutine(t), "process": startProcess(t)} { // any order
		p.load("script", testScript, generousBudget)
		var batch []byte
		for seq := range uint64(300) {
			batch = wire.AppendCall(batch, seq, &plugin.Call{Point: plugin.OnRequest, Key: "A"})
		}
		go p.send(batch)
		for seq := range uint64(300) {
			r := p.reply()
			if r.Sequence != seq || r.Failed || r.Verdict.Decision != plugin.Reject || r.Verdict.RetryAfter != 7000 {
				t.Fatalf("%s: call %d got %+v", name, seq, r)
			}
		}
	}
}

func TestWorkerServesCallsAfterInterruptedLoop(t *testing.T) {
	for name, p := range map[string]*peer{"goroutine": startGoroutine(t), "process": startProcess(t)} { // any order
		b := generousBudget
		b.Time = 20_000
		p.load("script", testScript, b)
		for seq, key := range []string{"A", "loop", "A", "crash", "A"} {
			p.call(uint64(seq), key)
			r := p.reply()
			want := map[string]plugin.FailureKind{"loop": plugin.BudgetExceeded, "crash": plugin.Crashed}
			if kind, fails := want[key]; r.Failed != fails || fails && r.Kind != kind || r.Sequence != uint64(seq) {
				t.Errorf("%s: %s got %+v", name, key, r)
			}
		}
	}
}

func TestRepliesDoNotWaitForStuckCall(t *testing.T) {
	p := startProcess(t)
	b := generousBudget
	b.Time = 30_000_000
	p.load("script", testScript, b)
	p.call(1, "A")
	p.call(2, "loop") // runs until the test ends
	if r := p.reply(); r.Sequence != 1 {
		t.Errorf("got %+v", r)
	}
}

func TestWorkerEndsAtMemoryBound(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector reserves large amounts of address space")
	}
	for _, key := range []string{"double", "sort", "list"} {
		for _, memory := range []int64{1 << 20, 16 << 20, 60 << 20} {
			b := generousBudget
			b.Memory, b.Time = memory, 60_000_000
			p := startProcess(t)
			p.load("script", testScript, b)
			base := peak(t, p)
			p.call(1, "A")
			p.reply()
			p.call(2, key)
			kind, _ := p.next()
			p.cmd.Wait()
			most := p.cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss << 10
			if kind != 0 || most > base+memory+MemoryOverhead+4<<20 {
				t.Errorf("%s with %d MiB: got frame %d, peak %d KiB after %d KiB", key, memory>>20, kind, most>>10, base>>10)
			}
			t.Logf("%s with %d MiB: peak %d KiB after %d KiB", key, memory>>20, most>>10, base>>10)
		}
	}
}

// peak returns the peak resident memory of the worker in bytes (proc(5), VmHWM).
func peak(t testing.TB, p *peer) int64 { return status(t, p, "VmHWM:") }

// status returns a field of the worker's status, in bytes (proc(5)).
func status(t testing.TB, p *peer, field string) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), field)
	n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n << 10
}

func TestWorkerIgnoresServiceSignals(t *testing.T) {
	p := startProcess(t)
	p.load("script", testScript, generousBudget)
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		if err := p.cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	p.call(1, "A")
	if r := p.reply(); r.Failed {
		t.Errorf("%+v", r)
	}
}

func TestWorkerEndsAfterLoadFailure(t *testing.T) {
	for want, l := range map[string]wire.Load{ // any order
		"there is no engine lua":                {Engine: "lua"},
		"not a WebAssembly module of version 1": {Engine: "wasm", Code: []byte("x")},
		"it does not set version":               {Engine: "script"},
	} {
		l.Budget = generousBudget
		p := startProcess(t)
		p.send(wire.AppendLoad(nil, &l))
		kind, body := p.next()
		if kind != wire.KindLoadFailed {
			t.Fatalf("%s: kind %d", want, kind)
		}
		f, err := wire.ParseLoadFailed(body)
		if err != nil || !strings.Contains(f.Error(), want) {
			t.Errorf("got failure %v, error %v; want %s", f, err, want)
		}
		if kind, _ := p.next(); kind != 0 {
			t.Errorf("%s: got a frame of kind %d after the failure, want the end", want, kind)
		}
	}
}

func TestWorkerEndsOnUnexpectedFrame(t *testing.T) {
	call := wire.AppendCall(nil, 1, &plugin.Call{Point: plugin.Unload})
	for what, b := range map[string][]byte{ // any order
		"a call before the load": call, "not a frame": []byte("GET / HTTP/1.1\r\n\r\n"), "an empty frame": make([]byte, 8),
	} {
		p := startProcess(t)
		p.conn.Write(b)
		if kind, _ := p.next(); kind != 0 {
			t.Errorf("%s: got a frame of kind %d, want the end", what, kind)
		}
	}
}

func BenchmarkWorker(b *testing.B) {
	for _, c := range []struct {
		name  string
		peer  func(testing.TB) *peer
		batch int
	}{{"Process", startProcess, 1}, {"ProcessBatchOf8", startProcess, 8}} {
		b.Run(c.name, func(b *testing.B) {
			p := c.peer(b)
			p.load("script", "version = 1\ndef on_request(r):\n    pass\n", plugin.DefaultBudget)
			frame := wire.AppendCall(nil, 1, &plugin.Call{Point: plugin.OnRequest, Verb: "C.GET", Key: "7f3a9c21e0b4d655"})
			var batch []byte
			for range c.batch {
				batch = append(batch, frame...)
			}
			before := cpu(b, p)
			calls := 0
			for b.Loop() {
				p.send(batch)
				for range c.batch {
					p.next()
				}
				calls += c.batch
			}
			b.ReportMetric(float64(cpu(b, p)-before)/float64(calls), "worker-ns/call")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(calls), "ns/call")
			b.ReportMetric(float64(status(b, p, "VmRSS:")>>10), "RSS-KiB")
			b.ReportMetric(float64(status(b, p, "RssAnon:")>>10), "own-KiB")
		})
	}
	b.Run("Start", func(b *testing.B) {
		for b.Loop() {
			p := startProcess(b)
			p.load("script", "version = 1\ndef on_request(r):\n    pass\n", plugin.DefaultBudget)
			p.conn.Close()
			p.cmd.Wait()
		}
	})
}

// cpu returns the processor time of the worker in ns, with the kernel's resolution of 10 ms.
func cpu(b *testing.B, p *peer) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return (user + system) * 10_000_000
}
