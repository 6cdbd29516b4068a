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
