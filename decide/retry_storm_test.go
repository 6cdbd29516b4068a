package decide

import (
	"reflect"
	"testing"
)

// newStormHarness returns a router before four caches, during a retry storm.
func newStormHarness(t *testing.T, p RetryStorm) *harness {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
	b.feed(&p)
	b.r.storm.lastFirstTryRejectedAt, b.r.lastSendAt = b.now, b.now // a first try was rejected just now, and another one sent
	return b
}

func rejections(acts []Action) []Reject {
	var all []Reject
	for _, a := range acts {
		if r, ok := a.(Reject); ok {
			all = append(all, r)
		}
	}
	return all
}

// TestStormRejectsLateRetryAtOnce checks that a retry that can't be served in time is rejected while first
// tries are, and an earlier one is sent.
func TestStormRejectsLateRetryAtOnce(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	old := &Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: b.now + 500*ms, FirstRequestedAt: b.now - 200*ms}
	acts := b.feed(old)
	if len(acts) != 1 || len(rejections(acts)) != 1 {
		t.Fatalf("%v: a rejection and nothing else is wanted", acts)
	}
	if b.r.Open() != 0 {
		t.Fatalf("%d requests are kept", b.r.Open())
	}
	young := &Request{ID: 2, Class: "read", Key: 2, HasKey: true, Deadline: b.now + 500*ms, FirstRequestedAt: b.now - 20*ms}
	if len(sends(b.feed(young))) != 1 {
		t.Fatalf("%v: a retry that can still be served in time is sent", b.acts)
	}
}

// TestStormAdmitsLateRetryWhereFirstTriesAreServed checks that a late retry is sent if no first try was
// rejected lately.
func TestStormAdmitsLateRetryWhereFirstTriesAreServed(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	b.advance(600 * ms)
	late := &Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: b.now + 500*ms, FirstRequestedAt: b.now - 200*ms}
	if len(sends(b.feed(late))) != 1 {
		t.Fatalf("%v: nobody has a better claim, and rejected it comes back for ever", b.acts)
	}
}

// TestFirstRequestedAtChangesNothingWithoutStorm checks that what is known of a retry counts during a storm
// only.
func TestFirstRequestedAtChangesNothingWithoutStorm(t *testing.T) {
	play := func(since Time, p *RetryStorm) []Action {
		b := newHarness(t, settings())
		b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
		if p != nil {
			b.feed(p)
		}
		var all []Action
		for id := range int64(20) {
			all = append(all, b.feed(&Request{ID: id + 1, Class: "read", Key: uint64(id), HasKey: true,
				Deadline: b.now + 500*ms, FirstRequestedAt: since})...)
		}
		return append(all, b.advance(2000*ms)...)
	}
	want := play(0, nil)
	if got := play(1e9-400*ms, nil); !reflect.DeepEqual(got, want) {
		t.Error("what is known of a retry counts without pressure")
	}
	if got := play(0, &RetryStorm{Outage: true, RetryBudgetFraction: 1, RetryAfterJitter: 100 * ms}); len(got) != len(want) {
		t.Errorf("%d actions where pressure is off, %d without a word of it", len(got), len(want))
	}
}

// TestStormRetryAfterHasJitter checks that clients that are rejected together are asked to stay away for
// different times.
func TestStormRetryAfterHasJitter(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	times := map[Time]int{}
	for id := range int64(100) {
		for _, r := range rejections(b.feed(&Request{ID: id + 1, Class: "read", Key: 7, HasKey: true,
			Deadline: b.now + 500*ms, FirstRequestedAt: b.now - 300*ms})) {
			if r.RetryAfter < 100*ms || r.RetryAfter > 600*ms {
				t.Errorf("a wait of %d µs", r.RetryAfter)
			}
			times[r.RetryAfter/(10*ms)]++
		}
	}
	if len(times) < 25 {
		t.Errorf("100 rejections name %d times: %v", len(times), times)
	}
}

// TestStormRetryAfterStaysWithinMaximum checks that the jitter does not exceed MaxRetryAfter.
func TestStormRetryAfterStaysWithinMaximum(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 100_000 * ms})
	for id := range int64(50) {
		for _, r := range rejections(b.feed(&Request{ID: id + 1, Class: "read", Key: uint64(id), HasKey: true,
			Deadline: b.now + 500*ms, FirstRequestedAt: b.now - 300*ms})) {
			if r.RetryAfter > b.r.settings.MaxRetryAfter {
				t.Errorf("a wait of %d µs, clients honour %d", r.RetryAfter, b.r.settings.MaxRetryAfter)
			}
		}
	}
}

// TestStormSendsRetryWhereNothingElseIsSent checks that retries are sent again after a time without
// attempts, when caches have capacity by now.
func TestStormSendsRetryWhereNothingElseIsSent(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	late := func(id int64) *Request {
		return &Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: b.now + 500*ms, FirstRequestedAt: b.now - 200*ms}
	}
	if len(sends(b.feed(late(1)))) != 0 {
		t.Fatalf("%v: caches were full just now", b.acts)
	}
	b.now += b.r.settings.DrainGrace / 10
	if len(sends(b.feed(late(2)))) != 1 {
		t.Errorf("%v: nothing has been sent for a while", b.acts)
	}
	for _, c := range b.r.caches {
		c.limit.value, c.sent.updatedAt = minConcurrency, b.now
	}
	b.now += b.r.settings.DrainGrace / 4
	if len(sends(b.feed(&Request{ID: 3, Class: "read", Key: 3, HasKey: true, Deadline: b.now + 500*ms}))) != 1 {
		t.Errorf("%v: with all limits low, one is sent to find out", b.acts)
	}
}

// TestRejectionWithoutCachesSaysNothingOfCapacity checks that what is rejected before any cache is known
// does not have retries rejected later.
func TestRejectionWithoutCachesSaysNothingOfCapacity(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&RetryStorm{Active: true, RetryAfterJitter: 500 * ms})
	b.feed(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: b.now + 500*ms})
	if b.r.storm.lastFirstTryRejectedAt != 0 {
		t.Error("the rejection counts as one for lack of capacity")
	}
}

// TestStormRejectsLateNonIdempotentRequestThatHasNotRun checks that a late request that must not run twice
// may be rejected, as nothing of it has run here.
func TestStormRejectsLateNonIdempotentRequestThatHasNotRun(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, RetryAfterJitter: 100 * ms})
	acts := b.feed(&Request{ID: 1, Class: "once", Key: 1, HasKey: true, Deadline: b.now + 500*ms, FirstRequestedAt: b.now - 300*ms})
	if len(rejections(acts)) != 1 {
		t.Errorf("%v: nothing of it has run here, so a rejection does no harm", acts)
	}
}

// TestOutageTriesCachesAndResetsRestartedOnes checks that caches that are away get attempts, so that their
// return is noticed, and that a restarted one begins with the minimum limit.
func TestOutageTriesCachesAndResetsRestartedOnes(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, Outage: true, RetryBudgetFraction: 0.1})
	tries := func(id int64) (n int) {
		acts := b.feed(&Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: b.now + 700*ms})
		for len(sends(acts)) > 0 {
			n++
			acts = b.feed(&AttemptResult{ID: id, Attempt: n - 1, Result: ConnectFailed, Load: LoadReport{Utilization: -1}})
		}
		return n
	}
	for id := range int64(50) {
		if tries(id+1) == 0 {
			t.Fatalf("request %d: nobody would find out that the caches are back", id)
		}
	}
	entries := fleet(4)
	for i := range entries {
		entries[i].StartedAt = b.now - 100*ms
	}
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: entries})
	if limit := b.r.serving[0].limit.value; limit != minConcurrencyInOutage {
		t.Errorf("the limit of a new cache is %.1f, by what was seen of the old one", limit)
	}
	sent := 0
	for id := range int64(20) {
		sent += len(sends(b.feed(&Request{ID: 100 + id, Class: "read", Key: uint64(id), HasKey: true,
			Deadline: b.now + 700*ms})))
	}
	if sent == 0 || sent > 4 {
		t.Errorf("%d attempts at four caches that have just started", sent)
	}
}
