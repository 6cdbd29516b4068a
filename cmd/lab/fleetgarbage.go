package main

import (
	"context"
	"fmt"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/lab/script"
)

// Marks of fleet-garbage.
const (
	garbageRate     = 10_000 // datagrams a second
	garbageFraction = .025   // of a core: a tenth of a quarter
)

func init() {
	lab.Register(lab.Scenario{Name: "fleet-garbage", Run: fleetGarbage,
		Doc: "10,000 datagrams of garbage a second at one router process, as long without (--long: a minute)"})
}

func fleetGarbage(_ context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	span := 10 * time.Second
	if o.Long {
		span = time.Minute
	}
	s := script.Default()
	s.Routers, s.Caches, s.Rate, s.Length = 3, 9, 60, 2*span+4*time.Second
	var quiet, loud loopback.Time
	sent := 0
	begin := func(m *loopback.Mesh) {
		var before loopback.Time
		at := func(d time.Duration, f func()) { m.At(d.Microseconds(), f) }
		at(time.Second, func() { before = m.Processor(0) })
		at(time.Second+span, func() {
			quiet = m.Processor(0) - before
			stop := m.Garbage(0, garbageRate)
			before = m.Processor(0)
			at(span, func() {
				loud = m.Processor(0) - before
				sent = stop()
			})
		})
	}
	r, err := loopback.Run(loopback.Options{Script: s, Program: o.Against, Fleet: &loopback.Fleet{Begin: begin}})
	if err != nil {
		return "", false, err
	}
	if r.Interrupted {
		return "", false, loopback.ErrInterrupted
	}
	share := float64(loud-quiet) / float64(span.Microseconds())
	fmt.Fprintf(o.Out, "processor time in %s: %.2f s without, %.2f s with garbage\n", span, float64(quiet)/1e6, float64(loud)/1e6)
	ok = share <= garbageFraction && r.OK()
	return fmt.Sprintf("sent %d rate %.0f/s core %.2f%% in_time %.1f%% broken %d", sent, float64(sent)/span.Seconds(), 100*share,
		100*r.InTime(), r.Counts.Violations()), ok, nil
}
