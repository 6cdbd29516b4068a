package router

import (
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// askEvery is the pace of the module's own calls, in a configuration.
func askEvery(every decide.Time) func(map[string]any) {
	return func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["askEvery"] = every
	}
}

// TestWatchGoesOn: each answer is followed by a call for what comes after it, and
// what it tells takes effect.
func TestWatchGoesOn(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startUnheard(t, routertest.NewLoop(t, nil), testConfig(t, addr, nil), nil)
	first := receive(t, calls, "call")
	if want := "/discovery/hosts"; first.Query != want {
		t.Errorf("call %s, want %s", first.Query, want)
	}
	first.Reply <- hosts(7, true, host("c1", cache.Addr(), "in_service"))
	second := receive(t, calls, "call")
	if want := "/discovery/hosts?after=7&wait_ms="; !strings.HasPrefix(second.Query, want) {
		t.Errorf("call %s, want %s", second.Query, want)
	}
	c := dial(t, r.addr)
	c.Send(get("r1"))
	receive(t, cache.Commands, "command").Reply(t, served)
	c.Want("value")
	second.Reply <- hosts(9, true) // a whole list without the cache: it is gone
	receive(t, calls, "call")
	receive(t, cache.Ended, "end of the idle connection")
	c.Send(get("r2"))
	if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// TestWatchWithoutAKnownList asks for the whole list first.
func TestWatchWithoutAKnownList(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	startUnheard(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) { delete(in, "known") }), nil)
	if c := receive(t, calls, "call"); c.Query != "/discovery/hosts" {
		t.Errorf("call %s", c.Query)
	}
}

// TestFailedWatchIsAskedForAgain at the module's own pace.
func TestFailedWatchIsAskedForAgain(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	startUnheard(t, routertest.NewLoop(t, nil), testConfig(t, addr, askEvery(1_000_000)), nil)
	receive(t, calls, "call").Reply <- ""
	if c := receive(t, calls, "second call"); c.Query != "/discovery/hosts" {
		t.Errorf("call %s", c.Query)
	}
}

// TestDiscoveryThatStartsAnewIsAskedForTheWholeList. The danger: its versions begin again at a low
// one, and the changes after the old one never come.
func TestDiscoveryThatStartsAnewIsAskedForTheWholeList(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startUnheard(t, routertest.NewLoop(t, nil), testConfig(t, addr, askEvery(1_000_000)), nil)
	receive(t, calls, "call").Reply <- hosts(41, true, host("c1", cache.Addr(), "in_service"))
	receive(t, calls, "watch").Reply <- hosts(3, false)
	again := receive(t, calls, "call after the answer that does not follow")
	if again.Query != "/discovery/hosts" {
		t.Errorf("call %s, want the whole list", again.Query)
	}
	again.Reply <- hosts(3, true, host("c1", cache.Addr(), "terminating"))
	if c := receive(t, calls, "watch"); !strings.Contains(c.Query, "after=3&") {
		t.Errorf("call %s", c.Query)
	}
	r.Until("the drain", func() bool { return !r.r.Serving() })
	c := dial(t, r.addr)
	c.Send(get("r1"))
	if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("after the drain: %q", got)
	}
}

// TestPushedListsAreAskedForToo: the agent that has them says nothing by itself. A mode that nobody knows is no
// reason never to ask.
func TestPushedListsAreAskedForToo(t *testing.T) {
	for _, mode := range []string{"automatic", "subscrbe", ""} {
		addr, calls := routertest.Discovery(t)
		startUnheard(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
			in["settings"].(map[string]any)["discovery"] = mode
		}), nil)
		receive(t, calls, "call in mode "+mode)
	}
}

// TestNothingIsSentByAnOldListWhereListsArePushed: what the agent has counts as told from the first moment of a process on.
func TestNothingIsSentByAnOldListWhereListsArePushed(t *testing.T) {
	drained, fresh := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startUnheard(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
		settings := in["settings"].(map[string]any)
		settings["discovery"] = "automatic"
		settings["rules"].(map[string]any)["drainGrace"] = 60_000_000 // so that the call is not given up
	}, host("c1", drained.Addr(), "in_service")), nil)
	call := receive(t, calls, "call")
	c := dial(t, r.addr)
	c.Send(words("PING"))
	if got := c.Line(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("a router that knows nothing new says %q", got)
	}
	c.Send(get("r1"))
	if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("and %q to a request", got)
	}
	call.Reply <- hosts(7, true, host("c1", drained.Addr(), "terminating"), host("c2", fresh.Addr(), "in_service"))
	receive(t, calls, "watch")
	c.Send(get("r2"))
	receive(t, fresh.Commands, "command").Reply(t, served)
	c.Want("value")
	select {
	case <-drained.Commands:
		t.Error("a command went to a cache that drains")
	default:
	}
}

// moved is the configuration with discovery at another address.
func moved(cfg *Config, addr string) *Config {
	next := *cfg
	next.Discovery = addr
	return &next
}

// TestReloadAsksTheNewDiscoveryForAll, more than once, and lets go of the old one.
func TestReloadAsksTheNewDiscoveryForAll(t *testing.T) {
	first, second := newFakeCache(t), newFakeCache(t)
	oldAddr, oldCalls := routertest.Discovery(t)
	newAddr, newCalls := routertest.Discovery(t)
	cfg := testConfig(t, oldAddr, nil, host("c1", first.Addr(), "in_service"))
	back := *cfg
	r := start(t, cfg, nil, nil)
	receive(t, oldCalls, "call")
	r.Do(func() { r.r.Reload(moved(cfg, newAddr)) })
	c := receive(t, newCalls, "call to the new discovery")
	if c.Query != "/discovery/hosts" {
		t.Errorf("call %s, want the whole list", c.Query)
	}
	c.Reply <- hosts(0, true, host("c2", second.Addr(), "in_service")) // its versions are its own
	if c := receive(t, newCalls, "watch"); !strings.HasPrefix(c.Query, "/discovery/hosts?after=0&wait_ms=") {
		t.Errorf("call %s", c.Query)
	}
	cl := dial(t, r.addr)
	cl.Send(get("r1"))
	receive(t, second.Commands, "command").Reply(t, served)
	cl.Want("value")
	r.Do(func() { r.r.Reload(&back) })
	if c := receive(t, oldCalls, "call after the second SIGHUP"); c.Query != "/discovery/hosts" {
		t.Errorf("call %s, want the whole list", c.Query)
	}
}

// TestLateAnswerOfTheOldDiscovery is not heard: here it is on its way to the loop as discovery moves.
func TestLateAnswerOfTheOldDiscovery(t *testing.T) {
	cache := newFakeCache(t)
	oldAddr, oldCalls := routertest.Discovery(t)
	newAddr, newCalls := routertest.Discovery(t)
	r := newRig(t, cache.Addr(), func(c *Config) { c.Discovery = oldAddr })
	late := receive(t, oldCalls, "call")
	r.Do(func() {
		late.Reply <- hosts(50, true)
		receive(t, late.Written, "end of the answer") // this machine has all of it; the loop has not read it
		r.r.Reload(moved(r.r.cfg, newAddr))
	})
	receive(t, newCalls, "call to the new discovery")
	r.Do(func() {
		if !r.up("c1") {
			t.Error("the old list was taken")
		}
	})
}
