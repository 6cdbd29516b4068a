package decide

import (
	"fmt"
	"reflect"
	"testing"
)

// TestDrainingCacheGetsNoRequests checks that draining and removed caches get nothing, and one that serves
// again does.
func TestDrainingCacheGetsNoRequests(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(2)})
	b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c00", Status: Draining}}})
	b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c01", Status: Removed}}})
	b.advance(1001 * ms)
	if s := b.request(1, "read", 1); s != nil {
		t.Fatalf("sent to %s after the grace", s.Cache)
	}
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(1)})
	if s := b.request(2, "read", 1); s == nil || s.Cache != "c00" {
		t.Fatalf("a cache listed up again is not used: %v", s)
	}
}

// TestListCallsAreRepeatedWithJitter checks that routers don't call for the list in step.
func TestListCallsAreRepeatedWithJitter(t *testing.T) {
	s := settings()
	s.WatchRequired = true
	watches := func(seed uint64) []Time {
		r, _ := New(s, seed)
		b := &harness{t: t, r: r, now: 1e9}
		b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(2)})
		untilWatch := func() Time {
			start := b.now
			for {
				for _, a := range b.advance(1 * ms) {
					if a == (Watch{}) {
						return b.now - start
					}
				}
			}
		}
		at := []Time{untilWatch()} // the first call; the others are made after it has failed
		for range 5 {
			b.feed(&EndpointList{Kind: FailedUpdate})
			at = append(at, untilWatch())
		}
		return at
	}
	x, y := watches(1), watches(2)
	if reflect.DeepEqual(x, y) {
		t.Fatal("two routers wait alike")
	}
	for _, pauses := range [][]Time{x, y} {
		if pauses[0] > 501*ms {
			t.Errorf("the first call comes after %d us, past half of the grace", pauses[0])
		}
		for i, pause := range pauses[1:] {
			// The first call of each was never answered: none of its pauses is that after a watch that worked.
			if pause < 666*ms || pause > 1335*ms {
				t.Errorf("pause %d is %d us, want a third around a sixth of six seconds", i, pause)
			}
		}
	}
}

// TestWeightsThatFollowLoadDoNotMoveKeys checks that a weight that falls with the load leaves the placement
// as it is.
func TestWeightsThatFollowLoadDoNotMoveKeys(t *testing.T) {
	for _, live := range []bool{true, false} {
		t.Run(fmt.Sprint("weights follow load ", live), func(t *testing.T) {
			b := newHarnessWithoutHealthChecks(t, 8, func(s *Settings) { s.WeightsFollowLoad = live })
			moved := 0
			for key := range uint64(200) {
				es := fleet(8)
				for i := range es {
					es[i].Weight = 2
				}
				b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
				home := b.r.home(key)
				for i := range es {
					es[i].Weight /= float64(1 + (int(key)+i)%3) // as requests come and go
				}
				b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
				if b.r.home(key) != home {
					moved++
				}
			}
			if live && moved > 0 || !live && moved == 0 {
				t.Errorf("live %v: %d of 200 keys moved", live, moved)
			}
		})
	}
}

// TestRemovedCachesLeaveNothing checks that removed caches are forgotten, and late events for them do no
// harm.
func TestRemovedCachesLeaveNothing(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 3, nil)
	s := b.request(1, "read", 9)
	for i := range 50 {
		b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: fmt.Sprint("x", i), Zone: "a", Weight: 1}}})
		b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: fmt.Sprint("x", i), Status: Removed}}})
	}
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)[:0]})
	if len(b.r.caches) != 0 {
		t.Errorf("%d caches are kept", len(b.r.caches))
	}
	b.feed(&HealthCheckResult{Cache: s.Cache, Result: Served})
	b.end(1, 0, Served, true)
	if len(b.r.requests) != 0 {
		t.Errorf("%d requests are kept", len(b.r.requests))
	}
}

// failAttempts ends an attempt at each of so many caches with a result, and returns how often the list was called for
// within the span.
func (b *harness) failAttempts(result Result, caches int, within Time) (asked int) {
	for i := range caches {
		id := int64(1000*b.r.now) + int64(i)
		s := b.request(id, "read", b.keyOf(b.r.serving[i].ID, uint64(id)))
		if s == nil {
			continue
		}
		b.feed(&AttemptResult{ID: id, Result: result, Last: true, Load: LoadReport{Utilization: -1}})
	}
	b.acts = nil
	b.advance(within)
	for _, a := range b.acts {
		if _, is := a.(Watch); is {
			asked++
		}
	}
	return asked
}

// TestUnreachableCachesDoNotRenewTheWatch checks that no call for the list is made beside an open watch,
// however many caches fail: if discovery rejected that call, the watch would end with it.
func TestUnreachableCachesDoNotRenewTheWatch(t *testing.T) {
	watching := func(s *Settings) { s.WatchRequired, s.PollInterval = true, 4000*ms }
	for _, result := range []Result{ConnectFailed, Rejected} {
		t.Run(fmt.Sprint("result ", result), func(t *testing.T) {
			b := newLowTrafficHarness(t, 20, watching)
			b.advance(3000 * ms)
			for range 3 {
				if n := b.failAttempts(result, 20, 2500*ms); n != 0 {
					t.Errorf("result %d at all caches: the list is asked for %d times", result, n)
				}
			}
		})
	}
}

// TestFirstCallAfterLostWatchComesWithinGrace checks that the list is called for within the drain grace
// whatever the poll interval: a drain would be missed meanwhile.
func TestFirstCallAfterLostWatchComesWithinGrace(t *testing.T) {
	for _, every := range []Time{1000 * ms, 10_000 * ms, 60_000 * ms, 600_000 * ms} {
		t.Run(fmt.Sprint(every/ms, " ms"), func(t *testing.T) {
			s := settings()
			s.PollInterval, s.DrainGrace, s.WatchRequired, s.AllowHealthChecks = every, 500*ms, true, false
			b := newHarness(t, s)
			b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(4)})
			b.advance(s.DrainGrace) // past the first call
			b.timers = nil
			b.feed(&EndpointList{Kind: FailedUpdate})
			if len(b.timers) != 1 || b.timers[0].At > b.now+s.DrainGrace/2 {
				t.Errorf("every %d ms: asked again at %v, now %d", every/ms, b.timers, b.now)
			}
		})
	}
}
