package lab

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/sim"
)

// Hunt runs many scripts, each drawn from its own seed, in search of broken rules.
type Hunt struct {
	From, To uint64 // the first and the last seed
	Length   time.Duration
	Jobs     int  // number of concurrent runs
	Hooks    bool // routers have hooks, drawn from the same seed
	Options  Options
	// Draw returns the script of a seed; nil means script.DrawOf.
	Draw func(seed uint64, length time.Duration) script.Script
	// Done is called after each run. Calls do not overlap.
	Done func(seed uint64, r *Result)
}

// Found is a seed whose run broke a rule.
type Found struct {
	Seed   uint64
	Broken []Broken
}

// Sum is the sum of several runs.
type Sum struct {
	Seeds, Broken int
	Steps         int64
	Simulated     Time
	Trace         uint64 // over the runs in the order of their seeds
	Found         []Found
}

// Line formats a sum as the last line of every run and hunt.
func (s Sum) Line(took time.Duration) string {
	return fmt.Sprintf("seeds %d broken %d steps %d simulated %.0fs took %.0fs trace %016x",
		s.Seeds, s.Broken, s.Steps, float64(s.Simulated)/float64(sim.Second), took.Seconds(), s.Trace)
}

// add adds the next run.
func (s *Sum) add(seed uint64, r *Result) {
	s.Seeds++
	s.Steps += r.Steps
	s.Simulated += r.Simulated
	h := fnv.New64a()
	fmt.Fprint(h, s.Trace, r.Trace)
	s.Trace = h.Sum64()
	if len(r.Broken) > 0 {
		s.Broken++
		s.Found = append(s.Found, Found{seed, r.Broken})
	}
}

// SumOf is the sum of one run.
func SumOf(seed uint64, r *Result) Sum {
	var s Sum
	s.add(seed, r)
	return s
}

// Run runs the scripts, each in one goroutine, and sums up the results in the order of the seeds. If ctx ends first, the sum
// covers only the finished runs.
func (h Hunt) Run(ctx context.Context) (Sum, error) {
	p := &huntProgress{hunt: &h, results: map[uint64]*Result{}}
	var jobs sync.WaitGroup
	for range max(1, h.Jobs) {
		jobs.Go(func() {
			for {
				seed, ok := p.nextSeed(ctx)
				if !ok {
					return
				}
				r, err := Run(h.script(seed), h.Options)
				p.done(seed, r, err)
			}
		})
	}
	jobs.Wait()
	var sum Sum
	for _, seed := range slices.Sorted(maps.Keys(p.results)) {
		sum.add(seed, p.results[seed])
	}
	return sum, p.err
}

// script draws the script of a seed.
func (h Hunt) script(seed uint64) script.Script {
	draw := h.Draw
	if draw == nil {
		draw = script.DrawOf
	}
	s := draw(seed, h.Length)
	if h.Hooks {
		s.Hooks = script.DrawHooks(seed)
	}
	return s
}

// huntProgress is the state that the jobs of a hunt share.
type huntProgress struct {
	hunt *Hunt

	mu      sync.Mutex         // guards the fields below
	started uint64             // number of seeds handed out
	results map[uint64]*Result // of finished runs, by seed
	err     error              // error of the first run that could not be executed
}

// nextSeed returns the next seed. It returns false if no seed is left, a run could not be executed, or ctx has ended.
func (p *huntProgress) nextSeed(ctx context.Context) (seed uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seeds := p.hunt.To - p.hunt.From + 1
	if p.started == seeds || p.err != nil || ctx.Err() != nil {
		return 0, false
	}
	p.started++
	return p.hunt.From + p.started - 1, true
}

// done records the result of a run.
func (p *huntProgress) done(seed uint64, r *Result, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if p.err == nil {
			p.err = fmt.Errorf("seed %d: %w", seed, err)
		}
		return
	}
	r.Counts.Classes, r.History = nil, nil // the sum does not use them, and a long hunt would hold those of all runs in memory
	p.results[seed] = r
	if p.hunt.Done != nil {
		p.hunt.Done(seed, r)
	}
}
