package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"starlingwinch/internal/lab"
	"starlingwinch/internal/lab/script"
	"starlingwinch/internal/rules"
	"starlingwinch/internal/store"
)

// The marks of state-restart: with state a bad cache is avoided sooner than without, and a state that is wrong costs
// less than a point of the requests served in time.
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

// seen is what one run has shown after the restart.
type seen struct {
	in5, in10 float64 // share of the requests served in time, in the first 5 and 10 s
	wasted    float64 // attempts at bad caches in the first 10 s
	avoided   float64 // seconds until bad caches get hardly anything, on average
	broken    int
}

// avoidedBelow is the share of an even part that a cache gets in a second where it is avoided.
const avoidedBelow = 0.25

// playState plays one script.
func playState(s script.Script, t trouble, state store.Config) (seen, error) {
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
		Began: func(now lab.Time, a rules.Attempt) {
			if now >= at(0) && now < at(2) {
				attempts[a.Cache] = append(attempts[a.Cache], now-at(0))
			}
		}})
	if err != nil {
		return out, err
	}
	share := func(i int) float64 {
		return float64(marks[i].InTime-marks[0].InTime) / float64(max(1, marks[i].Asked-marks[0].Asked))
	}
	out.in5, out.in10, out.broken = share(1), share(2), len(r.Broken)+r.More
	even := s.Rate / float64(s.Caches)
	for _, place := range t.bad {
		all := attempts[names[place-1]]
		out.wasted += float64(len(all))
		out.avoided += avoidedFrom(all, int(avoidedBelow*even)) / float64(len(t.bad))
	}
	return out, nil
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
func keptState() store.Config {
	c := store.Default()
	c.Folder = stateFolder
	return c
}

func meanOf(all []seen, figure func(seen) float64) float64 {
	sum := 0.0
	for _, s := range all {
		sum += figure(s)
	}
	return sum / float64(max(1, len(all)))
}

func stateRestarts(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	seeds := o.Times
	if seeds == 0 {
		seeds = stateSeeds
	}
	fmt.Fprintf(o.Out, "%d seeds; %.0f s after a restart of all routers\n", seeds, (stateLength - stateRestart).Seconds())
	fmt.Fprintf(o.Out, "%-30s %-8s %10s %10s %10s %10s %7s\n", "trouble", "state", "avoided s", "in 5 s", "in 10 s", "wasted",
		"broken")
	ok = true
	for i, t := range troubles() {
		var of [2][]seen
		for j, state := range []store.Config{{}, keptState()} {
			of[j], err = overSeeds(ctx, seeds, func(seed int) (seen, error) {
				return playState(stateScript(seed, t.faults), t, state)
			})
			if err != nil {
				return "", false, err
			}
			tellState(o.Out, t.name, [...]string{"without", "with"}[j], of[j])
		}
		avoided := func(s seen) float64 { return s.avoided }
		in5, in10 := func(s seen) float64 { return s.in5 }, func(s seen) float64 { return s.in10 }
		broken := func(s seen) float64 { return float64(s.broken) }
		if i == 0 {
			line = fmt.Sprintf("avoided_without %.2f avoided_with %.2f in5_without %.3f in5_with %.3f",
				meanOf(of[0], avoided), meanOf(of[1], avoided), meanOf(of[0], in5), meanOf(of[1], in5))
			ok = ok && meanOf(of[1], avoided) <= meanOf(of[0], avoided)
		}
		costs := max(meanOf(of[0], in5)-meanOf(of[1], in5), meanOf(of[0], in10)-meanOf(of[1], in10))
		if i > 0 {
			line += fmt.Sprintf(" wrong_costs %.4f", costs)
		}
		ok = ok && costs < stateWrongCosts && meanOf(of[1], broken) <= meanOf(of[0], broken)
	}
	return line, ok, nil
}

func tellState(out io.Writer, name, state string, all []seen) {
	fmt.Fprintf(out, "%-30s %-8s %10.2f %9.1f%% %9.1f%% %10.1f %7.0f\n", name, state,
		meanOf(all, func(s seen) float64 { return s.avoided }), 100*meanOf(all, func(s seen) float64 { return s.in5 }),
		100*meanOf(all, func(s seen) float64 { return s.in10 }), meanOf(all, func(s seen) float64 { return s.wasted }),
		float64(len(all))*meanOf(all, func(s seen) float64 { return float64(s.broken) }))
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
	for j, state := range []store.Config{{}, keptState()} {
		all, err := overSeeds(ctx, seeds, func(seed int) (int, error) {
			s := script.Default()
			s.Seed, s.Length, s.Rate = int64(seed), 14*sec, 160
			s.Faults = slices.Clone(faults)
			s.Sort()
			r, err := lab.Run(s, lab.Options{Node: router, State: state})
			if err != nil {
				return 0, err
			}
			return r.Counts.Broken[rules.ColdPushedOver] + r.Counts.Broken[rules.StorePushedOver], nil
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
