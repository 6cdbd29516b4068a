package decide

import (
	"testing"
)

// TestConcurrencyLimitQueuesThenRejects checks that requests above the limit of a cache are queued, and are
// rejected at their queue deadline. A cache that gets more than its limit serves all requests late.
func TestConcurrencyLimitQueuesThenRejects(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 1, nil)
	h.router.caches["c00"].cachedKeys[0][7] = true // a likely hit, which the origin limit does not affect
	sent := 0
	for id := range int64(40) {
		if h.request(id+1, "read", 7) != nil {
			sent++
		}
	}
	limit := h.router.caches["c00"].limit.value
	if sent == 0 || float64(sent) > limit+1 {
		t.Fatalf("got %d attempts in flight under a limit of %v, want at least 1 and at most one above the limit", sent, limit)
	}
	actions := h.advance(90 * ms)
	if got := countFinalAnswers(actions); got != 40-sent {
		t.Fatalf("got %d of %d queued requests rejected at the queue deadline, want all", got, 40-sent)
	}
	h.advance(20 * ms)
	if got := h.router.caches["c00"].limit.value; got >= limit {
		t.Fatalf("after overdue attempts: got a limit of %v, want less than %v", got, limit)
	}
}

// TestConcurrencyLimitBelowOneLeavesGaps checks that a cache with a limit below 1 has pauses between attempts.
// An overloaded cache needs these to recover.
func TestConcurrencyLimitBelowOneLeavesGaps(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 1, nil)
	c := h.router.caches["c00"]
	c.limit.value = 0.2
	c.cachedKeys[0][7] = true
	if h.request(1, "read", 7) == nil {
		t.Fatal("the first request to an idle cache was not sent")
	}
	h.endAttempt(1, 0, Served, true)
	c.limit.value = 0.2
	if h.request(2, "read", 7) != nil {
		t.Fatal("a request was sent directly after an attempt, want a pause")
	}
	h.advance(5 * h.router.shortestTimeout)
	if h.request(3, "read", 7) == nil {
		t.Fatal("the request after the pause was not sent")
	}
}

// TestResultsCountInPartForOtherCaches checks that a late attempt also lowers the limits of other caches, by
// less, and not below the limit of a sole attempt. Otherwise, one router of many would detect a surge
// separately at each cache.
func TestResultsCountInPartForOtherCaches(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 12, nil)
	before := h.router.caches["c00"].limit.value
	var sentTo string
	var lastID int64
	for key := uint64(1); sentTo == "" || sentTo == "c00"; key++ {
		if s := h.request(int64(key), "once", key); s != nil {
			sentTo = s.Cache
		}
		lastID = int64(key)
	}
	h.router.caches[sentTo].responsive = false // so that the late attempt counts against the cache, not the origin
	h.router.attributeOverdue(h.router.requests[lastID], 0)
	other, own := h.router.caches["c00"].limit.value, h.router.caches[sentTo].limit.value
	if before-other <= 0 || other <= own {
		t.Errorf("after an overdue attempt: got limits of %v at its cache and %v at another, %v before; want both lowered, the other one less",
			own, other, before)
	}
	for range 100 {
		h.router.adjustFleetLimits(false)
	}
	if got := h.router.caches["c00"].limit.value; got < h.router.soleAttemptLimit() {
		t.Errorf("late attempts at other caches lowered a limit to %v, want at least %v", got, h.router.soleAttemptLimit())
	}
}

// TestConcurrencyLimitFallsWithQuarterLate checks that a limit falls while a quarter of the attempts are late.
// So many are late at an overloaded cache.
func TestConcurrencyLimitFallsWithQuarterLate(t *testing.T) {
	limit := concurrencyLimit{8}
	for i := range 40 {
		limit.adjust(i%4 != 0, toleratedLateRatio)
	}
	if limit.value >= 8 {
		t.Errorf("with a quarter of the attempts late: got a limit of %v, want less than 8", limit.value)
	}
}
