package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// TestNothingSentForGoneClient has the client leave while its request waits: for a connection, for a cache to be
// reconnected, behind QUIT, or behind as many answers as a connection may be owed. Nothing of the request remains
// either.
func TestNothingSentForGoneClient(t *testing.T) {
	for name, c := range map[string]struct {
		pipelined int
		wire      string
	}{
		"read on":              {64, get("r1")},
		"behind QUIT":          {64, get("r1") + words("QUIT")},
		"behind a bad command": {64, get("r1") + "*x\r\n"},
		"too many are due":     {2, get("r1") + get("r2") + get("r3")},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
			cfg.OperatorLimits.Clients.MaxPipelined = c.pipelined
			cfg.OperatorLimits.Caches.MinConnections, cfg.OperatorLimits.Caches.FleetConnections = 1, 1
			r := start(t, cfg, nil, nil)
			busy := dial(t, r.addr)
			busy.Send(get("first"))
			first := receive(t, cache.Commands, "command")
			leaves := dial(t, r.addr)
			leaves.Send(c.wire) // it waits for the one connection
			r.Until("a request that waits", func() bool { return r.r.openRequests >= 2 })
			leaves.Close()
			r.Until("that nobody waits for", func() bool { return r.r.openRequests == 1 })
			first.Reply(t, served)
			busy.Want("value")
			busy.Send(get("last"))
			if cmd := receive(t, cache.Commands, "command"); cmd.Args[2] != "last" {
				t.Errorf("%s was sent on though its client had left", cmd.Args[2])
			} else {
				cmd.Reply(t, served)
			}
			busy.Want("value")
			r.idle()
		})
	}
}

// TestNothingSentForClientGoneInSameTurn has one turn bring the answer that frees a connection and, behind it, the
// client's end.
func TestNothingSentForClientGoneInSameTurn(t *testing.T) {
	for name, leave := range map[string]func(c *routertest.Client){
		"by its end":      func(c *routertest.Client) { c.Close() },
		"by a reset":      func(c *routertest.Client) { c.SetLinger(0); c.Close() },
		"by a half close": func(c *routertest.Client) { c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
			cfg.OperatorLimits.Caches.MinConnections, cfg.OperatorLimits.Caches.FleetConnections, cfg.OperatorLimits.Caches.MinRestTime = 1, 1, 0
			r := start(t, cfg, nil, nil)
			busy, leaves := dial(t, r.addr), dial(t, r.addr)
			busy.Send(get("first"))
			first := receive(t, cache.Commands, "command")
			leaves.Send(get("leaves"))
			r.Until("a request that waits", func() bool { return r.r.openRequests == 2 })
			r.Do(func() {
				first.Reply(t, served)
				leave(leaves)
			})
			busy.Want("value")
			busy.Send(get("last"))
			cmd := receive(t, cache.Commands, "command")
			if cmd.Args[2] != "last" {
				t.Errorf("%s was sent on", cmd.Args[2])
			}
			cmd.Reply(t, served)
			if cmd.Args[2] == "last" {
				busy.Want("value")
				r.idle()
			}
		})
	}
}

// TestDuplicateIDRefusedWhileAttemptOut refuses the name of a finished request while its attempt is out: the request
// might run twice.
func TestDuplicateIDRefusedWhileAttemptOut(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["settings"].(map[string]any)["limits"].(map[string]any)["cancel"] = false
	}, host("c1", cache.Addr(), "in_service")), nil, nil)
	first, second := dial(t, r.addr), dial(t, r.addr)
	first.Send(get("r1"))
	cmd := receive(t, cache.Commands, "command")
	first.Close()
	r.Until("that nobody waits for it", func() bool { return r.r.openRequests == 0 })
	second.Send(get("r1"))
	if got := second.Line(); !strings.HasPrefix(got, "-ERR the id") {
		t.Errorf("answer %q", got)
	}
	cmd.Reply(t, served)
	r.idle()
	second.Send(get("r1"))
	receive(t, cache.Commands, "command").Reply(t, served)
	second.Want("value")
	r.idle()
}

// TestDrainAnswersRequestsThatOutliveIt has a class allow more time than a drain takes. Requests that were sent fail,
// others are rejected, and the process ends at the deadline.
func TestDrainAnswersRequestsThatOutliveIt(t *testing.T) {
	hangs, silent := newFakeCache(t), routertest.Unreachable(t)
	for name, addr := range map[string]string{"at a cache that hangs": hangs.Addr(), "for a connection": silent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var endsIn Time
			r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", addr, "in_service")), nil, nil)
			c := dial(t, r.addr)
			c.Send(get("r1") + words("C.SET", "k", "w1", "c=put,d=20000,k=1", "v"))
			r.Until("requests in hand", func() bool { return r.r.openRequests == 2 && r.r.pool.Attempts() == 2 })
			r.drain()
			r.Do(func() { endsIn = r.r.drainDeadline - r.Now() })
			if endsIn > maxDrainTimeout+drainSlack {
				t.Errorf("the drain ends in %d µs, SIGKILL comes %d µs after SIGTERM", endsIn, maxDrainTimeout+700_000)
			}
			c.Want("-ERR failed")
			c.Want("-ERR failed")
			c.WantClosed()
			receive(t, r.ended, "end of the router")
			r.Do(func() {
				for what, n := range r.r.Holdings() {
					if n > 0 && what != "timers" && what != "attempts" {
						t.Errorf("%d %s are left", n, what)
					}
				}
			})
		})
	}
}

// TestDrainAnswersLateRequests takes requests up to the end of a drain, on a connection that never pauses, also for a
// cache that hangs: each is answered.
func TestDrainAnswersLateRequests(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil,
		func(r *Router) { r.maxClientTimeout = 300_000 })
	c := dial(t, r.addr)
	c.Send(get("r0"))
	receive(t, cache.Commands, "command")
	r.drain()
	asked := make(chan int)
	stop := make(chan struct{})
	go func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				asked <- n
				return
			case <-time.After(5 * time.Millisecond): // the pace of a client, not a wait for something
			}
			if _, err := fmt.Fprint(c.TCPConn, get(fmt.Sprint("r", n))); err != nil {
				<-stop
				asked <- n
				return
			}
		}
	}()
	receive(t, r.ended, "end of the router")
	close(stop)
	receive(t, asked, "end of the client")
	answers := 0
	r.Do(func() {
		if n := len(r.r.requests) - r.r.pool.Attempts(); r.r.openRequests != 0 || n > 0 {
			t.Errorf("%d requests are open", r.r.openRequests)
		}
	})
	for {
		var line [1]byte
		if _, err := c.Read(line[:]); err != nil {
			break
		}
		if line[0] == '\n' {
			answers++
		}
	}
	if answers == 0 {
		t.Error("no answer came before the end")
	}
}

// TestReloadDuringDrainIgnored reloads during a drain: no watch and no folder that was closed is opened again.
func TestReloadDuringDrainIgnored(t *testing.T) {
	moved, calls := routertest.Discovery(t)
	lines := make(routertest.Lines, 1000)
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil)
	next := *cfg
	next.Discovery = moved
	r := start(t, cfg, lines, nil)
	c := dial(t, r.addr)
	c.Send(words("PING"))
	c.Line()
	r.drain()
	r.Do(func() { r.r.Reload(&next) })
	lines.Want(t, "reload ignored: the router is ending")
	c.WantClosed()
	receive(t, r.ended, "end of the router")
	r.Do(func() {
		r.r.Reload(&next)
		if n := r.r.Holdings()["connections"]; n != 0 {
			t.Errorf("%d connections", n)
		}
	})
	select {
	case c := <-calls:
		t.Errorf("the new discovery was asked %s", c.Query)
	default:
	}
}

// TestNothingSentToCacheDrainedInSameTurn has requests wait for a connection, for capacity or for a retry: none is
// sent to a cache once the router knows that it drains, whatever else the same turn brings.
func TestNothingSentToCacheDrainedInSameTurn(t *testing.T) {
	cache := newFakeCache(t)
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
	cfg.OperatorLimits.Caches.MinConnections, cfg.OperatorLimits.Caches.FleetConnections = 1, 1
	r := start(t, cfg, nil, nil)
	busy, waits, late := dial(t, r.addr), dial(t, r.addr), dial(t, r.addr)
	busy.Send(get("first"))
	first := receive(t, cache.Commands, "command")
	waits.Send(get("waits"))
	r.Until("a request that waits", func() bool { return r.r.openRequests == 2 })
	drains := parse(t, hosts(2, false, host("c1", cache.Addr(), "terminating")))
	r.Do(func() { // the list, the answer that frees the connection, and a new request come in one turn
		late.Send(get("late"))
		first.Reply(t, served)
		r.r.sources.ApplyDiscovery(drains)
	})
	busy.Want("value")
	for _, c := range []*routertest.Client{waits, late} {
		if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("answer %q", got)
		}
	}
	r.idle()
	if n := len(cache.Commands); n > 0 {
		t.Errorf("%d commands were sent to a cache that drains", n)
	}
	r.Do(func() {
		if h := r.r.endpoints["c1"]; h.entry.Status != decide.Draining {
			t.Error("the drain was not taken over")
		}
	})
}
