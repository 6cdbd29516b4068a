package lab_test

import (
	"runtime"
	"testing"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
	"starlingwinch/internal/testbench/lab/script"
)

// TestDrawnThrongs: many routers start in step before a discovery that takes few calls. With calls made beside a watch that works
// and with pauses that grow from a quarter of a second to four, seeds 1 to 200 had ten runs with late drains.
func TestDrawnThrongs(t *testing.T) {
	h := lab.Hunt{From: 1, To: 40 / inPart, Jobs: runtime.GOMAXPROCS(0), Draw: script.DrawThrong, Options: lab.Options{Node: node.Start}}
	sum, err := h.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sum.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Broken[0])
	}
}

// TestDrawnOutages guards against late drains where an outage of discovery ends as caches drain: with delays that stay the same, seeds
// 131 and 136 have one.
func TestDrawnOutages(t *testing.T) {
	h := lab.Hunt{From: 1, To: 140 / inPart, Jobs: runtime.GOMAXPROCS(0), Draw: script.DrawOutage, Options: lab.Options{Node: node.Start}}
	sum, err := h.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sum.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Broken[0])
	}
}

// TestDrainIsKeptInThrongSeed1039: router r-9 begins an attempt 0.59 s after it was notified of the drain.
func TestDrainIsKeptInThrongSeed1039(t *testing.T) {
	const seed = 1039
	h := lab.Hunt{From: seed, To: seed, Jobs: 1, Draw: script.DrawThrong, Options: lab.Options{Node: node.Start}}
	sum, err := h.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sum.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Broken[0])
	}
}
