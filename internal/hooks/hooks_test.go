package hooks

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"starlingwinch/internal/hooks/hookstest"
	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/structuredlog"
	"starlingwinch/internal/testbench/sim"
)

// virtualHarness runs Hooks on a simulated host with simulated workers.
type virtualHarness struct {
	t           *testing.T
	world       *sim.World
	host        *sim.Host
	machine     machine.Machine
	hooks       *Hooks
	verdicts    map[int64][]Verdict
	deliveredAt map[int64]Time
	lines       []string
}

func newVirtualHarness(t *testing.T, seed uint64, s *hookstest.Script, cfg Config) *virtualHarness {
	t.Helper()
	f := &virtualHarness{t: t, world: sim.New(seed), verdicts: map[int64][]Verdict{}, deliveredAt: map[int64]Time{}}
	f.host = f.world.Host("router", "10.0.0.1", sim.HostOptions{})
	f.machine = f.host.Machine()
	f.host.Worker = s.Worker(f.host.Machine)
	var err error
	if f.hooks, err = New(f.machine, cfg, structuredlog.New(structuredlog.SinkFunc(func(line string) { f.lines = append(f.lines, line) }))); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *virtualHarness) advance(d Time) { f.world.Run(f.world.Now() + d) }

func (f *virtualHarness) evaluate(id int64, class string) bool {
	evaluating := true
	defer func() { evaluating = false }()
	return f.hooks.Evaluate(Request{ID: id, Class: class, TimeLeft: sim.Second}, func(v Verdict) {
		if evaluating {
			f.t.Error("the verdict was delivered during Evaluate")
		}
		f.verdicts[id] = append(f.verdicts[id], v)
		f.deliveredAt[id] = f.world.Now()
	})
}

func (f *virtualHarness) wantLog(text string) {
	f.t.Helper()
	for _, line := range f.lines {
		if strings.Contains(line, text) {
			return
		}
	}
	f.t.Errorf("no log line contains %q: %q", text, f.lines)
}

// wantNothingLeft checks that no records, descriptors and timers are left.
func (f *virtualHarness) wantNothingLeft() {
	f.t.Helper()
	for name, n := range f.hooks.RecordCounts() { // any order
		if n > 0 {
			f.t.Errorf("left over: %d %s", n, name)
		}
	}
	if n := f.host.Descriptors(); n > 0 {
		f.t.Errorf("left over: %d descriptors", n)
	}
	if n := f.host.Pending(); n > 0 {
		f.t.Errorf("left over: %d timers", n)
	}
}

func (f *virtualHarness) close() {
	f.t.Helper()
	closed := Time(0)
	began := f.world.Now()
	f.hooks.Close(func() { closed = f.world.Now() })
	f.advance(sim.Second)
	if closed == 0 || closed-began > 400*sim.Millisecond {
		f.t.Errorf("closed after %d ms, want at most 400", (closed-began)/1000)
	}
	f.wantNothingLeft()
}

func hookNamed(name string) Hook {
	h := Hook{Hook: policy.Hook{Name: name, Time: 5000, LoadTime: sim.Second, Queue: 64, CPUFraction: 1}, Engine: "script"}
	h.Budget = plugin.DefaultBudget
	return h
}

func config(hooks ...Hook) Config {
	return Config{Hooks: hooks, MaxWaitFraction: 0.1, MaxWait: 50 * sim.Millisecond}
}

func TestVerdictIsDeliveredInLaterTurn(t *testing.T) {
	s := &hookstest.Script{Call: func(_ string, c *plugin.Call) hookstest.Act {
		return hookstest.Act{Verdict: Verdict{Decision: plugin.Reject, RetryAfter: 7000}}
	}}
	f := newVirtualHarness(t, 1, s, config(hookNamed("a")))
	if f.hooks.Ready() {
		t.Error("ready before its worker has loaded the hook")
	}
	f.advance(20 * sim.Millisecond)
	if !f.hooks.Ready() || !f.evaluate(1, "read") {
		t.Fatal("the hook is not ready, or the request is not accepted")
	}
	f.advance(sim.Millisecond)
	if got := f.verdicts[1]; len(got) != 1 || got[0].Decision != plugin.Reject || got[0].RetryAfter != 7000 {
		t.Errorf("got %+v, want one rejection with RetryAfter 7000", got)
	}
	f.close()
}

func TestWithoutHooksNothingIsRetainedOrAllocated(t *testing.T) {
	f := newVirtualHarness(t, 1, &hookstest.Script{}, Config{})
	n := testing.AllocsPerRun(100, func() {
		if f.hooks.Evaluate(Request{ID: 1, Class: "read"}, nil) {
			t.Error("request accepted without hooks")
		}
		f.hooks.Answered(Answer{})
		f.hooks.ListChanged(9, 9)
		f.hooks.Cancel(1)
	})
	if n > 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
	f.wantNothingLeft()
	f.close()
}

func TestHangingHookDelaysRequestsBoundedTime(t *testing.T) {
	s := &hookstest.Script{Call: func(_ string, c *plugin.Call) hookstest.Act {
		return hookstest.Act{Hang: c.Class == "bad"}
	}}
	f := newVirtualHarness(t, 1, s, config(hookNamed("a")))
	f.advance(20 * sim.Millisecond)
	began := f.world.Now()
	f.evaluate(1, "bad")
	f.evaluate(2, "good") // queued behind request 1 at the same hook
	f.advance(100 * sim.Millisecond)
	for id, maxWait := range map[int64]Time{1: 20 * sim.Millisecond, 2: 50 * sim.Millisecond} { // any order
		if len(f.verdicts[id]) != 1 || f.verdicts[id][0].Decision != plugin.Pass || f.deliveredAt[id]-began > maxWait {
			t.Errorf("request %d: got %+v after %d us, want one pass within %d us", id, f.verdicts[id], f.deliveredAt[id]-began, maxWait)
		}
	}
	f.wantLog(policy.ErrCallTimeout.Error())
	f.close()
}

func TestWorkerThatViolatesProtocolIsReplaced(t *testing.T) {
	for name, act := range map[string]hookstest.Act{ // any order
		"invalid frame": {RawBytes: []byte("HTTP/1.1 200 OK\r\n\r\n")}, "duplicate reply": {DuplicateReply: true}, "exit": {Exit: true},
		"unknown decision": {Verdict: Verdict{Decision: 9}},
	} {
		s := &hookstest.Script{Call: func(string, *plugin.Call) hookstest.Act { return act }}
		f := newVirtualHarness(t, 1, s, config(hookNamed("a")))
		f.advance(20 * sim.Millisecond)
		f.evaluate(1, "read")
		f.advance(100 * sim.Millisecond)
		if len(f.verdicts[1]) != 1 || f.verdicts[1][0].Decision != plugin.Pass {
			t.Errorf("%s: got %+v, want one pass", name, f.verdicts[1])
		}
		if f.hooks.Status()[0].Counts.Restarts == 0 {
			t.Errorf("%s: the worker was not replaced", name)
		}
		f.close()
	}
}

func TestNotificationsReachHooks(t *testing.T) {
	var seen []plugin.Call
	s := &hookstest.Script{
		Load: func(string) (plugin.Points, hookstest.Act) {
			return plugin.Points(0).With(plugin.Answered).With(plugin.ListChanged).With(plugin.Unload), hookstest.Act{}
		},
		Call: func(_ string, c *plugin.Call) hookstest.Act {
			seen = append(seen, *c)
			return hookstest.Act{}
		},
	}
	f := newVirtualHarness(t, 1, s, config(hookNamed("a")))
	f.advance(20 * sim.Millisecond)
	f.hooks.Answered(Answer{Class: "read", Outcome: plugin.OutcomeFailed, Took: 9})
	f.hooks.ListChanged(9, 8)
	f.advance(20 * sim.Millisecond)
	f.close()
	if len(seen) != 3 || seen[0].Outcome != plugin.OutcomeFailed || seen[1].ServingCaches != 8 || seen[2].Point != plugin.Unload {
		t.Errorf("got calls %+v, want Answered, ListChanged and Unload", seen)
	}
}

func TestValueIsSentOnlyToHooksThatWantIt(t *testing.T) {
	var seen [][]byte
	s := &hookstest.Script{Call: func(_ string, c *plugin.Call) hookstest.Act {
		seen = append(seen, append([]byte(nil), c.Value...))
		return hookstest.Act{}
	}}
	a, b := hookNamed("a"), hookNamed("b")
	b.WantsValue = true
	f := newVirtualHarness(t, 1, s, config(a, b))
	f.advance(20 * sim.Millisecond)
	f.hooks.Evaluate(Request{ID: 1, TimeLeft: sim.Second, Value: func() []byte { return []byte("some value") }}, func(Verdict) {})
	f.advance(20 * sim.Millisecond)
	if len(seen) != 2 || len(seen[0]) > 0 || string(seen[1]) != "some value" {
		t.Errorf("got values %q, want one only for the second hook", seen)
	}
	f.close()
}

func TestReloadAndCloseWithAllWorkersStuck(t *testing.T) {
	s := &hookstest.Script{Call: func(string, *plugin.Call) hookstest.Act { return hookstest.Act{Hang: true} }}
	f := newVirtualHarness(t, 1, s, config(hookNamed("a"), hookNamed("b")))
	f.advance(20 * sim.Millisecond)
	for id := range int64(40) {
		f.evaluate(id, "read")
	}
	f.advance(sim.Millisecond)
	if err := f.hooks.Reload(config(hookNamed("c"))); err != nil {
		t.Fatal(err)
	}
	f.advance(6 * sim.Millisecond)
	f.evaluate(99, "read")
	f.close()
	for id := range int64(40) {
		if len(f.verdicts[id]) != 1 {
			t.Errorf("request %d has %d verdicts, want 1", id, len(f.verdicts[id]))
		}
	}
}

func TestSetThatDoesNotLoadIsLogged(t *testing.T) {
	s := &hookstest.Script{Load: func(hook string) (plugin.Points, hookstest.Act) {
		a := hookstest.Act{}
		if hook == "bad" {
			a.Fail = &plugin.Failure{Kind: plugin.VersionMismatch, Text: "it was built for version 2"}
		}
		return plugin.Points(0).With(plugin.OnRequest), a
	}}
	f := newVirtualHarness(t, 1, s, config(hookNamed("a")))
	f.advance(20 * sim.Millisecond)
	f.hooks.Reload(config(hookNamed("b"), hookNamed("bad")))
	f.advance(20 * sim.Millisecond)
	f.wantLog(`msg="hook set not loaded" hook=bad cause="other contract: it was built for version 2"`)
	if status := f.hooks.Status(); len(status) != 1 || status[0].Name != "a" || !f.hooks.Ready() {
		t.Errorf("got %+v, want only the ready hook a", status)
	}
	f.close()
}

func TestOnFailureAppliesWithoutWorkers(t *testing.T) {
	h := hookNamed("a")
	h.OnFailure = policy.RejectOnFailure
	f := newVirtualHarness(t, 1, &hookstest.Script{}, config(h))
	f.host.Worker = nil
	f.advance(20 * sim.Millisecond)
	f.evaluate(1, "read")
	f.advance(100 * sim.Millisecond)
	if len(f.verdicts[1]) != 1 || f.verdicts[1][0].Decision != plugin.Reject {
		t.Errorf("got %+v, want one rejection", f.verdicts[1])
	}
	f.close()
}

func TestInsideHookRunsInProcessWithoutConfigInside(t *testing.T) {
	h := hookNamed("a")
	h.Inside = true
	f := newVirtualHarness(t, 1, &hookstest.Script{}, config(h))
	f.advance(20 * sim.Millisecond)
	f.wantLog(`msg="hook runs in a process, not inside the router" hook=a`)
	if !f.hooks.Ready() {
		t.Error("the hook does not run")
	}
	f.close()
}

// randomlyBrokenHooks returns a script of hooks that fail at random in load and in calls.
func randomlyBrokenHooks(r *rand.Rand) *hookstest.Script {
	return &hookstest.Script{
		Load: func(string) (plugin.Points, hookstest.Act) {
			a := hookstest.Act{After: r.Int64N(3000), Exit: r.IntN(20) == 0, Hang: r.IntN(30) == 0}
			if r.IntN(20) == 0 {
				a.Fail = &plugin.Failure{Kind: plugin.Crashed, Text: "in load"}
			}
			return plugin.Points(0).With(plugin.OnRequest).With(plugin.Answered).With(plugin.Unload), a
		},
		Call: func(string, *plugin.Call) hookstest.Act {
			a := hookstest.Act{After: r.Int64N(200), Verdict: Verdict{Decision: plugin.Decision(r.IntN(3))}}
			switch r.IntN(60) {
			case 0:
				a.Hang = true
			case 1:
				a.Exit = true
			case 2:
				a.RawBytes = []byte{1, 0, 0, 0, 99}
			case 3:
				a.DuplicateReply = true
			case 4:
				a.Fail = &plugin.Failure{Kind: plugin.BudgetExceeded}
			case 5:
				a.After = r.Int64N(30_000)
			}
			return a
		},
	}
}

// TestBrokenHooksOfSeedsHaveOneVerdictInTime checks that requests of randomly failing hooks each have one verdict in time, that
// Close leaves nothing over, and that equal seeds give equal runs.
func TestBrokenHooksOfSeedsHaveOneVerdictInTime(t *testing.T) {
	run := func(seed uint64) uint64 {
		r := rand.New(rand.NewPCG(seed, 2))
		strict := hookNamed("strict")
		strict.OnFailure = policy.RejectOnFailure
		f := newVirtualHarness(t, seed, randomlyBrokenHooks(r), config(hookNamed("a"), strict))
		began, cancelled := map[int64]Time{}, map[int64]bool{}
		for id := range int64(300) {
			if f.evaluate(id, "read") {
				began[id] = f.world.Now()
			}
			f.hooks.Answered(Answer{Class: "read"})
			if r.IntN(20) == 0 {
				request := r.Int64N(id + 1)
				cancelled[request] = cancelled[request] || len(f.verdicts[request]) == 0
				f.hooks.Cancel(request)
			}
			if r.IntN(100) == 0 {
				f.hooks.Reload(config(hookNamed("c"), hookNamed("d")))
			}
			f.advance(r.Int64N(4000))
		}
		f.close()
		for id, at := range began { // any order
			n := len(f.verdicts[id])
			if n > 1 || n == 0 && !cancelled[id] || n == 1 && (cancelled[id] || f.deliveredAt[id]-at > 51*sim.Millisecond) {
				t.Errorf("seed %d: request %d has %d verdicts after %d us, cancelled: %v", seed, id, n, f.deliveredAt[id]-at, cancelled[id])
			}
		}
		return f.world.TraceHash()
	}
	for seed := range uint64(100) {
		if a, b := run(seed), run(seed); a != b {
			t.Errorf("seed %d: two runs have different traces", seed)
		}
		if t.Failed() {
			t.Fatal(fmt.Sprint("seed ", seed))
		}
	}
}
