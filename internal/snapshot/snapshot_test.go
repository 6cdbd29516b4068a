package snapshot

import (
	"math"
	"reflect"
	"testing"

	"starlingwinch/decide"
)

const second Time = 1_000_000

// halfLives has different values for figures that a test distinguishes.
var halfLives = HalfLives{
	ConcurrencyLimit: 10 * second, LateRatio: 10 * second, ErrorRatio: 4 * second, Health: 10 * second, Keys: 20 * second,
	Zones: 5 * second, Origin: 20 * second, Retry: 10 * second,
}

// initial is the entry of a cache without learned state.
var initial = decide.EndpointSnapshot{ID: "c", ConcurrencyLimit: 4, Healthy: true, Responsive: true}

// overloadedEndpoint returns an entry in which all figures differ from their defaults.
func overloadedEndpoint() Endpoint {
	return Endpoint{At: 0, KeysAt: 0, EndpointSnapshot: decide.EndpointSnapshot{
		ID: "c", ConcurrencyLimit: .25, LateRatio: .8, ErrorRatio: .6, FailedHealthChecks: 2,
		CachedKeys: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16},
	}}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestDecayEndpointMovesFiguresToDefaults checks that each figure decays by its own half-life.
func TestDecayEndpointMovesFiguresToDefaults(t *testing.T) {
	c, ok := halfLives.DecayEndpoint(overloadedEndpoint(), initial, 0, 100*second)
	if want := overloadedEndpoint().EndpointSnapshot; !ok || !reflect.DeepEqual(c, want) {
		t.Errorf("at age 0: got %+v, want %+v", c, want)
	}
	c, _ = halfLives.DecayEndpoint(overloadedEndpoint(), initial, 10*second, 100*second)
	if !near(c.ConcurrencyLimit, 1) || !near(c.LateRatio, .4) || !near(c.ErrorRatio, .6*math.Exp2(-2.5)) || c.Healthy || c.FailedHealthChecks != 2 || c.Responsive {
		t.Errorf("after 10 s: %+v", c)
	}
	c, _ = halfLives.DecayEndpoint(overloadedEndpoint(), initial, 11*second, 100*second)
	if !c.Healthy || c.FailedHealthChecks != 0 || !c.Responsive {
		t.Errorf("flags after more than one half-life: got %+v, want the defaults", c)
	}
	if n := len(c.CachedKeys); n == 0 || n == 16 {
		t.Errorf("after 11 s: got %d of 16 keys, want some but not all", n)
	}
	if c, ok = halfLives.DecayEndpoint(overloadedEndpoint(), initial, 101*second, 100*second); ok || !reflect.DeepEqual(c, initial) {
		t.Errorf("beyond the maximum age: got %+v, %v, want the initial entry, false", c, ok)
	}
}

// TestDecayEndpointHalfLifeZeroIgnoresEntry checks that figures with a half-life of 0 are not restored, even at age 0.
func TestDecayEndpointHalfLifeZeroIgnoresEntry(t *testing.T) {
	if c, _ := (HalfLives{}).DecayEndpoint(overloadedEndpoint(), initial, 0, second); !reflect.DeepEqual(c, initial) {
		t.Errorf("got %+v, want %+v", c, initial)
	}
}

// TestDecaySharedMovesFiguresToDefaults checks the decay of the router's figures, and that failed connections to zones are
// restored for one half-life.
func TestDecaySharedMovesFiguresToDefaults(t *testing.T) {
	s := Snapshot{Router: decide.Snapshot{OriginLimit: 2, OriginMissRatio: .2, RetryBudget: 0, ErrorRatio: .4, LostRatio: .4,
		Zones: []decide.ZoneSnapshot{{Name: "a", FailedConnections: 3}}}}
	initial := decide.Snapshot{OriginLimit: 10, OriginMissRatio: 1, RetryBudget: 10}
	got, ok := halfLives.DecayShared(s, initial, 5*second, 100*second)
	if w := math.Exp2(-.25); !ok || !near(got.OriginLimit, 10-8*w) || !near(got.OriginMissRatio, 1-.8*w) || len(got.Zones) != 1 ||
		!near(got.LostRatio, .4*math.Exp2(-.5)) || !near(got.RetryBudget, 10-10*math.Exp2(-.5)) {
		t.Errorf("after 5 s: %+v", got)
	}
	if got, _ = halfLives.DecayShared(s, initial, 6*second, 100*second); len(got.Zones) != 0 {
		t.Errorf("zones after more than one half-life: got %+v, want none", got.Zones)
	}
	if got, ok = halfLives.DecayShared(s, initial, 101*second, 100*second); ok || !reflect.DeepEqual(got, initial) {
		t.Errorf("beyond the maximum age: got %+v, %v, want the initial figures, false", got, ok)
	}
}

// cacheAt returns an entry that was current at an instant. KeysAt is set only if keys are given.
func cacheAt(id string, at Time, keys ...uint64) Endpoint {
	c := Endpoint{At: at, EndpointSnapshot: decide.EndpointSnapshot{ID: id, CachedKeys: keys}}
	if len(keys) > 0 {
		c.KeysAt = at
	}
	return c
}

// TestMergeRetainsOlderEntries checks that entries missing from the newer snapshot are retained, up to the maximum age and
// number.
func TestMergeRetainsOlderEntries(t *testing.T) {
	old := Snapshot{Caches: []Endpoint{cacheAt("a", 50, 1), cacheAt("b", 60), cacheAt("c", 10), cacheAt("d", 70), cacheAt("e", 200)}}
	fresh := Snapshot{At: 100, Caches: []Endpoint{cacheAt("a", 100), cacheAt("f", 100, 2)}}
	got := Merge(old, fresh, 60, 4)
	a := cacheAt("a", 100)
	a.CachedKeys, a.KeysAt = []uint64{1}, 50 // not collected in the newer snapshot
	want := Snapshot{At: 100, Caches: []Endpoint{a, cacheAt("b", 60), cacheAt("d", 70), cacheAt("f", 100, 2)}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if got := Merge(old, fresh, 60, 3); len(got.Caches) != 3 || got.Caches[1].ID != "d" {
		t.Errorf("at most 3 entries: got %+v, want 3 with d as the second", got.Caches)
	}
}

// TestMergeDropsKeysOfEarlierProcess checks that a restarted cache gets no keys of its previous process.
func TestMergeDropsKeysOfEarlierProcess(t *testing.T) {
	fresh := cacheAt("a", 100)
	fresh.StartedAt = 90
	got := Merge(Snapshot{Caches: []Endpoint{cacheAt("a", 50, 1)}}, Snapshot{At: 100, Caches: []Endpoint{fresh}}, 60, 9)
	if len(got.Caches) != 1 || got.Caches[0].CachedKeys != nil {
		t.Errorf("got %+v, want one entry without keys", got.Caches)
	}
}
