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

// hookedRouter is a router with one hook on a virtual host, with one serving cache and one client.
type hookedRouter struct {
	t        *testing.T
	w        *sim.World
	r        *Router
	cfg      *Config
	host     *sim.Host
	cache    *load.Cache
	calls    []plugin.Call
	lines    []string
	client   machine.Conn
	received string
	closed   bool // whether the client connection is closed
}

// hook returns the configuration of a hook with the default budget.
func hook(name string) hooks.Hook {
	b := plugin.DefaultBudget
	return hooks.Hook{Hook: policy.Hook{Name: name, Time: b.Time, LoadTime: b.LoadTime, Queue: 8, CPUFraction: 1}, Engine: "script",
		Budget: b}
}

// startHooked starts a router whose hook answers each call with act. If act is nil, the machine cannot start workers. edit may
// be nil.
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
		h.calls = append(h.calls, *c)
		return act(*c)
	}}
	if act != nil { // otherwise the machine cannot start workers
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
	h.run(sim.Second)
	caches.Dial("10.0.0.1:6379", sim.Second, func(nc machine.Conn, err error) machine.Handler {
		if err != nil {
			t.Error(err)
			return nil
		}
		h.client = nc
		return h
	})
	h.run(sim.Second / 10)
	return h
}

func (h *hookedRouter) Readable() {
	var b [4096]byte
	for {
		n, err := h.client.Read(b[:])
		h.received += string(b[:n])
		if err != nil {
			h.closed = !errors.Is(err, machine.ErrWait)
			return
		}
	}
}
func (h *hookedRouter) Writable() {}

func (h *hookedRouter) run(d Time) { h.w.Run(h.w.Now() + d) }

// sendRead sends a read and returns the answers that arrive within span.
func (h *hookedRouter) sendRead(id string, span Time) string {
	h.t.Helper()
	h.received = ""
	h.client.Write([]byte(get(id)))
	h.run(span)
	return h.received
}

// wantNothingLeft checks that the router holds no record of a finished request.
func (h *hookedRouter) wantNothingLeft() {
	h.t.Helper()
	holdings := h.r.RecordCounts()
	for _, kind := range []string{"requests", "ids", "open", "attempts", "bytes", "verdicts", "breaches"} {
		if holdings[kind] != 0 {
			h.t.Errorf("%d %s remain, want 0", holdings[kind], kind)
		}
	}
}

// served returns how many commands the cache has served.
func (h *hookedRouter) served() int64 {
	_, served := h.cache.Counts()
	return served
}

func TestHookVerdictsDecideRequests(t *testing.T) {
	verdict := plugin.Verdict{}
	h := startHooked(t, func(c plugin.Call) hookstest.Act {
		if c.Point == plugin.OnRequest {
			return hookstest.Act{After: 100, Verdict: verdict}
		}
		return hookstest.Act{}
	}, nil)
	if got := h.sendRead("a", 100_000); got != "$3\r\n\x00\x00\x00\r\n" || h.served() != 1 {
		t.Errorf("passed request: got answer %q and %d commands at the cache, want a value and 1", got, h.served())
	}
	verdict = plugin.Verdict{Decision: plugin.Reject, RetryAfter: 250_000}
	if got := h.sendRead("b", 100_000); got != "-BUSY 250\r\n" {
		t.Errorf("rejected request: got answer %q, want -BUSY 250", got)
	}
	verdict = plugin.Verdict{Decision: plugin.Fail, Text: "not a callsign"}
	if got := h.sendRead("c", 100_000); got != "-ERR not a callsign\r\n" {
		t.Errorf("failed request: got answer %q, want the text of the verdict", got)
	}
	if h.served() != 1 {
		t.Errorf("cache received %d commands, want 1: only the passed request may be sent", h.served())
	}
	var outcomes []string
	for _, c := range h.calls {
		if c.Point == plugin.Answered {
			outcomes = append(outcomes, c.Outcome.String())
		}
		if c.Point == plugin.OnRequest && (c.Verb != "C.GET" || c.Class != "read" || c.Key != "k1" || c.TimeLeft < 19_000_000) {
			t.Errorf("hook received unexpected call %+v", c)
		}
	}
	if strings.Join(outcomes, " ") != "served refused failed" {
		t.Errorf("hook received outcomes %v, want served, refused, failed", outcomes)
	}
	h.wantNothingLeft()
}

// TestServesWithoutHooksWhereWorkersCannotStart runs a router where the platform forbids other programs (ENOSYS). A hook that
// passes requests on failure delays them by almost nothing, and the log names the cause.
func TestServesWithoutHooksWhereWorkersCannotStart(t *testing.T) {
	h := startHooked(t, nil, nil)
	for i := range 20 {
		if got := h.sendRead(fmt.Sprint("r", i), 50_000); got != "$3\r\n\x00\x00\x00\r\n" {
			t.Fatalf("request %d: got answer %q within 50 ms, want a value", i, got)
		}
	}
	if !strings.Contains(strings.Join(h.lines, "\n"), machine.ErrNoWorker.Error()) {
		t.Errorf("log does not contain %q: %q", machine.ErrNoWorker, h.lines)
	}
	h.wantNothingLeft()
}

// TestStuckHookCostsBoundedTime runs a hook that never answers. The router applies on_failure to each request within the
// request's share of the wait, also once the router has switched off the hook.
func TestStuckHookCostsBoundedTime(t *testing.T) {
	hang := func(c plugin.Call) hookstest.Act { return hookstest.Act{Hang: c.Point == plugin.OnRequest} }
	h := startHooked(t, hang, nil)
	for i := range 20 {
		if got := h.sendRead(fmt.Sprint("r", i), 60_000); !strings.HasPrefix(got, "$3") {
			t.Fatalf("request %d: got answer %q within 60 ms, want a value", i, got)
		}
	}
	h = startHooked(t, hang, func(h *hooks.Hook) { h.OnFailure, h.RetryAfter = policy.RejectOnFailure, 70_000 })
	for i := range 20 {
		if got := h.sendRead(fmt.Sprint("r", i), 60_000); got != "-BUSY 70\r\n" {
			t.Fatalf("request %d: got answer %q within 60 ms, want -BUSY 70", i, got)
		}
	}
	if h.served() != 0 {
		t.Errorf("cache received %d commands, want 0", h.served())
	}
	h.wantNothingLeft()
}

func TestClientGoneWhileHookRuns(t *testing.T) {
	h := startHooked(t, func(c plugin.Call) hookstest.Act { return hookstest.Act{After: 3_000} }, nil)
	h.client.Write([]byte(get("a")))
	h.run(1_000)
	h.client.Close()
	h.run(sim.Second)
	if h.served() != 0 {
		t.Error("cache received the request of a disconnected client")
	}
	h.wantNothingLeft()
}

func TestHookSetsTenant(t *testing.T) {
	h := startHooked(t, func(c plugin.Call) hookstest.Act {
		if c.Point == plugin.OnRequest {
			return hookstest.Act{Verdict: plugin.Verdict{Tenant: "club"}}
		}
		return hookstest.Act{}
	}, nil)
	h.sendRead("a", 100_000)
	lastCall := h.calls[len(h.calls)-1]
	if lastCall.Point != plugin.Answered || lastCall.Tenant != "club" {
		t.Errorf("last call has point %v and tenant %q, want the answer to tenant %q", lastCall.Point, lastCall.Tenant, "club")
	}
}

// TestDrainEndsByDeadlineWithStuckHooks reloads and then drains a router whose hooks never answer.
func TestDrainEndsByDeadlineWithStuckHooks(t *testing.T) {
	h := startHooked(t, func(plugin.Call) hookstest.Act { return hookstest.Act{Hang: true} }, nil)
	h.client.Write([]byte(get("a")))
	h.run(1_000)
	h.r.Reload(h.cfg)
	h.run(1_000)
	ended := Time(0)
	begin := h.w.Now()
	h.r.Drain(func() { ended = h.w.Now() })
	h.run(30 * sim.Second)
	if !strings.HasPrefix(h.received, "$3") || !h.closed || ended == 0 || ended > begin+2*sim.Second {
		t.Errorf("got answer %q, connection closed %v, drain ended after %d us; want a value, true, at most 2 s", h.received, h.closed, ended-begin)
	}
	h.wantNothingLeft()
}

func TestHooksMustLeaveMemoryAndDescriptors(t *testing.T) {
	c := hooks.Config{Hooks: []hooks.Hook{hook("a")}}
	l, err := Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}.Without(c)
	if err != nil || l.MemoryMB != 192-56 || l.Sockets != 1020 {
		t.Errorf("got limits %+v and error %v, want 136 MB and 1020 sockets", l, err)
	}
	for _, small := range []Limits{{MemoryMB: 70, Sockets: 1024}, {MemoryMB: 192, Sockets: 66}} {
		if _, err := small.Without(c); err == nil || !strings.HasPrefix(err.Error(), "hooks: ") {
			t.Errorf("limits %+v: got error %v, want one about hooks", small, err)
		}
	}
	if l, err := (Limits{MemoryMB: 1, Sockets: 64}).Without(hooks.Config{}); err != nil || l.MemoryMB != 1 {
		t.Errorf("without hooks: got limits %+v and error %v, want the limits unchanged", l, err)
	}
}
