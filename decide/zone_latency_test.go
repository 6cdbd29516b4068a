package decide

import (
	"testing"
)

// TestDistantZoneIsSkippedUntilEstimateExpires checks that a zone whose answers are always late gets no requests until
// the latency estimate of the zone expires.
func TestDistantZoneIsSkippedUntilEstimateExpires(t *testing.T) {
	h := newZonedHarness(t, 30)
	id := int64(0)
	zoneOfRequest := func(latency Time) string {
		// Only the zone's latency may affect the choice. 1e6 requests for no key outweigh the assumed
		// requests, so that almost every key has one replica.
		h.router.hotKeys.requests, h.router.hotKeys.total = [2]map[uint64]int{{}, {}}, [2]int{1e6, 0}
		h.router.timeliness.attempts, h.router.failover.tokens = 0, 0
		for _, c := range h.router.caches {
			c.outlier.ejectedUntil = 0
		}
		id++
		s := h.request(id, "read", h.keyRankedFirstAt("c00", uint64(id)*1000)) // the cache of the key is in zone z0
		if s == nil {
			t.Fatalf("request %d was not sent", id)
		}
		h.advance(latency)
		h.serve(id, 0)
		return h.router.caches[s.Cache].Zone
	}
	responseTimeout := h.router.classes["read"].responseTimeout()
	if z := zoneOfRequest(responseTimeout - ms); z != "z0" {
		t.Fatalf("before the first answer: the request was sent to zone %s, want z0", z)
	}
	if z := zoneOfRequest(responseTimeout * 2); z != "z0" {
		t.Fatalf("after an answer in time: the request was sent to zone %s, want z0", z)
	}
	h.advance(h.router.settings.SlowStartWindow) // the estimate expires
	h.router.zones["z0"].latency.min = 0
	if z := zoneOfRequest(responseTimeout + ms); z != "z0" {
		t.Fatalf("without an estimate: the request was sent to zone %s, want z0", z)
	}
	if z := zoneOfRequest(ms); z != "z1" {
		t.Fatalf("after a late answer without a faster one: the request was sent to zone %s, want z1", z)
	}
	h.advance(h.router.settings.SlowStartWindow)
	if z := zoneOfRequest(ms); z != "z0" {
		t.Fatalf("after the estimate expired: the request was sent to zone %s, want z0", z)
	}
	if z := zoneOfRequest(ms); z != "z0" {
		t.Fatalf("after another answer in time: the request was sent to zone %s, want z0", z)
	}
}

// TestDistantZoneIsUsedAsFallback checks that requests are sent to a distant zone if the router's own zone is unreachable.
func TestDistantZoneIsUsedAsFallback(t *testing.T) {
	h := newZonedHarness(t, 30)
	for name, z := range h.router.zones {
		if z.latency.min, z.latency.validUntil = 1e9, h.now+1e6; name == "z1" {
			z.failedConnections, z.trialAt = maxFailedConnections, h.now+1e6
		}
	}
	if s := h.request(1, "read", 42); s == nil {
		t.Error("own zone unreachable, other zones distant: the request was not sent")
	}
}
