package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
)

func init() {
	lab.Register(lab.Scenario{Name: "storm-loopback", Run: stormLoopback,
		Doc: "the same on loopback sockets with router processes, half of the clients taking no advice, storms handled and not; " +
			"--long: all, and none, of them too"})
}

func stormLoopback(_ context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	kinds := []float64{.5}
	if o.Long {
		kinds = []float64{.5, 0, 1}
	}
	fell, inTime, least, today, late := 0, 1.0, 1.0, 0.0, 0.0
	ok = true
	for _, ignore := range kinds {
		with, without := &loopStorm{name: "router", handled: true}, &loopStorm{name: "today"}
		var both sync.WaitGroup
		for _, x := range []*loopStorm{with, without} { // side by side: what the machine does besides touches both alike
			both.Go(func() { x.play(ignore, o.Against) })
		}
		both.Wait()
		if err := errors.Join(with.err, without.err); err != nil {
			return "", false, err
		}
		for _, x := range []*loopStorm{with, without} {
			x.tell(o.Out, ignore)
		}
		books := with.books()
		fell += with.Counts.Broken[rules.WarmupOverload] + with.Counts.Broken[rules.StoreOverload]
		inTime, least = min(inTime, books.Share()), min(least, books.Least())
		late, today = max(late, with.late, without.late), max(today, without.books().Share())
		ok = ok && with.OK()
	}
	ok = ok && fell <= stormFell && inTime > stormInTime && least >= stormGoodput
	return fmt.Sprintf("clients %d fell %d in_time %.1f%% goodput_least %.1f%% today_in_time %.1f%% harness_late %.1f%%",
		stormClients, fell, 100*inTime, 100*least, 100*today, 100*late), ok, nil
}

// loopStorm is one storm on loopback.
type loopStorm struct {
	loopback.Report
	name    string
	handled bool
	late    float64 // share of the run for which this process itself was late
	err     error
}

func (x *loopStorm) play(ignore float64, program string) {
	s := script.Default()
	s.Routers, s.Caches, s.Clients.Groups = 3, 9, 1
	before := stormCalm / 2
	s.Length = before + stormOutage + stormLength
	x.Report, x.err = loopback.Run(loopback.Options{Script: s, Program: program, Storm: &loopback.Storm{
		Clients: stormClients, Load: stormLoad, Before: before.Microseconds(), Outage: stormOutage.Microseconds(),
		For: stormLength.Microseconds(), Ignore: ignore, Handled: x.handled}})
	if x.err == nil && x.Interrupted {
		x.err = loopback.ErrInterrupted
	}
	x.late = float64(x.Lag.Lost) / float64(s.Length.Microseconds())
}

func (x *loopStorm) books() *lab.StormResult {
	return &lab.StormResult{Parts: x.Storm.Parts(), Requests: x.Storm.Requests, InTime: x.Storm.InTime}
}

func (x *loopStorm) tell(out io.Writer, ignore float64) {
	books := x.books()
	fmt.Fprintf(out, "%3.0f%% take no advice, %-6s in time %5.1f%% of %d  goodput least %5.1f%%  tries %d  harness late %.1f%%\n",
		100*ignore, x.name, 100*books.Share(), books.Requests, 100*books.Least(), x.Counts.Asked, 100*x.late)
	for _, p := range books.Parts {
		fmt.Fprintf(out, "  %2d s: asked %5.1f  caches can bear %5.1f  in time %5.1f (goodput %3.0f%%)\n",
			p.At/1_000_000, p.Asked, p.Bear, p.InTime, 100*p.Goodput())
	}
	told(out, &x.Report)
}
