package decide

import (
	"testing"
)

// TestIdleConnectionsAreClosedWhereTheyCostMore checks that connections are closed where dialling costs
// less: of many routers, each would keep one to every cache and fill their tables.
func TestIdleConnectionsAreClosedWhereTheyCostMore(t *testing.T) {
	only := "" // the cache whose closings count
	closed := func(routers int, key func(id int64) uint64, change func(*Settings)) (n int) {
		b := newHarnessWithoutHealthChecks(t, 20, func(s *Settings) {
			s.Routers, s.ConnectionCost, s.DialCost = routers, .05, .05
			if change != nil {
				change(s)
			}
		})
		for id := range int64(400) {
			b.request(id+1, "read", key(id))
			b.serve(id+1, 0)
			for _, a := range b.acts {
				if c, ok := a.(CloseIdle); ok && (only == "" || c.Cache == only) {
					n++
				}
			}
		}
		return n
	}
	spread := func(id int64) uint64 { return uint64(id) }
	probe := newHarnessWithoutHealthChecks(t, 20, nil)
	var same []uint64 // keys of one cache: none hot by itself
	for key := uint64(1); len(same) < 400; key++ {
		if probe.r.home(key) == "c00" {
			same = append(same, key)
		}
	}
	one := func(id int64) uint64 { return same[id%400] }
	if n := closed(3, spread, nil); n > 40 {
		t.Errorf("few routers closed %d of 400", n)
	}
	if n := closed(600, spread, nil); n < 380 {
		t.Errorf("many routers closed only %d of 400", n)
	}
	only = "c00" // some keys go to a second cache until more is known of them
	if n := closed(600, one, func(s *Settings) { s.ConnectionCost = .002 }); n > 60 {
		t.Errorf("closed %d of 400 to the one cache in use", n)
	}
	only = ""
	unpriced := func(s *Settings) { s.ConnectionCost, s.DialCost = 0, 0 }
	if n := closed(3, spread, unpriced); n > 0 {
		t.Errorf("few routers closed %d where neither has a price", n)
	}
	for name, change := range map[string]func(*Settings){"neither": unpriced, "dials": func(s *Settings) { s.ConnectionCost = 0 }} {
		if n := closed(300, spread, change); n < 380 {
			t.Errorf("many routers closed only %d of 400 where %s has a price", n, name)
		}
	}
}

// TestLowTrafficHealthChecksLeaveNoConnection checks that the connections that health checks open are
// closed: of many routers, they would fill the tables of the caches.
func TestLowTrafficHealthChecksLeaveNoConnection(t *testing.T) {
	b := newLowTrafficHarness(t, 20, func(s *Settings) { s.AllowHealthChecks = true })
	var asked []string
	for b.r.healthChecks.budget = 100; len(asked) == 0; {
		asked = healthChecksOf(b.advance(10 * ms))
	}
	if len(asked) != 20 {
		t.Fatalf("%d caches were probed", len(asked))
	}
	closed := 0
	for _, c := range asked {
		for _, a := range b.feed(&HealthCheckResult{Cache: c, Result: Served}) {
			if a == (CloseIdle{c}) {
				closed++
			}
		}
	}
	if closed != 20 {
		t.Errorf("connections to %d of 20 caches were closed after their health checks", closed)
	}
}
