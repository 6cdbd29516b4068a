package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/load"
)

// The marks of broken-hook, for the classes that the broken hook does not touch.
const (
	maxFractionLost = .01 // of their requests in time, beside a router without hooks
	maxP99Increase  = .10 // of their p99; the median over all rounds
)

// How it is measured.
const (
	brokenRounds = 4 // of each kind: two in which it strikes always, two where it does in one call of a hundred
	brokenWarm   = 100 * time.Millisecond
	brokenSpan   = time.Second
	brokenMB     = 192
	cacheDelay   = 5 * time.Millisecond // caches answer after it, as none answers at once
	touched      = "confirm-contact"
)

func init() {
	lab.Register(lab.Scenario{Name: "broken-hook", Run: brokenHookRun,
		Doc: "a router with a hook of each broken kind (or of KIND..., as loop.star) beside two without"})
}

// brokenClasses are the classes that are asked for, of which hooks touch the first.
func brokenClasses() []load.Options {
	each := load.Options{Connections: 16, Keys: 20_000}
	class := func(name string, rate float64, aim, wait load.Time, write bool) load.Options {
		o := each
		o.Class, o.Rate, o.LatencyObjective, o.Wait, o.Write = name, rate, aim, wait, write
		return o
	}
	return []load.Options{
		class(touched, 300, 1_200_000, 3_000_000, true),
		class("call-lookup", 800, 500_000, 1_200_000, false),
		class("log-page", 800, 1_000_000, 3_000_000, false),
		class("add-contact", 100, 600_000, 1_500_000, true),
	}
}

// beside is what came of several rounds, for the router with the hook, one without, and one more like that.
type beside struct {
	requests, lost    int64
	others, othersIn  [3]int64
	p99               [3][]float64 // of the others, a figure for each round, in ms
	longer, noise     []float64    // p99 of the hook's router, and of the second without one, over that of the first
	touchedP99        []float64
	refused, failures int64 // of the touched class
	maxMB             float64
}

// add takes a round in.
func (b *beside) add(results [][]load.Class) {
	var p99 [3]float64
	for i, classes := range results {
		var others load.Histogram
		for _, c := range classes {
			b.requests += c.Asked
			b.lost += c.Lost()
			if c.Name == touched {
				if i == 0 {
					b.touchedP99 = append(b.touchedP99, float64(c.Latency.Quantile(.99))/1000)
					b.refused += c.Refused
					b.failures += c.Failed
				}
				continue
			}
			b.others[i] += c.Asked
			b.othersIn[i] += c.InTime
			others.Join(&c.Latency)
		}
		p99[i] = float64(others.Quantile(.99)) / 1000
		b.p99[i] = append(b.p99[i], p99[i])
	}
	b.longer = append(b.longer, p99[0]/p99[1])
	b.noise = append(b.noise, p99[2]/p99[1])
}

// join takes in what came of another kind.
func (b *beside) join(o *beside) {
	b.requests += o.requests
	b.lost += o.lost
	for i := range b.others {
		b.others[i] += o.others[i]
		b.othersIn[i] += o.othersIn[i]
		b.p99[i] = append(b.p99[i], o.p99[i]...)
	}
	b.longer = append(b.longer, o.longer...)
	b.noise = append(b.noise, o.noise...)
	b.maxMB = max(b.maxMB, o.maxMB)
}

func (b *beside) inTime(i int) float64 { return float64(b.othersIn[i]) / float64(max(1, b.others[i])) }

func middle(figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(figures))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

func brokenHookRun(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	kinds, err := chosenHooks(o.Args)
	if err != nil {
		return "", false, err
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return "", false, err
	}
	defer os.RemoveAll(dir)
	program, err := loopback.Build(dir)
	if err != nil {
		return "", false, err
	}
	_, addrs, end, err := served(10, cacheDelay)
	if err != nil {
		return "", false, err
	}
	defer end()
	fmt.Fprintln(o.Out, "Three routers under the same load: one with a broken hook that touches "+touched+
		", two without hooks.")
	fmt.Fprintf(o.Out, "%-16s %9s %5s | %-32s | %-33s | %s\n", "hook", "requests", "lost",
		"others in time: hook, none, none", "others' p99, ms: hook, none, none",
		touched+": p99 ms, refused, failed; MB in all")
	var all beside
	for i, kind := range kinds {
		var b beside
		for round := range brokenRounds {
			onFailure := []string{"pass", "refuse"}[(i+round/2)%2]
			path, err := kind.deploy(dir, touched, onFailure, round%2 == 0)
			if err != nil {
				return "", false, err
			}
			if err := brokenRound(ctx, &b, program, path, addrs); err != nil {
				return "", false, fmt.Errorf("%s%s: %w", kind.name, kind.ending, err)
			}
		}
		fmt.Fprintf(o.Out, "%-16s %9d %5d | %9.3f%% %9.3f%% %9.3f%%  | %10.2f %10.2f %10.2f  | %6.1f %5d %5d  %5.1f\n",
			kind.name+kind.ending, b.requests, b.lost, 100*b.inTime(0), 100*b.inTime(1), 100*b.inTime(2),
			middle(b.p99[0]), middle(b.p99[1]), middle(b.p99[2]), middle(b.touchedP99), b.refused, b.failures, b.maxMB)
		all.join(&b)
	}
	longer, noise := middle(all.longer)-1, middle(all.noise)-1
	line = fmt.Sprintf("requests %d lost %d others_in_time %.3f%% baseline %.3f%% p99 %.2fms baseline_p99 %.2fms "+
		"p99_longer %.1f%% noise %.1f%% most_mb %.1f of_mb %d", all.requests, all.lost, 100*all.inTime(0),
		100*all.inTime(1), middle(all.p99[0]), middle(all.p99[1]), 100*longer, 100*noise, all.maxMB, brokenMB)
	ok = all.lost == 0 && all.inTime(0) >= all.inTime(1)-maxFractionLost && longer <= maxP99Increase && all.maxMB <= brokenMB
	return line, ok, nil
}

// chosenHooks are those of these names, as loop.star; all where none is named.
func chosenHooks(names []string) ([]brokenHook, error) {
	all := brokenHooks()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []brokenHook
	for _, name := range names {
		i := slices.IndexFunc(all, func(b brokenHook) bool { return b.name+b.ending == name })
		if i < 0 {
			return nil, usageError{fmt.Errorf("no broken hook is named %q; wanted one as loop.star or loop.wasm", name)}
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// brokenRound measures three routers that have just started, of which the first has the hook.
func brokenRound(ctx context.Context, b *beside, program, operator string, caches []string) error {
	limits := load.Limits{Cores: 1, MemoryMB: brokenMB, Sockets: 1024}
	var targets []*load.Target
	defer func() {
		var all sync.WaitGroup
		for _, t := range targets { // each takes half a second to drain
			all.Go(t.Stop)
		}
		all.Wait()
	}()
	var addrs []string
	defer func(core int) { load.Core = core }(load.Core)
	for i, args := range [][]string{{"run", "--operator", operator}, {"run"}, {"run"}} {
		if runtime.NumCPU() > 3 {
			load.Core = i // each with its workers on one processor, which is where a hook could do most harm
		}
		t, err := load.StartRouter(ctx, program, limits, caches, args...)
		if err != nil {
			return err
		}
		targets, addrs = append(targets, t), append(addrs, t.Addr)
	}
	watched := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-watched:
				return
			case <-time.After(20 * time.Millisecond):
				b.maxMB = max(b.maxMB, targets[0].FamilyMB())
			}
		}
	}()
	results, err := load.Beside(addrs, brokenClasses(), brokenWarm.Microseconds(), brokenSpan.Microseconds())
	close(watched)
	<-ended
	if err != nil {
		return err
	}
	b.add(results)
	return ctx.Err()
}
