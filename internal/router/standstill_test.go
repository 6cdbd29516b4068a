package router

import (
	"fmt"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

// TestDrainDuringPauseAppliedFirst pauses the event loop for longer than the drain grace. During the pause, clients send
// requests and then discovery reports a drain. After the pause, the draining cache must receive none of the requests.
func TestDrainDuringPauseAppliedFirst(t *testing.T) {
	const grace = 40 * time.Millisecond
	leaving, staying := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	listed := []string{host("c1", leaving.Addr(), "in_service"), host("c2", staying.Addr(), "in_service")}
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["drainGrace"] = grace.Microseconds()
	}), nil)
	receive(t, calls, "call").Reply <- hosts(1, true, listed...)
	watch := receive(t, calls, "watch")
	toLeaving := make(chan string, 100)
	leaving.Saying(t, func(id string) string { toLeaving <- id; return served })
	staying.Saying(t, func(string) string { return served })

	var clients []*routertest.Client
	for i := range 8 { // the router has used connections to the caches before the pause
		c := dial(t, r.addr)
		c.Send(words("C.GET", fmt.Sprint("key", i), fmt.Sprint("before", i), "c=read,d=20000"))
		c.Want("value")
		clients = append(clients, c)
	}
	for len(toLeaving) > 0 {
		<-toLeaving
	}
	resume, paused := make(chan struct{}), make(chan struct{})
	r.Post(func() { close(paused); <-resume })
	receive(t, paused, "pause of the event loop")
	for i, c := range clients {
		c.Send(words("C.GET", fmt.Sprint("key", i), fmt.Sprint("while", i), "c=read,d=20000"))
	}
	watch.Reply <- hosts(2, false, host("c1", leaving.Addr(), "terminating"))
	receive(t, watch.Written, "end of discovery's answer")
	<-time.After(2 * grace) // the pause itself is under test: no event to wait for
	close(resume)
	for _, c := range clients {
		c.Want("value")
	}
	if n := len(toLeaving); n > 0 {
		t.Errorf("draining cache received %d of %d requests %v after discovery reported the drain, want 0", n, len(clients), 2*grace)
	}
}

// TestDrainPushedDuringPauseAppliedFirst pauses the event loop. During the pause, the pending poll is answered without a change,
// and then a drain is pushed to the agent. The router counts as notified, so it must poll the agent before it sends a request.
func TestDrainPushedDuringPauseAppliedFirst(t *testing.T) {
	const grace = 400 * time.Millisecond
	leaving, staying := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
		settings := in["settings"].(map[string]any)
		settings["discovery"] = "automatic"
		settings["rules"].(map[string]any)["drainGrace"] = grace.Microseconds()
	}), nil)
	receive(t, calls, "call").Reply <- hosts(1, true, host("c1", leaving.Addr(), "in_service"))
	watch := receive(t, calls, "watch")
	toLeaving := make(chan string, 100)
	leaving.Saying(t, func(id string) string { toLeaving <- id; return served })
	staying.Saying(t, func(string) string { return served })
	client := dial(t, r.addr)
	r.Until("serving router", func() bool { return r.r.Serving() })

	resume, paused := make(chan struct{}), make(chan struct{})
	r.Post(func() { close(paused); <-resume })
	receive(t, paused, "pause of the event loop")
	watch.Reply <- hosts(1, false)
	receive(t, watch.Written, "end of discovery's answer")
	client.Send(get("while"))
	<-time.After(grace) // the pause itself is under test: no event to wait for
	close(resume)
	for call := receive(t, calls, "call"); ; call = receive(t, calls, "call") {
		if call.Query == "/discovery/hosts" {
			call.Reply <- hosts(2, true, host("c1", leaving.Addr(), "terminating"), host("c2", staying.Addr(), "in_service"))
			break
		}
	}
	client.Want("value")
	if n := len(toLeaving); n > 0 {
		t.Errorf("draining cache received %d requests, want 0", n)
	}
}

// TestContractNotCheckedAfterPause pauses the event loop past the time of the contract check and then past the deadline of an
// attempt. After the pause, the attempt must end by its own timer, and the late check must report no missing result.
func TestContractNotCheckedAfterPause(t *testing.T) {
	addr, _ := routertest.DeafCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", addr, "in_service")), nil, nil)
	c := dial(t, r.addr)
	c.Send(words("C.GET", "k1", "r1", "c=read,d=1500"))
	r.Until("attempt in flight", func() bool { return r.r.pool.Attempts() > 0 })
	r.Do(func() {
		r.r.sweepTimer.Stop()
		r.r.sweepDue = r.Now() // before every timer of the request
		r.r.sweepTimer = r.At(r.r.sweepDue, r.r.sweep)
		// Pauses the loop past the attempt's deadline and the contract's slack. The pause itself is under test.
		for r.ClockLag() < 4_500_000 {
		}
	})
	if got := c.Line(); got == "" || got[0] != '-' {
		t.Errorf("got answer %q, want an error", got)
	}
	r.Do(func() {
		if n := r.r.contract.Breaches(); n > 0 {
			t.Errorf("got %d contract breaches, want 0", n)
		}
	})
}
