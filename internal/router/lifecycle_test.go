package router

import (
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestStartAppliesNewerListThanKnown starts a router whose known list differs from discovery's list at the same version. If
// the router requested only later versions, it would send requests to a removed cache for the rest of its life.
func TestStartAppliesNewerListThanKnown(t *testing.T) {
	leaving, staying := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, nil, host("c1", leaving.Addr(), "in_service")), nil)
	first := receive(t, calls, "call")
	if first.Query != "/discovery/hosts" {
		t.Errorf("got call %s, want the full list", first.Query)
	}
	c := dial(t, r.addr)
	c.Send("PING\r\n")
	if got := c.Line(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("got answer %q to PING before discovery has answered, want -LOADING", got)
	}
	first.Reply <- hosts(1, true, host("c1", leaving.Addr(), "terminating"), host("c2", staying.Addr(), "in_service"))
	receive(t, calls, "watch")
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		c.Send(get(id))
		receive(t, staying.Commands, "command").Reply(t, served)
		c.Want("value")
	}
	if n := len(leaving.Commands); n > 0 {
		t.Errorf("draining cache received %d commands, want 0", n)
	}
}

// TestStartUsesKnownListWhenDiscoveryFails starts a router while discovery rejects the call or does not answer. The router must
// serve by its known list.
func TestStartUsesKnownListWhenDiscoveryFails(t *testing.T) {
	for _, c := range []struct {
		name       string
		isRejected bool
	}{{"rejected call", true}, {"no answer", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cache := newFakeCache(t)
			addr, calls := routertest.Discovery(t)
			r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, nil, host("c1", cache.Addr(), "in_service")), nil)
			call := receive(t, calls, "call")
			if c.isRejected {
				call.Reply <- ""
			}
			r.Until("serving router", func() bool { return r.r.Serving() })
			client := dial(t, r.addr)
			client.Send(get("r1"))
			receive(t, cache.Commands, "command").Reply(t, served)
			client.Want("value")
		})
	}
}

// wantState checks the lifecycle state of a router. Tests call it on the loop.
func wantState(t *testing.T, r *Router, want lifecycleState) {
	t.Helper()
	if r.state != want {
		t.Errorf("got lifecycle state %d, want %d", r.state, want)
	}
}

// startAtHeldAddress starts a router whose address another listener holds, and returns both.
func startAtHeldAddress(t *testing.T) (loop *routertest.Loop, r *Router, holder machine.Listener) {
	t.Helper()
	loop = routertest.NewLoop(t, nil)
	loop.Do(func() {
		var err error
		if holder, err = loop.Listen("127.0.0.1:0", func(machine.Conn) machine.Handler { return nil }); err != nil {
			t.Error(err)
			return
		}
		cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) { in["listen"] = holder.Addr() })
		if r, err = Start(loop, cfg); err != nil {
			t.Error(err)
			return
		}
		wantState(t, r, stateWaitingForAddress)
	})
	if t.Failed() {
		t.FailNow()
	}
	t.Cleanup(func() { loop.Do(r.Close) })
	return loop, r, holder
}

// TestLifecycleFromWaitingToStopped leads a router from waiting for its address through all later states.
func TestLifecycleFromWaitingToStopped(t *testing.T) {
	loop, r, holder := startAtHeldAddress(t)
	loop.Do(holder.Close)
	loop.Until("serving router", func() bool { return r.state == stateServing })
	stopped := make(chan struct{})
	loop.Do(func() {
		r.Drain(func() { close(stopped) })
		wantState(t, r, stateDraining)
		r.Drain(func() { t.Error("a second Drain called its callback") })
	})
	receive(t, stopped, "end of the drain")
	loop.Do(func() { wantState(t, r, stateStopped) })
}

// TestLifecycleDrainWhileWaiting drains a router that waits for its address: the router must stop in the same turn.
func TestLifecycleDrainWhileWaiting(t *testing.T) {
	loop, r, holder := startAtHeldAddress(t)
	defer loop.Do(holder.Close)
	loop.Do(func() {
		isCalled := false
		r.Drain(func() { isCalled = true })
		wantState(t, r, stateStopped)
		if !isCalled {
			t.Error("Drain has not called its callback")
		}
	})
}
