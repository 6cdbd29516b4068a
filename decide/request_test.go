package decide

import (
	"slices"
	"testing"
)

// TestRequestWithoutCachesIsAnsweredOnce checks that a request gets one final answer before any list, and
// with an empty one.
func TestRequestWithoutCachesIsAnsweredOnce(t *testing.T) {
	b := newHarness(t, settings())
	if b.feed(&Request{ID: 1, Class: "once", Deadline: b.now + 100*ms}); finalAnswers(b.acts)+finalAnswers(b.advance(longAfterDeadline)) != 1 {
		t.Fatal("before any list: want one final answer")
	}
	b.feed(&EndpointList{Kind: FullUpdate})
	if b.feed(&Request{ID: 2, Class: "read", Deadline: b.now + 100*ms}); finalAnswers(b.acts)+finalAnswers(b.advance(longAfterDeadline)) != 1 {
		t.Fatal("empty fleet: want one final answer")
	}
}

const longAfterDeadline = 1000 * ms

// TestRequestPastItsDeadlineIsAnsweredAtOnce checks that a request that arrives after its deadline is
// answered and not sent.
func TestRequestPastItsDeadlineIsAnsweredAtOnce(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	b.feed(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: b.now - 1})
	if finalAnswers(b.acts) != 1 || len(sends(b.acts)) != 0 {
		t.Fatalf("want one final answer and nothing sent, got %v", b.acts)
	}
}

// TestAttemptResultAtDeadlineIsNoFinalAnswer checks that a result at the deadline that is not the last one
// is followed by a final answer, once.
func TestAttemptResultAtDeadlineIsNoFinalAnswer(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	b.request(1, "once", 1)
	b.now += 800 * ms
	b.feed(&AttemptResult{ID: 1, Result: TimedOut})
	if finalAnswers(b.acts) != 1 || !slices.Contains(b.acts, Action(Fail{ID: 1, Reason: DeadlineExceeded})) {
		t.Fatalf("got %v", b.acts)
	}
	if acts := b.advance(longAfterDeadline); finalAnswers(acts) != 0 {
		t.Fatalf("answered twice: %v", acts)
	}
}

// TestRequestsWithoutKeySpreadOverCaches checks that requests without a key reach all caches.
func TestRequestsWithoutKeySpreadOverCaches(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	used := map[string]bool{}
	for id := range int64(60) {
		s := sends(b.feed(&Request{ID: id + 1, Class: "read", Deadline: b.now + 800*ms}))
		if len(s) != 1 || s[0].ID != id+1 {
			t.Fatalf("got %v", b.acts)
		}
		used[s[0].Cache] = true
		b.serve(id+1, 0)
	}
	if len(used) != 3 {
		t.Fatalf("keyless requests reach %v", used)
	}
}
