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

// TestRejectedDiscoveryCallsRetriedAtSteadyPace breaks a watch and makes discovery reject the calls that follow. The router
// calls again at once, and then at a pace that neither keeps discovery busy with rejections nor reads a change after the
// router counts as notified. The log reports when the router has been without an answer for that long.
func TestRejectedDiscoveryCallsRetriedAtSteadyPace(t *testing.T) {
	const (
		pollInterval = 250 * time.Millisecond
		bound        = 4 * pollInterval // a failed call counts for four poll intervals
		minDelay     = bound / 9
		grace        = time.Second
	)
	addr, calls := routertest.Discovery(t)
	lines := make(routertest.Lines, 1000)
	cache := newFakeCache(t)
	r := start(t, testConfig(t, addr, withPollInterval(pollInterval.Microseconds()), host("c1", cache.Addr(), "in_service")), lines, nil)
	receive(t, calls, "first call").Reply <- hosts(2, false)
	receive(t, calls, "watch").Reply <- ""
	lost := time.Now()
	previous := receive(t, calls, "call after the loss")
	if took := time.Since(lost); took > grace {
		t.Errorf("first call after the loss came after %s, want at most %s", took, grace)
	}
	for i := range 8 {
		previous.Reply <- ""
		receive(t, previous.Written, "end of the answer")
		rejected := time.Now()
		previous = receive(t, calls, "next call")
		// Timers never fire early; how late they fire depends on the machine.
		if took := time.Since(rejected); took < minDelay-time.Millisecond {
			t.Errorf("call %d came %s after the previous one was rejected, want at least %s", i, took, minDelay)
		}
	}
	lines.Want(t, `msg="endpoint list unavailable"`)
	previous.Reply <- hosts(3, true, host("c1", cache.Addr(), "terminating"))
	r.Until("drain of c1", r.isDraining("c1"))
}

// isDraining returns a condition that holds when the endpoint list has a cache draining.
func (s *runningRouter) isDraining(cache string) func() bool {
	return func() bool { return s.r.endpoints[cache].entry.Status == decide.Draining }
}

// TestNoRetryForGoneClient makes the first attempt fail in the turn in which the client disconnects, while another cache
// could serve the request. The router must not send a retry.
func TestNoRetryForGoneClient(t *testing.T) {
	for name, leave := range map[string]func(c *routertest.Client){
		"close": func(c *routertest.Client) { c.Close() },
		"reset": func(c *routertest.Client) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			caches := twoCaches{newFakeCache(t), newFakeCache(t)}
			cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", caches[0].Addr(), "in_service"),
				host("c2", caches[1].Addr(), "in_service"))
			cfg.OperatorLimits.Caches.MinRestTime = 0
			r := start(t, cfg, nil, nil)
			caches.warm(t, r) // so that a retry would not wait for a connection
			c := dial(t, r.addr)
			c.Send(get("leaves"))
			cmd := caches.next(t)
			r.Do(func() {
				cmd.Reply(t, "-ERR failed\r\n")
				leave(c)
			})
			r.waitIdle()
			if n := len(caches[0].Commands) + len(caches[1].Commands); n > 0 {
				t.Errorf("got %d more attempts for a disconnected client, want 0", n)
			}
		})
	}
}

type twoCaches [2]*routertest.Cache

// warm makes both caches serve a request, so that the router has an idle connection to each.
func (c twoCaches) warm(t *testing.T, r *runningRouter) {
	t.Helper()
	client := dial(t, r.addr)
	for i, used := 0, map[net.Conn]bool{}; len(used) < 2; i++ {
		client.Send(words("C.GET", fmt.Sprint("key", i), fmt.Sprint("warm", i), "c=read,d=20000"))
		cmd := c.next(t)
		used[cmd.Conn] = true
		cmd.Reply(t, served)
		client.Want("value")
	}
}

// next returns the next command that either cache receives.
func (c twoCaches) next(t *testing.T) routertest.Command {
	t.Helper()
	select {
	case cmd := <-c[0].Commands:
		return cmd
	case cmd := <-c[1].Commands:
		return cmd
	case <-time.After(routertest.Patience):
		t.Fatal("no cache received a command")
		panic("unreachable")
	}
}

// TestDiscoveryReconnectsWithDescriptorsFull connects more idle clients than the router has descriptors while discovery is
// down. The router must keep a descriptor free to call discovery once it is back.
func TestDiscoveryReconnectsWithDescriptorsFull(t *testing.T) {
	const (
		sockets        = minSockets
		ownDescriptors = 8 // of the process itself: standard streams, poller, inbox
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
		withPollInterval(250_000)(in)
		in["limits"].(map[string]any)["sockets"] = sockets
	}, host("c1", cache.Addr(), "in_service"))
	// Idle clients stay connected for longer than the test runs.
	cfg.OperatorLimits.Clients.CommandTime, cfg.OperatorLimits.Clients.IdleTimeUnderPressure = time.Hour, time.Hour
	r := startOn(t, routertest.NewLoopOf(t, machine.Options{Descriptors: sockets - ownDescriptors}), cfg, nil)
	for i := range 2 * sockets {
		nc, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	r.Until("maximum number of clients", func() bool { return r.r.frontend.Accepted() >= sockets/2 })
	returned.Store(true)
	r.Until("drain that discovery reports once it is back", r.isDraining("c1"))
}

// TestRestartedRouterReadyInTime starts a router while discovery fails in several ways. Nine in ten routers must be ready
// within 10 s; the test holds each router to it.
func TestRestartedRouterReadyInTime(t *testing.T) {
	for name, discovery := range map[string]func(testing.TB) string{
		"discovery refuses connections": routertest.Refusing,
		"discovery is silent":           routertest.SilentDiscovery,
		"discovery is unreachable":      routertest.Unreachable,
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				cache := newFakeCache(t)
				r := start(t, testConfig(t, discovery(t), func(in map[string]any) {
					in["settings"].(map[string]any)["discovery"] = mode
				}, host("c1", cache.Addr(), "in_service")), nil, nil)
				startedAt := time.Now()
				c := dial(t, r.addr)
				for {
					c.Send(words("PING"))
					if got := c.Line(); got == "+PONG" {
						break
					}
					if time.Since(startedAt) > 10*time.Second {
						t.Fatal("router is not ready within 10 s")
					}
					r.After(10 * time.Millisecond)
				}
			})
		}
	}
}
