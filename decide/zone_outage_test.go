package decide

import (
	"testing"
)

// TestZoneOutageAndTrial checks that a zone gets no requests after several failed connections to its caches, that one
// request is sent later as a trial, and that the success of the trial ends the outage.
func TestZoneOutageAndTrial(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 12, func(s *Settings) { s.MaxAttempts = 6 })
	h.router.retryBudget.tokens = 0 // an attempt after a failed connection takes no token
	failures, key := 0, uint64(0)
	for failures < maxFailedConnections { // no connection to a cache of zone a succeeds
		key++
		s := h.request(int64(key), "read", key)
		for n := 0; s != nil && h.router.caches[s.Cache].Zone == "a"; n++ {
			failures++
			if got := sends(h.endAttempt(int64(key), n, ConnectFailed, false)); len(got) == 0 {
				t.Fatal("the request was not sent again after a failed connection")
			} else {
				s = &got[0]
			}
		}
		if failures < maxFailedConnections {
			h.router.zones["a"].failedConnections = failures // the served attempt in zone b must not count for zone a
		}
		h.serve(int64(key), len(h.router.requests[int64(key)].attempts)-1)
	}
	sentTo := func() (n int) {
		for range 40 {
			key++
			if s := h.request(int64(key), "read", key); s != nil && h.router.caches[s.Cache].Zone == "a" {
				n++
			}
		}
		return n
	}
	if n := sentTo(); n != 0 {
		t.Errorf("got %d of 40 requests sent to the unreachable zone, want none", n)
	}
	for _, c := range h.router.caches {
		c.limit.value = 100
	}
	h.router.origin.limit.value = 1e6
	h.advance(h.router.settings.SlowStartWindow/4 + ms)
	if n := sentTo(); n != 1 {
		t.Errorf("got %d trials, want 1", n)
	}
	for id, q := range h.router.requests {
		for i, a := range q.attempts {
			if a.inFlight() && a.cache.Zone == "a" {
				h.serve(id, i)
			}
		}
	}
	if n := sentTo(); n < 10 {
		t.Errorf("after the trial was served: got %d of 40 requests sent to the zone, want at least 10", n)
	}
}
