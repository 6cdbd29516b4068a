package planted_test

import (
	"slices"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/baseline"
	"starlingwinch/internal/testbench/lab/node"
	"starlingwinch/internal/testbench/lab/planted"
)

const (
	mostSeeds = 500
	// guardedSeeds is how many runs a defect that the guard prevents must not show in.
	guardedSeeds = 40
	length       = 3 * time.Second
)

func TestPlantedDefectsAreFound(t *testing.T) {
	if raced {
		t.Skip("played without the race detector by .ci/run")
	}
	for _, d := range slices.Concat(planted.InModule(), planted.InMachine(), planted.InRegistry(),
		planted.InHooks(), planted.InThrong()) {
		t.Run(d.Name, func(t *testing.T) {
			o := lab.Options{Node: node.Start}
			if d.Masked {
				o.Node = baseline.Start
			}
			if d.Guarded {
				if run, broke, err := d.Find(t.Context(), o, guardedSeeds, length); broke || err != nil {
					t.Errorf("the guard does not prevent it: %q breaks in run %d, %v", d.Rule, run, err)
				}
				o.Unguarded = true
			}
			runs, found, err := d.Find(t.Context(), o, mostSeeds, length)
			switch {
			case err != nil:
				t.Fatal(err)
			case !found:
				t.Errorf("%q did not break in %d runs", d.Rule, runs)
			default:
				t.Logf("%q breaks in run %d", d.Rule, runs)
			}
		})
	}
}
