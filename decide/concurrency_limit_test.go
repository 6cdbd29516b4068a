package decide

import (
	"testing"
)

// TestConcurrencyLimitQueuesThenRejects checks that requests above the limit of a cache wait, and are
// rejected at their queue deadline: a cache above its limit serves everything late.
func TestConcurrencyLimitQueuesThenRejects(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 1, nil)
	b.r.caches["c00"].cachedKeys[0][7] = true // hits: the origin has no part in it
	sent := 0
	for id := range int64(40) {
		if b.request(id+1, "read", 7) != nil {
			sent++
		}
	}
	limit := b.r.caches["c00"].limit.value
	if sent == 0 || float64(sent) > limit+1 {
		t.Fatalf("%d sent under a limit of %v", sent, limit)
	}
	acts := b.advance(90 * ms)
	if got := finalAnswers(acts); got != 40-sent {
		t.Fatalf("%d of %d held requests shed within the hold", got, 40-sent)
	}
	b.advance(20 * ms)
	if got := b.r.caches["c00"].limit.value; got >= limit {
		t.Fatalf("overdue attempts left the limit at %v", got)
	}
}

// TestConcurrencyLimitBelowOneLeavesGaps checks that an overloaded cache gets time without attempts, which
// it needs to recover.
func TestConcurrencyLimitBelowOneLeavesGaps(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 1, nil)
	c := b.r.caches["c00"]
	c.limit.value = 0.2
	c.cachedKeys[0][7] = true
	if b.request(1, "read", 7) == nil {
		t.Fatal("an idle cache gets nothing")
	}
	b.end(1, 0, Served, true)
	c.limit.value = 0.2
	if b.request(2, "read", 7) != nil {
		t.Fatal("no gap after an attempt")
	}
	b.advance(5 * b.r.shortestTimeout)
	if b.request(3, "read", 7) == nil {
		t.Fatal("nothing sent after the gap")
	}
}

// TestResultsCountInPartForOtherCaches checks that a late attempt lowers the limits of other caches too,
// but less, and not below a sole attempt: one router of many would notice a surge at each cache separately.
func TestResultsCountInPartForOtherCaches(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 12, nil)
	before := b.r.caches["c00"].limit.value
	var to string
	var last int64
	for key := uint64(1); to == "" || to == "c00"; key++ {
		if s := b.request(int64(key), "once", key); s != nil {
			to = s.Cache
		}
		last = int64(key)
	}
	b.r.caches[to].responsive = false // so that the origin is not blamed
	b.r.attributeOverdue(b.r.requests[last], 0)
	other, own := b.r.caches["c00"].limit.value, b.r.caches[to].limit.value
	if before-other <= 0 || other <= own {
		t.Errorf("an overdue write lowers the limit of its cache from %v to %v, of another to %v", before, own, other)
	}
	for range 100 {
		b.r.adjustFleetLimits(false)
	}
	if got := b.r.caches["c00"].limit.value; got < b.r.soleAttemptLimit() {
		t.Errorf("the others' verdicts lower a limit to %v, under one attempt of all routers", got)
	}
}

// TestConcurrencyLimitFallsWithQuarterLate checks that a limit falls where a quarter of the attempts is
// late, as it is at an overloaded cache.
func TestConcurrencyLimitFallsWithQuarterLate(t *testing.T) {
	limit := concurrencyLimit{8}
	for i := range 40 {
		limit.adjust(i%4 != 0, toleratedLateRatio)
	}
	if limit.value >= 8 {
		t.Errorf("with a quarter overdue a limit of 8 went to %v", limit.value)
	}
}
