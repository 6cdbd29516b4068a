package router

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// TestDrainAnswersRequestsAndNewConnections takes connections and requests for a moment after SIGTERM, answers all of
// them, and ends.
func TestDrainAnswersRequestsAndNewConnections(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil,
		func(r *Router) { r.acceptGrace = 2_000_000 }) // a slow machine must not miss it, nor the drain's end come first
	idle, busy := dial(t, r.addr), dial(t, r.addr)
	idle.Send(words("PING"))
	idle.Want("+PONG")
	busy.Send(get("r1"))
	first := receive(t, cache.Commands, "command")
	r.drain()
	late := dial(t, r.addr)
	late.Send(get("r2"))
	second := receive(t, cache.Commands, "command")
	idle.WantClosed()
	first.Reply(t, served)
	second.Reply(t, served)
	busy.Want("value")
	busy.WantClosed()
	late.Want("value")
	late.WantClosed()
	receive(t, r.ended, "end of the router")
}

// TestDrainEndsByDeadline ends with the longest client timeout at the latest, whether a request gets no answer or a
// command never becomes complete.
func TestDrainEndsByDeadline(t *testing.T) {
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil), nil, func(r *Router) {
		r.module = newScript() // answers nothing
		r.sweepTimer.Stop()
		r.maxClientTimeout = 1000
	})
	stuck, half := dial(t, r.addr), dial(t, r.addr)
	stuck.Send(words("PING") + get("r1"))
	stuck.Line() // not ready: no cache is known
	half.Send(words("PING") + "*4\r\n$5\r\nC.G")
	half.Line()
	r.drain()
	receive(t, r.ended, "end of the router")
}

// TestDrainEndsWithBlockedLog drains while nobody reads the log.
func TestDrainEndsWithBlockedLog(t *testing.T) {
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil), routertest.NewStuck(t),
		func(r *Router) { r.acceptGrace = 0 })
	dial(t, r.addr).Close()
	r.drain()
	receive(t, r.ended, "end of the router")
}

// TestBlockedLogDoesNotStopLoop serves while nobody reads the log.
func TestBlockedLogDoesNotStopLoop(t *testing.T) {
	r := newLoggedRig(t, "127.0.0.1:1", nil, routertest.NewStuck(t))
	r.Do(func() {
		for range 4096 { // more than any log keeps
			r.r.perform(decide.Log{Message: "line"})
		}
	})
}

// TestDrainWaitsForSlowReader keeps a connection open until its client has read all answers: those that the socket did
// not take yet are still owed.
func TestDrainWaitsForSlowReader(t *testing.T) {
	const asked = 200
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil,
		func(r *Router) { r.acceptGrace = 1000 })
	value := strings.Repeat("v", 60_000)
	answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
	go func() {
		for range asked {
			(<-cache.Commands).Conn.Write([]byte(answer))
		}
	}()
	c := dial(t, r.addr)
	for i := range asked {
		c.Send(get(fmt.Sprint("r", i)))
	}
	r.Until("answers that wait for their reader", func() bool {
		left := r.r.Holdings()
		return left["attempts"] == 0 && left["requests"] == 0 && left["bytes"] > 1<<20
	})
	r.drain()
	r.Until("a drain that waits for nothing else", func() bool { return r.r.frontend.Accepted() > 0 && r.r.isEnding() })
	for i := range asked {
		if got := c.Line(); got != value {
			t.Fatalf("answer %d is not whole: %d bytes", i, len(got))
		}
	}
	c.WantClosed()
	receive(t, r.ended, "end of the router")
	r.Do(func() {
		if left := r.r.Holdings(); left["bytes"] != 0 || left["connections"] != 0 {
			t.Errorf("left: %v", left)
		}
	})
}
