package router

import (
	"fmt"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

// TestRemovalDuringPauseAppliedFirst has discovery write a removal, behind requests, while the loop stands still for
// longer than the drain grace. The removed cache gets none of the requests once the loop goes on.
func TestRemovalDuringPauseAppliedFirst(t *testing.T) {
	const grace = 40 * time.Millisecond
	leaving, staying := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	listed := []string{host("c1", leaving.Addr(), "in_service"), host("c2", staying.Addr(), "in_service")}
	r := startWithoutList(t, routertest.NewLoop(t, nil), testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["drainGrace"] = grace.Microseconds()
	}), nil)
	receive(t, calls, "call").Reply <- hosts(1, true, listed...)
	watch := receive(t, calls, "watch")
	others := make(chan string, 100)
	leaving.Saying(t, func(id string) string { others <- id; return served })
	staying.Saying(t, func(string) string { return served })

	var clients []*routertest.Client
	for i := range 8 { // connections that are up and used before
		c := dial(t, r.addr)
		c.Send(words("C.GET", fmt.Sprint("key", i), fmt.Sprint("before", i), "c=read,d=20000"))
		c.Want("value")
		clients = append(clients, c)
	}
	for len(others) > 0 {
		<-others
	}
	resume, stands := make(chan struct{}), make(chan struct{})
	r.Post(func() { close(stands); <-resume })
	receive(t, stands, "stand")
	for i, c := range clients {
		c.Send(words("C.GET", fmt.Sprint("key", i), fmt.Sprint("while", i), "c=read,d=20000"))
	}
	watch.Reply <- hosts(2, false, host("c1", leaving.Addr(), "terminating"))
	receive(t, watch.Written, "answer of discovery")
	<-time.After(2 * grace) // the time that passes is what the test is about
	close(resume)
	for _, c := range clients {
		c.Want("value")
	}
	if n := len(others); n > 0 {
		t.Errorf("%d of %d requests went to the cache that leaves, %v after that was told", n, len(clients), 2*grace)
	}
}

// TestRemovalPushedDuringPauseAppliedFirst has the pending call answered with nothing and then a removal pushed to the
// agent while the loop stands still. The router counts as notified, so it polls the agent before it sends anything.
func TestRemovalPushedDuringPauseAppliedFirst(t *testing.T) {
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
	others := make(chan string, 100)
	leaving.Saying(t, func(id string) string { others <- id; return served })
	staying.Saying(t, func(string) string { return served })
	client := dial(t, r.addr)
	r.Until("a router that serves", func() bool { return r.r.Serving() })

	resume, stands := make(chan struct{}), make(chan struct{})
	r.Post(func() { close(stands); <-resume })
	receive(t, stands, "stand")
	watch.Reply <- hosts(1, false)
	receive(t, watch.Written, "answer of discovery")
	client.Send(get("while"))
	<-time.After(grace) // the time that passes is what the test is about
	close(resume)
	for call := receive(t, calls, "call"); ; call = receive(t, calls, "call") {
		if call.Query == "/discovery/hosts" {
			call.Reply <- hosts(2, true, host("c1", leaving.Addr(), "terminating"), host("c2", staying.Addr(), "in_service"))
			break
		}
	}
	client.Want("value")
	if n := len(others); n > 0 {
		t.Errorf("%d requests went to the cache that leaves", n)
	}
}

// TestContractNotCheckedAfterPause has the contract check due before an attempt ends, and both late after a pause. The
// attempt ends by its own timer, and nothing is reported missing.
func TestContractNotCheckedAfterPause(t *testing.T) {
	addr, _ := routertest.DeafCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", addr, "in_service")), nil, nil)
	c := dial(t, r.addr)
	c.Send(words("C.GET", "k1", "r1", "c=read,d=1500"))
	r.Until("an attempt", func() bool { return r.r.pool.Attempts() > 0 })
	r.Do(func() {
		r.r.sweepTimer.Stop()
		r.r.sweepDue = r.Now() // before all that the request has set a time for
		r.r.sweepTimer = r.At(r.r.sweepDue, r.r.sweep)
		for r.Late() < 4_500_000 { // past the attempt's end and the contract's slack: the time that passes is what the test is about
		}
	})
	if got := c.Line(); got == "" || got[0] != '-' {
		t.Errorf("answer %q", got)
	}
	r.Do(func() {
		if n := r.r.contract.Breaches(); n > 0 {
			t.Errorf("%d breaches of the contract", n)
		}
	})
}
