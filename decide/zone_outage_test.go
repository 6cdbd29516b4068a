package decide

import (
	"testing"
)

// TestZoneOutageAndTrial checks that failed connections to several caches of a zone keep requests from all
// of it, that one request is the trial, and that its success ends the outage.
func TestZoneOutageAndTrial(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 12, func(s *Settings) { s.MaxAttempts = 6 })
	b.r.retryBudget.tokens = 0 // an attempt that met no cache costs none of it
	tries, key := 0, uint64(0)
	for tries < maxFailedConnections { // caches of zone a can't be reached
		key++
		s := b.request(int64(key), "read", key)
		for n := 0; s != nil && b.r.caches[s.Cache].Zone == "a"; n++ {
			tries++
			if got := sends(b.end(int64(key), n, ConnectFailed, false)); len(got) == 0 {
				t.Fatal("not sent on after a failed connection")
			} else {
				s = &got[0]
			}
		}
		if tries < maxFailedConnections {
			b.r.zones["a"].failedConnections = tries // hits in zone b do not speak for zone a
		}
		b.serve(int64(key), len(b.r.requests[int64(key)].attempts)-1)
	}
	sentTo := func() (n int) {
		for range 40 {
			key++
			if s := b.request(int64(key), "read", key); s != nil && b.r.caches[s.Cache].Zone == "a" {
				n++
			}
		}
		return n
	}
	if n := sentTo(); n != 0 {
		t.Errorf("%d of 40 sent to the lost zone", n)
	}
	for _, c := range b.r.caches {
		c.limit.value = 100
	}
	b.r.origin.limit.value = 1e6
	b.advance(b.r.settings.SlowStartWindow/4 + ms)
	if n := sentTo(); n != 1 {
		t.Errorf("%d trials, want one", n)
	}
	for id, q := range b.r.requests {
		for i, a := range q.attempts {
			if a.inFlight() && a.cache.Zone == "a" {
				b.serve(id, i)
			}
		}
	}
	if n := sentTo(); n < 10 {
		t.Errorf("%d of 40 sent after the trial was served", n)
	}
}
