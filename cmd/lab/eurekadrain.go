package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/lab/script"
)

// The marks of eureka-drain are the operators': nothing new reaches a cache later than 1 s after the registry has
// marked it, and they aim at 400 ms for 99 of 100.
const (
	maxDrainDelay    = time.Second
	targetDrainDelay = 400 * time.Millisecond
)

// The run of eureka-drain. Caches drain in turn, one each drainEvery; each is drained every 10 s, which is too
// seldom for it to be held down as one that flaps.
const (
	drains      = 200
	drainCaches = 40
	drainEvery  = 250 * time.Millisecond
	drainFor    = 2 * time.Second
	drainRate   = 200 // requests a second, which the store can bear while a fifth of the keys is on the move
	drainStart  = 2 * time.Second
)

func init() {
	lab.Register(lab.Scenario{Name: "eureka-drain", Run: eurekaDrain,
		Doc: "200 caches marked as out of service in a registry, under load on loopback sockets"})
}

// drainScript drains so many caches.
func drainScript(n int) script.Script {
	s := script.Default()
	s.Routers, s.Caches, s.Rate = 3, drainCaches, drainRate
	s.Length = drainStart + time.Duration(n)*drainEvery + drainFor + time.Second
	s.Clients.Groups, s.Clients.Retries = 64, 2
	s.Registry.Enabled = true
	for i := range n {
		s.Faults = append(s.Faults, script.Fault{Kind: script.RegistryOut, Target: fmt.Sprintf("c%d", i%drainCaches+1),
			At: drainStart + time.Duration(i)*drainEvery, For: drainFor})
	}
	s.Sort()
	return s
}

func eurekaDrain(_ context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	n := drains
	if o.Long {
		n *= 5
	}
	r, err := loopback.Run(loopback.Options{Script: drainScript(n), Program: o.Against, See: secondly(o.Out)})
	if err != nil {
		return "", false, err
	}
	if r.Interrupted {
		return "", false, loopback.ErrInterrupted
	}
	told(o.Out, &r)
	sum := r.Requests()
	fmt.Fprintf(o.Out, "requests %d served %d in_time %.3f; a cache got %.1f requests a second\n", sum.Requests,
		sum.OnTime+sum.Late, r.InTime(), float64(r.Counts.Attempts)/drainScript(n).Length.Seconds()/drainCaches)
	d := drainsOf(r.Outs)
	for _, out := range d.late {
		fmt.Fprintf(o.Out, "LATE: %s was marked at %.3f s, and %s sent to it %d ms later\n", out.Cache, float64(out.At)/1e6,
			out.Router, out.Last/1000)
	}
	if d.p99 > targetDrainDelay {
		fmt.Fprintf(o.Out, "p99 is %s, wanted %s\n", d.p99, targetDrainDelay)
	}
	if d.n != n {
		fmt.Fprintf(o.Out, "MISSED: %d drains, wanted %d\n", d.n, n)
	}
	return d.line(), d.n == n && len(d.late) == 0 && r.OK(), nil
}

// secondly shows the state as a line a second.
func secondly(out io.Writer) func(loopback.Snapshot) error {
	shown := newTable(out)
	shown.terminal = false
	return shown.show
}

// drainsSum sums drainings up by how long after the mark the last request came to the cache.
type drainsSum struct {
	n              int
	late           []loopback.Out
	p50, p99, most time.Duration
}

func drainsOf(outs []loopback.Out) (d drainsSum) {
	var lasts []time.Duration
	for _, out := range outs {
		last := time.Duration(out.Last) * time.Microsecond
		lasts = append(lasts, last)
		if last > maxDrainDelay {
			d.late = append(d.late, out)
		}
	}
	slices.Sort(lasts)
	if d.n = len(lasts); d.n > 0 {
		d.p50, d.p99, d.most = lasts[(d.n-1)/2], lasts[(99*d.n+99)/100-1], lasts[d.n-1]
	}
	return d
}

func (d drainsSum) line() string {
	return fmt.Sprintf("drains %d late %d p50 %dms p99 %dms max %dms", d.n, len(d.late), d.p50.Milliseconds(),
		d.p99.Milliseconds(), d.most.Milliseconds())
}
