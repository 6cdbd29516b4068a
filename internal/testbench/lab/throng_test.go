package lab_test

import (
	"runtime"
	"testing"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
	"starlingwinch/internal/testbench/lab/script"
)

// TestDrawnThrongs guards against late drains if many routers start at the same time and discovery accepts few calls. With additional
// calls beside a working watch, and delays that grow from 0.25 s to 4 s, ten of the runs of seeds 1 to 200 have late drains.
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

// TestDrawnOutages guards against late drains if an outage of discovery ends while caches drain. With constant delays, seeds 131 and
// 136 each have a late drain.
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

// TestDrainIsKeptInThrongSeed1039 guards against an attempt after a drain: router r-9 begins an attempt to a draining cache 0.59 s
// after the router was notified of the drain.
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
