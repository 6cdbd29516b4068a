package decide

import (
	"reflect"
	"slices"
	"testing"
)

// newHarnessWithLearnedState returns a harness of a router with learned state of its three caches, and their list.
func newHarnessWithLearnedState(t *testing.T) (*harness, []Endpoint) {
	s := testSettings()
	s.AllowHealthChecks = false
	h := newHarness(t, s)
	endpoints := fleet(3)
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	h.router.origin.limit.value, h.router.origin.missRatio.value, h.router.retryBudget.tokens, h.router.errorRatio.value, h.router.lossDetector.ratio.value = 7, .25, 3, .125, .0625
	c := h.router.caches["c01"]
	c.limit.value, c.lateRatio.value, c.health.healthy, c.health.failures, c.responsive = .5, .75, false, 2, false
	c.errors.ratio, c.errors.updatedAt = .5, h.now
	c.cachedKeys[0][9], c.cachedKeys[1][5] = true, true
	h.router.zones["b"].failedConnections = maxFailedConnections
	return h, endpoints
}

// TestRestoreAppliesSnapshot checks that a router with the same list has all state of a restored snapshot.
func TestRestoreAppliesSnapshot(t *testing.T) {
	old, endpoints := newHarnessWithLearnedState(t)
	snapshot := old.router.Snapshot(100)
	h := newHarness(t, old.router.settings)
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	h.router.Restore(snapshot)
	if got := h.router.Snapshot(100); !reflect.DeepEqual(got, snapshot) {
		t.Errorf("got  %+v\nwant %+v", got, snapshot)
	}
	if !h.router.caches["c01"].cachedKeys.likelyCached(5) || !h.router.caches["c01"].cachedKeys.likelyCached(9) {
		t.Error("the cached keys of c01 were not restored")
	}
	if n := len(old.router.Snapshot(1).Caches[1].CachedKeys); n != 1 {
		t.Errorf("Snapshot(1): got %d cached keys of c01, want 1", n)
	}
}

// TestRestoreIgnoresPreviousProcess checks that Restore ignores the state of a cache whose process has another start
// time, and of a cache that is not listed.
func TestRestoreIgnoresPreviousProcess(t *testing.T) {
	old, endpoints := newHarnessWithLearnedState(t)
	h := newHarness(t, old.router.settings)
	endpoints[1].StartedAt = h.now - 1000
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints[:2]})
	fresh := h.router.Snapshot(100).Caches
	h.router.Restore(old.router.Snapshot(100))
	got := h.router.Snapshot(100).Caches
	if !reflect.DeepEqual(got[1], fresh[1]) || len(got) != 2 {
		t.Errorf("got %+v, want two caches and c01 unchanged as %+v", got, fresh[1])
	}
	if h.router.caches["c01"].cachedKeys.likelyCached(5) {
		t.Error("a cached key of the previous process counts as cached by the new process")
	}
}

// TestRestoreIgnoresValuesOutOfRange checks that a snapshot with invalid values does not change the router.
func TestRestoreIgnoresValuesOutOfRange(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(2)})
	fresh := h.router.Snapshot(10)
	nan := 0.0
	nan /= nan
	h.router.Restore(Snapshot{OriginLimit: -1, OriginMissRatio: 2, RetryBudget: 1e9, ErrorRatio: nan, LostRatio: -1, Caches: []EndpointSnapshot{
		{ID: "c00", ConcurrencyLimit: nan, LateRatio: -1, ErrorRatio: 2, Healthy: true, Responsive: true, FailedHealthChecks: -5}, {ID: "unlisted", ConcurrencyLimit: 3}}})
	if got := h.router.Snapshot(10); !reflect.DeepEqual(got, fresh) {
		t.Errorf("got  %+v\nwant %+v", got, fresh)
	}
}

// TestEndpointSnapshotsInStepsEqualWhole checks that AppendEndpointSnapshots in steps of any size returns the same
// snapshots as one call of Snapshot.
func TestEndpointSnapshotsInStepsEqualWhole(t *testing.T) {
	old, _ := newHarnessWithLearnedState(t)
	whole := old.router.Snapshot(0).Caches
	for limit := 1; limit <= 4; limit++ {
		var steps []EndpointSnapshot
		for after := ""; ; {
			n := len(steps)
			if steps = old.router.AppendEndpointSnapshots(steps, after, limit); len(steps) == n {
				break
			}
			after = steps[len(steps)-1].ID
		}
		if !reflect.DeepEqual(steps, whole) {
			t.Errorf("limit %d: got %+v\nwant %+v", limit, steps, whole)
		}
	}
	if got, ok := old.router.EndpointSnapshot("c01"); !ok || !reflect.DeepEqual(got, whole[1]) {
		t.Errorf("EndpointSnapshot of c01: got %+v, %v, want %+v, true", got, ok, whole[1])
	}
}

// TestCachedKeysDoNotDependOnMapOrder checks that the same keys, and as many as requested, are selected each time.
func TestCachedKeysDoNotDependOnMapOrder(t *testing.T) {
	old, _ := newHarnessWithLearnedState(t)
	c := old.router.caches["c01"]
	for i := range uint64(3000) {
		c.cachedKeys[i%2][mix(i+1)] = true
	}
	first := SortKeys(old.router.AppendCachedKeys(nil, "c01", 50), 50)
	if len(first) != 50 || !slices.IsSorted(first) {
		t.Fatalf("got %d keys, sorted = %v, want 50 sorted keys", len(first), slices.IsSorted(first))
	}
	for range 20 {
		if again := SortKeys(old.router.AppendCachedKeys(nil, "c01", 50), 50); !slices.Equal(again, first) {
			t.Fatal("a second call selected other keys")
		}
	}
}

// TestRestoreBeforeFirstListKeepsMissRatio checks that the first list, which starts the periodic work of a router, does not
// reset a miss ratio that was restored before.
func TestRestoreBeforeFirstListKeepsMissRatio(t *testing.T) {
	old, endpoints := newHarnessWithLearnedState(t)
	learned := old.router.Snapshot(100)
	learned.OriginMissRatio = 0.25
	h := newHarness(t, old.router.settings)
	h.router.Restore(learned)
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	if got := h.router.Snapshot(100).OriginMissRatio; got != 0.25 {
		t.Errorf("got a miss ratio of %g, want the restored 0.25", got)
	}
}
