package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/snapshotstore"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
)

// The marks of state-restart: with state a hung cache is avoided sooner than without, and a state that is wrong costs
// less than a point of the requests served in time. Those of state-cold: no cold cache and no store is pushed over.
const (
	stateWrongCosts = 0.01
	stateSeeds      = 100
	coldSeeds       = 1000
	stateDown       = 200 * time.Millisecond
	stateRestart    = 12 * sec // when the routers are back
	stateLength     = 23 * sec
	stateFolder     = "/state"
)

func init() {
	lab.Register(lab.Scenario{Name: "state-restart", Run: stateRestarts,
		Doc: "routers restarted in the middle of trouble, with what they had learned and without; 100 seeds"})
	lab.Register(lab.Scenario{Name: "state-cold", Run: stateCold,
		Doc: "caches restarted while all routers are down, which know them warm; 1,000 seeds"})
}

// trouble is what goes wrong before and after a restart, and on which caches after it.
type trouble struct {
	name   string
	faults []script.Fault
	bad    []int // places of the bad caches after the restart
}

// troubleOn are a hung, a slow and a failing cache.
func troubleOn(hung, slow, failing int, at, span time.Duration) []script.Fault {
	return []script.Fault{
		{At: at, For: span, Kind: script.Hang, Target: fmt.Sprint("c", hung)},
		{At: at, For: span, Kind: script.Slow, Target: fmt.Sprint("c", slow), Factor: 4},
		{At: at, For: span, Kind: script.Errors, Target: fmt.Sprint("c", failing), Chance: 1},
	}
}

// troubles are those that state-restart plays.
func troubles() []trouble {
	const before = 5 * sec
	right := trouble{"right: the trouble goes on", troubleOn(1, 4, 7, before, 0), []int{1, 4, 7}}
	over := trouble{"wrong: the trouble is over", troubleOn(1, 4, 7, before, stateRestart-before), nil}
	moved := trouble{"wrong: other caches are bad", append(troubleOn(1, 4, 7, before, stateRestart-before),
		troubleOn(2, 5, 8, stateRestart, 0)...), []int{2, 5, 8}}
	return []trouble{right, over, moved}
}

func stateScript(seed int, faults []script.Fault) script.Script {
	s := script.Default()
	s.Seed, s.Length = int64(seed), stateLength
	s.Faults = append(slices.Clone(faults),
		script.Fault{At: stateRestart - stateDown, For: stateDown, Kind: script.RouterRestart, Target: "all"})
	s.Sort()
	return s
}

// seen is what one run has shown in the first 10 s after the restart.
type seen struct {
	in5, in10 float64    // share of the requests served in time, in the first 5 and 10 s
	avoided   [3]float64 // seconds until the hung, the slow and the failing cache get hardly anything
	sent      [3]float64 // attempts at each of them
	broken    float64    // rules
}

// wasted are the attempts at the cache that hangs and at the one that fails.
func (s seen) wasted() float64 { return s.sent[0] + s.sent[2] }

// avoidedBelow is the share of an even part that a cache gets in a second where it is avoided.
const avoidedBelow = 0.25

// playState plays one script.
func playState(s script.Script, t trouble, state snapshotstore.Config) (seen, error) {
	var out seen
	var marks [3]rules.Tally
	at := func(i int) lab.Time { return (stateRestart + time.Duration(i)*5*sec).Microseconds() }
	attempts := map[string][]lab.Time{}
	var names []string
	r, err := lab.Run(s, lab.Options{Node: router, State: state,
		Caches: func(all []string) { names = all },
		Counts: func(now lab.Time, c rules.Counts) {
			for i := range marks {
				if now == at(i) {
					marks[i] = c.Tally
				}
			}
		},
		Wrap: func(m guard.Module) guard.Module {
			return sends{m, func(now lab.Time, cache string) {
				if now >= at(0) && now < at(2) {
					attempts[cache] = append(attempts[cache], now-at(0))
				}
			}}
		}})
	if err != nil {
		return out, err
	}
	share := func(i int) float64 {
		return float64(marks[i].InTime-marks[0].InTime) / float64(max(1, marks[i].Asked-marks[0].Asked))
	}
	out.in5, out.in10, out.broken = share(1), share(2), float64(len(r.Broken)+r.More)
	even := s.Rate / float64(s.Caches)
	for i, place := range t.bad {
		all := attempts[names[place-1]]
		out.avoided[i], out.sent[i] = avoidedFrom(all, int(avoidedBelow*even)), float64(len(all))
	}
	return out, nil
}

// sends tells what a module sends to which cache. A cache that hangs sees nothing of it.
type sends struct {
	guard.Module
	tell func(now lab.Time, cache string)
}

// Handle implements guard.Module.
func (s sends) Handle(now decide.Time, ev decide.Event) []decide.Action {
	actions := s.Module.Handle(now, ev)
	for _, a := range actions {
		if send, ok := a.(decide.Send); ok {
			s.tell(lab.ScriptTime(now), send.Cache)
		}
	}
	return actions
}

// avoidedFrom is from when on a cache gets no more than most attempts in the second that follows, in seconds.
func avoidedFrom(all []lab.Time, most int) float64 {
	for i := 0; i <= len(all); i++ {
		from := lab.Time(0)
		if i > 0 {
			from = all[i-1] + 1
		}
		n := 0
		for _, at := range all[i:] {
			if at < from+1_000_000 {
				n++
			}
		}
		if n <= most {
			return float64(from) / 1e6
		}
	}
	return 0
}

// overSeeds plays seeds side by side, and gives what each has shown in their order.
func overSeeds[T any](ctx context.Context, seeds int, play func(seed int) (T, error)) ([]T, error) {
	all, errs := make([]T, seeds), make([]error, seeds)
	next := make(chan int)
	var todo sync.WaitGroup
	for range runtime.NumCPU() {
		todo.Go(func() {
			for i := range next {
				all[i], errs[i] = play(i + 1)
			}
		})
	}
	for i := range seeds {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	todo.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// keptState is the usual file of the kind "state", with a folder.
func keptState() snapshotstore.Config {
	c := snapshotstore.Default()
	c.Folder = stateFolder
	return c
}

// meanSeen is the mean of each figure.
func meanSeen(all []seen) (mean seen) {
	part := 1 / float64(max(1, len(all)))
	for _, s := range all {
		mean.in5 += s.in5 * part
		mean.in10 += s.in10 * part
		mean.broken += s.broken * part
		for i := range s.sent {
			mean.avoided[i] += s.avoided[i] * part
			mean.sent[i] += s.sent[i] * part
		}
	}
	return mean
}

func stateRestarts(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	seeds := o.Times
	if seeds == 0 {
		seeds = stateSeeds
	}
	fmt.Fprintf(o.Out, "%d seeds; %.0f s after a restart of all routers\n", seeds, (stateLength - stateRestart).Seconds())
	fmt.Fprintf(o.Out, "%-28s %-8s %8s %8s   %-15s %-15s %-15s %6s\n", "trouble", "state", "in 5 s", "in 10 s",
		"hung: from, sent", "slow", "failing", "broken")
	ok = true
	for i, t := range troubles() {
		var of [2][]seen
		for j, state := range []snapshotstore.Config{{}, keptState()} {
			of[j], err = overSeeds(ctx, seeds, func(seed int) (seen, error) {
				return playState(stateScript(seed, t.faults), t, state)
			})
			if err != nil {
				return "", false, err
			}
			printState(o.Out, t.name, [...]string{"without", "with"}[j], of[j])
		}
		was, is := meanSeen(of[0]), meanSeen(of[1])
		if i == 0 {
			line = fmt.Sprintf("hung_avoided_without %.2f hung_avoided_with %.2f wasted_without %.0f wasted_with %.0f "+
				"in5_without %.3f in5_with %.3f", was.avoided[0], is.avoided[0], was.wasted(), is.wasted(), was.in5, is.in5)
			ok = ok && is.avoided[0] <= was.avoided[0] && is.sent[0] <= was.sent[0]
		}
		costs := max(was.in5-is.in5, was.in10-is.in10)
		if i > 0 {
			line += fmt.Sprintf(" wrong_costs %.4f", costs)
		}
		ok = ok && costs < stateWrongCosts && is.broken <= was.broken
	}
	return line, ok, nil
}

func printState(out io.Writer, name, state string, all []seen) {
	s := meanSeen(all)
	fmt.Fprintf(out, "%-28s %-8s %7.1f%% %7.1f%%", name, state, 100*s.in5, 100*s.in10)
	for i := range s.sent {
		fmt.Fprintf(out, "   %5.2f s %5.1f", s.avoided[i], s.sent[i])
	}
	fmt.Fprintf(out, "   %6.2f\n", s.broken)
}

// stateCold restarts caches while no router runs. The routers have kept them as warm; the rule is that they are cold.
func stateCold(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	seeds := o.Times
	if seeds == 0 {
		seeds = coldSeeds
	}
	var faults []script.Fault
	for _, place := range []int{2, 5, 9} {
		faults = append(faults, script.Fault{At: 5*sec + stateDown, Kind: script.RestartCold, Target: fmt.Sprint("c", place)})
	}
	faults = append(faults, script.Fault{At: 5 * sec, For: 2 * sec, Kind: script.RouterRestart, Target: "all"})
	pushed := [2]int{}
	for j, state := range []snapshotstore.Config{{}, keptState()} {
		all, err := overSeeds(ctx, seeds, func(seed int) (int, error) {
			s := script.Default()
			s.Seed, s.Length, s.Rate = int64(seed), 14*sec, 160
			s.Faults = slices.Clone(faults)
			s.Sort()
			r, err := lab.Run(s, lab.Options{Node: router, State: state})
			if err != nil {
				return 0, err
			}
			return r.Counts.Broken[rules.WarmupOverload] + r.Counts.Broken[rules.StoreOverload], nil
		})
		if err != nil {
			return "", false, err
		}
		for _, n := range all {
			pushed[j] += n
		}
	}
	return fmt.Sprintf("seeds %d pushed_over_without %d pushed_over_with %d", seeds, pushed[0], pushed[1]),
		pushed[1] == 0, nil
}
