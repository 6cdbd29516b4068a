package guard

import "testing"

func TestRouterKeepsContractUnderRandomEvents(t *testing.T) {
	var sends, served, probed, closed, crossed int
	for seed := range int64(300) {
		w := newTestLoop(t, seed, loopFaults{})
		w.play(400)
		for _, b := range w.breaches {
			t.Fatalf("seed %d: %v at %d, request %d, cache %q: %s\n%q",
				seed, b.Kind, b.At, b.Request, b.Cache, b.Text, b.History)
		}
		w.wantNothingOpen(seed)
		sends, served, probed = sends+w.sends, served+w.served, probed+w.probed
		closed, crossed = closed+w.closed, crossed+w.sentAfterEnd
	}
	t.Logf("%d sends (%d after the request's end), %d served, %d health checks, idle connections closed %d times",
		sends, crossed, served, probed, closed)
	if served == 0 || probed == 0 || closed == 0 || crossed == 0 {
		t.Error("part of the contract was never used")
	}
}

// wantNothingOpen checks that nothing is left open on either side.
func (w *testLoop) wantNothingOpen(seed int64) {
	w.t.Helper()
	if open, module := w.contract.Open(), w.module.Open(); open != 0 || module != 0 {
		w.t.Fatalf("seed %d: %d requests are open by the contract and %d by the module at the end", seed, open, module)
	}
	for i := range fleetSize {
		c := cacheName(i)
		if out, module := w.contract.InFlight(c), w.module.InFlight(c); out != 0 || module != 0 {
			w.t.Fatalf("seed %d: %s has %d attempts in flight by the contract and %d by the module at the end",
				seed, c, out, module)
		}
	}
}
