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

// Hunt is a search of many scripts, each drawn from a seed of its own.
type Hunt struct {
	From, To uint64 // the first and the last seed
	Length   time.Duration
	Jobs     int  // runs side by side
	Hooks    bool // routers have hooks, drawn from the same seed
	Options  Options
	// Draw makes the script of a seed; nil stands for script.DrawOf.
	Draw func(seed uint64, length time.Duration) script.Script
	// Done is told after each run, one at a time.
	Done func(seed uint64, r *Result)
}

// Found is a seed whose run broke a rule.
type Found struct {
	Seed   uint64
	Broken []Broken
}

// Sum is what came of several runs.
type Sum struct {
	Seeds, Broken int
	Steps         int64
	Simulated     Time
	Trace         uint64 // over the runs in the order of their seeds
	Found         []Found
}

// Line words a sum in the form that ends every run and hunt.
func (s Sum) Line(took time.Duration) string {
	return fmt.Sprintf("seeds %d broken %d steps %d simulated %.0fs took %.0fs trace %016x",
		s.Seeds, s.Broken, s.Steps, float64(s.Simulated)/float64(sim.Second), took.Seconds(), s.Trace)
}

// add takes the next run in.
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

// Run makes the runs, each in one goroutine, and sums them up in the order of the seeds. Where ctx ends first, the sum
// holds the runs that were done by then.
func (h Hunt) Run(ctx context.Context) (Sum, error) {
	n := h.To - h.From + 1
	var (
		mu      sync.Mutex
		next    uint64
		results = map[uint64]*Result{}
		failed  error
		all     sync.WaitGroup
	)
	// take gives a job its next seed.
	take := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if next == n || failed != nil || ctx.Err() != nil {
			return 0, false
		}
		next++
		return h.From + next - 1, true
	}
	put := func(seed uint64, r *Result, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			if failed == nil {
				failed = fmt.Errorf("seed %d: %w", seed, err)
			}
			return
		}
		r.Counts.Classes, r.History = nil, nil // they are not summed up, and a hunt is long
		results[seed] = r
		if h.Done != nil {
			h.Done(seed, r)
		}
	}
	draw := h.Draw
	if draw == nil {
		draw = script.DrawOf
	}
	for range max(1, h.Jobs) {
		all.Go(func() {
			for {
				seed, ok := take()
				if !ok {
					return
				}
				s := draw(seed, h.Length)
				if h.Hooks {
					s.Hooks = script.DrawHooks(seed)
				}
				r, err := Run(s, h.Options)
				put(seed, r, err)
			}
		})
	}
	all.Wait()
	var sum Sum
	for _, seed := range slices.Sorted(maps.Keys(results)) {
		sum.add(seed, results[seed])
	}
	return sum, failed
}
