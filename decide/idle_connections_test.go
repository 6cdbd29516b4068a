package decide

import (
	"testing"
)

// TestIdleConnectionsAreClosedWhereTheyCostMore checks that a router closes idle connections where a new dial costs
// less. Otherwise, many routers would each hold a connection to every cache and fill the connection tables of the
// caches.
func TestIdleConnectionsAreClosedWhereTheyCostMore(t *testing.T) {
	countedCache := "" // if set, only connections closed to this cache count
	closed := func(routers int, key func(id int64) uint64, change func(*Settings)) (n int) {
		h := newHarnessWithoutHealthChecks(t, 20, func(s *Settings) {
			s.Routers, s.ConnectionCost, s.DialCost = routers, .05, .05
			if change != nil {
				change(s)
			}
		})
		for id := range int64(400) {
			h.request(id+1, "read", key(id))
			h.serve(id+1, 0)
			for _, a := range h.actions {
				if c, ok := a.(CloseIdle); ok && (countedCache == "" || c.Cache == countedCache) {
					n++
				}
			}
		}
		return n
	}
	differentCaches := func(id int64) uint64 { return uint64(id) }
	reference := newHarnessWithoutHealthChecks(t, 20, nil)
	var keysOfOneCache []uint64 // none of them hot
	for key := uint64(1); len(keysOfOneCache) < 400; key++ {
		if reference.router.preferredCache(key) == "c00" {
			keysOfOneCache = append(keysOfOneCache, key)
		}
	}
	oneCache := func(id int64) uint64 { return keysOfOneCache[id%400] }
	if n := closed(3, differentCaches, nil); n > 40 {
		t.Errorf("3 routers: got %d of 400 connections closed, want at most 40", n)
	}
	if n := closed(600, differentCaches, nil); n < 380 {
		t.Errorf("600 routers: got %d of 400 connections closed, want at least 380", n)
	}
	countedCache = "c00" // a new router spreads some of the keys to a second cache
	if n := closed(600, oneCache, func(s *Settings) { s.ConnectionCost = .002 }); n > 60 {
		t.Errorf("600 routers, one cache in use: got %d of 400 of its connections closed, want at most 60", n)
	}
	countedCache = ""
	withoutCosts := func(s *Settings) { s.ConnectionCost, s.DialCost = 0, 0 }
	if n := closed(3, differentCaches, withoutCosts); n > 0 {
		t.Errorf("3 routers, neither connections nor dials cost anything: got %d connections closed, want none", n)
	}
	for name, change := range map[string]func(*Settings){"no costs": withoutCosts, "dial cost only": func(s *Settings) { s.ConnectionCost = 0 }} {
		if n := closed(300, differentCaches, change); n < 380 {
			t.Errorf("300 routers, %s: got %d of 400 connections closed, want at least 380", name, n)
		}
	}
}

// TestLowTrafficHealthChecksLeaveNoConnection checks that a router closes the connections that its health checks have
// opened. Otherwise, those of many routers would fill the connection tables of the caches.
func TestLowTrafficHealthChecksLeaveNoConnection(t *testing.T) {
	h := newLowTrafficHarness(t, 20, func(s *Settings) { s.AllowHealthChecks = true })
	var checked []string
	for h.router.healthChecks.budget = 100; len(checked) == 0; {
		checked = healthCheckedCaches(h.advance(10 * ms))
	}
	if len(checked) != 20 {
		t.Fatalf("got health checks of %d caches, want 20", len(checked))
	}
	closed := 0
	for _, c := range checked {
		for _, a := range h.feed(&HealthCheckResult{Cache: c, Result: Served}) {
			if a == (CloseIdle{c}) {
				closed++
			}
		}
	}
	if closed != 20 {
		t.Errorf("got connections to %d of 20 caches closed after their health checks, want all", closed)
	}
}
