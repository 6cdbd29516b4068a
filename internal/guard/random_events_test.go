package guard

import "testing"

func TestRouterKeepsContractUnderRandomEvents(t *testing.T) {
	var sends, served, healthChecks, idleCloses, sendsAfterEnd int
	for seed := range int64(300) {
		loop := newTestLoop(t, seed, loopFaults{})
		loop.play(400)
		for _, breach := range loop.breaches {
			t.Fatalf("seed %d: %v at %d, request %d, cache %q: %s\n%q",
				seed, breach.Kind, breach.At, breach.Request, breach.Cache, breach.Text, breach.History)
		}
		loop.wantNothingOpen(seed)
		sends, served, healthChecks = sends+loop.sends, served+loop.served, healthChecks+loop.healthChecksSent
		idleCloses, sendsAfterEnd = idleCloses+loop.idleCloses, sendsAfterEnd+loop.sendsAfterEnd
	}
	t.Logf("%d sends (%d after the request's end), %d served, %d health checks, idle connections closed %d times",
		sends, sendsAfterEnd, served, healthChecks, idleCloses)
	if served == 0 || healthChecks == 0 || idleCloses == 0 || sendsAfterEnd == 0 {
		t.Error("the random events did not cover served requests, health checks, closes of idle connections and sends after the end of a request")
	}
}

// wantNothingOpen checks that neither the Contract nor the module counts an open request or an attempt in flight.
func (loop *testLoop) wantNothingOpen(seed int64) {
	loop.t.Helper()
	if open, module := loop.contract.OpenRequests(), loop.module.OpenRequests(); open != 0 || module != 0 {
		loop.t.Fatalf("seed %d: %d requests are open by the contract and %d by the module at the end", seed, open, module)
	}
	for i := range fleetSize {
		cache := cacheName(i)
		if inFlight, module := loop.contract.InFlight(cache), loop.module.InFlight(cache); inFlight != 0 || module != 0 {
			loop.t.Fatalf("seed %d: %s has %d attempts in flight by the contract and %d by the module at the end",
				seed, cache, inFlight, module)
		}
	}
}
