package router

import (
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// askEvery edits the poll interval of a configuration.
func askEvery(every decide.Time) func(map[string]any) {
	return func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["askEvery"] = every
	}
}

// TestWatchContinuesAfterEachAnswer follows each answer with a call for the versions after it, and applies the answer.
func TestWatchContinuesAfterEachAnswer(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, nil), nil)
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

// TestWatchWithoutKnownListStartsWithFullList asks for the full list first.
func TestWatchWithoutKnownListStartsWithFullList(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) { delete(in, "known") }), nil)
	if c := receive(t, calls, "call"); c.Query != "/discovery/hosts" {
		t.Errorf("call %s", c.Query)
	}
}

// TestFailedWatchRetried retries when the module asks for a watch again.
func TestFailedWatchRetried(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, askEvery(1_000_000)), nil)
	receive(t, calls, "call").Reply <- ""
	if c := receive(t, calls, "second call"); c.Query != "/discovery/hosts" {
		t.Errorf("call %s", c.Query)
	}
}

// TestRestartedDiscoveryAskedForFullList restarts discovery with versions that begin again at a low number: the router
// would otherwise wait for changes after a version that never comes.
func TestRestartedDiscoveryAskedForFullList(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, askEvery(1_000_000)), nil)
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

// TestPushedListsPolledToo polls the agent that has the pushed lists, as it sends nothing by itself; also in a
// discovery mode that is not known.
func TestPushedListsPolledToo(t *testing.T) {
	for _, mode := range []string{"automatic", "subscrbe", ""} {
		addr, calls := routertest.Discovery(t)
		startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
			in["settings"].(map[string]any)["discovery"] = mode
		}), nil)
		receive(t, calls, "call in mode "+mode)
	}
}

// TestOldListNotUsedWhereListsArePushed sends nothing by the list as last known: a router counts as notified of the
// list that the agent has from the start of its process on.
func TestOldListNotUsedWhereListsArePushed(t *testing.T) {
	drained, fresh := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
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

// TestReloadAsksNewDiscoveryForFullList changes the address of discovery twice: the router asks the new one for the
// full list and closes its connection to the old one.
func TestReloadAsksNewDiscoveryForFullList(t *testing.T) {
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

// TestLateAnswerOfOldDiscoveryIgnored changes the address of discovery while an answer of the old one is on its way to
// the loop.
func TestLateAnswerOfOldDiscoveryIgnored(t *testing.T) {
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
