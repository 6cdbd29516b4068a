package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"syscall"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/load"
)

// The marks of scale.
const (
	maxDials  = .02 // of requests that open a connection, with more caches than descriptors
	maxUneven = .15 // standard deviation of the caches' load, as a part of its mean
	maxIdleKB = 3   // that a client costs which asks nothing
	maxIdleMB = 80  // that the router uses with 20,000 of them

	scaleCaches, scaleSockets, scaleRouters = 500, 390, 3
	scaleRate                               = 3000 // requests a second of each router
	idleClients                             = 20_000
	idleSpan                                = 3 * time.Second // with the time to connect, below that of the router for an idle client
	reserveDescriptors                      = 600             // for all that is not an idle client, here and in the router
)

func init() {
	lab.Register(lab.Scenario{Name: "scale", Run: scale,
		Doc: "three routers before 500 caches with 390 descriptors, and a router with 20,000 idle clients; beside another router (--against) first"})
}

func scale(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return "", false, err
	}
	defer os.RemoveAll(dir)
	program, err := loopback.Build(dir)
	if err != nil {
		return "", false, err
	}
	dials, sd := 0., 0.
	for _, path := range []string{o.Against, program} {
		if path == "" {
			continue
		}
		var most float64
		if dials, sd, most, err = manyCaches(ctx, path); err != nil {
			return "", false, err
		}
		fmt.Fprintf(o.Out, "%d caches, %d routers with %d descriptors each: %.2f %% of requests dial; caches' load differs by "+
			"%.1f %% (standard deviation), %.1f %% at most\n", scaleCaches, scaleRouters, scaleSockets, 100*dials, 100*sd, 100*most)
	}
	idle, err := manyClients(ctx, program)
	if err != nil {
		return "", false, err
	}
	fmt.Fprintf(o.Out, "%d idle clients: %.2f KB each, %.1f MB in all, %.2f ms of processor time in a second beside %.2f without\n",
		idle.clients, idle.each, idle.resident, idle.busy, idle.before)
	// By what each costs where the system lets this process open fewer than 20,000 connections.
	whole := idle.resident + idle.each*float64(idleClients-idle.clients)/1024
	line = fmt.Sprintf("dials_percent %.2f uneven_percent %.1f idle_clients %d idle_kb %.2f idle_20000_mb %.1f idle_cpu_ms %.2f",
		100*dials, 100*sd, idle.clients, idle.each, whole, idle.busy-idle.before)
	return line, dials < maxDials && sd < maxUneven && idle.each < maxIdleKB && whole < maxIdleMB, nil
}

// served runs caches, each of which answers after a delay, until end is called, after which their counts can be read.
func served(n int, delay time.Duration) (caches []*load.Cache, addrs []string, end func(), err error) {
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		return nil, nil, nil, err
	}
	for range n {
		c, err := load.NewCache(m, "127.0.0.1:0", 100)
		if err != nil {
			m.Stop()
			return nil, nil, nil, err
		}
		c.Delay = delay.Microseconds()
		caches, addrs = append(caches, c), append(addrs, c.Addr())
	}
	ended := make(chan struct{})
	go func() {
		m.Run()
		close(ended)
	}()
	return caches, addrs, func() {
		m.Stop()
		<-ended
	}, nil
}

// manyCaches tells the share of requests for which a connection was opened, once all are open, and how the load of
// the caches differs from even.
func manyCaches(ctx context.Context, program string) (dials, sd, most float64, err error) {
	caches, addrs, end, err := served(scaleCaches, 0)
	if err != nil {
		return 0, 0, 0, err
	}
	defer end()
	var targets []*load.Target
	defer func() {
		for _, t := range targets {
			t.Stop()
		}
	}()
	for i := range scaleRouters {
		t, err := load.StartRouter(ctx, program, load.Limits{Cores: 1, MemoryMB: 192, Sockets: scaleSockets, Self: i,
			Routers: scaleRouters}, addrs)
		if err != nil {
			return 0, 0, 0, err
		}
		targets = append(targets, t)
	}
	all := load.Options{Connections: 32, Rate: scaleRate, Keys: 1_000_000, Class: "call-lookup", Wait: 1_200_000}
	play := func(warm, span load.Time) (requests int64, err error) {
		results := make(chan load.Result)
		errs := make(chan error, len(targets))
		for _, t := range targets {
			go func() {
				r, err := load.Against(t, all, warm, span)
				errs <- err
				results <- r
			}()
		}
		for range targets {
			err = cmp.Or(err, <-errs)
			requests += (<-results).Requests
		}
		return requests, cmp.Or(ctx.Err(), err)
	}
	if _, err := play(0, 2_000_000); err != nil {
		return 0, 0, 0, err
	}
	count := func() (taken int64, served []float64) {
		for _, c := range caches {
			t, s := c.Counts()
			taken += t
			served = append(served, float64(s))
		}
		return taken, served
	}
	taken, before := count()
	if _, err := play(0, 8_000_000); err != nil {
		return 0, 0, 0, err
	}
	takenAfter, after := count()
	sum := 0.
	for i := range after {
		after[i] -= before[i]
		sum += after[i]
	}
	mean := sum / float64(len(after))
	for _, s := range after {
		sd += (s - mean) * (s - mean)
		most = max(most, math.Abs(s-mean)/mean)
	}
	return float64(takenAfter-taken) / sum, math.Sqrt(sd/float64(len(after))) / mean, most, nil
}

// idleCost is what clients that ask nothing cost a router.
type idleCost struct {
	clients        int
	each, resident float64 // KB, MB
	before, busy   float64 // milliseconds of processor time in a second, without them and with them
}

func manyClients(ctx context.Context, program string) (c idleCost, err error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return c, err
	}
	c.clients = min(idleClients, int(limit.Cur)-reserveDescriptors)
	_, addrs, end, err := served(10, 0)
	if err != nil {
		return c, err
	}
	defer end()
	t, err := load.StartRouter(ctx, program, load.Limits{Cores: 1, MemoryMB: 192, Sockets: 2 * int(limit.Cur) * 5 / 3}, addrs) // where fewer than half are held, the idle stay
	if err != nil {
		return c, err
	}
	defer t.Stop()
	rest := func(idle int) (busy, resident float64, err error) {
		var from, to load.Usage
		err = load.Hold(t, idle, 6_000_000, idleSpan.Microseconds(), func() { from, _ = t.Usage() }, func() { to, _ = t.Usage() })
		return float64((to.CPU - from.CPU).Microseconds()) / 1000 / idleSpan.Seconds(), to.ResidentMB, cmp.Or(ctx.Err(), err)
	}
	var alone float64
	if c.before, alone, err = rest(10); err != nil {
		return c, err
	}
	if c.busy, c.resident, err = rest(c.clients); err != nil {
		return c, err
	}
	c.each = (c.resident - alone) * 1024 / float64(c.clients)
	return c, nil
}
