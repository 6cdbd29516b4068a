package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin/registry"
)

// The marks of eureka-cost: one call at each cadence of 300 ms, give or take, and deltas of a registry in which
// nothing happens cost a fifth of whole lists at 100 instances, and a twentieth at 1,000, at the most.
const (
	costCalls  = 4.0
	costAt100  = 0.2
	costAt1000 = 0.05
	costFor    = time.Minute
	costChange = 10 * time.Second // an instance goes out of service, or comes back
	// costSettle is how long the registry runs before the measurement: deltas hold the changes of the last three minutes and
	// more, and so all instances at first.
	costSettle   = 4 * time.Minute
	costInstance = "10.1.%d.%d:cache:6379"
)

func init() {
	lab.Register(lab.Scenario{Name: "eureka-cost", Run: eurekaCost,
		Doc: "calls and bytes a second that one router costs a registry, whole lists against deltas"})
}

func eurekaCost(_ context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	span := costFor
	if o.Long {
		span *= 10
	}
	ok = true
	fmt.Fprintf(o.Out, "%10s %8s %12s %12s %10s %12s\n", "instances", "calls/s", "whole B/s", "delta B/s", "of whole",
		"busy B/s")
	for _, n := range []int{10, 100, 1000} {
		calls, whole, err := costOf(n, eureka.DeltaNever, span, 0)
		if err != nil {
			return "", false, err
		}
		deltaCalls, delta, err := costOf(n, eureka.DeltaAlways, span, 0)
		if err != nil {
			return "", false, err
		}
		_, busy, err := costOf(n, eureka.DeltaAlways, span, costChange)
		if err != nil {
			return "", false, err
		}
		share := delta / whole
		fmt.Fprintf(o.Out, "%10d %8.2f %12.0f %12.0f %9.1f%% %12.0f\n", n, deltaCalls, whole, delta, 100*share, busy)
		if line != "" {
			line += " "
		}
		line += fmt.Sprintf("instances %d calls %.2f whole %.0f delta %.0f busy %.0f", n, deltaCalls, whole, delta, busy)
		ok = ok && max(calls, deltaCalls) <= costCalls
		ok = ok && !(n == 100 && share > costAt100) && !(n == 1000 && share > costAt1000)
	}
	return line, ok, nil
}

// costOf has one router's client follow a registry of so many instances, in a virtual world, and returns the calls
// and the bytes of answers' bodies a second. In a busy one the status of an instance changes so often; 0 is never.
func costOf(n int, delta string, span, busy time.Duration) (calls, bytes float64, err error) {
	w := sim.New(1)
	far := sim.Link{Latency: 7 * time.Millisecond.Microseconds()}
	w.Near, w.Far = far, far
	reg := registry.New(w.Host("registry", "10.0.0.1", sim.HostOptions{}).Machine(), registry.Options{})
	addr, err := reg.Open("10.0.0.1:8761")
	if err != nil {
		return 0, 0, err
	}
	var ids []string
	for i := range n {
		id := fmt.Sprintf(costInstance, i/250, i%250)
		ids = append(ids, id)
		// What is the same in each instance packs to nothing: times and ids differ, as they do in a real fleet.
		start := w.Now()/1000 - int64(i)*977
		err := reg.Register(registry.Instance{ID: id, App: "CACHE", HostName: fmt.Sprintf("cache-%d.example", i),
			IPAddr: fmt.Sprintf("10.1.%d.%d", i/250, i%250), Port: 6379, PortOn: true, LastDirty: start,
			Metadata: map[string]string{"zone": "rajkot", "group": strconv.Itoa(i % 3), "weight": "1",
				"start": strconv.FormatInt(start, 10)}})
		if err != nil {
			return 0, 0, err
		}
	}
	changes := 0
	var change func()
	change = func() {
		status := registry.OutOfService
		if changes%2 == 1 {
			status = registry.Up
		}
		reg.SetStatus(ids[changes/2%n], status)
		changes++
		w.At(w.Now()+busy.Microseconds(), change)
	}
	if busy > 0 {
		w.At(w.Now()+busy.Microseconds(), change)
	}
	w.Run(w.Now() + costSettle.Microseconds())

	cfg := eureka.Default()
	cfg.URLs, cfg.Delta = []string{"http://" + addr + reg.Base()}, delta
	m := w.Host("router", "10.0.0.2", sim.HostOptions{}).Machine()
	c := eureka.Follow(m, cfg.Options("eureka"), func(endpoints.Event) {})
	w.Run(w.Now() + span.Microseconds())
	s := c.Status()
	c.Stop()
	if s.Failures > 0 {
		return 0, 0, fmt.Errorf("%d calls of %d failed", s.Failures, s.Calls)
	}
	return float64(s.Calls) / span.Seconds(), float64(s.Bytes) / span.Seconds(), nil
}
