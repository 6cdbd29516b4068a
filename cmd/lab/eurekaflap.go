package main

import (
	"context"
	"fmt"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
)

// flapMoves is how often a router may give a flapping cache its keys back within 20 s: it is held down from its
// third flap on (docs/design/membership.md).
const flapMoves = 3

// The run of eureka-flap.
const (
	flapLength = 26 * time.Second
	flapAt     = 3 * time.Second
	flapFor    = 20 * time.Second
)

// flapPaces are how long the cache stands as down, and as up, each time: as the need words it, and so slowly that a
// send more than 1 s after a down would be seen.
var flapPaces = []time.Duration{250 * time.Millisecond, 1500 * time.Millisecond}

func init() {
	lab.Register(lab.Scenario{Name: "eureka-flap", Run: eurekaFlap,
		Doc: "a cache that flaps in a registry for 20 s, with damping and without, in virtual worlds"})
}

func flapScript(pace time.Duration, undamped bool) script.Script {
	s := script.Default()
	s.Length = flapLength
	s.Registry.Enabled, s.Registry.Undamped = true, undamped
	s.Faults = []script.Fault{{Kind: script.RegistryFlap, Target: "c2", At: flapAt, For: flapFor, Delay: pace}}
	return s
}

// moves counts how often lists that reach a router's decision module bring a cache back: each time its keys move
// to it.
type moves struct {
	guard.Module
	n    *int
	away map[string]bool
}

// Handle implements guard.Module.
func (m moves) Handle(now decide.Time, ev decide.Event) []decide.Action {
	if l, ok := ev.(*decide.EndpointList); ok {
		for _, e := range l.Endpoints {
			if e.Status == decide.Serving && m.away[e.ID] {
				*m.n++
			}
			m.away[e.ID] = e.Status != decide.Serving
		}
	}
	return m.Module.Handle(now, ev)
}

func eurekaFlap(_ context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	ok = true
	fmt.Fprintf(o.Out, "%-10s %-9s %16s %8s %8s\n", "pace", "damping", "moves a router", "broken", "in time")
	for _, pace := range flapPaces {
		var back [2]float64
		broken := 0
		for i, undamped := range []bool{false, true} {
			n := 0
			s := flapScript(pace, undamped)
			r, err := lab.Run(s, lab.Options{Node: router, Wrap: func(m guard.Module) guard.Module {
				return moves{m, &n, map[string]bool{}}
			}})
			if err != nil {
				return "", false, err
			}
			for _, x := range r.Broken {
				fmt.Fprintln(o.Out, x)
			}
			broken += len(r.Broken)
			back[i] = float64(n) / float64(s.Routers)
			fmt.Fprintf(o.Out, "%-10s %-9t %16.1f %8d %8.4f\n", pace, !undamped, back[i], len(r.Broken), inTime(r.Counts.Tally))
		}
		if line != "" {
			line += " "
		}
		line += fmt.Sprintf("pace_ms %d damped %.1f undamped %.1f broken %d", pace.Milliseconds(), back[0], back[1], broken)
		ok = ok && broken == 0 && back[0] <= flapMoves && back[0] < back[1]
	}
	return line, ok, nil
}
