package router

import (
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestStartAppliesNewerListThanKnown has discovery's list differ from the known one at the same version. A start that
// asked only for later versions would send to a removed cache for as long as it lives.
func TestStartAppliesNewerListThanKnown(t *testing.T) {
	leaving, staying := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, nil, host("c1", leaving.Addr(), "in_service")), nil)
	first := receive(t, calls, "call")
	if first.Query != "/discovery/hosts" {
		t.Errorf("call %s, want the whole list", first.Query)
	}
	c := dial(t, r.addr)
	c.Send("PING\r\n")
	if got := c.Line(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("PING: %q before discovery has answered", got)
	}
	first.Reply <- hosts(1, true, host("c1", leaving.Addr(), "terminating"), host("c2", staying.Addr(), "in_service"))
	receive(t, calls, "watch")
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		c.Send(get(id))
		receive(t, staying.Commands, "command").Reply(t, served)
		c.Want("value")
	}
	if n := len(leaving.Commands); n > 0 {
		t.Errorf("%d commands to the cache that leaves", n)
	}
}

// TestStartUsesKnownListWhenDiscoveryFails starts while discovery rejects the call or does not answer.
func TestStartUsesKnownListWhenDiscoveryFails(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails bool
	}{{"Refused", true}, {"Silent", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cache := newFakeCache(t)
			addr, calls := routertest.Discovery(t)
			r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, nil, host("c1", cache.Addr(), "in_service")), nil)
			call := receive(t, calls, "call")
			if c.fails {
				call.Reply <- ""
			}
			r.Until("a router that serves", func() bool { return r.r.Serving() })
			client := dial(t, r.addr)
			client.Send(get("r1"))
			receive(t, cache.Commands, "command").Reply(t, served)
			client.Want("value")
		})
	}
}

// wantState checks the state of a router. It is called on the loop.
func wantState(t *testing.T, r *Router, want lifecycleState) {
	t.Helper()
	if r.state != want {
		t.Errorf("state %d, want %d", r.state, want)
	}
}

// startAtHeldAddress starts a router whose address another listener has, and returns both.
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

// TestLifecycleFromWaitingToStopped takes a router through all its states.
func TestLifecycleFromWaitingToStopped(t *testing.T) {
	loop, r, holder := startAtHeldAddress(t)
	loop.Do(holder.Close)
	loop.Until("a router that serves", func() bool { return r.state == stateServing })
	stopped := make(chan struct{})
	loop.Do(func() {
		r.Drain(func() { close(stopped) })
		wantState(t, r, stateDraining)
		r.Drain(func() { t.Error("a second drain calls back") })
	})
	receive(t, stopped, "end of the drain")
	loop.Do(func() { wantState(t, r, stateStopped) })
}

// TestLifecycleDrainWhileWaiting drains a router that has no address: it stops in the same turn.
func TestLifecycleDrainWhileWaiting(t *testing.T) {
	loop, r, holder := startAtHeldAddress(t)
	defer loop.Do(holder.Close)
	loop.Do(func() {
		isCalled := false
		r.Drain(func() { isCalled = true })
		wantState(t, r, stateStopped)
		if !isCalled {
			t.Error("the drain has not called back")
		}
	})
}
