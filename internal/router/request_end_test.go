package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// TestNothingSentForGoneClient disconnects a client while its request waits for the only connection to the cache: alone, followed
// by a QUIT or an invalid command, or as the first of more requests than a connection may have unanswered. The router must not
// send the request and must release its record.
func TestNothingSentForGoneClient(t *testing.T) {
	for name, c := range map[string]struct {
		pipelined int
		wire      string
	}{
		"one request":                    {64, get("r1")},
		"followed by QUIT":               {64, get("r1") + words("QUIT")},
		"followed by an invalid command": {64, get("r1") + "*x\r\n"},
		"more than MaxPipelined":         {2, get("r1") + get("r2") + get("r3")},
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
			leaving := dial(t, r.addr)
			leaving.Send(c.wire) // the request waits for the only connection
			r.Until("waiting request", func() bool { return r.r.openRequests >= 2 })
			leaving.Close()
			r.Until("end of the disconnected client's requests", func() bool { return r.r.openRequests == 1 })
			first.Reply(t, served)
			busy.Want("value")
			busy.Send(get("last"))
			if cmd := receive(t, cache.Commands, "command"); cmd.Args[2] != "last" {
				t.Errorf("cache received request %s of a disconnected client", cmd.Args[2])
			} else {
				cmd.Reply(t, served)
			}
			busy.Want("value")
			r.waitIdle()
		})
	}
}

// TestNothingSentForClientGoneInSameTurn delivers, in one turn, the answer that frees a connection and then the disconnect of
// the client whose request waits for that connection. The router must not send the request.
func TestNothingSentForClientGoneInSameTurn(t *testing.T) {
	for name, leave := range map[string]func(c *routertest.Client){
		"close":      func(c *routertest.Client) { c.Close() },
		"reset":      func(c *routertest.Client) { c.SetLinger(0); c.Close() },
		"half close": func(c *routertest.Client) { c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
			cfg.OperatorLimits.Caches.MinConnections, cfg.OperatorLimits.Caches.FleetConnections, cfg.OperatorLimits.Caches.MinRestTime = 1, 1, 0
			r := start(t, cfg, nil, nil)
			busy, leaving := dial(t, r.addr), dial(t, r.addr)
			busy.Send(get("first"))
			first := receive(t, cache.Commands, "command")
			leaving.Send(get("leaving"))
			r.Until("waiting request", func() bool { return r.r.openRequests == 2 })
			r.Do(func() {
				first.Reply(t, served)
				leave(leaving)
			})
			busy.Want("value")
			busy.Send(get("last"))
			cmd := receive(t, cache.Commands, "command")
			if cmd.Args[2] != "last" {
				t.Errorf("cache received request %s, want last", cmd.Args[2])
			}
			cmd.Reply(t, served)
			if cmd.Args[2] == "last" {
				busy.Want("value")
				r.waitIdle()
			}
		})
	}
}

// TestDuplicateIDRejectedWhileAttemptInFlight checks that the router rejects the id of a finished request while an attempt of
// that request is in flight. Otherwise the request might run twice.
func TestDuplicateIDRejectedWhileAttemptInFlight(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["settings"].(map[string]any)["limits"].(map[string]any)["cancel"] = false
	}, host("c1", cache.Addr(), "in_service")), nil, nil)
	first, second := dial(t, r.addr), dial(t, r.addr)
	first.Send(get("r1"))
	cmd := receive(t, cache.Commands, "command")
	first.Close()
	r.Until("end of the disconnected client's request", func() bool { return r.r.openRequests == 0 })
	second.Send(get("r1"))
	if got := second.Line(); !strings.HasPrefix(got, "-ERR the id") {
		t.Errorf("got answer %q, want an error about the id", got)
	}
	cmd.Reply(t, served)
	r.waitIdle()
	second.Send(get("r1"))
	receive(t, cache.Commands, "command").Reply(t, served)
	second.Want("value")
	r.waitIdle()
}

// TestDrainAnswersRequestsWithLaterDeadlines drains a router whose requests have deadlines after the end of the drain. The
// router must answer them and stop by the drain's deadline: requests that were sent fail, others are rejected.
func TestDrainAnswersRequestsWithLaterDeadlines(t *testing.T) {
	hanging, unreachable := newFakeCache(t), routertest.Unreachable(t)
	for name, addr := range map[string]string{"hanging cache": hanging.Addr(), "unreachable cache": unreachable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var endsIn Time
			r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", addr, "in_service")), nil, nil)
			c := dial(t, r.addr)
			c.Send(get("r1") + words("C.SET", "k", "w1", "c=put,d=20000,k=1", "v"))
			r.Until("two requests with attempts", func() bool { return r.r.openRequests == 2 && r.r.pool.Attempts() == 2 })
			r.drain()
			r.Do(func() { endsIn = r.r.drainDeadline - r.Now() })
			if endsIn > maxDrainTimeout+drainSlack {
				t.Errorf("drain ends in %d µs, but SIGKILL comes %d µs after SIGTERM", endsIn, maxDrainTimeout+700_000)
			}
			c.Want("-ERR failed")
			c.Want("-ERR failed")
			c.WantClosed()
			receive(t, r.drainEnded, "end of the drain")
			r.Do(func() {
				for kind, n := range r.r.RecordCounts() {
					if n > 0 && kind != "timers" && kind != "attempts" {
						t.Errorf("%d %s remain, want 0", n, kind)
					}
				}
			})
		})
	}
}

// TestDrainAnswersLateRequests sends requests at a steady pace on one connection until the end of a drain, while the cache never
// answers. The router must answer the requests and leave none open.
func TestDrainAnswersLateRequests(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil,
		func(r *Router) { r.maxClientTimeout = 300_000 })
	c := dial(t, r.addr)
	c.Send(get("r0"))
	receive(t, cache.Commands, "command")
	r.drain()
	sent := make(chan int)
	stop := make(chan struct{})
	go func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				sent <- n
				return
			case <-time.After(5 * time.Millisecond): // the pace of the client; the test waits for nothing here
			}
			if _, err := fmt.Fprint(c.TCPConn, get(fmt.Sprint("r", n))); err != nil {
				<-stop
				sent <- n
				return
			}
		}
	}()
	receive(t, r.drainEnded, "end of the drain")
	close(stop)
	receive(t, sent, "end of the client")
	answers := 0
	r.Do(func() {
		if n := len(r.r.requests) - r.r.pool.Attempts(); r.r.openRequests != 0 || n > 0 {
			t.Errorf("%d requests are open and %d records have no attempt, want none", r.r.openRequests, n)
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
		t.Error("client received no answer before the end of the drain")
	}
}

// TestReloadDuringDrainIgnored reloads during and after a drain: the router must not reopen a closed watch or folder.
func TestReloadDuringDrainIgnored(t *testing.T) {
	newAddr, calls := routertest.Discovery(t)
	lines := make(routertest.Lines, 1000)
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil)
	next := *cfg
	next.Discovery = newAddr
	r := start(t, cfg, lines, nil)
	c := dial(t, r.addr)
	c.Send(words("PING"))
	c.Line()
	r.drain()
	r.Do(func() { r.r.Reload(&next) })
	lines.Want(t, "reload ignored: the router is ending")
	c.WantClosed()
	receive(t, r.drainEnded, "end of the drain")
	r.Do(func() {
		r.r.Reload(&next)
		if n := r.r.RecordCounts()["connections"]; n != 0 {
			t.Errorf("stopped router has %d connections, want 0", n)
		}
	})
	select {
	case c := <-calls:
		t.Errorf("the new discovery received call %s, want none", c.Query)
	default:
	}
}

// TestNothingSentToCacheDrainedInSameTurn drains a cache in the turn in which a connection to the cache becomes free and a new
// request arrives. No request that waits for a connection, for capacity or for a retry may be sent to a cache once the router
// is notified of its drain.
func TestNothingSentToCacheDrainedInSameTurn(t *testing.T) {
	cache := newFakeCache(t)
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
	cfg.OperatorLimits.Caches.MinConnections, cfg.OperatorLimits.Caches.FleetConnections = 1, 1
	r := start(t, cfg, nil, nil)
	busy, waiting, late := dial(t, r.addr), dial(t, r.addr), dial(t, r.addr)
	busy.Send(get("first"))
	first := receive(t, cache.Commands, "command")
	waiting.Send(get("waiting"))
	r.Until("waiting request", func() bool { return r.r.openRequests == 2 })
	drain := parse(t, hosts(2, false, host("c1", cache.Addr(), "terminating")))
	r.Do(func() { // one turn brings the list, the answer that frees the connection, and a new request
		late.Send(get("late"))
		first.Reply(t, served)
		r.r.sources.ApplyDiscovery(drain)
	})
	busy.Want("value")
	for _, c := range []*routertest.Client{waiting, late} {
		if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("got answer %q, want -BUSY", got)
		}
	}
	r.waitIdle()
	if n := len(cache.Commands); n > 0 {
		t.Errorf("draining cache received %d commands, want 0", n)
	}
	r.Do(func() {
		if h := r.r.endpoints["c1"]; h.entry.Status != decide.Draining {
			t.Errorf("got status %d for c1, want draining", h.entry.Status)
		}
	})
}
