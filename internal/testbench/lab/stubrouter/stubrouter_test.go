package stubrouter

import (
	"testing"
	"time"
)

// Bounds of a router's calls of discovery: its watch waits for one to four seconds, each a time of its own.
const (
	leastCalls = 1. / 4.5
	mostCalls  = 1.5
	uneven     = 0.4 // of the calls a router at one size, by which those at another may differ
)

func play(t *testing.T, routers int) Result {
	t.Helper()
	r, err := Play(t.Context(), Options{Routers: routers, Caches: 6, Settle: 1500 * time.Millisecond, Steady: 5 * time.Second, Changes: 3,
		ChangeEvery: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestControlGrowsWithRoutersAlone: by counts of messages and bytes, which no busy machine changes much.
func TestControlGrowsWithRoutersAlone(t *testing.T) {
	small, large := play(t, 15), play(t, 60)
	for _, r := range []Result{small, large} {
		if calls := r.ListMessages / float64(r.Routers); calls < leastCalls || calls > mostCalls {
			t.Errorf("%d routers: %.2f calls of discovery a second each, want %.2f to %.2f", r.Routers, calls, leastCalls, mostCalls)
		}
		if r.Missed > 0 {
			t.Errorf("%d routers: %d changes were not taken over", r.Routers, r.Missed)
		}
		if r.Connections != int64(r.Routers) {
			t.Errorf("%d routers hold %d connections, want one each, to discovery", r.Routers, r.Connections)
		}
	}
	each, other := small.ListBytes/15, large.ListBytes/60
	if each <= 0 || other < each*(1-uneven) || other > each*(1+uneven) {
		t.Errorf("%.0f bytes a second a router where they are 15, %.0f where they are 60", each, other)
	}
}

// TestStoppedFleetLeavesNothing: its loops have ended when Play returns, also where it is cut short.
func TestStoppedFleetLeavesNothing(t *testing.T) {
	f := &fleet{o: Options{Routers: 3, Caches: 2}, pending: map[string]change{}}
	if err := f.start(); err != nil {
		t.Fatal(err)
	}
	f.stop()
	if n := f.connections.Load(); n != 0 {
		t.Errorf("%d connections are open after the end", n)
	}
}
