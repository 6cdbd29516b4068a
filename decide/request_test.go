package decide

import (
	"slices"
	"testing"
)

// TestRequestWithoutCachesIsAnsweredOnce checks that a request gets one final answer before the first endpoint list,
// and with an empty list.
func TestRequestWithoutCachesIsAnsweredOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	if h.feed(&Request{ID: 1, Class: "once", Deadline: h.now + 100*ms}); countFinalAnswers(h.actions)+
		countFinalAnswers(h.advance(longAfterDeadline)) != 1 {
		t.Fatal("before the first list: the request did not get exactly one final answer")
	}
	h.feed(&EndpointList{Kind: FullUpdate})
	if h.feed(&Request{ID: 2, Class: "read", Deadline: h.now + 100*ms}); countFinalAnswers(h.actions)+
		countFinalAnswers(h.advance(longAfterDeadline)) != 1 {
		t.Fatal("empty list: the request did not get exactly one final answer")
	}
}

// longAfterDeadline is a span after which every deadline in these tests has passed; µs.
const longAfterDeadline = 1000 * ms

// TestRequestPastItsDeadlineIsAnsweredAtOnce checks that a request that arrives after its deadline gets its final
// answer immediately and is not sent.
func TestRequestPastItsDeadlineIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	h.feed(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: h.now - 1})
	if countFinalAnswers(h.actions) != 1 || len(sends(h.actions)) != 0 {
		t.Fatalf("got %v, want one final answer and no Send", h.actions)
	}
}

// TestAttemptResultAtDeadlineIsNoFinalAnswer checks that an attempt result without Final at the deadline is followed by
// exactly one final answer.
func TestAttemptResultAtDeadlineIsNoFinalAnswer(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	h.request(1, "once", 1)
	h.now += 800 * ms
	h.feed(&AttemptResult{ID: 1, Result: TimedOut})
	if countFinalAnswers(h.actions) != 1 || !slices.Contains(h.actions, Action(Fail{ID: 1, Reason: DeadlineExceeded})) {
		t.Fatalf("got %v, want one final answer, a Fail with reason %q", h.actions, DeadlineExceeded)
	}
	if actions := h.advance(longAfterDeadline); countFinalAnswers(actions) != 0 {
		t.Fatalf("got a second final answer: %v", actions)
	}
}

// TestRequestsWithoutKeySpreadOverCaches checks that requests without a key are spread over all caches.
func TestRequestsWithoutKeySpreadOverCaches(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	used := map[string]bool{}
	for id := range int64(60) {
		s := sends(h.feed(&Request{ID: id + 1, Class: "read", Deadline: h.now + 800*ms}))
		if len(s) != 1 || s[0].ID != id+1 {
			t.Fatalf("request %d: got %v, want one Send", id+1, h.actions)
		}
		used[s[0].Cache] = true
		h.serve(id+1, 0)
	}
	if len(used) != 3 {
		t.Fatalf("requests without a key were sent to %v, want all three caches", used)
	}
}
