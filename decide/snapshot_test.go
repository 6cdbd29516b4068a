package decide

import (
	"reflect"
	"slices"
	"testing"
)

// newTrainedHarness returns a router that has learned something of its three caches, and their list.
func newTrainedHarness(t *testing.T) (*harness, []Endpoint) {
	s := settings()
	s.AllowHealthChecks = false
	b := newHarness(t, s)
	es := fleet(3)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	b.r.origin.limit.value, b.r.origin.missRatio.value, b.r.retryBudget.tokens, b.r.errorRatio.value, b.r.lossDetector.ratio.value = 7, .25, 3, .125, .0625
	c := b.r.caches["c01"]
	c.limit.value, c.lateRatio.value, c.health.healthy, c.health.failures, c.responsive = .5, .75, false, 2, false
	c.errors.ratio, c.errors.updatedAt = .5, b.now
	c.cachedKeys[0][9], c.cachedKeys[1][5] = true, true
	b.r.zones["b"].failedConnections = maxFailedConnections
	return b, es
}

// TestRestoreTakesOverSnapshot checks that a router with the same list knows what another one has learned.
func TestRestoreTakesOverSnapshot(t *testing.T) {
	old, es := newTrainedHarness(t)
	l := old.r.Snapshot(100)
	b := newHarness(t, old.r.settings)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	b.r.Restore(l)
	if got := b.r.Snapshot(100); !reflect.DeepEqual(got, l) {
		t.Errorf("got  %+v\nwant %+v", got, l)
	}
	if !b.r.caches["c01"].cachedKeys.likelyCached(5) || !b.r.caches["c01"].cachedKeys.likelyCached(9) {
		t.Error("the keys that it keeps are not known")
	}
	if n := len(old.r.Snapshot(1).Caches[1].CachedKeys); n != 1 {
		t.Errorf("%d keys are told, one was asked for", n)
	}
}

// TestRestoreIgnoresPreviousProcess checks that nothing is taken of a cache with the same id and another
// start.
func TestRestoreIgnoresPreviousProcess(t *testing.T) {
	old, es := newTrainedHarness(t)
	b := newHarness(t, old.r.settings)
	es[1].StartedAt = b.now - 1000
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es[:2]})
	fresh := b.r.Snapshot(100).Caches
	b.r.Restore(old.r.Snapshot(100))
	got := b.r.Snapshot(100).Caches
	if !reflect.DeepEqual(got[1], fresh[1]) || len(got) != 2 {
		t.Errorf("got %+v", got)
	}
	if b.r.caches["c01"].cachedKeys.likelyCached(5) {
		t.Error("a new process is taken to keep what the old one kept")
	}
}

// TestRestoreIgnoresValuesOutOfRange checks that a damaged snapshot leaves the router as it is.
func TestRestoreIgnoresValuesOutOfRange(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(2)})
	fresh := b.r.Snapshot(10)
	nan := 0.0
	nan /= nan
	b.r.Restore(Snapshot{OriginLimit: -1, OriginMissRatio: 2, RetryBudget: 1e9, ErrorRatio: nan, LostRatio: -1, Caches: []EndpointSnapshot{
		{ID: "c00", ConcurrencyLimit: nan, LateRatio: -1, ErrorRatio: 2, Healthy: true, Responsive: true, FailedHealthChecks: -5}, {ID: "nobody", ConcurrencyLimit: 3}}})
	if got := b.r.Snapshot(10); !reflect.DeepEqual(got, fresh) {
		t.Errorf("got  %+v\nwant %+v", got, fresh)
	}
}

// TestEndpointSnapshotsInStepsEqualWhole checks that steps of any size give what one call gives.
func TestEndpointSnapshotsInStepsEqualWhole(t *testing.T) {
	old, _ := newTrainedHarness(t)
	whole := old.r.Snapshot(0).Caches
	for most := 1; most <= 4; most++ {
		var pieces []EndpointSnapshot
		for after := ""; ; {
			n := len(pieces)
			if pieces = old.r.AppendEndpointSnapshots(pieces, after, most); len(pieces) == n {
				break
			}
			after = pieces[len(pieces)-1].ID
		}
		if !reflect.DeepEqual(pieces, whole) {
			t.Errorf("in pieces of %d: %+v\nwant %+v", most, pieces, whole)
		}
	}
	if got, ok := old.r.EndpointSnapshot("c01"); !ok || !reflect.DeepEqual(got, whole[1]) {
		t.Errorf("of c01: %+v, %v", got, ok)
	}
}

// TestCachedKeysDoNotDependOnMapOrder checks that the same keys are selected each time, as many as are
// wanted.
func TestCachedKeysDoNotDependOnMapOrder(t *testing.T) {
	old, _ := newTrainedHarness(t)
	c := old.r.caches["c01"]
	for i := range uint64(3000) {
		c.cachedKeys[i%2][mix(i+1)] = true
	}
	first := SortKeys(old.r.AppendCachedKeys(nil, "c01", 50), 50)
	if len(first) != 50 || !slices.IsSorted(first) {
		t.Fatalf("%d keys, in order %v", len(first), slices.IsSorted(first))
	}
	for range 20 {
		if again := SortKeys(old.r.AppendCachedKeys(nil, "c01", 50), 50); !slices.Equal(again, first) {
			t.Fatal("other keys are told the second time")
		}
	}
}

// TestRestoreBeforeFirstListKeepsMissRatio: the first list begins what goes on for the life of a router, and forgets nothing.
func TestRestoreBeforeFirstListKeepsMissRatio(t *testing.T) {
	old, es := newTrainedHarness(t)
	learned := old.r.Snapshot(100)
	learned.OriginMissRatio = 0.25
	b := newHarness(t, old.r.settings)
	b.r.Restore(learned)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	if got := b.r.Snapshot(100).OriginMissRatio; got != 0.25 {
		t.Errorf("a miss ratio of %g, want the restored 0.25", got)
	}
}
