package router

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/hooks"
	"starlingwinch/internal/hooks/hookstest"
	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/testbench/load"
	"starlingwinch/internal/testbench/sim"
)

// hookedRouter is a router with hooks on a virtual host, before one cache that serves, with one client.
type hookedRouter struct {
	t     *testing.T
	w     *sim.World
	r     *Router
	cfg   *Config
	host  *sim.Host
	cache *load.Cache
	seen  []plugin.Call
	lines []string
	nc    machine.Conn
	got   string
	over  bool // the client's connection
}

// hook names a hook of the usual budget.
func hook(name string) hooks.Hook {
	b := plugin.DefaultBudget
	return hooks.Hook{Hook: policy.Hook{Name: name, Time: b.Time, LoadTime: b.LoadTime, Queue: 8, CPUFraction: 1}, Engine: "script",
		Budget: b}
}

// startHooked starts a router whose hook answers each call by act; nil stands for a machine that starts no worker.
func startHooked(t *testing.T, act func(c plugin.Call) hookstest.Act, edit func(*hooks.Hook)) *hookedRouter {
	t.Helper()
	h := &hookedRouter{t: t, w: sim.New(1)}
	caches := h.w.Host("cache", "10.0.0.2", sim.HostOptions{}).Machine()
	var err error
	if h.cache, err = load.NewCache(caches, "10.0.0.2:7000", 3); err != nil {
		t.Fatal(err)
	}
	h.host = h.w.Host("router", "10.0.0.1", sim.HostOptions{})
	h.host.Logged = func(line string) { h.lines = append(h.lines, line) }
	m := h.host.Machine()
	s := &hookstest.Script{Load: func(string) (plugin.Points, hookstest.Act) {
		return plugin.Points(0).With(plugin.OnRequest).With(plugin.Answered).With(plugin.ListChanged), hookstest.Act{}
	}, Call: func(_ string, c *plugin.Call) hookstest.Act {
		h.seen = append(h.seen, *c)
		return act(*c)
	}}
	if act != nil { // else its machine starts no programs
		h.host.Worker = s.Worker(h.host.Machine)
	}
	h.cfg = testConfig(t, "10.0.0.3:1", func(in map[string]any) { in["listen"] = "10.0.0.1:6379" },
		host("c1", "10.0.0.2:7000", "in_service"))
	one := hook("h")
	if edit != nil {
		edit(&one)
	}
	h.cfg.Hooks = hooks.Config{Hooks: []hooks.Hook{one}, MaxWaitFraction: .1, MaxWait: 50_000}
	if h.r, err = Start(m, h.cfg); err != nil {
		t.Fatal(err)
	}
	applyKnownList(h.r)
	h.pass(sim.Second)
	caches.Dial("10.0.0.1:6379", sim.Second, func(nc machine.Conn, err error) machine.Handler {
		if err != nil {
			t.Error(err)
			return nil
		}
		h.nc = nc
		return h
	})
	h.pass(sim.Second / 10)
	return h
}

func (h *hookedRouter) Readable() {
	var b [4096]byte
	for {
		n, err := h.nc.Read(b[:])
		h.got += string(b[:n])
		if err != nil {
			h.over = !errors.Is(err, machine.ErrWait)
			return
		}
	}
}
func (h *hookedRouter) Writable() {}

func (h *hookedRouter) pass(d Time) { h.w.Run(h.w.Now() + d) }

// ask sends a read, and returns the answers that have come after a span.
func (h *hookedRouter) ask(id string, span Time) string {
	h.t.Helper()
	h.got = ""
	h.nc.Write([]byte(get(id)))
	h.pass(span)
	return h.got
}

// left checks that no record of a finished request remains.
func (h *hookedRouter) left() {
	h.t.Helper()
	left := h.r.Holdings()
	for _, what := range []string{"requests", "ids", "open", "attempts", "bytes", "verdicts", "breaches"} {
		if left[what] != 0 {
			h.t.Errorf("%d %s are left", left[what], what)
		}
	}
}

func (h *hookedRouter) served() int64 {
	_, served := h.cache.Counts()
	return served
}

func TestHookVerdictsDecideRequests(t *testing.T) {
	say := plugin.Verdict{}
	h := startHooked(t, func(c plugin.Call) hookstest.Act {
		if c.Point == plugin.OnRequest {
			return hookstest.Act{After: 100, Verdict: say}
		}
		return hookstest.Act{}
	}, nil)
	if got := h.ask("a", 100_000); got != "$3\r\n\x00\x00\x00\r\n" || h.served() != 1 {
		t.Errorf("passed: %q, %d went out", got, h.served())
	}
	say = plugin.Verdict{Decision: plugin.Reject, RetryAfter: 250_000}
	if got := h.ask("b", 100_000); got != "-BUSY 250\r\n" {
		t.Errorf("refused: %q", got)
	}
	say = plugin.Verdict{Decision: plugin.Fail, Text: "not a callsign"}
	if got := h.ask("c", 100_000); got != "-ERR not a callsign\r\n" {
		t.Errorf("failed: %q", got)
	}
	if h.served() != 1 {
		t.Errorf("%d commands went out: what a hook does not pass must not", h.served())
	}
	var outcomes []string
	for _, c := range h.seen {
		if c.Point == plugin.Answered {
			outcomes = append(outcomes, c.Outcome.String())
		}
		if c.Point == plugin.OnRequest && (c.Verb != "C.GET" || c.Class != "read" || c.Key != "k1" || c.TimeLeft < 19_000_000) {
			t.Errorf("the hook was handed %+v", c)
		}
	}
	if strings.Join(outcomes, " ") != "served refused failed" {
		t.Errorf("the hook saw the answers %v", outcomes)
	}
	h.left()
}

// TestServesWithoutHooksWhereWorkersCannotStart runs where the platform forbids other programs (ENOSYS): a hook that
// lets requests pass on its failure costs them next to nothing, and the log says so.
func TestServesWithoutHooksWhereWorkersCannotStart(t *testing.T) {
	h := startHooked(t, nil, nil)
	for i := range 20 {
		if got := h.ask(fmt.Sprint("r", i), 50_000); got != "$3\r\n\x00\x00\x00\r\n" {
			t.Fatalf("request %d was answered %q within 50 ms", i, got)
		}
	}
	if !strings.Contains(strings.Join(h.lines, "\n"), machine.ErrNoWorker.Error()) {
		t.Errorf("the log does not say why the hook is not there: %q", h.lines)
	}
	h.left()
}

// TestStuckHookCostsBoundedTime has a hook never answer: each request goes on by on_failure within its part of the
// wait, also once the hook is switched off.
func TestStuckHookCostsBoundedTime(t *testing.T) {
	hang := func(c plugin.Call) hookstest.Act { return hookstest.Act{Hang: c.Point == plugin.OnRequest} }
	h := startHooked(t, hang, nil)
	for i := range 20 {
		if got := h.ask(fmt.Sprint("r", i), 60_000); !strings.HasPrefix(got, "$3") {
			t.Fatalf("request %d has %q after 60 ms", i, got)
		}
	}
	h = startHooked(t, hang, func(h *hooks.Hook) { h.OnFailure, h.RetryAfter = policy.RejectOnFailure, 70_000 })
	for i := range 20 {
		if got := h.ask(fmt.Sprint("r", i), 60_000); got != "-BUSY 70\r\n" {
			t.Fatalf("request %d has %q after 60 ms", i, got)
		}
	}
	if h.served() != 0 {
		t.Errorf("%d commands went out", h.served())
	}
	h.left()
}

func TestClientGoneWhileHookRuns(t *testing.T) {
	h := startHooked(t, func(c plugin.Call) hookstest.Act { return hookstest.Act{After: 3_000} }, nil)
	h.nc.Write([]byte(get("a")))
	h.pass(1_000)
	h.nc.Close()
	h.pass(sim.Second)
	if h.served() != 0 {
		t.Error("a request went out that nobody waited for")
	}
	h.left()
}

func TestHookSetsTenant(t *testing.T) {
	h := startHooked(t, func(c plugin.Call) hookstest.Act {
		if c.Point == plugin.OnRequest {
			return hookstest.Act{Verdict: plugin.Verdict{Tenant: "club"}}
		}
		return hookstest.Act{}
	}, nil)
	h.ask("a", 100_000)
	last := h.seen[len(h.seen)-1]
	if last.Point != plugin.Answered || last.Tenant != "club" {
		t.Errorf("the answer counts as tenant %q", last.Tenant)
	}
}

// TestDrainEndsByDeadlineWithStuckHooks drains, after reloads, while no hook answers.
func TestDrainEndsByDeadlineWithStuckHooks(t *testing.T) {
	h := startHooked(t, func(plugin.Call) hookstest.Act { return hookstest.Act{Hang: true} }, nil)
	h.nc.Write([]byte(get("a")))
	h.pass(1_000)
	h.r.Reload(h.cfg)
	h.pass(1_000)
	ended := Time(0)
	begin := h.w.Now()
	h.r.Drain(func() { ended = h.w.Now() })
	h.pass(30 * sim.Second)
	if !strings.HasPrefix(h.got, "$3") || !h.over || ended == 0 || ended > begin+2*sim.Second {
		t.Errorf("answer %q, closed %v, drained after %d us", h.got, h.over, ended-begin)
	}
	h.left()
}

func TestHooksMustLeaveMemoryAndDescriptors(t *testing.T) {
	c := hooks.Config{Hooks: []hooks.Hook{hook("a")}}
	l, err := Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}.Without(c)
	if err != nil || l.MemoryMB != 192-56 || l.Sockets != 1020 {
		t.Errorf("%+v, %v", l, err)
	}
	for _, small := range []Limits{{MemoryMB: 70, Sockets: 1024}, {MemoryMB: 192, Sockets: 66}} {
		if _, err := small.Without(c); err == nil || !strings.HasPrefix(err.Error(), "hooks: ") {
			t.Errorf("%+v: %v", small, err)
		}
	}
	if l, err := (Limits{MemoryMB: 1, Sockets: 64}).Without(hooks.Config{}); err != nil || l.MemoryMB != 1 {
		t.Errorf("without hooks: %+v, %v", l, err)
	}
}
