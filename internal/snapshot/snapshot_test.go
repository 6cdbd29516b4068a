package snapshot

import (
	"math"
	"reflect"
	"testing"

	"starlingwinch/decide"
)

const second Time = 1_000_000

var halves = HalfLives{ConcurrencyLimit: 10 * second, LateRatio: 10 * second, ErrorRatio: 4 * second, Health: 10 * second, Keys: 20 * second,
	Zones: 5 * second, Origin: 20 * second, Retry: 10 * second}

var usual = decide.EndpointSnapshot{ID: "c", ConcurrencyLimit: 4, Healthy: true, Responsive: true}

func bad() Endpoint {
	return Endpoint{At: 0, KeysAt: 0, EndpointSnapshot: decide.EndpointSnapshot{ID: "c", ConcurrencyLimit: .25, LateRatio: .8, ErrorRatio: .6, FailedHealthChecks: 2,
		CachedKeys: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}}}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestFiguresFadeTowardsWhatIsUsual by a half-life of their own.
func TestFiguresFadeTowardsWhatIsUsual(t *testing.T) {
	c, ok := halves.DecayEndpoint(bad(), usual, 0, 100*second)
	if want := bad().EndpointSnapshot; !ok || !reflect.DeepEqual(c, want) {
		t.Errorf("at once: %+v", c)
	}
	if c, _ = halves.DecayEndpoint(bad(), usual, 10*second, 100*second); !near(c.ConcurrencyLimit, 1) || !near(c.LateRatio, .4) ||
		!near(c.ErrorRatio, .6*math.Exp2(-2.5)) || c.Healthy || c.FailedHealthChecks != 2 || c.Responsive {
		t.Errorf("after 10 s: %+v", c)
	}
	if c, _ = halves.DecayEndpoint(bad(), usual, 11*second, 100*second); !c.Healthy || c.FailedHealthChecks != 0 || !c.Responsive {
		t.Errorf("a mark holds beyond its half-life: %+v", c)
	}
	if n := len(c.CachedKeys); n == 0 || n == 16 {
		t.Errorf("after 11 s %d keys of 16 are left", n)
	}
	if c, ok = halves.DecayEndpoint(bad(), usual, 101*second, 100*second); ok || !reflect.DeepEqual(c, usual) {
		t.Errorf("beyond the oldest: %v, %+v", ok, c)
	}
}

// TestNeverToBeBelieved: a half-life of 0 is nothing from the first moment on.
func TestNeverToBeBelieved(t *testing.T) {
	if c, _ := (HalfLives{}).DecayEndpoint(bad(), usual, 0, second); !reflect.DeepEqual(c, usual) {
		t.Errorf("got %+v", c)
	}
}

// TestFiguresOfAllFadeToo, and a zone's mark holds up to its half-life.
func TestFiguresOfAllFadeToo(t *testing.T) {
	s := Snapshot{Router: decide.Snapshot{OriginLimit: 2, OriginMissRatio: .2, RetryBudget: 0, ErrorRatio: .4, LostRatio: .4,
		Zones: []decide.ZoneSnapshot{{Name: "a", FailedConnections: 3}}}}
	all := decide.Snapshot{OriginLimit: 10, OriginMissRatio: 1, RetryBudget: 10}
	got, ok := halves.DecayShared(s, all, 5*second, 100*second)
	if w := math.Exp2(-.25); !ok || !near(got.OriginLimit, 10-8*w) || !near(got.OriginMissRatio, 1-.8*w) || len(got.Zones) != 1 ||
		!near(got.LostRatio, .4*math.Exp2(-.5)) || !near(got.RetryBudget, 10-10*math.Exp2(-.5)) {
		t.Errorf("after 5 s: %+v", got)
	}
	if got, _ = halves.DecayShared(s, all, 6*second, 100*second); len(got.Zones) != 0 {
		t.Error("a zone's mark holds beyond its half-life")
	}
	if got, ok = halves.DecayShared(s, all, 101*second, 100*second); ok || !reflect.DeepEqual(got, all) {
		t.Errorf("beyond the oldest: %+v", got)
	}
}

func cacheAt(id string, at Time, keys ...uint64) Endpoint {
	c := Endpoint{At: at, EndpointSnapshot: decide.EndpointSnapshot{ID: id, CachedKeys: keys}}
	if len(keys) > 0 {
		c.KeysAt = at
	}
	return c
}

// TestMergeKeepsWhatIsNotTold, up to an age and a number, and what is told wins.
func TestMergeKeepsWhatIsNotTold(t *testing.T) {
	old := Snapshot{Caches: []Endpoint{cacheAt("a", 50, 1), cacheAt("b", 60), cacheAt("c", 10), cacheAt("d", 70), cacheAt("e", 200)}}
	fresh := Snapshot{At: 100, Caches: []Endpoint{cacheAt("a", 100), cacheAt("f", 100, 2)}}
	got := Merge(old, fresh, 60, 4)
	a := cacheAt("a", 100)
	a.CachedKeys, a.KeysAt = []uint64{1}, 50 // not looked at this time
	want := Snapshot{At: 100, Caches: []Endpoint{a, cacheAt("b", 60), cacheAt("d", 70), cacheAt("f", 100, 2)}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if got := Merge(old, fresh, 60, 3); len(got.Caches) != 3 || got.Caches[1].ID != "d" {
		t.Errorf("of 3 at most: %+v", got.Caches)
	}
}

// TestKeysOfAnOldProcessAreNotThoseOfANewOne.
func TestKeysOfAnOldProcessAreNotThoseOfANewOne(t *testing.T) {
	fresh := cacheAt("a", 100)
	fresh.StartedAt = 90
	got := Merge(Snapshot{Caches: []Endpoint{cacheAt("a", 50, 1)}}, Snapshot{At: 100, Caches: []Endpoint{fresh}}, 60, 9)
	if len(got.Caches) != 1 || got.Caches[0].CachedKeys != nil {
		t.Errorf("got %+v", got.Caches)
	}
}
