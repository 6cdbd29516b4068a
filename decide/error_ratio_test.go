package decide

import (
	"testing"
)

// TestFailingCacheIsPassedOver checks that a cache that fails at once neither uses up the retry budget nor
// has the origin blamed, and is tried again later.
func TestFailingCacheIsPassedOver(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 4, nil)
	bad := b.r.home(9)
	fetches := b.r.origin.limit.value
	for id := range int64(200) {
		id++
		s := b.request(id, "read", uint64(id))
		for n := 0; s != nil && s.Cache == bad; n++ {
			got := sends(b.end(id, n, Errored, false))
			if s = nil; len(got) > 0 {
				s = &got[0]
			}
		}
		if s == nil && id > 50 {
			t.Fatalf("request %d was given up", id)
		}
		if s != nil {
			b.end(id, len(b.r.requests[id].attempts)-1, Served, true)
		}
		b.advance(5 * ms)
	}
	if got := b.r.caches[bad].attemptsSent; got > 60 {
		t.Errorf("%d of 200 requests went to the failing cache", got)
	}
	if b.r.origin.limit.value < fetches/2 {
		t.Errorf("the origin was blamed: %v -> %v", fetches, b.r.origin.limit.value)
	}
	b.advance(10 * b.r.settings.DrainGrace)
	if b.r.answersErrors(b.r.caches[bad]) {
		t.Error("it is never tried again")
	}
}

// TestLowTrafficCacheThatFailsEveryTenthKeepsItsTraffic checks that routers of a few requests a minute each
// don't leave a cache that fails every tenth, nor overload it.
func TestLowTrafficCacheThatFailsEveryTenthKeepsItsTraffic(t *testing.T) {
	sent, asked := 0, 0
	for seed := range 60 {
		b := newLowTrafficHarness(t, 20, nil)
		b.r.random = randomSource(uint64(seed) * 1001)
		for i := range int64(12) {
			b.r.hotKeys.total[0] = 1000
			asked++
			s := b.request(i+1, "read", b.keyOf("c03", uint64(i)*999))
			if s != nil && s.Cache == "c03" {
				sent++
				res := Served
				if (int64(seed)*12+i)%10 == 0 {
					res = Errored
				}
				b.feed(&AttemptResult{ID: i + 1, Result: res, Elapsed: 5 * ms, Last: res == Served, Load: LoadReport{Utilization: -1}})
				b.serve(i+1, 1) // the second attempt, where there is one
			}
			b.advance(5000 * ms)
		}
	}
	if share := float64(sent) / float64(asked); share < .75 || share > 1 {
		t.Errorf("%.2f of what a cache is asked for that fails every tenth is sent to it", share)
	}
}
