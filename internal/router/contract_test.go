package router

import (
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/testbench/routertest"
)

// lossyModule is a module whose sends the loop loses: they never reach it.
type lossyModule struct {
	guard.Module
	lost chan decide.Send
}

func (f lossyModule) Handle(now decide.Time, ev decide.Event) []decide.Action {
	var kept []decide.Action
	for _, a := range f.Module.Handle(now, ev) {
		if s, ok := a.(decide.Send); ok {
			f.lost <- s
			continue
		}
		kept = append(kept, a)
	}
	return kept
}

// TestContractRepairsLostAttemptResult loses what the module sends: the request is answered, its place at the cache is
// given back, and the breach is logged and counted.
func TestContractRepairsLostAttemptResult(t *testing.T) {
	lines := make(routertest.Lines, 1000)
	cache := newFakeCache(t)
	lost := make(chan decide.Send, 100)
	s := &running{Loop: routertest.NewLoop(t, lines)}
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
	s.Do(func() {
		var err error
		if s.r, err = Start(s.Loop, cfg); err != nil {
			t.Error(err)
			return
		}
		applyKnownList(s.r)
		// The loop loses what the contract has let pass.
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
		t.Errorf("answered %q", got)
	}
	lines.Want(t, `msg="contract breach" kind=outcome-missing`)
	s.Until("the end of the request", func() bool {
		return s.r.contract.Open() == 0 && len(s.r.requests) == 0
	})
	s.Do(func() {
		if n := s.r.Holdings()["breaches"]; n == 0 {
			t.Error("the loss is not counted")
		}
	})
}
