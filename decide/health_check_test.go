package decide

import (
	"fmt"
	"testing"
)

// runHealthCheckRounds runs n rounds of health checks. The checks of the failing cache end with res, or have no result
// if res is nil; all other checks succeed.
func (h *harness) runHealthCheckRounds(n int, failing string, res *Result) {
	for completed := 0; completed < n; {
		actions := h.advance(1 * ms)
		checked := healthCheckedCaches(actions)
		if len(checked) == 0 {
			continue
		}
		for _, id := range checked {
			switch {
			case id != failing:
				h.feed(&HealthCheckResult{Cache: id, Result: Served, Load: LoadReport{Utilization: -1}})
			case res != nil:
				h.feed(&HealthCheckResult{Cache: id, Result: *res, Load: LoadReport{Utilization: -1}})
			}
		}
		completed++
		h.advance(h.router.healthCheckTimeout() + ms)
	}
}

func result(r Result) *Result { return &r }

func healthCheckResultName(r *Result) string {
	if r == nil {
		return "no result"
	}
	return fmt.Sprint("result ", *r)
}

// TestHealthCheckMarksAtThresholdAndRecovers checks that a cache counts as unhealthy after maxFailedHealthChecks
// failures of any kind, and as healthy again after one success.
func TestHealthCheckMarksAtThresholdAndRecovers(t *testing.T) {
	for _, res := range []*Result{nil, result(ConnectFailed), result(Errored), result(Rejected), result(TimedOut)} {
		t.Run(healthCheckResultName(res), func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(4)})
			h.runHealthCheckRounds(maxFailedHealthChecks-1, "c01", res)
			if !h.router.caches["c01"].health.healthy {
				t.Fatalf("%s: the cache is unhealthy after %d failures", healthCheckResultName(res), maxFailedHealthChecks-1)
			}
			h.runHealthCheckRounds(1, "c01", res)
			if h.router.caches["c01"].health.healthy {
				t.Fatalf("%s: the cache is healthy after %d failures", healthCheckResultName(res), maxFailedHealthChecks)
			}
			h.runHealthCheckRounds(1, "", nil)
			if c := h.router.caches["c01"]; !c.health.healthy || c.health.failures != 0 {
				t.Fatalf("%s: the cache is unhealthy, or failures are counted, after a success", healthCheckResultName(res))
			}
		})
	}
}

// TestHealthCheckNotSentIsNoFailure checks that a health check that the router's host could not send does not
// count as a failure of the cache.
func TestHealthCheckNotSentIsNoFailure(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(4)})
	h.runHealthCheckRounds(maxFailedHealthChecks+1, "c01", result(NotSent))
	if c := h.router.caches["c01"]; !c.health.healthy || c.health.failures != 0 {
		t.Errorf("got healthy %v and %d failures, want a healthy cache and no failures", c.health.healthy, c.health.failures)
	}
}

// TestHealthCheckRoundMarksAtItsEnd checks that a cache whose failures reach the threshold within a round
// counts as unhealthy only when the round ends.
func TestHealthCheckRoundMarksAtItsEnd(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(3)})
	h.runHealthCheckRounds(maxFailedHealthChecks-1, "c01", result(Errored))
	for len(healthCheckedCaches(h.advance(1*ms))) == 0 {
	}
	h.feed(&HealthCheckResult{Cache: "c01", Result: Errored})
	if !h.router.caches["c01"].health.healthy {
		t.Fatal("the cache is unhealthy before the end of the round")
	}
	h.advance(h.router.healthCheckTimeout() + ms)
	if h.router.caches["c01"].health.healthy {
		t.Fatal("the cache is healthy after the end of the round")
	}
}

// TestHealthChecksArePaidByRequests checks that a round of health checks is delayed until enough requests have
// paid for it. The number of checks grows with routers times caches, the requests of one router do not.
func TestHealthChecksArePaidByRequests(t *testing.T) {
	count := func(caches, requests int) (rounds float64) {
		h := newHarness(t, testSettings())
		h.feed(&EndpointList{Endpoints: fleet(caches)})
		for id := range int64(requests) {
			h.request(id+1, "read", uint64(id))
			h.serve(id+1, 0)
			rounds += float64(len(healthCheckedCaches(h.advance(128*h.router.settings.DrainGrace/Time(requests))))) / float64(caches)
		}
		return rounds
	}
	fewCaches, manyCaches, idle := count(5, 1280), count(50, 1280), count(5, 1)
	if fewCaches < 125 || fewCaches > 129 {
		t.Errorf("5 caches, 1280 requests in 128 drain graces: got %v rounds, want about one per drain grace", fewCaches)
	}
	if manyCaches < 20 || manyCaches > 30 {
		t.Errorf("50 caches, 1280 requests: got %v rounds, want about one per 50 requests", manyCaches)
	}
	if idle < 1 || idle > 3 {
		t.Errorf("one request in 128 drain graces: got %v rounds, want about one per %d drain graces", idle, maxGracesBetweenRounds)
	}
}

// TestLowTrafficHealthChecksPayForTheirConnections checks that rounds are rarer in low traffic per router, as
// each check then opens a connection, which requests pay for too.
func TestLowTrafficHealthChecksPayForTheirConnections(t *testing.T) {
	rounds := func(routers int) (n int) {
		h := newHarnessWithoutHealthChecks(t, 10, func(s *Settings) { s.AllowHealthChecks, s.Routers, s.DialCost = true, routers, .03 })
		h.router.healthChecks.budget = 0
		for id := range int64(400) {
			h.request(id+1, "read", mix(uint64(id)))
			h.serve(id+1, 0)
			n += len(healthCheckedCaches(h.advance(100 * ms)))
		}
		return n / 10
	}
	if few, many := rounds(3), rounds(300); many*3 > few || many == 0 {
		t.Errorf("in 400 requests: got %d rounds with 300 routers and %d with 3, want some with 300, and at most a third of those with 3", many, few)
	}
}
