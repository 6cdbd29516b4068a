package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"starlingwinch/internal/lab"
	"starlingwinch/internal/storm"
)

// The marks of storm, from the operators' wish: no cache falls, most is served in time, and what caches can bear is
// used, whatever clients make of the advice they get.
const (
	stormFell    = 0
	stormInTime  = 0.80
	stormGoodput = 0.75
)

const (
	stormClients = 1000
	stormLoad    = 0.4 // of what warm caches bear
	stormSeeds   = 5
	stormCalm    = 10 * time.Second
	stormOutage  = 5 * time.Second
	stormLength  = 30 * time.Second
)

func init() {
	lab.Register(lab.Scenario{Name: "storm", Run: stormScenario,
		Doc: "1,000 clients reconnect together to caches that are back cold, beside the router with storms not handled"})
}

// stormRun is one storm, with the router as it is and with storms not handled.
type stormRun struct {
	storm       lab.Storm
	with, today *lab.StormResult
	err         error
}

func stormScenario(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	var runs []*stormRun
	for _, ignore := range []float64{0, .5, 1} {
		for seed := range stormSeeds {
			runs = append(runs, &stormRun{storm: lab.Storm{Seed: int64(seed + 1), Clients: stormClients, Load: stormLoad,
				Before: stormCalm.Microseconds(), Outage: stormOutage.Microseconds(), For: stormLength.Microseconds(),
				Ignore: ignore}})
		}
	}
	if err := playStorms(ctx, runs); err != nil {
		return "", false, err
	}
	ok = true
	fell, inTime, least, today := 0, 1.0, 1.0, 0.0
	for i, r := range runs {
		if i%stormSeeds == 0 {
			fmt.Fprintf(o.Out, "%.0f%% of clients take no advice\n", 100*r.storm.Ignore)
		}
		tellStorm(o.Out, r)
		fell += r.with.Fell
		inTime, least = min(inTime, r.with.Share()), min(least, r.with.Least())
		today += r.today.Share() / float64(len(runs))
	}
	tellWindows(o.Out, runs[stormSeeds])
	ok = fell <= stormFell && inTime > stormInTime && least >= stormGoodput
	return fmt.Sprintf("clients %d fell %d in_time %.1f%% goodput_least %.1f%% today_in_time %.1f%%", stormClients, fell,
		100*inTime, 100*least, 100*today), ok, nil
}

// playStorms plays all, as many at a time as there are cores.
func playStorms(ctx context.Context, runs []*stormRun) error {
	off := storm.Default()
	off.Enabled = false
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var all sync.WaitGroup
	for _, r := range runs {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if r.err = ctx.Err(); r.err != nil {
				return
			}
			if r.with, r.err = lab.PlayStorm(r.storm, lab.Options{Node: router}); r.err == nil {
				r.today, r.err = lab.PlayStorm(r.storm, lab.Options{Node: router, Storm: &off})
			}
		})
	}
	all.Wait()
	for _, r := range runs {
		if r.err != nil {
			return fmt.Errorf("seed %d: %w", r.storm.Seed, r.err)
		}
	}
	return nil
}

func tellStorm(out io.Writer, r *stormRun) {
	one := func(name string, x *lab.StormResult) {
		fmt.Fprintf(out, "  seed %d %-6s in time %5.1f%%  goodput least %5.1f%%  fell %d  tries %7d  %s\n", r.storm.Seed, name,
			100*x.Share(), 100*x.Least(), x.Fell, x.Tries, x.First())
	}
	one("router", r.with)
	one("today", r.today)
}

// tellWindows shows one storm as it went.
func tellWindows(out io.Writer, r *stormRun) {
	fmt.Fprintf(out, "seed %d, %.0f%% take no advice: core-seconds in each window\n", r.storm.Seed, 100*r.storm.Ignore)
	for i, p := range r.with.Parts {
		fmt.Fprintf(out, "  %2d s: asked %5.1f  caches can bear %5.1f  in time %5.1f (goodput %3.0f%%)  today %5.1f\n",
			p.At/1_000_000, p.Asked, p.Bear, p.InTime, 100*p.Goodput(), r.today.Parts[i].InTime)
	}
}
