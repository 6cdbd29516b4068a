package router

import (
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/hooks/hookstest"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/testbench/routertest"
)

// The tests in this file check that requests which end without the decision module are counted in the event log.

// wantCounted checks that an event was counted once with a reason.
func wantCounted(t *testing.T, r *Router, event eventlog.Event, reason string) {
	t.Helper()
	if got := r.events.Counted(event, reason); got != 1 {
		t.Errorf("event %s with reason %q: counted %d times, want once", event, reason, got)
	}
}

func TestDuplicateIDIsCounted(t *testing.T) {
	r := newScriptedRouter(t, newFakeCache(t).Addr(), nil)
	r.sendCommand(get("one"))
	duplicate := dial(t, r.addr)
	duplicate.Send(get("one"))
	duplicate.Line()
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
	h.sendRead("a", 100_000)
	wantCounted(t, h.r, eventlog.RequestRejected, reasonHook)
	verdict = plugin.Verdict{Decision: plugin.Fail, Text: "not a callsign"}
	h.sendRead("b", 100_000)
	wantCounted(t, h.r, eventlog.RequestFailed, reasonHook)
}

func TestRequestsOpenAtDrainEndAreCounted(t *testing.T) {
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil), nil, func(r *Router) {
		r.module = newRecordingModule() // never answers
		r.sweepTimer.Stop()
		r.maxClientTimeout = 1000
	})
	client := dial(t, r.addr)
	client.Send(get("r1"))
	r.Until("open request", func() bool { return r.r.openRequests == 1 })
	r.drain()
	receive(t, r.drainEnded, "end of the drain")
	wantCounted(t, r.r, eventlog.RequestRejected, reasonDrainOver)
}

// TestRequestOfGoneClientHasNoEvent rejects and fails a request whose client has disconnected. Neither decision may be counted,
// because no client received an answer.
func TestRequestOfGoneClientHasNoEvent(t *testing.T) {
	cache := newFakeCache(t)
	r := newScriptedRouter(t, cache.Addr(), nil)
	q := r.sendCommand(get("one"))
	r.startAttempt(q)
	receive(t, cache.Commands, "command") // its attempt is in flight
	q.client.Close()
	r.Until("end of the client's request", func() bool { return r.r.openRequests == 0 })
	r.perform(decide.Reject{ID: q.id})
	r.perform(decide.Fail{ID: q.id})
	r.Do(func() {
		reason := decide.Reason(0).String()
		rejected, failed := r.r.events.Counted(eventlog.RequestRejected, reason), r.r.events.Counted(eventlog.RequestFailed, reason)
		if rejected+failed != 0 {
			t.Errorf("request counted as rejected %d times and as failed %d times, want 0", rejected, failed)
		}
	})
}
