package snapshot

import (
	"math"
	"reflect"
	"testing"

	"starlingwinch/decide"
)

const second Time = 1_000_000

// halfLives differ between figures that a test tells apart.
var halfLives = HalfLives{
	ConcurrencyLimit: 10 * second, LateRatio: 10 * second, ErrorRatio: 4 * second, Health: 10 * second, Keys: 20 * second,
	Zones: 5 * second, Origin: 20 * second, Retry: 10 * second,
}

// usual is the entry of a cache that nothing is known of.
var usual = decide.EndpointSnapshot{ID: "c", ConcurrencyLimit: 4, Healthy: true, Responsive: true}

// overloadedEndpoint is an entry with all figures off their defaults.
func overloadedEndpoint() Endpoint {
	return Endpoint{At: 0, KeysAt: 0, EndpointSnapshot: decide.EndpointSnapshot{
		ID: "c", ConcurrencyLimit: .25, LateRatio: .8, ErrorRatio: .6, FailedHealthChecks: 2,
		CachedKeys: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16},
	}}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestDecayEndpointMovesFiguresToDefaults checks that each figure decays by its own half-life.
func TestDecayEndpointMovesFiguresToDefaults(t *testing.T) {
	c, ok := halfLives.DecayEndpoint(overloadedEndpoint(), usual, 0, 100*second)
	if want := overloadedEndpoint().EndpointSnapshot; !ok || !reflect.DeepEqual(c, want) {
		t.Errorf("at once: %+v", c)
	}
	c, _ = halfLives.DecayEndpoint(overloadedEndpoint(), usual, 10*second, 100*second)
	if !near(c.ConcurrencyLimit, 1) || !near(c.LateRatio, .4) || !near(c.ErrorRatio, .6*math.Exp2(-2.5)) || c.Healthy || c.FailedHealthChecks != 2 || c.Responsive {
		t.Errorf("after 10 s: %+v", c)
	}
	c, _ = halfLives.DecayEndpoint(overloadedEndpoint(), usual, 11*second, 100*second)
	if !c.Healthy || c.FailedHealthChecks != 0 || !c.Responsive {
		t.Errorf("a flag holds beyond its half-life: %+v", c)
	}
	if n := len(c.CachedKeys); n == 0 || n == 16 {
		t.Errorf("after 11 s %d keys of 16 are left", n)
	}
	if c, ok = halfLives.DecayEndpoint(overloadedEndpoint(), usual, 101*second, 100*second); ok || !reflect.DeepEqual(c, usual) {
		t.Errorf("beyond the maximum age: %v, %+v", ok, c)
	}
}

// TestDecayEndpointHalfLifeZeroIgnoresEntry checks that a half-life of 0 leaves nothing, at any age.
func TestDecayEndpointHalfLifeZeroIgnoresEntry(t *testing.T) {
	if c, _ := (HalfLives{}).DecayEndpoint(overloadedEndpoint(), usual, 0, second); !reflect.DeepEqual(c, usual) {
		t.Errorf("got %+v", c)
	}
}

// TestDecaySharedMovesFiguresToDefaults checks the figures of the whole router, and that zones count for one half-life.
func TestDecaySharedMovesFiguresToDefaults(t *testing.T) {
	s := Snapshot{Router: decide.Snapshot{OriginLimit: 2, OriginMissRatio: .2, RetryBudget: 0, ErrorRatio: .4, LostRatio: .4,
		Zones: []decide.ZoneSnapshot{{Name: "a", FailedConnections: 3}}}}
	all := decide.Snapshot{OriginLimit: 10, OriginMissRatio: 1, RetryBudget: 10}
	got, ok := halfLives.DecayShared(s, all, 5*second, 100*second)
	if w := math.Exp2(-.25); !ok || !near(got.OriginLimit, 10-8*w) || !near(got.OriginMissRatio, 1-.8*w) || len(got.Zones) != 1 ||
		!near(got.LostRatio, .4*math.Exp2(-.5)) || !near(got.RetryBudget, 10-10*math.Exp2(-.5)) {
		t.Errorf("after 5 s: %+v", got)
	}
	if got, _ = halfLives.DecayShared(s, all, 6*second, 100*second); len(got.Zones) != 0 {
		t.Error("a zone's failed connections count beyond their half-life")
	}
	if got, ok = halfLives.DecayShared(s, all, 101*second, 100*second); ok || !reflect.DeepEqual(got, all) {
		t.Errorf("beyond the maximum age: %+v", got)
	}
}

// cacheAt is an entry that was known at an instant, with its keys if it has any.
func cacheAt(id string, at Time, keys ...uint64) Endpoint {
	c := Endpoint{At: at, EndpointSnapshot: decide.EndpointSnapshot{ID: id, CachedKeys: keys}}
	if len(keys) > 0 {
		c.KeysAt = at
	}
	return c
}

// TestMergeRetainsOlderEntries checks that entries which the newer snapshot lacks stay, up to an age and a number.
func TestMergeRetainsOlderEntries(t *testing.T) {
	old := Snapshot{Caches: []Endpoint{cacheAt("a", 50, 1), cacheAt("b", 60), cacheAt("c", 10), cacheAt("d", 70), cacheAt("e", 200)}}
	fresh := Snapshot{At: 100, Caches: []Endpoint{cacheAt("a", 100), cacheAt("f", 100, 2)}}
	got := Merge(old, fresh, 60, 4)
	a := cacheAt("a", 100)
	a.CachedKeys, a.KeysAt = []uint64{1}, 50 // not collected this time
	want := Snapshot{At: 100, Caches: []Endpoint{a, cacheAt("b", 60), cacheAt("d", 70), cacheAt("f", 100, 2)}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if got := Merge(old, fresh, 60, 3); len(got.Caches) != 3 || got.Caches[1].ID != "d" {
		t.Errorf("of 3 at most: %+v", got.Caches)
	}
}

// TestMergeDropsKeysOfEarlierProcess checks that a cache which was started again has none of the keys known before.
func TestMergeDropsKeysOfEarlierProcess(t *testing.T) {
	fresh := cacheAt("a", 100)
	fresh.StartedAt = 90
	got := Merge(Snapshot{Caches: []Endpoint{cacheAt("a", 50, 1)}}, Snapshot{At: 100, Caches: []Endpoint{fresh}}, 60, 9)
	if len(got.Caches) != 1 || got.Caches[0].CachedKeys != nil {
		t.Errorf("got %+v", got.Caches)
	}
}
