package decide

import (
	"reflect"
	"testing"
)

// newStormHarness returns a harness of a router in front of four caches, during a retry storm.
func newStormHarness(t *testing.T, storm RetryStorm) *harness {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
	h.feed(&storm)
	h.router.storm.lastFirstTryRejectedAt, h.router.lastSendAt = h.now, h.now // a first try was rejected at this instant, and another one was sent
	return h
}

// rejections returns the Rejects among the actions.
func rejections(actions []Action) []Reject {
	var all []Reject
	for _, a := range actions {
		if r, ok := a.(Reject); ok {
			all = append(all, r)
		}
	}
	return all
}

// TestStormRejectsLateRetryAtOnce checks that a client's retry that can't be served in time any more is rejected
// immediately while first tries are rejected, and that a retry that still can be is sent.
func TestStormRejectsLateRetryAtOnce(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	late := &Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: h.now + 500*ms, FirstRequestedAt: h.now - 200*ms}
	actions := h.feed(late)
	if len(actions) != 1 || len(rejections(actions)) != 1 {
		t.Fatalf("late retry: got %v, want one Reject only", actions)
	}
	if h.router.OpenRequests() != 0 {
		t.Fatalf("got %d open requests after the rejection, want none", h.router.OpenRequests())
	}
	early := &Request{ID: 2, Class: "read", Key: 2, HasKey: true, Deadline: h.now + 500*ms, FirstRequestedAt: h.now - 20*ms}
	if len(sends(h.feed(early))) != 1 {
		t.Fatalf("retry that can still be served in time: got %v, want one Send", h.actions)
	}
}

// TestStormAdmitsLateRetryWhereFirstTriesAreServed checks that a late retry is sent if no first try was rejected
// within the last half of the drain grace. A rejected retry would come back until its client gives up.
func TestStormAdmitsLateRetryWhereFirstTriesAreServed(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	h.advance(600 * ms)
	late := &Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: h.now + 500*ms, FirstRequestedAt: h.now - 200*ms}
	if len(sends(h.feed(late))) != 1 {
		t.Fatalf("late retry without recent rejections of first tries: got %v, want one Send", h.actions)
	}
}

// TestFirstRequestedAtChangesNothingWithoutStorm checks that FirstRequestedAt has an effect during a retry storm only.
func TestFirstRequestedAtChangesNothingWithoutStorm(t *testing.T) {
	run := func(firstRequestedAt Time, storm *RetryStorm) []Action {
		h := newHarness(t, testSettings())
		h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
		if storm != nil {
			h.feed(storm)
		}
		var all []Action
		for id := range int64(20) {
			all = append(all, h.feed(&Request{ID: id + 1, Class: "read", Key: uint64(id), HasKey: true,
				Deadline: h.now + 500*ms, FirstRequestedAt: firstRequestedAt})...)
		}
		return append(all, h.advance(2000*ms)...)
	}
	want := run(0, nil)
	if got := run(1e9-400*ms, nil); !reflect.DeepEqual(got, want) {
		t.Error("FirstRequestedAt changed the actions without a retry storm")
	}
	if got := run(0, &RetryStorm{Outage: true, RetryBudgetFraction: 1, RetryAfterJitter: 100 * ms}); len(got) != len(want) {
		t.Errorf("after a RetryStorm that is not Active: got %d actions, want %d as without one", len(got), len(want))
	}
}

// TestStormRetryAfterHasJitter checks that requests that are rejected together get different RetryAfter times.
func TestStormRetryAfterHasJitter(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	times := map[Time]int{}
	for id := range int64(100) {
		for _, r := range rejections(h.feed(&Request{ID: id + 1, Class: "read", Key: 7, HasKey: true,
			Deadline: h.now + 500*ms, FirstRequestedAt: h.now - 300*ms})) {
			if r.RetryAfter < 100*ms || r.RetryAfter > 600*ms {
				t.Errorf("got a RetryAfter of %d µs, want 100 to 600 ms", r.RetryAfter)
			}
			times[r.RetryAfter/(10*ms)]++
		}
	}
	if len(times) < 25 {
		t.Errorf("got %d different RetryAfter times of 100 rejections, in steps of 10 ms, want at least 25: %v", len(times), times)
	}
}

// TestStormRetryAfterStaysWithinMaximum checks that RetryAfter does not exceed MaxRetryAfter for any jitter.
func TestStormRetryAfterStaysWithinMaximum(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 100_000 * ms})
	for id := range int64(50) {
		for _, r := range rejections(h.feed(&Request{ID: id + 1, Class: "read", Key: uint64(id), HasKey: true,
			Deadline: h.now + 500*ms, FirstRequestedAt: h.now - 300*ms})) {
			if r.RetryAfter > h.router.settings.MaxRetryAfter {
				t.Errorf("got a RetryAfter of %d µs, want at most %d µs", r.RetryAfter, h.router.settings.MaxRetryAfter)
			}
		}
	}
}

// TestStormSendsRetryWhereNothingElseIsSent checks that late retries are sent after a time without attempts, as the
// caches have capacity again then.
func TestStormSendsRetryWhereNothingElseIsSent(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	late := func(id int64) *Request {
		return &Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: h.now + 500*ms, FirstRequestedAt: h.now - 200*ms}
	}
	if len(sends(h.feed(late(1)))) != 0 {
		t.Fatalf("late retry directly after a rejected first try: got %v, want no Send", h.actions)
	}
	h.now += h.router.settings.DrainGrace / 10
	if len(sends(h.feed(late(2)))) != 1 {
		t.Errorf("late retry after a tenth of the drain grace without attempts: got %v, want one Send", h.actions)
	}
	for _, c := range h.router.caches {
		c.limit.value, c.sent.updatedAt = minConcurrency, h.now
	}
	h.now += h.router.settings.DrainGrace / 4
	if len(sends(h.feed(&Request{ID: 3, Class: "read", Key: 3, HasKey: true, Deadline: h.now + 500*ms}))) != 1 {
		t.Errorf("request with all limits at the minimum and no attempts in flight: got %v, want one Send", h.actions)
	}
}

// TestRejectionWithoutCachesSaysNothingOfCapacity checks that a rejection before any cache is known does not count as a
// lack of capacity, for which retries would be rejected later.
func TestRejectionWithoutCachesSaysNothingOfCapacity(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	h.feed(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: h.now + 500*ms})
	if h.router.storm.lastFirstTryRejectedAt != 0 {
		t.Error("a rejection without any cache counts as a lack of capacity")
	}
}

// TestStormRejectsLateNonIdempotentRequestThatHasNotRun checks that a late non-idempotent request is rejected during a
// storm. The router has not sent it, so that another try does no harm.
func TestStormRejectsLateNonIdempotentRequestThatHasNotRun(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 100 * ms})
	actions := h.feed(&Request{ID: 1, Class: "once", Key: 1, HasKey: true, Deadline: h.now + 500*ms, FirstRequestedAt: h.now - 300*ms})
	if len(rejections(actions)) != 1 {
		t.Errorf("late non-idempotent request that was not sent: got %v, want one Reject", actions)
	}
}

// TestOutageTriesCachesAndResetsRestartedOnes checks that unreachable caches get attempts during an outage, so that the
// router detects their return, and that a restarted cache begins with the minimum limit.
func TestOutageTriesCachesAndResetsRestartedOnes(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, Outage: true, RetryBudgetFraction: 0.1})
	attempts := func(id int64) (n int) {
		actions := h.feed(&Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: h.now + 700*ms})
		for len(sends(actions)) > 0 {
			n++
			actions = h.feed(&AttemptResult{ID: id, Attempt: n - 1, Result: ConnectFailed, Load: LoadReport{Utilization: -1}})
		}
		return n
	}
	for id := range int64(50) {
		if attempts(id+1) == 0 {
			t.Fatalf("request %d: got no attempt, want at least one", id)
		}
	}
	endpoints := fleet(4)
	for i := range endpoints {
		endpoints[i].StartedAt = h.now - 100*ms
	}
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	if limit := h.router.serving[0].limit.value; limit != minConcurrencyInOutage {
		t.Errorf("restarted cache: got a limit of %.1f, want %v", limit, minConcurrencyInOutage)
	}
	sent := 0
	for id := range int64(20) {
		sent += len(sends(h.feed(&Request{ID: 100 + id, Class: "read", Key: uint64(id), HasKey: true,
			Deadline: h.now + 700*ms})))
	}
	if sent == 0 || sent > 4 {
		t.Errorf("got %d attempts at four restarted caches, want 1 to 4", sent)
	}
}
