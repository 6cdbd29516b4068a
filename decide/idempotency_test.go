package decide

import (
	"fmt"
	"testing"
)

// TestSemanticsDecideRetryAndRejection checks, for each class and each result of a first attempt, whether the request
// may be sent to another cache and whether the router may reject it.
func TestSemanticsDecideRetryAndRejection(t *testing.T) {
	for _, class := range []string{"read", "all", "zone", "cell", "once", "unknown"} {
		for res := Errored; res <= NotStored; res++ {
			t.Run(fmt.Sprint(class, " after result ", res), func(t *testing.T) {
				h := newHarness(t, testSettings())
				h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(8)})
				first := h.request(1, class, 5)
				q := h.router.requests[1]
				if first == nil {
					t.Fatal("the request was not sent")
				}
				q.attempts[0].end(res)
				firstCache := h.router.caches[first.Cache]
				for _, c := range h.router.serving {
					var want bool
					switch {
					case res.NeverRan() || class == "read" || class == "all":
						want = true
					case class == "zone":
						want = c.Zone == firstCache.Zone
					case class == "cell":
						want = c.Cell == firstCache.Cell
					}
					if got := h.router.maySend(q, c); got != want {
						t.Errorf("%s after result %d: maySend to %s = %v, want %v", class, res, c.ID, got, want)
					}
				}
				wantReject := res.NeverRan() || class == "read" || class == "all"
				if got := h.router.mayReject(q); got != wantReject {
					t.Errorf("%s after result %d: mayReject = %v, want %v", class, res, got, wantReject)
				}
				h.now += 501 * ms
				h.router.now = h.now
				if class == "all" && !res.NeverRan() && h.router.maySend(q, firstCache) {
					t.Errorf("a request with an idempotency key may be sent again after the idempotency window")
				}
			})
		}
	}
}

// TestRepeatDeadlineAllowsForSchedulingDelay checks that caches still drop a repeat that the router sends at the
// last permitted instant and writes after a pause of MaxSchedulingDelay.
func TestRepeatDeadlineAllowsForSchedulingDelay(t *testing.T) {
	for _, window := range []Time{100 * ms, 500 * ms, 1200 * ms, 4000 * ms} {
		t.Run(fmt.Sprint(window/ms, " ms"), func(t *testing.T) {
			c := Class{Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: window}
			const sent = 7000 * ms
			deadline := c.repeatDeadline(sent) // no repeat is sent later
			if written := deadline + MaxSchedulingDelay; deadline > sent && written > sent+window {
				t.Errorf("window of %d ms: a repeat may be written %d ms too late", window/ms, (written-sent-window)/ms)
			}
			if deadline < sent || window > 2*MaxSchedulingDelay && deadline < sent+window/2 {
				t.Errorf("window of %d ms: the last repeat is sent after %d ms, want at least half of a window above two scheduling delays",
					window/ms, (deadline-sent)/ms)
			}
		})
	}
}

// TestMaySendRefusesForbiddenAttempts checks maySend alone: it refuses forbidden attempts for any cache that the
// selection might choose.
func TestMaySendRefusesForbiddenAttempts(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 3, func(s *Settings) { s.AllowHedging = false })
	h.request(1, "read", 9)
	q, c := h.router.requests[1], h.router.serving[0]
	if h.router.maySend(q, c) {
		t.Error("maySend allows a second attempt in flight without AllowHedging")
	}
	q.attempts[0].state = attemptMayHaveRun
	if !h.router.maySend(q, c) {
		t.Error("maySend refuses a retry of an idempotent request")
	}
	for _, status := range []Status{Draining, Removed} {
		if c.Status = status; h.router.maySend(q, c) {
			t.Errorf("maySend allows a cache with status %d", status)
		}
	}
	c.Status = Serving
	q.streaming = true
	if h.router.maySend(q, c) {
		t.Error("maySend allows an attempt after the response has started")
	}
	// A request of a non-idempotent class is not sent again even if the class has an idempotency window.
	q = &request{Request: &Request{Deadline: h.now + 1e6}, class: &Class{Semantics: NonIdempotent, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: 1e9},
		attempts: []attempt{{cache: c, sentAt: h.now, state: attemptMayHaveRun}}}
	if h.router.maySend(q, c) || h.router.mayReject(q) {
		t.Error("a non-idempotent request that may have run may be sent again or rejected")
	}
}

// TestRepeatStaysWithinIdempotencyWindow checks until when a repeat is sent and the write deadline that it gets,
// both counted from the first attempt that may have run.
func TestRepeatStaysWithinIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		elapsed  Time // from the first attempt to its result
		repeated bool
	}{{340 * ms, true}, {350 * ms, false}, {470 * ms, false}, {500 * ms, false}} {
		t.Run(fmt.Sprint(c.elapsed/ms, " ms"), func(t *testing.T) {
			s := testSettings()
			s.Classes[1].ClientTimeout = 3000 * ms
			h := newHarness(t, s)
			h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
			q := &Request{ID: 1, Class: "all", Key: 5, HasKey: true, Deadline: h.now + 3000*ms, Write: true}
			first := sends(h.feed(q))
			if len(first) != 1 || first[0].WriteDeadline != 0 {
				t.Fatalf("first attempt: got %v, want one Send without a write deadline", first)
			}
			sent := h.now
			h.now += c.elapsed
			repeats := sends(h.feed(&AttemptResult{ID: 1, Result: Errored, Elapsed: c.elapsed}))
			if len(repeats) > 0 != c.repeated {
				t.Errorf("result after %d of 500 ms: repeated = %v, want %v", c.elapsed/ms, len(repeats) > 0, c.repeated)
			}
			if c.repeated && len(repeats) > 0 && repeats[0].WriteDeadline != sent+500*ms-MaxSchedulingDelay {
				t.Errorf("got a write deadline %d ms after the first attempt, want %d ms",
					(repeats[0].WriteDeadline-sent)/ms, (500*ms-MaxSchedulingDelay)/ms)
			}
		})
	}
}

// TestRequestWithoutIdempotencyKeyRunsOnce checks that a request without its idempotency key is neither sent again
// nor rejected after an attempt that may have run.
func TestRequestWithoutIdempotencyKeyRunsOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
	h.feed(&Request{ID: 1, Class: "all", Key: 5, HasKey: true, Deadline: h.now + 800*ms, Write: true, IdempotencyKeyMissing: true})
	h.now += 10 * ms
	actions := h.feed(&AttemptResult{ID: 1, Result: Errored, Elapsed: 10 * ms})
	if len(sends(actions)) > 0 {
		t.Error("the request was sent again after an attempt that may have run")
	}
	failed := false
	for _, a := range actions {
		if _, ok := a.(Fail); ok {
			failed = true
		}
	}
	if !failed {
		t.Errorf("got actions %v, want a Fail", actions)
	}
	h.feed(&Request{ID: 2, Class: "all", Key: 5, HasKey: true, Deadline: h.now + 800*ms, Write: true, IdempotencyKeyMissing: true})
	if actions := h.feed(&AttemptResult{ID: 2, Result: Rejected}); len(sends(actions)) != 1 {
		t.Error("the request was not sent again after an attempt that has not run")
	}
}
