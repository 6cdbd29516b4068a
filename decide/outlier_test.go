package decide

import (
	"slices"
	"testing"
)

// TestEjectionsOfHangingCacheGrow checks that each ejection of a hanging cache is longer than the one before, up to
// the slow-start window, and that each answer in time offsets one ejection.
func TestEjectionsOfHangingCacheGrow(t *testing.T) {
	h := newLowTrafficHarness(t, 20, nil)
	c := h.router.caches["c03"]
	var spans []Time
	for id := int64(1); id <= 5; id++ {
		h.router.failover.tokens = 0 // no request moves to another cache
		h.router.hotKeys.total[0] = 1000
		s := h.request(id, "read", h.keyRankedFirstAt("c03", uint64(id)*1000))
		if s == nil || s.Cache != "c03" {
			t.Fatalf("request %d: got %v, want a request to c03", id, s)
		}
		sent := h.now
		h.timeOutRequest(id)
		spans = append(spans, c.outlier.ejectedUntil-sent)
		h.router.timeliness.attempts, h.router.timeliness.inTime = 0, 0
		h.advance(max(0, c.outlier.ejectedUntil-h.now))
	}
	for i := 1; i < len(spans); i++ {
		if spans[i] < spans[i-1]*5/4 && spans[i] < h.router.settings.SlowStartWindow {
			t.Errorf("got ejections of %v µs, want each at least 5/4 of the one before", spans)
		}
	}
	if last := spans[len(spans)-1]; last > h.router.settings.SlowStartWindow+h.router.shortestTimeout+1 {
		t.Errorf("got a last ejection of %d µs, want at most the slow-start window after the response timeout", last)
	}
	for range 5 {
		c.lastAnswerAt = h.now
		h.router.recordTimeliness(&attempt{cache: c, sentAt: h.now, state: attemptPending}, true)
	}
	if c.outlier.ejections != 0 {
		t.Errorf("got %d ejections left after five answers in time, want none", c.outlier.ejections)
	}
}

// TestCacheThatAnsweredSinceIsNotEjected checks that one late attempt does not eject a cache that has answered
// another one in time since. The keys of an ejected cache miss at other caches.
func TestCacheThatAnsweredSinceIsNotEjected(t *testing.T) {
	h := newLowTrafficHarness(t, 20, nil)
	h.router.hotKeys.total[0], h.router.origin.limit.value, h.router.caches["c03"].limit.value = 1000, 50, 4
	h.request(1, "read", h.keyRankedFirstAt("c03", 1))
	h.advance(50 * ms)
	if s := h.request(2, "read", h.keyRankedFirstAt("c03", 5000)); s == nil || s.Cache != "c03" {
		t.Fatalf("second request: got %v, want a request to c03", s)
	}
	h.serve(2, 0)
	h.advance(60 * ms)
	if c := h.router.caches["c03"]; c.outlier.ejectedUntil > h.now {
		t.Error("a cache that answered after the late attempt was sent is ejected")
	}
}

// TestFailoverBudgetLimitsRequestsThatMove checks that requests for an ejected cache move to other caches only within
// the failover budget, and that the rest are rejected immediately. All of them together would overload the caches that
// still serve.
func TestFailoverBudgetLimitsRequestsThatMove(t *testing.T) {
	h := newLowTrafficHarness(t, 20, nil)
	c := h.router.caches["c03"]
	moved, rejected := 0, 0
	for id := int64(1); id <= 200; id++ {
		h.router.hotKeys.total[0] = 1000
		c.outlier.ejectedUntil = h.now + 1e6
		s := h.request(id, "read", h.keyRankedFirstAt("c03", uint64(id)*1000))
		switch {
		case s == nil && countFinalAnswers(h.actions) == 1:
			rejected++
		case s == nil:
			t.Fatal("a request was neither sent nor answered")
		case s.Cache != "c03":
			moved++
			h.serve(id, 0)
		default:
			t.Fatal("a request was sent to the ejected cache")
		}
	}
	if maximum := int(200*maxFailoverRatio) + maxFailoverTokens; moved < maximum/2 || moved > maximum || rejected != 200-moved {
		t.Errorf("got %d requests moved and %d rejected, want %d to %d moved and the rest rejected", moved, rejected, maximum/2, maximum)
	}
}

// TestFailoverBudgetFollowsTimeliness checks that the failover budget earns less when fewer attempts are served in time.
func TestFailoverBudgetFollowsTimeliness(t *testing.T) {
	earned := func(inTime float64) float64 {
		h := newLowTrafficHarness(t, 20, nil)
		h.router.failover.tokens = 0
		for range 10 {
			h.router.timeliness.attempts, h.router.timeliness.inTime = 1000, inTime
			h.router.failover.earn(h.router.timeliness.ratio())
		}
		return h.router.failover.tokens
	}
	healthy, degraded, overloaded := earned(950), earned(800), earned(300)
	if healthy < 5 || degraded > healthy*3/4 || degraded < overloaded || overloaded > 1.5 || overloaded == 0 {
		t.Errorf("ten requests earn %.1f, %.1f and %.1f tokens with 95, 80 and 30 %% in time, want at least 5, at most 3/4 of that, and above 0 up to 1.5",
			healthy, degraded, overloaded)
	}
}

// TestEjectedCachesAreTriedWhereAllAreEjected checks that some requests are sent even if all caches are ejected, so
// that the router detects a cache that serves again.
func TestEjectedCachesAreTriedWhereAllAreEjected(t *testing.T) {
	h := newLowTrafficHarness(t, 9, nil)
	sent := 0
	for id := int64(1); id <= 50; id++ {
		for _, c := range h.router.serving {
			c.outlier.ejectedUntil = h.now + 1e7
		}
		h.feed(&Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: h.now + 800*ms})
		sent += len(sends(h.actions))
	}
	if sent < 5 || sent > 35 {
		t.Errorf("got %d of 50 requests sent, want 5 to 35", sent)
	}
}

// TestRestartedCacheIsNotEjected checks that the restart of a cache ends its ejection and resets the count.
func TestRestartedCacheIsNotEjected(t *testing.T) {
	h := newLowTrafficHarness(t, 20, nil)
	c := h.router.caches["c03"]
	c.outlier.ejections, c.outlier.ejectedUntil = 4, h.now+1e7
	endpoints := fleet(20)
	i := slices.IndexFunc(endpoints, func(e Endpoint) bool { return e.ID == "c03" })
	endpoints[i].StartedAt = h.now - 1
	h.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: endpoints[i : i+1]})
	if c.outlier.ejections != 0 || c.outlier.ejectedUntil > h.now {
		t.Error("a cache is still ejected, or has ejections counted, after its restart")
	}
}
