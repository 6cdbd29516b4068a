package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"starlingwinch/internal/machine/faultkernel"
	"starlingwinch/internal/testbench/lab/loopback"
)

func TestEqualSeedsDrawEqualPlays(t *testing.T) {
	for seed := range uint64(20) {
		if a, b := Draw(seed, 24, time.Minute), Draw(seed, 24, time.Minute); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: %+v, then %+v", seed, a, b)
		}
	}
}

// TestSeedsMeetAllPairs: so many seeds in a row as there are pairs meet each, with plays that can be played.
func TestSeedsMeetAllPairs(t *testing.T) {
	var met Coverage
	for seed := range uint64(Pairs()) {
		c := Draw(seed+1, 24, time.Minute)
		if err := loopback.Check(c.Script); err != nil {
			t.Errorf("seed %d: %v", seed+1, err)
		}
		if _, _, err := faultkernel.Parse("seed=1," + c.Calls); c.Calls != "" && err != nil {
			t.Errorf("seed %d: %v", seed+1, err)
		}
		met.Add(c, nil)
	}
	if met.PairsMet() != Pairs() {
		t.Errorf("%d of %d pairs are met", met.PairsMet(), Pairs())
	}
}

func TestTroublesOverlap(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed, 24, time.Minute).Script
		for i := 1; i < len(s.Faults); i++ {
			if gap := s.Faults[i].At - s.Faults[0].At; gap > s.Length/2 {
				t.Errorf("seed %d: %v between troubles", seed, gap)
			}
		}
	}
}

func TestCoverageTellsPathsByTroublesAndCounters(t *testing.T) {
	var c Coverage
	c.Add(Case{Troubles: []string{"hang", "router-term"}}, []string{"attempt-retried.served"})
	for _, path := range paths {
		want := slices.Contains([]string{"shutdown", "retry"}, path)
		if got := c.on[[2]string{"hang", path}] == 1; got != want {
			t.Errorf("hang met %s: %v", path, got)
		}
	}
}

// TestPlaysWithOneTroubleMeetAllOthers: as many seeds as there are other kinds.
func TestPlaysWithOneTroubleMeetAllOthers(t *testing.T) {
	var met Coverage
	for seed := range uint64(len(kinds) - 1) {
		c, err := DrawWith("hand-over", seed, 24, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if err := loopback.Check(c.Script); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		c.Troubles = c.Troubles[:2]
		met.Add(c, nil)
	}
	if met.PairsMet() != len(kinds)-1 {
		t.Errorf("%d of %d pairs are met", met.PairsMet(), len(kinds)-1)
	}
	if _, err := DrawWith("none", 1, 24, time.Minute); err == nil {
		t.Error("a trouble that does not exist is drawn")
	}
}
