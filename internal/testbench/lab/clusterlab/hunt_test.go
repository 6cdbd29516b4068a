package clusterlab

import (
	"context"
	"runtime"
	"testing"

	"starlingwinch/internal/gossip"
)

func TestScriptsOfFaultsLeaveViewsRight(t *testing.T) {
	played := Hunt(context.Background(), 1, 4*seeds, runtime.NumCPU(), Options{Routers: 30}, func(r *Result) {
		if len(r.Broken) > 0 {
			t.Error(r)
		}
	})
	if played != 4*seeds {
		t.Errorf("%d scripts were played", played)
	}
}

// Each planted defect is found. That datagrams are believed again harms nothing as long as all else holds, and is found by
// the package's own tests.
func TestPlantedDefectsOfTheViewAreFound(t *testing.T) {
	if !largeToo {
		t.Skip("played without the race detector by .ci/run")
	}
	for d := gossip.FaultyNeverProbed; d < gossip.Replayable; d++ {
		ctx, found := context.WithCancel(context.Background())
		var first *Result
		played := Hunt(ctx, 1, 200, runtime.NumCPU(), Options{Routers: 30, Defect: d}, func(r *Result) {
			if len(r.Broken) > 0 && first == nil {
				first = r
				found()
			}
		})
		found()
		if first == nil {
			t.Errorf("defect %d was not found in %d seeds", d, played)
			continue
		}
		t.Logf("defect %d: found by seed %d: %s", d, first.Seed, first.Broken[0])
	}
}

func TestAScriptThatBreaksIsMadeShorter(t *testing.T) {
	o := Options{Routers: 12, Defect: gossip.FaultyNeverProbed}
	long := []Fault{{Kind: Lossy, At: second, For: second}, {Kind: Parts, At: 2 * second, For: 8 * second, Parts: 2},
		{Kind: Stall, At: 3 * second, For: second, Who: []int{1}}}
	r := Shrink(Play(1, o, long), o)
	if len(r.Broken) == 0 || len(r.Faults) != 1 || r.Faults[0].Kind != Parts {
		t.Errorf("left %v, broken %v", r.Faults, r.Broken)
	}
}
