package router

import (
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/hooks/hookstest"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/testbench/routertest"
)

// The tests of this file guard against requests that end without the decision module and without a word in the event log.

func wantCounted(t *testing.T, r *Router, event eventlog.Event, reason string) {
	t.Helper()
	if got := r.events.Counted(event, reason); got != 1 {
		t.Errorf("%s.%s is counted %d times, want once", event, reason, got)
	}
}

func TestDuplicateIDIsCounted(t *testing.T) {
	r := newRig(t, newFakeCache(t).Addr(), nil)
	r.sendCommand(get("one"))
	again := dial(t, r.addr)
	again.Send(get("one"))
	again.Line()
	r.Do(func() { wantCounted(t, r.r, eventlog.RequestFailed, reasonDuplicateID) })
}

func TestHookVerdictsAreCounted(t *testing.T) {
	verdict := plugin.Verdict{Decision: plugin.Reject}
	h := startHooked(t, func(c plugin.Call) hookstest.Act {
		if c.Point == plugin.OnRequest {
			return hookstest.Act{After: 100, Verdict: verdict}
		}
		return hookstest.Act{}
	}, nil)
	h.ask("a", 100_000)
	wantCounted(t, h.r, eventlog.RequestRejected, reasonHook)
	verdict = plugin.Verdict{Decision: plugin.Fail, Text: "not a callsign"}
	h.ask("b", 100_000)
	wantCounted(t, h.r, eventlog.RequestFailed, reasonHook)
}

func TestRequestsAtTheEndOfADrainAreCounted(t *testing.T) {
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil), nil, func(r *Router) {
		r.module = newScript() // answers nothing
		r.sweepTimer.Stop()
		r.maxClientTimeout = 1000
	})
	open := dial(t, r.addr)
	open.Send(get("r1"))
	r.Until("the request", func() bool { return r.r.openRequests == 1 })
	r.drain()
	receive(t, r.ended, "end of the router")
	wantCounted(t, r.r, eventlog.RequestRejected, reasonDrainOver)
}

// TestRequestOfGoneClientHasNoEvent: nobody got the answer that the module gives up.
func TestRequestOfGoneClientHasNoEvent(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	q := r.sendCommand(get("one"))
	r.send(q)
	receive(t, cache.Commands, "command") // its attempt is out
	q.client.Close()
	r.Until("the end of the client", func() bool { return r.r.openRequests == 0 })
	r.perform(decide.Reject{ID: q.id})
	r.perform(decide.Fail{ID: q.id})
	r.Do(func() {
		reason := decide.Reason(0).String()
		rejected, failed := r.r.events.Counted(eventlog.RequestRejected, reason), r.r.events.Counted(eventlog.RequestFailed, reason)
		if rejected+failed != 0 {
			t.Errorf("counted as rejected %d times and as failed %d times", rejected, failed)
		}
	})
}
