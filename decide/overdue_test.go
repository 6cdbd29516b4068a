package decide

import (
	"fmt"
	"slices"
	"testing"
)

// TestSoleAttemptMayTakeItsLatencyObjective checks that the limit of a sole attempt falls only past the
// latency objective: where all caches are slow by themselves, a lower limit helps none.
func TestSoleAttemptMayTakeItsLatencyObjective(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 1, nil)
	c := b.r.caches["c00"]
	c.limit.value, c.responsive = b.r.soleAttemptLimit(), false
	b.request(1, "read", 7)
	b.advance(150 * ms)
	if c.limit.value != b.r.soleAttemptLimit() {
		t.Fatalf("limit cut to %v within the latency objective", c.limit.value)
	}
	b.advance(60 * ms)
	if c.limit.value >= b.r.soleAttemptLimit() {
		t.Fatal("limit not cut after the latency objective")
	}
}

// TestOverdueMissIsBlamedByResponsiveness checks that a late likely miss counts against the origin only
// where the cache serves its hits in time.
func TestOverdueMissIsBlamedByResponsiveness(t *testing.T) {
	for _, responsive := range []bool{true, false} {
		t.Run(fmt.Sprint("responsive ", responsive), func(t *testing.T) {
			b := newHarnessWithoutHealthChecks(t, 1, nil)
			c := b.r.caches["c00"]
			c.responsive = responsive
			limit, originLimit := c.limit.value, b.r.origin.limit.value
			b.request(1, "read", 7)
			b.advance(190 * ms)
			if (c.limit.value < limit) == responsive || (b.r.origin.limit.value < originLimit) != responsive {
				t.Errorf("responsive %v: limits %v to %v, %v to %v", responsive, limit, c.limit.value, originLimit, b.r.origin.limit.value)
			}
		})
	}
}

// TestOverdueMissIsNotBlamedOnOriginWhereCacheIsSlow checks that a cache that warms up, or was late with a
// likely hit, is blamed itself.
func TestOverdueMissIsNotBlamedOnOriginWhereCacheIsSlow(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 1, nil)
	c := b.r.caches["c00"]
	c.slowStart.from, c.slowStart.until, c.sent.updatedAt = b.now-9000*ms, b.now+1000*ms, b.now
	key := uint64(1)
	for !b.r.admitsDuringSlowStart(&request{Request: &Request{Key: key}}, c) {
		key++
	}
	originLimit := b.r.origin.limit.value
	if b.request(1, "read", key) == nil {
		t.Fatal("not sent")
	}
	b.advance(190 * ms)
	if b.r.origin.limit.value < originLimit {
		t.Error("the origin is blamed for a cache that warms up")
	}

	b = newHarnessWithoutHealthChecks(t, 1, nil)
	c = b.r.caches["c00"]
	c.cachedKeys[0][7] = true
	b.request(1, "read", 7)
	b.advance(150 * ms)
	if c.responsive {
		t.Error("a cache late with a likely hit still counts as responsive")
	}
	b.serve(1, 0)
	b.request(2, "read", 7)
	b.serve(2, 0)
	if !c.responsive {
		t.Error("a hit in time does not make it responsive again")
	}
}

// TestLowTrafficCancelsAttemptsPastTheirObjective checks that an attempt past its latency objective, which
// keeps a cache overloaded, is cancelled in low traffic per router only.
func TestLowTrafficCancelsAttemptsPastTheirObjective(t *testing.T) {
	for routers, want := range map[int]bool{3: false, 300: true} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			b := newLowTrafficHarness(t, 20, func(s *Settings) { s.Routers, s.AllowCancel, s.AllowHedging = routers, true, false })
			if b.request(1, "read", 42) == nil {
				t.Fatal("nothing was sent")
			}
			b.advance(b.r.classes["read"].LatencyObjective + 10*ms)
			called := slices.ContainsFunc(b.acts, func(a Action) bool {
				c, is := a.(Cancel)
				return is && c.ID == 1
			})
			if called != want {
				t.Errorf("with %d routers an attempt past its latency objective is called off: %v, want %v", routers, called, want)
			}
		})
	}
}
