package aperture

import (
	"fmt"
	"testing"
)

func cacheName(i int) string { return fmt.Sprintf("s-%08x", uint32(i)*2654435761) }

func newAperture(t *testing.T, router, routers, maxCaches, caches int) *Aperture {
	t.Helper()
	r, err := New(router, routers, maxCaches)
	if err != nil {
		t.Fatal(err)
	}
	r.Resize(caches)
	return r
}

func TestSmallFleetIsFullyCovered(t *testing.T) {
	for _, caches := range []int{0, 1, 14, 390} {
		r := newAperture(t, 1, 3, 390, caches)
		for i := range caches {
			if !r.Covers(cacheName(i)) {
				t.Errorf("fleet of %d caches: %s is not covered", caches, cacheName(i))
			}
		}
		if !r.CoversAll() {
			t.Errorf("fleet of %d caches: CoversAll() = false, want true", caches)
		}
	}
}

// TestEachCacheIsCoveredEquallyOften checks the number of routers that use each cache, the load on each cache, and that no router
// uses more caches than allowed.
func TestEachCacheIsCoveredEquallyOften(t *testing.T) {
	for _, c := range []struct{ routers, maxCaches, caches, coveredBy int }{
		{3, 390, 500, 2}, {3, 390, 2000, 1}, {12, 390, 2000, 2}, {40, 390, 2000, 7}, {2, 390, 500, 1},
	} {
		load := make([]float64, c.caches)
		for router := range c.routers {
			r := newAperture(t, router, c.routers, c.maxCaches, c.caches)
			var used []int
			for i := range c.caches {
				if r.Covers(cacheName(i)) {
					used = append(used, i)
				}
			}
			if c.coveredBy > 1 && len(used) > c.maxCaches {
				t.Errorf("%+v: router %d uses %d caches, want at most %d", c, router, len(used), c.maxCaches)
			}
			for _, i := range used {
				load[i] += float64(c.caches) / float64(len(used)) / float64(c.routers)
			}
		}
		for i, l := range load {
			if l < 0.85 || l > 1.15 {
				t.Fatalf("%+v: %s gets %.2f times an even load, want 0.85 to 1.15", c, cacheName(i), l)
			}
		}
		by := 0
		for router := range c.routers {
			if newAperture(t, router, c.routers, c.maxCaches, c.caches).Covers(cacheName(7)) {
				by++
			}
		}
		if by != c.coveredBy {
			t.Errorf("%+v: a cache is covered by %d routers, want %d", c, by, c.coveredBy)
		}
	}
}

// TestNewCacheDoesNotAffectOthers checks that adding a cache does not affect which other caches are covered, and that a fleet
// that alternately grows and shrinks by one cache does not change the aperture each time.
func TestNewCacheDoesNotAffectOthers(t *testing.T) {
	r := newAperture(t, 0, 3, 390, 500)
	before := map[string]bool{}
	for i := range 500 {
		before[cacheName(i)] = r.Covers(cacheName(i))
	}
	changes := 0
	for _, n := range []int{501, 500, 580, 586, 585, 586, 585, 584} {
		if r.Resize(n) {
			changes++
		}
	}
	if changes > 1 {
		t.Errorf("the aperture changed %d times, want at most 1", changes)
	}
	r = newAperture(t, 0, 3, 390, 500)
	r.Resize(501)
	for name, covered := range before {
		if r.Covers(name) != covered {
			t.Errorf("%s: got covered %v after adding a cache, want %v as before", name, !covered, covered)
		}
	}
}

func TestNewRejectsInvalidNumbers(t *testing.T) {
	for _, c := range [][3]int{{0, 0, 1}, {3, 3, 1}, {-1, 3, 1}, {0, 1, 0}} {
		if _, err := New(c[0], c[1], c[2]); err == nil {
			t.Errorf("New(%d, %d, %d) returned no error", c[0], c[1], c[2])
		}
	}
}
