package decide

import "testing"

// TestRepeatOfAKeyedRequestStaysWithinItsWindow, with time for its way and for a router that stands still, counted from the first
// attempt that may have run.
func TestRepeatOfAKeyedRequestStaysWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after Time // from the first attempt to its outcome
		again bool
	}{{340 * ms, true}, {350 * ms, false}, {470 * ms, false}, {500 * ms, false}} {
		s := settings()
		s.Classes[1].ClientTimeout = 3000 * ms
		b := newBench(t, s)
		b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
		q := &Request{ID: 1, Class: "all", Key: 5, HasKey: true, Deadline: b.now + 3000*ms, Write: true}
		first := sends(b.feed(q))
		if len(first) != 1 || first[0].WriteDeadline != 0 {
			t.Fatalf("first attempts %v", first)
		}
		sent := b.now
		b.now += c.after
		again := sends(b.feed(&AttemptResult{ID: 1, Result: Errored, Elapsed: c.after}))
		if len(again) > 0 != c.again {
			t.Errorf("after %d of 500 ms: sent again %v, want %v", c.after/ms, len(again) > 0, c.again)
		}
		if c.again && len(again) > 0 && again[0].WriteDeadline != sent+500*ms-MaxSchedulingDelay {
			t.Errorf("may be written for %d ms", (again[0].WriteDeadline-sent)/ms)
		}
	}
}

// TestKeyedRequestWithoutItsKeyRunsOnce: it is neither sent again nor refused once it may have run.
func TestKeyedRequestWithoutItsKeyRunsOnce(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
	b.feed(&Request{ID: 1, Class: "all", Key: 5, HasKey: true, Deadline: b.now + 800*ms, Write: true, IdempotencyKeyMissing: true})
	b.now += 10 * ms
	acts := b.feed(&AttemptResult{ID: 1, Result: Errored, Elapsed: 10 * ms})
	if len(sends(acts)) > 0 {
		t.Error("it was sent again")
	}
	failed := false
	for _, a := range acts {
		if _, ok := a.(Fail); ok {
			failed = true
		}
	}
	if !failed {
		t.Errorf("actions %v, want a failure", acts)
	}
	b.feed(&Request{ID: 2, Class: "all", Key: 5, HasKey: true, Deadline: b.now + 800*ms, Write: true, IdempotencyKeyMissing: true})
	if acts := b.feed(&AttemptResult{ID: 2, Result: Rejected}); len(sends(acts)) != 1 {
		t.Error("it was not sent again though it never ran")
	}
}

// TestFirstCallAfterALossComesWithinTheGrace, however seldom the settings have the list asked for. The danger: a drain is missed
// meanwhile, and counts as told.
func TestFirstCallAfterALossComesWithinTheGrace(t *testing.T) {
	for _, every := range []Time{1000 * ms, 10_000 * ms, 60_000 * ms, 600_000 * ms} {
		s := settings()
		s.PollInterval, s.DrainGrace, s.WatchRequired, s.AllowHealthChecks = every, 500*ms, true, false
		b := newBench(t, s)
		b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
		b.advance(s.DrainGrace) // past the first call
		b.timers = nil
		b.feed(&EndpointList{Kind: FailedUpdate})
		if len(b.timers) != 1 || b.timers[0].At > b.now+s.DrainGrace/2 {
			t.Errorf("every %d ms: asked again at %v, now %d", every/ms, b.timers, b.now)
		}
	}
}
