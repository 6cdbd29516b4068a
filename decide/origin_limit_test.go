package decide

import (
	"testing"
)

// TestOriginLimitHoldsBackLikelyMisses checks that errors lower the origin limit, and that the limit delays only
// likely misses, neither likely hits nor writes.
func TestOriginLimitHoldsBackLikelyMisses(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 4, nil)
	for id := range int64(30) {
		if h.request(id+1, "read", uint64(id)) != nil {
			h.endAttempt(id+1, 0, Errored, true)
		}
	}
	if h.router.origin.limit.value != 1 {
		t.Fatalf("after errors: got an origin limit of %v, want 1", h.router.origin.limit.value)
	}
	h.request(100, "read", 1000)
	if s := h.request(101, "read", 1001); s != nil {
		t.Fatal("a second likely miss was sent under an origin limit of 1")
	}
	for _, c := range h.router.caches {
		c.cachedKeys[0][7] = true
	}
	if s := h.request(102, "read", 7); s == nil {
		t.Fatal("a likely hit was not sent")
	}
	h.feed(&Request{ID: 103, Class: "once", Key: 1003, HasKey: true, Deadline: h.now + 800*ms, Write: true})
	if len(sends(h.actions)) == 0 {
		t.Fatal("a write was not sent")
	}
}

// TestOriginLimitCountsExpectedMisses checks that likely misses count in proportion to the ratio of true misses.
// Otherwise, one router of many, which knows few keys, would delay mostly hits.
func TestOriginLimitCountsExpectedMisses(t *testing.T) {
	sent := func(miss bool) (n int) {
		h := newHarnessWithoutHealthChecks(t, 8, nil)
		for id := range int64(400) {
			if h.request(id+1, "read", uint64(id)) != nil {
				h.feed(&AttemptResult{ID: id + 1, Result: Served, Final: true, Miss: miss, Load: LoadReport{Utilization: -1}})
			}
		}
		h.router.origin.limit.value = 2
		for id := range int64(20) {
			if h.request(id+1000, "read", uint64(id+1000)) != nil {
				n++
			}
		}
		return n
	}
	if hits, misses := sent(false), sent(true); misses != 2 || hits < 10 {
		t.Errorf("origin limit of 2: got %d likely misses sent where all were true misses and %d where none was, want 2 and at least 10", misses, hits)
	}
}

// TestOriginLimitIsInitializedByFirstCaches checks that the first caches set the origin limit. An empty first list
// must not set the limit to its minimum.
func TestOriginLimitIsInitializedByFirstCaches(t *testing.T) {
	s := testSettings()
	s.AllowHealthChecks = false
	h := newHarness(t, s)
	h.feed(&EndpointList{Kind: StaleUpdate})
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(8)})
	if want := float64(initialConcurrency*8) / float64(s.Routers); h.router.origin.limit.value != want {
		t.Errorf("got an origin limit of %v, want %v", h.router.origin.limit.value, want)
	}
}

// TestLowTrafficOriginIsNotBlamedForHangingCaches checks that likely misses at hanging caches don't lower the origin
// limit, and that late true misses do.
func TestLowTrafficOriginIsNotBlamedForHangingCaches(t *testing.T) {
	h := newLowTrafficHarness(t, 100, nil)
	before := h.router.origin.limit.value
	for id := int64(1); id <= 8; id++ {
		h.request(id, "read", mix(uint64(id)))
		h.timeOutRequest(id)
	}
	if h.router.origin.limit.value < before {
		t.Errorf("after eight requests to hanging caches: got an origin limit of %v, want at least the %v of before", h.router.origin.limit.value, before)
	}
	h.router.timeliness.attempts, h.router.timeliness.inTime = 0, 0
	h.router.hotKeys.total[0] = 1000
	h.router.origin.limit.value = 5
	for id := int64(100); id < 104; id++ {
		if h.request(id, "read", mix(uint64(id))) == nil {
			t.Fatal("the request was not sent")
		}
		h.advance(150 * ms)
		for n := range 2 {
			h.feed(&AttemptResult{ID: id, Attempt: n, Result: Served, Elapsed: 150 * ms, Miss: true, Final: true, Load: LoadReport{Utilization: -1}})
		}
	}
	if h.router.origin.limit.value >= 5 {
		t.Errorf("after late true misses: got an origin limit of %v, want less than 5", h.router.origin.limit.value)
	}
}
