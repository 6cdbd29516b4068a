package loopback

import (
	"strings"
	"testing"
	"time"
)

// TestStormOnLoopbackIsBookedAndSeenByRoutersThatHandleStorms: all caches go and come back, all clients reconnect. How well it
// is weathered is for the measurement: a noisy machine must not fail a test.
func TestStormOnLoopbackIsBookedAndSeenByRoutersThatHandleStorms(t *testing.T) {
	for _, handled := range []bool{true, false} {
		var log strings.Builder
		r, err := Run(Options{Script: calm(5500 * time.Millisecond), Log: &log, Storm: &Storm{Clients: 40, Load: .2,
			Before: second, Outage: second, For: 3 * second, Ignore: .5, Handled: handled}})
		if err != nil {
			t.Fatal(err)
		}
		if bad := broken(&r); len(bad) > 0 || len(r.ProcessFaults) > 0 {
			t.Errorf("handled %v: broken %v, troubles %v", handled, bad, r.ProcessFaults)
		}
		parts := r.Storm.Intervals()
		if r.Storm.Requests == 0 || r.Storm.InTime > r.Storm.Requests || len(parts) != 1 || parts[0].Offered <= 0 || parts[0].Capacity <= 0 {
			t.Errorf("handled %v: %d requests, %d in time, windows %+v", handled, r.Storm.Requests, r.Storm.InTime, parts)
		}
		if seen := strings.Contains(log.String(), "from=calm to=rising"); seen != handled {
			t.Errorf("handled %v: the log tells of a storm: %v", handled, seen)
		}
	}
}
