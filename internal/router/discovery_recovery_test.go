package router

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestRejectedDiscoveryCallsRetriedAtSteadyPace loses a watch and has discovery reject the calls that follow. They
// come at once, then neither so often that discovery is busy rejecting them nor so seldom that a change is read after
// the router counts as notified. The log says when that time has passed.
func TestRejectedDiscoveryCallsRetriedAtSteadyPace(t *testing.T) {
	const (
		every    = 250 * time.Millisecond
		bound    = 4 * every // a failed call counts for four times askEvery
		shortest = bound / 9
		grace    = time.Second
	)
	addr, calls := routertest.Discovery(t)
	lines := make(routertest.Lines, 1000)
	cache := newFakeCache(t)
	r := start(t, testConfig(t, addr, askEvery(every.Microseconds()), host("c1", cache.Addr(), "in_service")), lines, nil)
	receive(t, calls, "first call").Reply <- hosts(2, false)
	receive(t, calls, "watch").Reply <- ""
	lost := time.Now()
	previous := receive(t, calls, "call after the loss")
	if took := time.Since(lost); took > grace {
		t.Errorf("the first call after a loss came after %s", took)
	}
	for i := range 8 {
		previous.Reply <- ""
		receive(t, previous.Written, "end of the answer")
		refused := time.Now()
		previous = receive(t, calls, "next call")
		// Timers never fire early; how late they fire depends on the machine.
		if took := time.Since(refused); took < shortest-time.Millisecond {
			t.Errorf("call %d came %s after the one before was turned away, want %s at least", i, took, shortest)
		}
	}
	lines.Want(t, `msg="endpoint list unavailable"`)
	previous.Reply <- hosts(3, true, host("c1", cache.Addr(), "terminating"))
	r.Until("the drain", r.drains("c1"))
}

// drains reports whether the list has a cache draining.
func (s *running) drains(cache string) func() bool {
	return func() bool { return s.r.endpoints[cache].entry.Status == decide.Draining }
}

// TestNoRetryForGoneClient has the first attempt fail in the turn in which the client leaves, while another cache
// could take the request.
func TestNoRetryForGoneClient(t *testing.T) {
	for name, leave := range map[string]func(c *routertest.Client){
		"by its end": func(c *routertest.Client) { c.Close() },
		"by a reset": func(c *routertest.Client) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			caches := twoCaches{newFakeCache(t), newFakeCache(t)}
			cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", caches[0].Addr(), "in_service"),
				host("c2", caches[1].Addr(), "in_service"))
			cfg.OperatorLimits.Caches.MinRestTime = 0
			r := start(t, cfg, nil, nil)
			caches.warm(t, r) // so that a further attempt need not wait for a connection
			c := dial(t, r.addr)
			c.Send(get("leaves"))
			cmd := caches.next(t)
			r.Do(func() {
				cmd.Reply(t, "-ERR failed\r\n")
				leave(c)
			})
			r.idle()
			if n := len(caches[0].Commands) + len(caches[1].Commands); n > 0 {
				t.Errorf("%d attempts were made for a client that had left", n)
			}
		})
	}
}

type twoCaches [2]*routertest.Cache

// warm has both caches serve a request, each on a connection that stays.
func (c twoCaches) warm(t *testing.T, r *running) {
	t.Helper()
	client := dial(t, r.addr)
	for i, asked := 0, map[net.Conn]bool{}; len(asked) < 2; i++ {
		client.Send(words("C.GET", fmt.Sprint("key", i), fmt.Sprint("warm", i), "c=read,d=20000"))
		cmd := c.next(t)
		asked[cmd.Conn] = true
		cmd.Reply(t, served)
		client.Want("value")
	}
}

// next is the command that comes next, to either cache.
func (c twoCaches) next(t *testing.T) routertest.Command {
	t.Helper()
	select {
	case cmd := <-c[0].Commands:
		return cmd
	case cmd := <-c[1].Commands:
		return cmd
	case <-time.After(routertest.Patience):
		t.Fatal("no command came")
		panic("unreachable")
	}
}

// TestDiscoveryReconnectsWithDescriptorsFull has more idle clients than descriptors come while discovery is down: a
// descriptor is left to call it once it is back.
func TestDiscoveryReconnectsWithDescriptorsFull(t *testing.T) {
	const (
		sockets        = minSockets
		ownDescriptors = 8 // of the process: its standard streams, the poller, the inbox
	)
	cache := newFakeCache(t)
	var returned atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case !returned.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case strings.Contains(q.URL.RawQuery, "after=9&"):
			<-q.Context().Done()
		default:
			fmt.Fprint(w, hosts(9, true, host("c1", cache.Addr(), "terminating")))
		}
	}))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	cfg := testConfig(t, srv.Listener.Addr().String(), func(in map[string]any) {
		askEvery(250_000)(in)
		in["limits"].(map[string]any)["sockets"] = sockets
	}, host("c1", cache.Addr(), "in_service"))
	cfg.OperatorLimits.Clients.CommandTime, cfg.OperatorLimits.Clients.CrowdedIdleTime = time.Hour, time.Hour // they rest for longer than the test lasts
	r := startOn(t, routertest.NewLoopOf(t, machine.Options{Descriptors: sockets - ownDescriptors}), cfg, nil)
	for i := range 2 * sockets {
		nc, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	r.Until("as many clients as may be", func() bool { return r.r.frontend.Accepted() >= sockets/2 })
	returned.Store(true)
	r.Until("the drain that discovery tells of at its return", r.drains("c1"))
}

// TestRestartedRouterReadyInTime restarts routers while discovery fails in several ways: nine in ten are ready within
// 10 s.
func TestRestartedRouterReadyInTime(t *testing.T) {
	for name, discovery := range map[string]func(testing.TB) string{
		"discovery refuses": routertest.Refusing, "discovery is silent": routertest.SilentDiscovery, "discovery is cut off": routertest.Unreachable,
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				cache := newFakeCache(t)
				r := start(t, testConfig(t, discovery(t), func(in map[string]any) {
					in["settings"].(map[string]any)["discovery"] = mode
				}, host("c1", cache.Addr(), "in_service")), nil, nil)
				begun := time.Now()
				c := dial(t, r.addr)
				for {
					c.Send(words("PING"))
					if got := c.Line(); got == "+PONG" {
						break
					}
					if time.Since(begun) > 10*time.Second {
						t.Fatal("not ready within 10 s")
					}
					r.After(10 * time.Millisecond)
				}
			})
		}
	}
}
