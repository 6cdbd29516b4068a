package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"starlingwinch/internal/testbench/lab"
)

// The marks of mass. The operators' gate for days like these is half of what a policy serves that sees the true state late;
// nothing may break, and what is refused and dialled is bounded so that a change that trades one for the other shows.
const (
	massServed     = 0.75 // worth earned, on the worst day
	massRefused    = 0.16 // requests whose last try is refused, on the worst day
	massProbes     = 0.30 // a request, on the worst day, as health checks are paid for over the whole fleet
	massHandshakes = 0.60 // a request, on the worst day
)

func init() {
	lab.Register(lab.Scenario{Name: "mass", Run: massScenario,
		Doc: "60 routers before 40 caches (--long: 300 and 200), on calm days and broken ones, with why requests are lost; " +
			"words choose days, a number the seed; --against: another build of this program"})
}

// massRun is one day.
type massRun struct {
	lab.Mass
	result *lab.MassResult
	err    error
	took   time.Duration
}

func massScenario(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	size := lab.Mass{Seed: 1, Routers: 60, Caches: 40, Length: 20 * time.Second}
	if o.Long {
		size.Routers, size.Caches, size.Length = 300, 200, 30*time.Second
	}
	var runs []*massRun
	for _, word := range o.Args {
		if seed, err := strconv.ParseInt(word, 10, 63); err == nil {
			size.Seed = seed
		} else if !lab.MassDay(word) {
			return "", false, usageError{fmt.Errorf("mass: %q is neither a seed nor one of %s", word, strings.Join(lab.MassDays, ", "))}
		}
	}
	for _, day := range lab.MassDays {
		if !slices.ContainsFunc(o.Args, lab.MassDay) || slices.Contains(o.Args, day) {
			m := size
			m.Day = day
			runs = append(runs, &massRun{Mass: m})
		}
	}
	sideBySide(runs, func(r *massRun) {
		if r.err = ctx.Err(); r.err == nil {
			begin := time.Now()
			r.result, r.err = lab.PlayMass(r.Mass, lab.Options{Node: router})
			r.took = time.Since(begin)
		}
	})
	served, refused, late, probes, dials, broken := 1.0, 0.0, 0.0, 0.0, 0.0, 0
	for _, r := range runs {
		if r.err != nil {
			return "", false, fmt.Errorf("%s: %w", r.Day, r.err)
		}
		printMass(o.Out, r)
		x := r.result
		served, refused, late = min(served, x.Served()), max(refused, x.RefusedRatio()), max(late, x.Late())
		probes, dials = max(probes, x.PerRequest(x.LossReport.HealthChecks)), max(dials, x.PerRequest(x.Dials))
		broken += len(x.Broken) + x.More
	}
	ok = served >= massServed && refused <= massRefused && probes <= massProbes && dials <= massHandshakes && broken == 0
	line = fmt.Sprintf("routers %d caches %d served_least %.3f refused_most %.3f late %.3f probes_per_request %.3f "+
		"handshakes_per_request %.3f rules_broken %d", size.Routers, size.Caches, served, refused, late, probes, dials, broken)
	if o.Against != "" {
		parent, err := massOf(ctx, o)
		if err != nil {
			return "", false, err
		}
		line += " parent_served_least " + parent
	}
	return line, ok, nil
}

// massOf has another build of this program play the same days, and reads its figure.
func massOf(ctx context.Context, o lab.RunOptions) (served string, err error) {
	args := append([]string{"run", "mass"}, o.Args...)
	if o.Long {
		args = append(args, "--long")
	}
	cmd := exec.CommandContext(ctx, o.Against, args...)
	cmd.Stderr = os.Stderr
	out, _ := cmd.Output() // it exits 1 where it misses a mark, as it may
	fmt.Fprintf(o.Out, "\n%s:\n%s", o.Against, out)
	if _, rest, found := strings.Cut(string(out), " served_least "); found {
		served, _, _ = strings.Cut(rest, " ")
		return served, nil
	}
	return "", fmt.Errorf("%s tells no figure of mass", o.Against)
}

func printMass(out io.Writer, r *massRun) {
	x := r.result
	fmt.Fprintf(out, "%s, seed %d, %d routers, %d caches: requests %d served %.3f late %.3f refused %.3f lost %d left %d, "+
		"a request: attempts %.2f probes %.3f dials %.2f (%d turned away); %s in %.1f s\n", r.Day, r.Seed, r.Routers, r.Caches,
		x.Tally.Requests, x.Served(), x.Late(), x.RefusedRatio(), x.Tally.Lost+x.Tally.Failed, x.Tally.Left,
		x.PerRequest(x.LossReport.Attempts), x.PerRequest(x.LossReport.HealthChecks), x.PerRequest(x.Dials), x.RejectedDials,
		word(x), r.took.Seconds())
	for _, w := range x.Windows {
		n := float64(max(1, w.Attempts))
		fmt.Fprintf(out, "  %4.0f s: tries %6d  in time %3.0f %%  refused %3.0f %%\n", float64(w.At)/1e6, w.Attempts,
			100*float64(w.InTime)/n, 100*float64(w.Refused)/n)
	}
	x.LossReport.Print(out)
}

func word(x *lab.MassResult) string {
	if len(x.Broken) == 0 {
		return "rules kept"
	}
	return fmt.Sprintf("%d rules broken, the first: %s", len(x.Broken)+x.More, x.Broken[0])
}
