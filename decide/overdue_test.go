package decide

import (
	"fmt"
	"slices"
	"testing"
)

// TestSoleAttemptMayTakeItsLatencyObjective checks that an overdue sole attempt lowers the limit of its cache only after
// the latency objective. Where all caches are slow without load, a lower limit makes none of them faster.
func TestSoleAttemptMayTakeItsLatencyObjective(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 1, nil)
	c := h.router.caches["c00"]
	c.limit.value, c.responsive = h.router.soleAttemptLimit(), false
	h.request(1, "read", 7)
	h.advance(150 * ms)
	if c.limit.value != h.router.soleAttemptLimit() {
		t.Fatalf("within the latency objective: got a limit of %v, want the unchanged %v", c.limit.value, h.router.soleAttemptLimit())
	}
	h.advance(60 * ms)
	if c.limit.value >= h.router.soleAttemptLimit() {
		t.Fatalf("after the latency objective: got a limit of %v, want less than %v", c.limit.value, h.router.soleAttemptLimit())
	}
}

// TestOverdueMissIsBlamedByResponsiveness checks that a late likely miss lowers the origin limit if the cache serves its
// hits in time, and the limit of the cache otherwise.
func TestOverdueMissIsBlamedByResponsiveness(t *testing.T) {
	for _, responsive := range []bool{true, false} {
		t.Run(fmt.Sprint("responsive ", responsive), func(t *testing.T) {
			h := newHarnessWithoutHealthChecks(t, 1, nil)
			c := h.router.caches["c00"]
			c.responsive = responsive
			limit, originLimit := c.limit.value, h.router.origin.limit.value
			h.request(1, "read", 7)
			h.advance(190 * ms)
			if (c.limit.value < limit) == responsive || (h.router.origin.limit.value < originLimit) != responsive {
				t.Errorf("responsive %v: cache limit %v before and %v after, origin limit %v before and %v after, want only the %s limit lowered",
					responsive, limit, c.limit.value, originLimit, h.router.origin.limit.value, map[bool]string{true: "origin", false: "cache"}[responsive])
			}
		})
	}
}

// TestOverdueMissIsNotBlamedOnOriginWhereCacheIsSlow checks that a late attempt counts against the cache, not the origin,
// if the cache warms up or served a likely hit late.
func TestOverdueMissIsNotBlamedOnOriginWhereCacheIsSlow(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 1, nil)
	c := h.router.caches["c00"]
	c.slowStart.from, c.slowStart.until, c.sent.updatedAt = h.now-9000*ms, h.now+1000*ms, h.now
	key := uint64(1)
	for !h.router.admitsDuringSlowStart(&request{Request: &Request{Key: key}}, c) {
		key++
	}
	originLimit := h.router.origin.limit.value
	if h.request(1, "read", key) == nil {
		t.Fatal("the request was not sent")
	}
	h.advance(190 * ms)
	if h.router.origin.limit.value < originLimit {
		t.Error("a late attempt at a cache that warms up lowered the origin limit")
	}

	h = newHarnessWithoutHealthChecks(t, 1, nil)
	c = h.router.caches["c00"]
	c.cachedKeys[0][7] = true
	h.request(1, "read", 7)
	h.advance(150 * ms)
	if c.responsive {
		t.Error("a cache counts as responsive after a late likely hit")
	}
	h.serve(1, 0)
	h.request(2, "read", 7)
	h.serve(2, 0)
	if !c.responsive {
		t.Error("a cache does not count as responsive after a hit in time")
	}
}

// TestLowTrafficCancelsAttemptsPastTheirObjective checks that an attempt past its latency objective is cancelled in low
// traffic per router only. There, such attempts keep a cache overloaded.
func TestLowTrafficCancelsAttemptsPastTheirObjective(t *testing.T) {
	for routers, want := range map[int]bool{3: false, 300: true} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			h := newLowTrafficHarness(t, 20, func(s *Settings) { s.Routers, s.AllowCancel, s.AllowHedging = routers, true, false })
			if h.request(1, "read", 42) == nil {
				t.Fatal("the request was not sent")
			}
			h.advance(h.router.classes["read"].LatencyObjective + 10*ms)
			cancelled := slices.ContainsFunc(h.actions, func(a Action) bool {
				c, ok := a.(Cancel)
				return ok && c.ID == 1
			})
			if cancelled != want {
				t.Errorf("%d routers: attempt cancelled past its latency objective = %v, want %v", routers, cancelled, want)
			}
		})
	}
}
