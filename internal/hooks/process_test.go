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

// TestMain is also the process of a worker.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == CommandName {
		if worker.Main() != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// generousCallTime is a budget of time that a machine under load leaves to a call that is good.
const generousCallTime = 200_000

// realHarness is a router's place on the real machine.
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
	cfg.Inside = func(c io.ReadWriteCloser) {
		defer c.Close()
		worker.Serve(c, nil)
	}
	if r.hooks, err = New(m, cfg, structuredlog.New(structuredlog.SinkFunc(func(line string) { r.lines = append(r.lines, line) }))); err != nil {
		t.Fatal(err)
	}
	return r
}

// run runs the loop with f in it, until f's done is called.
func (r *realHarness) run(f func(done func())) {
	r.t.Helper()
	late := false
	r.machine.At(r.machine.Now()+60_000_000, func() {
		late = true
		r.machine.Stop()
	})
	r.machine.Post(func() {
		f(func() {
			r.hooks.Close(r.machine.Stop)
		})
	})
	r.machine.Run()
	if late {
		r.t.Fatalf("it never came to an end: %v, %q", r.hooks.Left(), r.lines)
	}
}

// whenReady calls f once all hooks are up.
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
	taken := r.hooks.Evaluate(Request{ID: r.lastID, Verb: "C.GET", Class: class, Key: key, TimeLeft: 10_000_000}, func(v Verdict) {
		done(v, r.machine.Now()-began)
	})
	if !taken {
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
	r.t.Errorf("no line says %q: %q", text, r.lines)
}

func scriptHook(name, code string) Hook {
	h := hookNamed(name)
	h.Code = []byte("version = 1\n" + code)
	return h
}

// moodyScript misbehaves as the key of a request asks it to.
const moodyScript = `
def on_request(r):
    if r.key == "loop":
        for i in range(1 << 40):
            pass
    if r.key == "sort":
        return refuse(len(sorted(range(20 << 20))))
    if r.key == "swell":
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

// endlessRecursion is a module that recurses without end.
func endlessRecursion() []byte {
	m := &wasmfile.Module{Pages: 1}
	m.Func("hook_version", 0, 1, 0, wasmfile.I32Const(1))
	m.Func("hook_room", 1, 1, 0, wasmfile.I32Const(1024))
	m.Func("on_request", 1, 1, 0, wasmfile.LocalGet(0), wasmfile.Call(2))
	return m.Bytes()
}

func TestBrokenHooksAnswerByOnFailureAndServeOn(t *testing.T) {
	h := scriptHook("moody", moodyScript)
	h.OnFailure, h.RetryAfter = policy.RejectOnFailure, 1000
	h.Budget.Steps = 1 << 40
	h.Time, h.Budget.Time = generousCallTime, generousCallTime
	deep := Hook{Hook: h.Hook, Engine: "wasm", Code: endlessRecursion(), Budget: h.Budget}
	deep.Name, deep.Classes = "deep", []string{"deep"}
	deep.Budget.Depth, deep.Budget.Steps = 0, 0 // what is left is the end of its process
	h.Classes = []string{"moody"}
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
			r.evaluate("moody", key, func(v Verdict, took Time) {
				want := Time(1000)
				if key == "ok" || key == "log" {
					want = 5000
				}
				if v.Decision != plugin.Reject || v.RetryAfter != want {
					t.Errorf("%s: %+v, want a refusal with %d", key, v, want)
				}
				t.Logf("%s took %d us", key, took)
				next()
			})
		}
		r.whenReady(next)
	})
	r.wantLog("its budget") // by the worker itself, or with its process where it came too late to that
	r.wantLog(`hook=moody cause="crashed: moody:`)
	r.wantLog(`hook=moody cause="gave no verdict: a value of the type int`)
	r.wantLog(`msg="hook message" hook=moody text="(497 more lines dropped)"`)
	r.wantLog(`hook=moody cause="crashed: moody:24:14`) // at unload
}

func TestUninterruptibleCallEndsWithItsProcess(t *testing.T) {
	for _, key := range []string{"sort", "swell", "recurse"} {
		h := scriptHook("moody", moodyScript)
		h.Classes = []string{"moody"}
		h.OnFailure, h.RetryAfter = policy.RejectOnFailure, 1000
		h.Budget.Steps = 1 << 40
		h.Time, h.Budget.Time = generousCallTime, generousCallTime
		if key == "sort" {
			h.Budget.Memory = 1 << 30 // time is what ends it
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
				r.evaluate("moody", key, func(v Verdict, took Time) {
					if v.Decision != plugin.Reject || v.RetryAfter != 1000 {
						t.Errorf("%s: %+v", key, v)
					}
					t.Logf("%s took %d us, budget %d us", key, took, h.Time)
					if h.Engine == "wasm" {
						done()
						return
					}
					r.evaluate("moody", "ok", func(v Verdict, took Time) { // waits for the next worker
						if v.Decision != plugin.Reject || v.RetryAfter != 5000 {
							t.Errorf("%s: after it %+v", key, v)
						}
						t.Logf("after %s: %d us", key, took)
						done()
					})
				})
			})
		})
		if left := r.hooks.Left(); left["workers"]+left["worker processes"]+left["requests"] > 0 {
			t.Errorf("left %v", left)
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
				var look func()
				look = func() {
					if len(r.lines) == 0 {
						r.machine.At(r.machine.Now()+1000, look)
						return
					}
					r.evaluate("read", "k", func(v Verdict, _ Time) {
						if v.Decision != plugin.Reject {
							t.Errorf("the old set says %+v", v)
						}
						done()
					})
				}
				look()
			})
		})
		r.wantLog(want)
	}
}

// BenchmarkPass measures a pass verdict as the router sees it: processor time of this process and of all for each request,
// requests coming one by one or eight in a turn.
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
		own := h
		own.Name = fmt.Sprint("h", i)
		cfg.Hooks = append(cfg.Hooks, own)
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

// processorTime is the processor time of this process in ns.
func processorTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
