package decide

import (
	"testing"
)

// TestFailingCacheIsSkipped checks that a cache that answers every attempt with an error is skipped, that it
// neither exhausts the retry budget nor lowers the origin limit, and that it is tried again later.
func TestFailingCacheIsSkipped(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 4, nil)
	failing := h.router.preferredCache(9)
	originLimit := h.router.origin.limit.value
	for id := range int64(200) {
		id++
		s := h.request(id, "read", uint64(id))
		for n := 0; s != nil && s.Cache == failing; n++ {
			got := sends(h.endAttempt(id, n, Errored, false))
			if s = nil; len(got) > 0 {
				s = &got[0]
			}
		}
		if s == nil && id > 50 {
			t.Fatalf("request %d got its final answer without being served", id)
		}
		if s != nil {
			h.endAttempt(id, len(h.router.requests[id].attempts)-1, Served, true)
		}
		h.advance(5 * ms)
	}
	if got := h.router.caches[failing].attemptsSent; got > 60 {
		t.Errorf("got %d attempts at the failing cache for 200 requests, want at most 60", got)
	}
	if h.router.origin.limit.value < originLimit/2 {
		t.Errorf("errors of one cache lowered the origin limit from %v to %v, want at least half of it left", originLimit, h.router.origin.limit.value)
	}
	h.advance(10 * h.router.settings.DrainGrace)
	if h.router.answersErrors(h.router.caches[failing]) {
		t.Error("the failing cache still counts as failing after 10 drain graces")
	}
}

// TestLowTrafficCacheThatFailsEveryTenthKeepsItsTraffic checks that routers with a few requests per minute each
// still send a cache that fails every tenth attempt most of the requests for its keys.
func TestLowTrafficCacheThatFailsEveryTenthKeepsItsTraffic(t *testing.T) {
	sent, requested := 0, 0
	for seed := range 60 {
		h := newLowTrafficHarness(t, 20, nil)
		h.router.random = randomSource(uint64(seed) * 1001)
		for i := range int64(12) {
			h.router.hotKeys.total[0] = 1000
			requested++
			s := h.request(i+1, "read", h.keyRankedFirstAt("c03", uint64(i)*999))
			if s != nil && s.Cache == "c03" {
				sent++
				res := Served
				if (int64(seed)*12+i)%10 == 0 {
					res = Errored
				}
				h.feed(&AttemptResult{ID: i + 1, Result: res, Elapsed: 5 * ms, Final: res == Served, Load: LoadReport{Utilization: -1}})
				h.serve(i+1, 1) // ends the second attempt if there is one
			}
			h.advance(5000 * ms)
		}
	}
	if share := float64(sent) / float64(requested); share < .75 || share > 1 {
		t.Errorf("a cache that fails every tenth attempt got %.2f of the requests for its keys, want 0.75 to 1", share)
	}
}
