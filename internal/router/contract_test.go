package router

import (
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/testbench/routertest"
)

// lossyModule drops every Send of a module, so that the event loop never performs them.
type lossyModule struct {
	guard.Module
	lost chan decide.Send
}

func (m lossyModule) Handle(now decide.Time, ev decide.Event) []decide.Action {
	var remaining []decide.Action
	for _, a := range m.Module.Handle(now, ev) {
		if s, ok := a.(decide.Send); ok {
			m.lost <- s
			continue
		}
		remaining = append(remaining, a)
	}
	return remaining
}

// TestContractRepairsLostAttemptResult drops every Send of the module, so that no attempt has a result. The request must still
// be answered, the attempt must no longer count as in flight, and the breach must be logged and counted.
func TestContractRepairsLostAttemptResult(t *testing.T) {
	lines := make(routertest.Lines, 1000)
	cache := newFakeCache(t)
	lost := make(chan decide.Send, 100)
	s := &runningRouter{Loop: routertest.NewLoop(t, lines)}
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
	s.Do(func() {
		var err error
		if s.r, err = Start(s.Loop, cfg); err != nil {
			t.Error(err)
			return
		}
		applyKnownList(s.r)
		// The contract has recorded a Send before the wrapper drops it.
		s.r.module = lossyModule{s.r.module, lost}
		s.addr = s.r.Addr()
	})
	if t.Failed() {
		t.FailNow()
	}
	t.Cleanup(func() { s.Do(s.r.Close) })
	c := dial(t, s.addr)
	c.Send(words("C.GET", "k1", "r1", "c=read,d=100"))
	receive(t, lost, "send of the module")
	if got := c.Line(); !strings.HasPrefix(got, "-") {
		t.Errorf("got answer %q, want an error", got)
	}
	lines.Want(t, `msg="contract breach" kind=outcome-missing`)
	s.Until("release of the request", func() bool {
		return s.r.contract.OpenRequests() == 0 && len(s.r.requests) == 0
	})
	s.Do(func() {
		if n := s.r.RecordCounts()["breaches"]; n == 0 {
			t.Error("got 0 counted breaches, want at least 1")
		}
	})
}
