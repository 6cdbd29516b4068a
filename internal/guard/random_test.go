package guard

import "testing"

func TestRealModuleKeepsItsSideUnderRandomEvents(t *testing.T) {
	var sends, served, probed, closed, crossed int
	for seed := range int64(300) {
		w := newWorld(t, seed, defects{})
		w.play(400)
		for _, b := range w.breaches {
			t.Fatalf("seed %d: %v at %d, request %d, cache %q: %s\n%q",
				seed, b.Kind, b.At, b.Request, b.Cache, b.Text, b.History)
		}
		w.balanced(seed)
		sends, served, probed = sends+w.sends, served+w.served, probed+w.probed
		closed, crossed = closed+w.closed, crossed+w.crossed
	}
	t.Logf("%d sends (%d crossed the request's end), %d served, %d probes, idle connections closed %d times",
		sends, crossed, served, probed, closed)
	if served == 0 || probed == 0 || closed == 0 || crossed == 0 {
		t.Error("part of the contract was never used")
	}
}

// balanced reports what is left on either side.
func (w *world) balanced(seed int64) {
	w.t.Helper()
	if open, module := w.books.Open(), w.module.Open(); open != 0 || module != 0 {
		w.t.Fatalf("seed %d: %d requests open in the books and %d in the module at the end", seed, open, module)
	}
	for i := range fleetSize {
		c := cacheName(i)
		if out, module := w.books.InFlight(c), w.module.InFlight(c); out != 0 || module != 0 {
			w.t.Fatalf("seed %d: %s has %d attempts out in the books and %d in the module at the end",
				seed, c, out, module)
		}
	}
}
