package router

import (
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// withPollInterval returns an edit that sets the poll interval of a configuration.
func withPollInterval(interval decide.Time) func(map[string]any) {
	return func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["askEvery"] = interval
	}
}

// TestWatchContinuesAfterEachAnswer checks that the router applies each answer of discovery and then watches for later
// versions.
func TestWatchContinuesAfterEachAnswer(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, nil), nil)
	first := receive(t, calls, "call")
	if want := "/discovery/hosts"; first.Query != want {
		t.Errorf("got call %s, want %s", first.Query, want)
	}
	first.Reply <- hosts(7, true, host("c1", cache.Addr(), "in_service"))
	second := receive(t, calls, "call")
	if want := "/discovery/hosts?after=7&wait_ms="; !strings.HasPrefix(second.Query, want) {
		t.Errorf("got call %s, want %s", second.Query, want)
	}
	c := dial(t, r.addr)
	c.Send(get("r1"))
	receive(t, cache.Commands, "command").Reply(t, served)
	c.Want("value")
	second.Reply <- hosts(9, true) // a full list that removes the cache
	receive(t, calls, "call")
	receive(t, cache.Ended, "end of the idle connection")
	c.Send(get("r2"))
	if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got answer %q without a cache, want -BUSY", got)
	}
}

// TestWatchWithoutKnownListStartsWithFullList starts a router whose configuration has no list: its first call requests the
// full list.
func TestWatchWithoutKnownListStartsWithFullList(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) { delete(in, "known") }), nil)
	if c := receive(t, calls, "call"); c.Query != "/discovery/hosts" {
		t.Errorf("got call %s, want the full list", c.Query)
	}
}

// TestFailedWatchRetried fails the first call: the router must call again when the module requests another watch.
func TestFailedWatchRetried(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, withPollInterval(1_000_000)), nil)
	receive(t, calls, "call").Reply <- ""
	if c := receive(t, calls, "second call"); c.Query != "/discovery/hosts" {
		t.Errorf("got call %s, want the full list", c.Query)
	}
}

// TestRestartedDiscoveryAskedForFullList restarts discovery with versions that begin again at a low number. The router must
// request the full list; otherwise it would wait until discovery reaches the old version, and miss all changes before.
func TestRestartedDiscoveryAskedForFullList(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, withPollInterval(1_000_000)), nil)
	receive(t, calls, "call").Reply <- hosts(41, true, host("c1", cache.Addr(), "in_service"))
	receive(t, calls, "watch").Reply <- hosts(3, false)
	again := receive(t, calls, "call after the version went back")
	if again.Query != "/discovery/hosts" {
		t.Errorf("got call %s, want the full list", again.Query)
	}
	again.Reply <- hosts(3, true, host("c1", cache.Addr(), "terminating"))
	if c := receive(t, calls, "watch"); !strings.Contains(c.Query, "after=3&") {
		t.Errorf("got call %s, want a watch after version 3", c.Query)
	}
	r.Until("drain of the only cache", func() bool { return !r.r.Serving() })
	c := dial(t, r.addr)
	c.Send(get("r1"))
	if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got answer %q after the drain, want -BUSY", got)
	}
}

// TestPushedListsPolledToo checks that the router polls where lists are pushed, because the agent that receives them sends
// nothing by itself. An unknown discovery mode counts as push.
func TestPushedListsPolledToo(t *testing.T) {
	for _, mode := range []string{"automatic", "subscrbe", ""} {
		addr, calls := routertest.Discovery(t)
		startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
			in["settings"].(map[string]any)["discovery"] = mode
		}), nil)
		receive(t, calls, "call in mode "+mode)
	}
}

// TestOldListNotUsedWhereListsArePushed checks that the router sends no request by the last known list. Where lists are
// pushed, a router counts as notified of the agent's list from the start of its process.
func TestOldListNotUsedWhereListsArePushed(t *testing.T) {
	drained, fresh := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
		settings := in["settings"].(map[string]any)
		settings["discovery"] = "automatic"
		settings["rules"].(map[string]any)["drainGrace"] = 60_000_000 // so that the call does not time out
	}, host("c1", drained.Addr(), "in_service")), nil)
	call := receive(t, calls, "call")
	c := dial(t, r.addr)
	c.Send(words("PING"))
	if got := c.Line(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("got answer %q to PING before the first list, want -LOADING", got)
	}
	c.Send(get("r1"))
	if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got answer %q to a request before the first list, want -BUSY", got)
	}
	call.Reply <- hosts(7, true, host("c1", drained.Addr(), "terminating"), host("c2", fresh.Addr(), "in_service"))
	receive(t, calls, "watch")
	c.Send(get("r2"))
	receive(t, fresh.Commands, "command").Reply(t, served)
	c.Want("value")
	select {
	case <-drained.Commands:
		t.Error("the draining cache received a command")
	default:
	}
}

// withDiscovery returns the configuration with another address of discovery.
func withDiscovery(cfg *Config, addr string) *Config {
	next := *cfg
	next.Discovery = addr
	return &next
}

// TestReloadAsksNewDiscoveryForFullList changes the address of discovery twice. Each time, the router requests the full list
// at the new address and closes its connection to the old one.
func TestReloadAsksNewDiscoveryForFullList(t *testing.T) {
	first, second := newFakeCache(t), newFakeCache(t)
	oldAddr, oldCalls := routertest.Discovery(t)
	newAddr, newCalls := routertest.Discovery(t)
	cfg := testConfig(t, oldAddr, nil, host("c1", first.Addr(), "in_service"))
	original := *cfg
	r := start(t, cfg, nil, nil)
	receive(t, oldCalls, "call")
	r.Do(func() { r.r.Reload(withDiscovery(cfg, newAddr)) })
	c := receive(t, newCalls, "call to the new discovery")
	if c.Query != "/discovery/hosts" {
		t.Errorf("got call %s, want the full list", c.Query)
	}
	c.Reply <- hosts(0, true, host("c2", second.Addr(), "in_service")) // versions of the two instances are unrelated
	if c := receive(t, newCalls, "watch"); !strings.HasPrefix(c.Query, "/discovery/hosts?after=0&wait_ms=") {
		t.Errorf("got call %s, want a watch after version 0", c.Query)
	}
	client := dial(t, r.addr)
	client.Send(get("r1"))
	receive(t, second.Commands, "command").Reply(t, served)
	client.Want("value")
	r.Do(func() { r.r.Reload(&original) })
	if c := receive(t, oldCalls, "call after the second reload"); c.Query != "/discovery/hosts" {
		t.Errorf("got call %s, want the full list", c.Query)
	}
}

// TestLateAnswerOfOldDiscoveryIgnored changes the address of discovery while an answer from the old address waits to be read.
// The router must not apply that answer.
func TestLateAnswerOfOldDiscoveryIgnored(t *testing.T) {
	cache := newFakeCache(t)
	oldAddr, oldCalls := routertest.Discovery(t)
	newAddr, newCalls := routertest.Discovery(t)
	r := newScriptedRouter(t, cache.Addr(), func(c *Config) { c.Discovery = oldAddr })
	late := receive(t, oldCalls, "call")
	r.Do(func() {
		late.Reply <- hosts(50, true)
		receive(t, late.Written, "end of the answer") // the kernel has all of it, and the loop has not read it
		r.r.Reload(withDiscovery(r.r.cfg, newAddr))
	})
	receive(t, newCalls, "call to the new discovery")
	r.Do(func() {
		if !r.isServing("c1") {
			t.Error("c1 is not serving: the answer of the old discovery was applied")
		}
	})
}
