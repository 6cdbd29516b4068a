package decide

import (
	"testing"
)

// TestDistantZoneIsLeftOutForAWhile checks that a zone whose answers always come too late gets no requests
// until the estimate expires.
func TestDistantZoneIsLeftOutForAWhile(t *testing.T) {
	b := newZonedHarness(t, 30)
	id := int64(0)
	goesTo := func(took Time) string {
		b.r.hotKeys.requests, b.r.hotKeys.total = [2]map[uint64]int{{}, {}}, [2]int{1e6, 0}
		b.r.timeliness.attempts, b.r.failover.tokens = 0, 0
		for _, c := range b.r.caches {
			c.outlier.ejectedUntil = 0
		}
		id++
		s := b.request(id, "read", b.keyOf("c00", uint64(id)*1000)) // its home is in z0
		if s == nil {
			t.Fatalf("request %d was not sent", id)
		}
		b.advance(took)
		b.serve(id, 0)
		return b.r.caches[s.Cache].Zone
	}
	patience := b.r.classes["read"].responseTimeout()
	if z := goesTo(patience - ms); z != "z0" {
		t.Fatalf("before anything is known it goes to zone %s", z)
	}
	if z := goesTo(patience * 2); z != "z0" {
		t.Fatalf("after an answer in time it goes to zone %s", z)
	}
	b.advance(b.r.settings.SlowStartWindow) // what is known is too old
	b.r.zones["z0"].latency.min = 0
	if z := goesTo(patience + ms); z != "z0" {
		t.Fatalf("zone z0 is not tried: it goes to zone %s", z)
	}
	if z := goesTo(ms); z != "z1" {
		t.Fatalf("after answers that are late whatever there is to do it goes to zone %s", z)
	}
	b.advance(b.r.settings.SlowStartWindow)
	if z := goesTo(ms); z != "z0" {
		t.Fatalf("it is not tried again: it goes to zone %s", z)
	}
	if z := goesTo(ms); z != "z0" {
		t.Fatalf("it answers in time again, and it goes to zone %s", z)
	}
}

// TestDistantZoneIsUsedAsFallback checks that a distant zone is used where the own one is unreachable.
func TestDistantZoneIsUsedAsFallback(t *testing.T) {
	b := newZonedHarness(t, 30)
	for name, z := range b.r.zones {
		if z.latency.min, z.latency.validUntil = 1e9, b.now+1e6; name == "z1" {
			z.failedConnections, z.trialAt = maxFailedConnections, b.now+1e6
		}
	}
	if s := b.request(1, "read", 42); s == nil {
		t.Error("with its own zone cut off, and the others far, a request is not sent")
	}
}
