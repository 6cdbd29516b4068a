package decide

import (
	"fmt"
	"testing"
)

// playHealthCheckRounds plays rounds in which the named cache gives res, or stays silent
// where res is nil; all others answer.
func (b *harness) playHealthCheckRounds(n int, bad string, res *Result) {
	for played := 0; played < n; {
		acts := b.advance(1 * ms)
		ps := healthChecksOf(acts)
		if len(ps) == 0 {
			continue
		}
		for _, id := range ps {
			switch {
			case id != bad:
				b.feed(&HealthCheckResult{Cache: id, Result: Served, Load: LoadReport{Utilization: -1}})
			case res != nil:
				b.feed(&HealthCheckResult{Cache: id, Result: *res, Load: LoadReport{Utilization: -1}})
			}
		}
		played++
		b.advance(b.r.healthCheckTimeout() + ms)
	}
}

func result(r Result) *Result { return &r }

func resultName(r *Result) string {
	if r == nil {
		return "no result"
	}
	return fmt.Sprint("result ", *r)
}

// TestHealthCheckMarksAtThresholdAndRecovers checks that a cache is unhealthy after maxFailedHealthChecks
// failures of any kind, and healthy after one success.
func TestHealthCheckMarksAtThresholdAndRecovers(t *testing.T) {
	for _, res := range []*Result{nil, result(ConnectFailed), result(Errored), result(Rejected), result(TimedOut)} {
		t.Run(resultName(res), func(t *testing.T) {
			b := newHarness(t, settings())
			b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(4)})
			b.playHealthCheckRounds(maxFailedHealthChecks-1, "c01", res)
			if !b.r.caches["c01"].health.healthy {
				t.Fatalf("%v: marked after %d failures", res, maxFailedHealthChecks-1)
			}
			b.playHealthCheckRounds(1, "c01", res)
			if b.r.caches["c01"].health.healthy {
				t.Fatalf("%v: not marked after %d failures", res, maxFailedHealthChecks)
			}
			b.playHealthCheckRounds(1, "", nil)
			if c := b.r.caches["c01"]; !c.health.healthy || c.health.failures != 0 {
				t.Fatalf("%v: not healthy after a success", res)
			}
		})
	}
}

// TestHealthCheckNotSentIsNoFailure checks that a health check that this machine could not send says
// nothing of the cache.
func TestHealthCheckNotSentIsNoFailure(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(4)})
	b.playHealthCheckRounds(maxFailedHealthChecks+1, "c01", result(NotSent))
	if c := b.r.caches["c01"]; !c.health.healthy || c.health.failures != 0 {
		t.Errorf("healthy %v after %d failures", c.health.healthy, c.health.failures)
	}
}

// TestHealthCheckRoundMarksAtItsEnd checks that a count that reaches the threshold within a round is judged
// when the round ends.
func TestHealthCheckRoundMarksAtItsEnd(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(3)})
	b.playHealthCheckRounds(maxFailedHealthChecks-1, "c01", result(Errored))
	for len(healthChecksOf(b.advance(1*ms))) == 0 {
	}
	b.feed(&HealthCheckResult{Cache: "c01", Result: Errored})
	if !b.r.caches["c01"].health.healthy {
		t.Fatal("marked before the round completed")
	}
	b.advance(b.r.healthCheckTimeout() + ms)
	if b.r.caches["c01"].health.healthy {
		t.Fatal("not marked when the round completed")
	}
}

// TestHealthChecksArePaidByRequests checks that rounds are delayed until requests have paid for them:
// checks grow with routers times caches, requests of one router do not.
func TestHealthChecksArePaidByRequests(t *testing.T) {
	count := func(caches, requests int) (rounds float64) {
		b := newHarness(t, settings())
		b.feed(&EndpointList{Endpoints: fleet(caches)})
		for id := range int64(requests) {
			b.request(id+1, "read", uint64(id))
			b.serve(id+1, 0)
			rounds += float64(len(healthChecksOf(b.advance(128*b.r.settings.DrainGrace/Time(requests))))) / float64(caches)
		}
		return rounds
	}
	often, thin, idle := count(5, 1280), count(50, 1280), count(5, 1)
	if often < 125 || often > 129 {
		t.Errorf("%v rounds in 128 graces with requests enough, want one each", often)
	}
	if thin < 20 || thin > 30 {
		t.Errorf("%v rounds of 50 health checks with 1280 requests, want about one for 50 requests", thin)
	}
	if idle < 1 || idle > 3 {
		t.Errorf("%v rounds of an idle router, want one in %d graces", idle, maxGracesBetweenRounds)
	}
}

// TestLowTrafficHealthChecksPayForTheirConnections checks that rounds are rarer where each check opens a
// connection.
func TestLowTrafficHealthChecksPayForTheirConnections(t *testing.T) {
	rounds := func(routers int) (n int) {
		b := newHarnessWithoutHealthChecks(t, 10, func(s *Settings) { s.AllowHealthChecks, s.Routers, s.DialCost = true, routers, .03 })
		b.r.healthChecks.budget = 0
		for id := range int64(400) {
			b.request(id+1, "read", mix(uint64(id)))
			b.serve(id+1, 0)
			n += len(healthChecksOf(b.advance(100 * ms)))
		}
		return n / 10
	}
	if few, many := rounds(3), rounds(300); many*3 > few || many == 0 {
		t.Errorf("%d rounds of one router of 300 in 400 requests, %d of one of three", many, few)
	}
}
