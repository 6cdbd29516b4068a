package router

import (
	"strings"
	"testing"

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
