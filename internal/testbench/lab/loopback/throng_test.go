package loopback

import (
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
)

// TestColdCachesBearThirtyRouters: two small caches come back cold under a burst. Each of 24 router processes sends little, and all of
// them together no more than N requests and 2 x root of N + 2.
func TestColdCachesBearThirtyRouters(t *testing.T) {
	s := calm(7*time.Second,
		script.Fault{At: 1500 * time.Millisecond, Kind: script.RestartCold, Target: "c1"},
		script.Fault{At: 1500 * time.Millisecond, Kind: script.RestartCold, Target: "c2"},
		script.Fault{At: 1500 * time.Millisecond, For: 4 * time.Second, Kind: script.Burst, Target: "clients", Factor: 3})
	s.Routers, s.Caches, s.Rate, s.Clients.Groups = 24, 8, 120, 24
	s.Fleet.Cores, s.Fleet.ColdBy, s.Fleet.ListDelay = 1.5, "calls", 100*time.Millisecond
	r, err := Run(Options{Script: s})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Broken {
		if f.Rule == rules.WarmupOverload {
			t.Errorf("%v", f)
		}
	}
	if len(r.Troubles) > 0 || r.Requests().Requests < 300 {
		t.Errorf("troubles %v, %d requests", r.Troubles, r.Requests().Requests)
	}
}
