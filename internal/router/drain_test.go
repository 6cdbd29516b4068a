package router

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// TestDrainAnswersRequestsAndNewConnections checks that a draining router still accepts connections and requests for a short
// time, answers all of them, and then stops.
func TestDrainAnswersRequestsAndNewConnections(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil,
		func(r *Router) { r.acceptGrace = 2_000_000 }) // so that a slow machine connects within the grace and before the drain ends
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
	receive(t, r.drainEnded, "end of the drain")
}

// TestDrainEndsByDeadline checks that a drain ends after the longest client timeout at the latest, even if a request gets no
// answer or a command stays incomplete.
func TestDrainEndsByDeadline(t *testing.T) {
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil), nil, func(r *Router) {
		r.module = newRecordingModule() // never answers
		r.sweepTimer.Stop()
		r.maxClientTimeout = 1000
	})
	unanswered, incomplete := dial(t, r.addr), dial(t, r.addr)
	unanswered.Send(words("PING") + get("r1"))
	unanswered.Line() // -LOADING: no cache is known
	incomplete.Send(words("PING") + "*4\r\n$5\r\nC.G")
	incomplete.Line()
	r.drain()
	receive(t, r.drainEnded, "end of the drain")
}

// TestDrainEndsWithBlockedLog drains a router whose log blocks each write.
func TestDrainEndsWithBlockedLog(t *testing.T) {
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil), routertest.NewStuck(t),
		func(r *Router) { r.acceptGrace = 0 })
	dial(t, r.addr).Close()
	r.drain()
	receive(t, r.drainEnded, "end of the drain")
}

// TestBlockedLogDoesNotStopLoop logs from the event loop while the log blocks each write: the loop must not block.
func TestBlockedLogDoesNotStopLoop(t *testing.T) {
	r := newLoggedScriptedRouter(t, "127.0.0.1:1", nil, routertest.NewStuck(t))
	r.Do(func() {
		for range 4096 { // more lines than the log buffers
			r.r.perform(decide.Log{Message: "line"})
		}
	})
}

// TestDrainWaitsForSlowReader checks that a drain keeps a connection open until its client has read all answers, including
// those that the socket has not accepted yet.
func TestDrainWaitsForSlowReader(t *testing.T) {
	const requests = 200
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil,
		func(r *Router) { r.acceptGrace = 1000 })
	value := strings.Repeat("v", 60_000)
	answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
	go func() {
		for range requests {
			(<-cache.Commands).Conn.Write([]byte(answer))
		}
	}()
	c := dial(t, r.addr)
	for i := range requests {
		c.Send(get(fmt.Sprint("r", i)))
	}
	r.Until("buffered answers of the slow reader", func() bool {
		left := r.r.RecordCounts()
		return left["attempts"] == 0 && left["requests"] == 0 && left["bytes"] > 1<<20
	})
	r.drain()
	r.Until("draining router", func() bool { return r.r.frontend.Accepted() > 0 && r.r.isEnding() })
	for i := range requests {
		if got := c.Line(); got != value {
			t.Fatalf("answer %d has %d bytes, want the value of %d bytes", i, len(got), len(value))
		}
	}
	c.WantClosed()
	receive(t, r.drainEnded, "end of the drain")
	r.Do(func() {
		if left := r.r.RecordCounts(); left["bytes"] != 0 || left["connections"] != 0 {
			t.Errorf("stopped router still holds %v", left)
		}
	})
}
