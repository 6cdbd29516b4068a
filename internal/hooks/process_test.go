package hooks

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wasmfile"
	"starlingwinch/internal/plugin/worker"
	"starlingwinch/internal/structuredlog"
)

// TestMain runs the tests. With the argument CommandName, it runs as a worker process instead.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == CommandName {
		if worker.Main() != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// generousCallTime is a time budget in µs within which a valid call returns even on a machine under load.
const generousCallTime = 200_000

// realHarness runs Hooks on the operating system with real workers.
type realHarness struct {
	t       testing.TB
	machine *machine.Real
	hooks   *Hooks
	lines   []string
	lastID  int64
}

func newRealHarness(t testing.TB, cfg Config) *realHarness {
	t.Helper()
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	r := &realHarness{t: t, machine: m}
	cfg.ServeInProcess = func(c io.ReadWriteCloser) {
		defer c.Close()
		worker.Serve(c, nil)
	}
	if r.hooks, err = New(m, cfg, structuredlog.New(structuredlog.SinkFunc(func(line string) { r.lines = append(r.lines, line) }))); err != nil {
		t.Fatal(err)
	}
	return r
}

// run runs the event loop and calls f in it. It returns after f has called done and the hooks are closed, and fails after a
// minute.
func (r *realHarness) run(f func(done func())) {
	r.t.Helper()
	timedOut := false
	r.machine.At(r.machine.Now()+60_000_000, func() {
		timedOut = true
		r.machine.Stop()
	})
	r.machine.Post(func() {
		f(func() {
			r.hooks.Close(r.machine.Stop)
		})
	})
	r.machine.Run()
	if timedOut {
		r.t.Fatalf("the run did not end within a minute: left %v, log %q", r.hooks.RecordCounts(), r.lines)
	}
}

// whenReady calls f after all hooks are up.
func (r *realHarness) whenReady(f func()) {
	if r.hooks.Ready() {
		f()
		return
	}
	r.machine.At(r.machine.Now()+1000, func() { r.whenReady(f) })
}

func (r *realHarness) evaluate(class, key string, done func(Verdict, Time)) {
	r.lastID++
	began := r.machine.Now()
	accepted := r.hooks.Evaluate(Request{ID: r.lastID, Verb: "C.GET", Class: class, Key: key, TimeLeft: 10_000_000}, func(v Verdict) {
		done(v, r.machine.Now()-began)
	})
	if !accepted {
		r.machine.Post(func() { done(Verdict{}, 0) })
	}
}

func (r *realHarness) wantLog(text string) {
	r.t.Helper()
	for _, line := range r.lines {
		if strings.Contains(line, text) {
			return
		}
	}
	r.t.Errorf("no log line contains %q: %q", text, r.lines)
}

func scriptHook(name, code string) Hook {
	h := hookNamed(name)
	h.Code = []byte("version = 1\n" + code)
	return h
}

// faultyScript fails in the way that the key of a request names.
const faultyScript = `
def on_request(r):
    if r.key == "loop":
        for i in range(1 << 40):
            pass
    if r.key == "sort":
        return refuse(len(sorted(range(20 << 20))))
    if r.key == "grow":
        s = "x"
        for i in range(40):
            s += s
    if r.key == "crash":
        return [][1]
    if r.key == "log":
        for i in range(500):
            log("x" * 1024)
    if r.key == "nothing":
        return 7
    return refuse(5)
def on_answered(r):
    return [][1]
def on_unload():
    return [][1]
`

// endlessRecursion returns a module whose on_request calls itself without end.
func endlessRecursion() []byte {
	m := &wasmfile.Module{Pages: 1}
	m.Func("hook_version", 0, 1, 0, wasmfile.I32Const(1))
	m.Func("hook_room", 1, 1, 0, wasmfile.I32Const(1024))
	m.Func("on_request", 1, 1, 0, wasmfile.LocalGet(0), wasmfile.Call(2))
	return m.Bytes()
}

func TestOnFailureAppliesToFailedCallsAndHookRecovers(t *testing.T) {
	h := scriptHook("faulty", faultyScript)
	h.OnFailure, h.RetryAfter = policy.RejectOnFailure, 1000
	h.Budget.Steps = 1 << 40
	h.Time, h.Budget.Time = generousCallTime, generousCallTime
	deep := Hook{Hook: h.Hook, Engine: "wasm", Code: endlessRecursion(), Budget: h.Budget}
	deep.Name, deep.Classes = "deep", []string{"deep"}
	deep.Budget.Depth, deep.Budget.Steps = 0, 0 // only killing the process stops the call
	h.Classes = []string{"faulty"}
	cfg := config(h, deep)
	cfg.MaxWaitFraction, cfg.MaxWait = 0.5, 5_000_000
	r := newRealHarness(t, cfg)
	r.run(func(done func()) {
		keys := []string{"ok", "loop", "ok", "crash", "ok", "nothing", "log", "ok"}
		var next func()
		next = func() {
			if len(keys) == 0 {
				done()
				return
			}
			key := keys[0]
			keys = keys[1:]
			r.evaluate("faulty", key, func(v Verdict, took Time) {
				want := Time(1000)
				if key == "ok" || key == "log" {
					want = 5000
				}
				if v.Decision != plugin.Reject || v.RetryAfter != want {
					t.Errorf("%s: got %+v, want a rejection with RetryAfter %d", key, v, want)
				}
				t.Logf("%s took %d us", key, took)
				next()
			})
		}
		r.whenReady(next)
	})
	r.wantLog("its budget") // interrupted by the worker, or killed with its process if the worker is too slow
	r.wantLog(`hook=faulty cause="crashed: faulty:`)
	r.wantLog(`hook=faulty cause="gave no verdict: a value of the type int`)
	r.wantLog(`msg="hook message" hook=faulty text="(497 more lines dropped)"`)
	r.wantLog(`hook=faulty cause="crashed: faulty:24:14`) // at unload
}

func TestUninterruptibleCallEndsWithItsProcess(t *testing.T) {
	for _, key := range []string{"sort", "grow", "recurse"} {
		h := scriptHook("faulty", faultyScript)
		h.Classes = []string{"faulty"}
		h.OnFailure, h.RetryAfter = policy.RejectOnFailure, 1000
		h.Budget.Steps = 1 << 40
		h.Time, h.Budget.Time = generousCallTime, generousCallTime
		if key == "sort" {
			h.Budget.Memory = 1 << 30 // so that the time budget ends the call, not the memory limit
		}
		if key == "recurse" {
			h.Engine, h.Code = "wasm", endlessRecursion()
			h.Budget.Depth, h.Budget.Steps = 0, 0
		}
		cfg := config(h)
		cfg.MaxWaitFraction, cfg.MaxWait = 0.5, 5_000_000
		r := newRealHarness(t, cfg)
		r.run(func(done func()) {
			r.whenReady(func() {
				r.evaluate("faulty", key, func(v Verdict, took Time) {
					if v.Decision != plugin.Reject || v.RetryAfter != 1000 {
						t.Errorf("%s: got %+v, want a rejection with RetryAfter 1000", key, v)
					}
					t.Logf("%s took %d us, budget %d us", key, took, h.Time)
					if h.Engine == "wasm" {
						done()
						return
					}
					r.evaluate("faulty", "ok", func(v Verdict, took Time) { // waits for the replacement worker
						if v.Decision != plugin.Reject || v.RetryAfter != 5000 {
							t.Errorf("after %s: got %+v, want a rejection with RetryAfter 5000", key, v)
						}
						t.Logf("after %s: %d us", key, took)
						done()
					})
				})
			})
		})
		if left := r.hooks.RecordCounts(); left["workers"]+left["worker processes"]+left["requests"] > 0 {
			t.Errorf("left %v, want no workers and requests", left)
		}
	}
}

func TestReloadOfInvalidHookNamesItAndKeepsOldSet(t *testing.T) {
	good := scriptHook("good", "def on_request(r):\n    return refuse(5)\n")
	good.Time, good.Budget.Time = generousCallTime, generousCallTime
	for want, code := range map[string]string{ // any order
		`hook=bad cause="does not load: bad:2:5: got end of file, want primary expression`: "x = ",
		`hook=bad cause="other contract: it was built for version 2`:                       "version = 2\n",
		`hook=bad cause="crashed: bad:3:14: floored division by zero`:                      "def on_load():\n    return 1 // 0\ndef on_request(r):\n    pass\n",
		`hook=bad cause="overran its budget`:                                               "def on_load():\n    for i in range(1 << 40):\n        pass\ndef on_request(r):\n    pass\n",
	} {
		bad := scriptHook("bad", code)
		bad.LoadTime, bad.Budget.LoadTime = 200_000, 200_000
		r := newRealHarness(t, config(good))
		r.run(func(done func()) {
			r.whenReady(func() {
				if strings.HasPrefix(code, "version") {
					bad.Code = []byte(code + "def on_request(r):\n    pass\n")
				}
				r.hooks.Reload(config(good, bad))
				var waitForLog func()
				waitForLog = func() {
					if len(r.lines) == 0 {
						r.machine.At(r.machine.Now()+1000, waitForLog)
						return
					}
					r.evaluate("read", "k", func(v Verdict, _ Time) {
						if v.Decision != plugin.Reject {
							t.Errorf("old set: got %+v, want a rejection", v)
						}
						done()
					})
				}
				waitForLog()
			})
		})
		r.wantLog(want)
	}
}

// BenchmarkPass measures the processor time of the router process and the elapsed time for each request that passes the hooks,
// with one request or eight requests in a turn.
func BenchmarkPass(b *testing.B) {
	pass := &wasmfile.Module{Pages: 1}
	pass.Func("hook_version", 0, 1, 0, wasmfile.I32Const(1))
	pass.Func("hook_room", 1, 1, 0, wasmfile.I32Const(1024))
	pass.Func("on_request", 1, 1, 0, wasmfile.I32Const(0))
	engines := map[string]Hook{
		"Wasm":   {Hook: hookNamed("x").Hook, Engine: "wasm", Code: pass.Bytes(), Budget: plugin.DefaultBudget},
		"Script": scriptHook("x", "def on_request(r):\n    pass\n"),
	}
	for _, engine := range []string{"Wasm", "Script"} {
		for _, inside := range []bool{false, true} {
			for _, hooks := range []int{1, 3} {
				for _, atOnce := range []int{1, 8} {
					if engine == "Script" && inside {
						continue
					}
					h := engines[engine]
					h.Inside = inside
					name := fmt.Sprintf("%s/inside=%v/hooks=%d/atOnce=%d", engine, inside, hooks, atOnce)
					b.Run(name, func(b *testing.B) { benchPass(b, h, hooks, atOnce) })
				}
			}
		}
	}
}

func benchPass(b *testing.B, h Hook, hooks, atOnce int) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	cfg := config()
	for i := range hooks {
		hook := h
		hook.Name = fmt.Sprint("h", i)
		cfg.Hooks = append(cfg.Hooks, hook)
	}
	r := newRealHarness(b, cfg)
	b.ReportAllocs()
	r.run(func(done func()) {
		n, open := 0, 0
		var before int64
		var turn func()
		verdict := func(Verdict) {
			if open--; open > 0 {
				return
			}
			if n >= b.N {
				b.StopTimer()
				b.ReportMetric(float64(processorTime(b)-before)/float64(n), "router-ns/request")
				done()
				return
			}
			r.machine.Post(turn)
		}
		turn = func() {
			open = atOnce
			for range atOnce {
				n++
				r.hooks.Evaluate(Request{
					ID:       int64(n),
					Verb:     "C.GET",
					Class:    "read",
					Tenant:   "acme",
					Key:      "7f3a9c21e0b4d655",
					TimeLeft: 10_000_000,
				}, verdict)
			}
		}
		r.whenReady(func() {
			b.ResetTimer()
			before = processorTime(b)
			turn()
		})
	})
}

// processorTime returns the processor time that this process has used, in ns.
func processorTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
