package aperture

import (
	"fmt"
	"testing"
)

func name(i int) string { return fmt.Sprintf("s-%08x", uint32(i)*2654435761) }

func ring(t *testing.T, self, peers, most, caches int) *Aperture {
	t.Helper()
	r, err := New(self, peers, most)
	if err != nil {
		t.Fatal(err)
	}
	r.Resize(caches)
	return r
}

func TestFleetThatFitsIsTakenWhole(t *testing.T) {
	for _, caches := range []int{0, 1, 14, 390} {
		r := ring(t, 1, 3, 390, caches)
		for i := range caches {
			if !r.Covers(name(i)) {
				t.Errorf("of %d caches %s is not used", caches, name(i))
			}
		}
		if !r.CoversAll() {
			t.Errorf("%d caches are not taken whole", caches)
		}
	}
}

// TestEachCacheIsUsedByEquallyManyRouters, and no router uses more than it has descriptors for.
func TestEachCacheIsUsedByEquallyManyRouters(t *testing.T) {
	for _, c := range []struct{ peers, most, caches, by int }{
		{3, 390, 500, 2}, {3, 390, 2000, 1}, {12, 390, 2000, 2}, {40, 390, 2000, 7}, {2, 390, 500, 1},
	} {
		load := make([]float64, c.caches)
		for self := range c.peers {
			r := ring(t, self, c.peers, c.most, c.caches)
			var used []int
			for i := range c.caches {
				if r.Covers(name(i)) {
					used = append(used, i)
				}
			}
			if c.by > 1 && len(used) > c.most {
				t.Errorf("%+v: router %d uses %d caches", c, self, len(used))
			}
			for _, i := range used {
				load[i] += float64(c.caches) / float64(len(used)) / float64(c.peers)
			}
		}
		for i, l := range load {
			if l < 0.85 || l > 1.15 {
				t.Fatalf("%+v: %s has %.2f of an even load", c, name(i), l)
			}
		}
		by := 0
		for self := range c.peers {
			if ring(t, self, c.peers, c.most, c.caches).Covers(name(7)) {
				by++
			}
		}
		if by != c.by {
			t.Errorf("%+v: a cache is used by %d routers", c, by)
		}
	}
}

// TestCacheThatComesChangesNothingForTheOthers, and a fleet that grows and shrinks by one cache does not move the
// aperture to and fro.
func TestCacheThatComesChangesNothingForTheOthers(t *testing.T) {
	r := ring(t, 0, 3, 390, 500)
	before := map[string]bool{}
	for i := range 500 {
		before[name(i)] = r.Covers(name(i))
	}
	changes := 0
	for _, n := range []int{501, 500, 580, 586, 585, 586, 585, 584} {
		if r.Resize(n) {
			changes++
		}
	}
	if changes > 1 {
		t.Errorf("the aperture moved %d times", changes)
	}
	r = ring(t, 0, 3, 390, 500)
	r.Resize(501)
	for name, covered := range before {
		if r.Covers(name) != covered {
			t.Errorf("%s: used %v, was %v", name, !covered, covered)
		}
	}
}

func TestWrongPlacesAreErrors(t *testing.T) {
	for _, c := range [][3]int{{0, 0, 1}, {3, 3, 1}, {-1, 3, 1}, {0, 1, 0}} {
		if _, err := New(c[0], c[1], c[2]); err == nil {
			t.Errorf("%v is taken", c)
		}
	}
}
