package decide

import (
	"slices"
	"testing"
)

// TestEjectionsOfHangingCacheGrow checks that a cache that hangs is ejected for longer each time, up to the
// slow-start window, and that answers in time make up for ejections.
func TestEjectionsOfHangingCacheGrow(t *testing.T) {
	b := newLowTrafficHarness(t, 20, nil)
	c := b.r.caches["c03"]
	var spans []Time
	for id := int64(1); id <= 5; id++ {
		b.r.failover.tokens = 0 // no request moves elsewhere
		b.r.hotKeys.total[0] = 1000
		s := b.request(id, "read", b.keyOf("c03", uint64(id)*1000))
		if s == nil || s.Cache != "c03" {
			t.Fatalf("request %d went to %v", id, s)
		}
		sent := b.now
		b.timeOut(id)
		spans = append(spans, c.outlier.ejectedUntil-sent)
		b.r.timeliness.attempts, b.r.timeliness.inTime = 0, 0
		b.advance(max(0, c.outlier.ejectedUntil-b.now))
	}
	for i := 1; i < len(spans); i++ {
		if spans[i] < spans[i-1]*5/4 && spans[i] < b.r.settings.SlowStartWindow {
			t.Errorf("it was ejected for %v", spans)
		}
	}
	if last := spans[len(spans)-1]; last > b.r.settings.SlowStartWindow+b.r.shortestTimeout+1 {
		t.Errorf("it was ejected for %d us in the end, longer than a cache takes to warm", last)
	}
	for range 5 {
		c.lastAnswerAt = b.now
		b.r.recordTimeliness(&attempt{cache: c, sentAt: b.now, state: attemptPending}, true)
	}
	if c.outlier.ejections != 0 {
		t.Errorf("%d doubts are left after as many answers in time", c.outlier.ejections)
	}
}

// TestCacheThatAnsweredSinceIsNotEjected checks that one late attempt among others in time does not eject a
// cache, as its keys would miss elsewhere.
func TestCacheThatAnsweredSinceIsNotEjected(t *testing.T) {
	b := newLowTrafficHarness(t, 20, nil)
	b.r.hotKeys.total[0], b.r.origin.limit.value, b.r.caches["c03"].limit.value = 1000, 50, 4
	b.request(1, "read", b.keyOf("c03", 1))
	b.advance(50 * ms)
	if s := b.request(2, "read", b.keyOf("c03", 5000)); s == nil || s.Cache != "c03" {
		t.Fatalf("the second request went to %v", s)
	}
	b.serve(2, 0)
	b.advance(60 * ms)
	if c := b.r.caches["c03"]; c.outlier.ejectedUntil > b.now {
		t.Error("a cache that has answered meanwhile is ejected")
	}
}

// TestFailoverBudgetLimitsRequestsThatMove checks that the other requests of an ejected cache are rejected
// at once: all of them would overload the caches that still serve.
func TestFailoverBudgetLimitsRequestsThatMove(t *testing.T) {
	b := newLowTrafficHarness(t, 20, nil)
	c := b.r.caches["c03"]
	moved, rejected := 0, 0
	for id := int64(1); id <= 200; id++ {
		b.r.hotKeys.total[0] = 1000
		c.outlier.ejectedUntil = b.now + 1e6
		s := b.request(id, "read", b.keyOf("c03", uint64(id)*1000))
		switch {
		case s == nil && finalAnswers(b.acts) == 1:
			rejected++
		case s == nil:
			t.Fatal("a request is held back")
		case s.Cache != "c03":
			moved++
			b.serve(id, 0)
		default:
			t.Fatal("it was sent to the cache that is ejected")
		}
	}
	if maximum := int(200*maxFailoverRatio) + maxFailoverTokens; moved < maximum/2 || moved > maximum || rejected != 200-moved {
		t.Errorf("%d moved, %d were rejected at once; at most %d may move", moved, rejected, maximum)
	}
}

// TestFailoverBudgetFollowsTimeliness checks that fewer requests may move where fewer are served in time.
func TestFailoverBudgetFollowsTimeliness(t *testing.T) {
	moves := func(met float64) float64 {
		b := newLowTrafficHarness(t, 20, nil)
		b.r.failover.tokens = 0
		for range 10 {
			b.r.timeliness.attempts, b.r.timeliness.inTime = 1000, met
			b.r.failover.earn(b.r.timeliness.ratio())
		}
		return b.r.failover.tokens
	}
	well, worse, ill := moves(950), moves(800), moves(300)
	if well < 5 || worse > well*3/4 || worse < ill || ill > 1.5 || ill == 0 {
		t.Errorf("ten requests earn %.1f, %.1f and %.1f moves with 95, 80 and 30 %% served in time", well, worse, ill)
	}
}

// TestEjectedCachesAreTriedWhereAllAreEjected checks that some requests are sent where all caches are
// ejected, so that one that serves again is found.
func TestEjectedCachesAreTriedWhereAllAreEjected(t *testing.T) {
	b := newLowTrafficHarness(t, 9, nil)
	sent := 0
	for id := int64(1); id <= 50; id++ {
		for _, c := range b.r.serving {
			c.outlier.ejectedUntil = b.now + 1e7
		}
		b.feed(&Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: b.now + 800*ms})
		sent += len(sends(b.acts))
	}
	if sent < 5 || sent > 35 {
		t.Errorf("%d of 50 requests were sent", sent)
	}
}

// TestRestartedCacheIsNotEjected checks that ejections don't outlive the process.
func TestRestartedCacheIsNotEjected(t *testing.T) {
	b := newLowTrafficHarness(t, 20, nil)
	c := b.r.caches["c03"]
	c.outlier.ejections, c.outlier.ejectedUntil = 4, b.now+1e7
	es := fleet(20)
	i := slices.IndexFunc(es, func(e Endpoint) bool { return e.ID == "c03" })
	es[i].StartedAt = b.now - 1
	b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: es[i : i+1]})
	if c.outlier.ejections != 0 || c.outlier.ejectedUntil > b.now {
		t.Error("a process that has just started is ejected")
	}
}
