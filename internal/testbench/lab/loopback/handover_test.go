package loopback

import (
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab/script"
)

// TestHandOversLoseNothing: four routers are followed in the four ways, under load, and one gets signals in a row. No process ends
// by itself, the address refuses nobody for long, and no rule is broken.
func TestHandOversLoseNothing(t *testing.T) {
	at := 300 * time.Millisecond
	s := calm(5*time.Second,
		script.Fault{At: at, Kind: script.HandOver, Target: "router:1", How: script.NextFirst, Delay: 400 * time.Millisecond},
		script.Fault{At: at, Kind: script.HandOver, Target: "router:2", How: script.TermFirst, Delay: 490 * time.Millisecond},
		script.Fault{At: at, Kind: script.HandOver, Target: "router:3", How: script.Stopped, Delay: time.Millisecond},
		script.Fault{At: at, Kind: script.HandOver, Target: "router:4", How: script.Killed, Delay: 300 * time.Millisecond},
		script.Fault{At: at, Kind: script.Signals, Target: "router:5", How: "hup-term", Delay: 20 * time.Millisecond})
	s.Routers = 5
	var pids []int
	r, err := Run(Options{Script: s, started: func(pid int) { pids = append(pids, pid) }})
	if err != nil {
		t.Fatal(err)
	}
	wantStartedTwice(t, &r, pids)
}
