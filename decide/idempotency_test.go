package decide

import (
	"fmt"
	"testing"
)

// TestSemanticsDecideRetryAndRejection checks what each class may do after each result.
func TestSemanticsDecideRetryAndRejection(t *testing.T) {
	for _, class := range []string{"read", "all", "zone", "cell", "once", "unheard-of"} {
		for res := Errored; res <= NotStored; res++ {
			t.Run(fmt.Sprint(class, " after result ", res), func(t *testing.T) {
				b := newHarness(t, settings())
				b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(8)})
				first := b.request(1, class, 5)
				q := b.r.requests[1]
				if first == nil {
					t.Fatal("not sent")
				}
				q.attempts[0].end(res)
				from := b.r.caches[first.Cache]
				for _, c := range b.r.serving {
					var want bool
					switch {
					case res.NeverRan() || class == "read" || class == "all":
						want = true
					case class == "zone":
						want = c.Zone == from.Zone
					case class == "cell":
						want = c.Cell == from.Cell
					}
					if got := b.r.maySend(q, c); got != want {
						t.Errorf("%s after %d: maySend to another = %v, want %v", class, res, got, want)
					}
				}
				wantReject := res.NeverRan() || class == "read" || class == "all"
				if got := b.r.mayReject(q); got != wantReject {
					t.Errorf("%s after %d: mayReject = %v, want %v", class, res, got, wantReject)
				}
				b.now += 501 * ms
				b.r.now = b.now
				if class == "all" && !res.NeverRan() && b.r.maySend(q, from) {
					t.Errorf("keyed request sent again after its repeats are forgotten")
				}
			})
		}
	}
}

// TestRepeatDeadlineAllowsForSchedulingDelay checks that a repeat that is written at the last moment is
// still dropped by the caches if the router stands still for MaxSchedulingDelay before the write.
func TestRepeatDeadlineAllowsForSchedulingDelay(t *testing.T) {
	for _, window := range []Time{100 * ms, 500 * ms, 1200 * ms, 4000 * ms} {
		t.Run(fmt.Sprint(window/ms, " ms"), func(t *testing.T) {
			c := Class{Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: window}
			const sent = 7000 * ms
			latest := c.repeatDeadline(sent) // nothing is written from then on
			if written := latest + MaxSchedulingDelay; latest > sent && written > sent+window {
				t.Errorf("window of %d ms: a repeat may be written %d ms too late", window/ms, (written-sent-window)/ms)
			}
			if latest < sent || window > 2*MaxSchedulingDelay && latest < sent+window/2 {
				t.Errorf("window of %d ms: no repeat is written from %d ms on", window/ms, (latest-sent)/ms)
			}
		})
	}
}

// TestMaySendRefusesWhateverSelectionOffers checks the gate by itself.
func TestMaySendRefusesWhateverSelectionOffers(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 3, func(s *Settings) { s.AllowHedging = false })
	b.request(1, "read", 9)
	q, c := b.r.requests[1], b.r.serving[0]
	if b.r.maySend(q, c) {
		t.Error("a second copy where copies are banned")
	}
	q.attempts[0].state = attemptMayHaveRun
	if !b.r.maySend(q, c) {
		t.Error("a retry is not allowed")
	}
	for _, cond := range []Status{Draining, Removed} {
		if c.Status = cond; b.r.maySend(q, c) {
			t.Errorf("sent to a cache in condition %d", cond)
		}
	}
	c.Status = Serving
	q.streaming = true
	if b.r.maySend(q, c) {
		t.Error("sent though the answer streams")
	}
	// A class that is not idempotent is not sent again even if its settings have an idempotency window.
	q = &request{Request: &Request{Deadline: b.now + 1e6}, class: &Class{Semantics: NonIdempotent, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: 1e9},
		attempts: []attempt{{cache: c, sentAt: b.now, state: attemptMayHaveRun}}}
	if b.r.maySend(q, c) || b.r.mayReject(q) {
		t.Error("a non-idempotent request that may have run was sent again or rejected")
	}
}

// TestRepeatStaysWithinIdempotencyWindow checks until when a repeat is sent and may be written, counted
// from the first attempt that may have run.
func TestRepeatStaysWithinIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		after Time // from the first attempt to its outcome
		again bool
	}{{340 * ms, true}, {350 * ms, false}, {470 * ms, false}, {500 * ms, false}} {
		t.Run(fmt.Sprint(c.after/ms, " ms"), func(t *testing.T) {
			s := settings()
			s.Classes[1].ClientTimeout = 3000 * ms
			b := newHarness(t, s)
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
		})
	}
}

// TestRequestWithoutIdempotencyKeyRunsOnce checks that it is neither sent again nor rejected once it may
// have run.
func TestRequestWithoutIdempotencyKeyRunsOnce(t *testing.T) {
	b := newHarness(t, settings())
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
