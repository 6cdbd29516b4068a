package main

import (
	"context"
	"fmt"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/pacing"
)

// The mark of pacing: where discovery can take a call of each router within the operators' bound less a second for the way and for
// what it turns away, all are answered within the bound and a tenth, also after an outage.
const (
	pacingBound   = 6 * time.Second
	pacingReserve = time.Second
	pacingMargin  = 1.1
)

func init() {
	lab.Register(lab.Scenario{Name: "pacing", Run: pacingScenario,
		Doc: "time from when discovery can be reached until 2 to 300 routers are answered, by how they call again (--long: three seeds each, 200 for the last router)"})
}

// pacingRun is one world with one strategy.
type pacingRun struct {
	pacing.World
	kind   pacing.Kind
	delays pacing.Delays
	err    error
}

func pacingRuns(seeds int) (runs []*pacingRun) {
	for _, outage := range []time.Duration{0, 20 * time.Second} {
		for _, clients := range []int{8, 32, 128, 300} {
			for _, capacity := range []float64{2, 5, 20, float64(clients) / (pacingBound - pacingReserve).Seconds()} {
				for _, kind := range pacing.Kinds() {
					for seed := range seeds {
						runs = append(runs, &pacingRun{kind: kind, World: pacing.World{Clients: clients, Capacity: capacity,
							Outage: outage.Microseconds(), Seed: uint64(seed + 1), MaxWait: (5 * time.Minute).Microseconds()}})
					}
				}
			}
		}
	}
	return runs
}

func pacingScenario(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	seeds := 1
	if o.Long {
		seeds = 3
	}
	runs := pacingRuns(seeds)
	sideBySide(runs, func(r *pacingRun) {
		if r.err = ctx.Err(); r.err == nil {
			r.delays, r.err = pacing.Play(r.World, r.kind)
		}
	})
	fmt.Fprintln(o.Out, "outage  routers  calls/s  ideal  strategy      median     p99    last  unheard  turned away")
	own, before := 0.0, 0.0
	for _, r := range runs {
		if r.err != nil {
			return "", false, r.err
		}
		ideal := float64(r.Clients) / r.Capacity
		fmt.Fprintf(o.Out, "%5ds  %7d  %7.1f  %4.0fs  %-12s  %5.1fs  %5.1fs  %5.1fs  %7d  %11d\n", r.Outage/1e6, r.Clients, r.Capacity, ideal,
			r.kind.Name, seconds(r.delays.Median), seconds(r.delays.P99), seconds(r.delays.Last), r.delays.Unanswered, r.delays.Refused)
		if ideal > (pacingBound - pacingReserve).Seconds() {
			continue
		}
		switch r.kind.Name {
		case "router":
			own = max(own, seconds(r.delays.Last))
		case "before":
			before = max(before, seconds(r.delays.Last))
		}
	}
	ok = own <= pacingMargin*pacingBound.Seconds()
	spread := pacingSpreads(o.Long)
	if err := playSpreads(ctx, spread); err != nil {
		return "", false, err
	}
	printSpreads(o.Out, spread)
	return fmt.Sprintf("last_heard %.1fs before %.1fs bound %.1fs", own, before, pacingBound.Seconds()), ok, nil
}

func seconds(t pacing.Time) float64 { return float64(t) / 1e6 }
