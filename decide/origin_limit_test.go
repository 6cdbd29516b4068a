package decide

import (
	"testing"
)

// TestOriginLimitHoldsBackLikelyMisses checks that errors lower the origin limit, and that it holds back
// likely misses only.
func TestOriginLimitHoldsBackLikelyMisses(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 4, nil)
	for id := range int64(30) {
		if b.request(id+1, "read", uint64(id)) != nil {
			b.end(id+1, 0, Errored, true)
		}
	}
	if b.r.origin.limit.value != 1 {
		t.Fatalf("errors left the limit on misses at %v", b.r.origin.limit.value)
	}
	b.request(100, "read", 1000)
	if s := b.request(101, "read", 1001); s != nil {
		t.Fatal("a second likely miss went out")
	}
	for _, c := range b.r.caches {
		c.cachedKeys[0][7] = true
	}
	if s := b.request(102, "read", 7); s == nil {
		t.Fatal("a likely hit was held for the origin's sake")
	}
	b.feed(&Request{ID: 103, Class: "once", Key: 1003, HasKey: true, Deadline: b.now + 800*ms, Write: true})
	if len(sends(b.acts)) == 0 {
		t.Fatal("a write was held for the limit on misses")
	}
}

// TestOriginLimitCountsExpectedMisses checks that likely misses count by the ratio of true ones: one router
// of many would hold back mostly hits.
func TestOriginLimitCountsExpectedMisses(t *testing.T) {
	sent := func(miss bool) (n int) {
		b := newHarnessWithoutHealthChecks(t, 8, nil)
		for id := range int64(400) {
			if b.request(id+1, "read", uint64(id)) != nil {
				b.feed(&AttemptResult{ID: id + 1, Result: Served, Last: true, Miss: miss, Load: LoadReport{Utilization: -1}})
			}
		}
		b.r.origin.limit.value = 2
		for id := range int64(20) {
			if b.request(id+1000, "read", uint64(id+1000)) != nil {
				n++
			}
		}
		return n
	}
	if hits, misses := sent(false), sent(true); misses != 2 || hits < 10 {
		t.Errorf("under a limit of 2 likely misses %d are sent where all were misses, %d where none was", misses, hits)
	}
}

// TestOriginLimitIsInitializedByFirstCaches checks that an empty first list does not leave the origin limit
// at its minimum.
func TestOriginLimitIsInitializedByFirstCaches(t *testing.T) {
	s := settings()
	s.AllowHealthChecks = false
	b := newHarness(t, s)
	b.feed(&EndpointList{Kind: StaleUpdate})
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(8)})
	if want := float64(initialConcurrency*8) / float64(s.Routers); b.r.origin.limit.value != want {
		t.Errorf("%v likely misses may be out, want %v", b.r.origin.limit.value, want)
	}
}

// TestLowTrafficOriginIsNotBlamedForHangingCaches checks that likely misses at caches that hang leave the
// origin limit, and that true ones that are late lower it.
func TestLowTrafficOriginIsNotBlamedForHangingCaches(t *testing.T) {
	b := newLowTrafficHarness(t, 100, nil)
	before := b.r.origin.limit.value
	for id := int64(1); id <= 8; id++ {
		b.request(id, "read", mix(uint64(id)))
		b.timeOut(id)
	}
	if b.r.origin.limit.value < before {
		t.Errorf("%v likely misses may be out after eight requests to caches that hung, %v before", b.r.origin.limit.value, before)
	}
	b.r.timeliness.attempts, b.r.timeliness.inTime = 0, 0
	b.r.hotKeys.total[0] = 1000
	b.r.origin.limit.value = 5
	for id := int64(100); id < 104; id++ {
		if b.request(id, "read", mix(uint64(id))) == nil {
			t.Fatal("nothing was sent")
		}
		b.advance(150 * ms)
		for n := range 2 {
			b.feed(&AttemptResult{ID: id, Attempt: n, Result: Served, Elapsed: 150 * ms, Miss: true, Last: true, Load: LoadReport{Utilization: -1}})
		}
	}
	if b.r.origin.limit.value >= 5 {
		t.Error("true misses that were late leave the origin's limit as it was")
	}
}
