package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
)

// chosen is the script of a run, as the command line names it.
type chosen struct {
	seed   int64
	file   string
	length time.Duration
	faults []string
	// registry has the script drawn with a registry.
	registry bool
	throng   bool
	outage   bool
	hooks    bool
}

// maxTimes is what --times may be.
const maxTimes = 100_000

// unset is no seed.
const unset = -1

func (c *chosen) flags(cmd *cobra.Command) {
	cmd.Flags().Int64Var(&c.seed, "seed", unset, "draw the script from this `seed`; with a script, its seed")
	cmd.Flags().StringVar(&c.file, "script", "", "read the script from a `file`, or the name of a hard case")
	cmd.Flags().DurationVar(&c.length, "length", 10*time.Second, "`length` of a script that is drawn")
	cmd.Flags().BoolVar(&c.registry, "registry", false, "a world with a Eureka registry")
	cmd.Flags().BoolVar(&c.throng, "throng", false, "with --seed, a world as in `hunt --throng`")
	cmd.Flags().BoolVar(&c.outage, "outage", false, "with --seed, a world as in `hunt --outage`")
	cmd.Flags().StringArrayVar(&c.faults, "fault", nil, "add a fault, as `hang:c2@3s+2s`")
	cmd.Flags().BoolVar(&c.hooks, "hooks", false, "with --seed, routers have the hooks that are drawn from it")
}

// named reports whether the command line names a script.
func (c *chosen) named() bool { return c.file != "" || c.seed != unset || len(c.faults) > 0 }

// script reads or draws it.
func (c *chosen) script() (script.Script, error) {
	s, err := c.base()
	if err != nil {
		return s, err
	}
	if c.hooks {
		s.Hooks = script.DrawHooks(uint64(s.Seed))
	}
	if c.seed != unset && c.file != "" {
		s.Seed = c.seed
	}
	for _, text := range c.faults {
		f, err := script.ParseFault(text)
		if err != nil {
			return s, usageError{err}
		}
		s.Faults = append(s.Faults, f)
	}
	s.Sort()
	if err := s.Check(); err != nil {
		return s, usageError{err}
	}
	return s, nil
}

func (c *chosen) base() (script.Script, error) {
	if c.seed < unset {
		return script.Script{}, usageError{errors.New("--seed: wanted 0 or more")}
	}
	switch {
	case slices.Contains(lab.Scripts(), c.file):
		s, _, err := lab.Script(c.file)
		return s, err
	case c.file != "":
		return script.Load(c.file)
	case c.seed != unset && c.registry:
		return script.DrawRegistry(uint64(c.seed), c.length), nil
	case c.seed != unset && c.throng:
		return script.DrawThrong(uint64(c.seed), c.length), nil
	case c.seed != unset && c.outage:
		return script.DrawOutage(uint64(c.seed), c.length), nil
	case c.seed != unset:
		return script.DrawOf(uint64(c.seed), c.length), nil
	}
	s := script.Default()
	s.Length = c.length
	s.Registry.Enabled = c.registry
	return s, nil
}

func runCommand() *cobra.Command {
	var c chosen
	var o lab.RunOptions
	follow := ""
	cmd := &cobra.Command{
		Use:   "run [NAME [ARGS]]",
		Short: "Play one script and tell what happens, or make the measurement of that name",
		Long: "Play the script of a seed, of a file or of a hard case in a virtual world and tell what happens; or make\n" +
			"the measurement of that name. `lab list` names both. Exits 1 where a rule broke or a mark was missed.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				if o.Times < 0 || o.Times > maxTimes {
					return usageError{fmt.Errorf("run: --times: out of range (%d, wanted 0 to %d)", o.Times, maxTimes)}
				}
				if s, ok := lab.Find(args[0]); ok && !c.named() {
					o.Out, o.Args = cmd.OutOrStdout(), args[1:]
					return measure(s, o)
				}
				if len(args) > 1 || c.file != "" || !slices.Contains(lab.Scripts(), args[0]) {
					return usageError{fmt.Errorf("run: unknown name %q; `lab list` names those that there are", args[0])}
				}
				c.file = args[0]
			}
			if !c.named() {
				return usageError{errors.New("run: --seed, --script or a name is wanted")}
			}
			s, err := c.script()
			if err != nil {
				return err
			}
			return play(cmd.OutOrStdout(), s, follow)
		},
	}
	c.flags(cmd)
	cmd.Flags().StringVar(&follow, "request", "", "tell the life of the request of this `id`")
	cmd.Flags().BoolVar(&o.Long, "long", false, "take longer over a measurement")
	cmd.Flags().IntVar(&o.Times, "times", 0, "how `often` a measurement does what it does; 0 for as often as usual")
	cmd.Flags().StringVar(&o.Against, "against", "", "compare with this `program` in a measurement")
	return cmd
}

// measure makes a measurement.
func measure(s lab.Scenario, o lab.RunOptions) error {
	// An interrupt must end the programs that the measurement has started too.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	line, ok, err := s.Run(ctx, o)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	fmt.Fprintf(o.Out, "%s: %s\n", s.Name, line)
	if !ok {
		return errMissed
	}
	return nil
}

// play plays one script.
func play(out io.Writer, s script.Script, follow string) error {
	begin := time.Now()
	fmt.Fprintf(out, "seed %d, %s, %d routers, %d caches, %.0f requests a second\n", s.Seed, s.Length, s.Routers,
		s.Caches, s.Rate)
	r, err := lab.Run(s, lab.Options{Node: router, Follow: follow, Timeline: func(at lab.Time, line string) {
		fmt.Fprintf(out, "%10.6f  %s\n", float64(at)/1e6, line)
	}})
	if err != nil {
		return err
	}
	printClasses(out, r)
	printDiscovery(out, r)
	if follow != "" {
		fmt.Fprintln(out, "request", follow)
		if len(r.History) == 0 {
			fmt.Fprintln(out, "  nobody has asked it")
		}
		for _, line := range r.History {
			fmt.Fprintln(out, "  "+line)
		}
	}
	return conclude(out, lab.SumOf(uint64(s.Seed), r), time.Since(begin))
}

// printClasses tells how the requests of each class went.
func printClasses(out io.Writer, r *lab.Result) {
	fmt.Fprintf(out, "%-16s %7s %7s %8s %8s %7s %6s\n", "class", "asked", "served", "in time", "refused", "failed", "lost")
	for _, t := range append(r.Counts.Classes, r.Counts.Tally) {
		name := t.Class
		if name == "" {
			name = "all"
		}
		fmt.Fprintf(out, "%-16s %7d %7d %8d %8d %7d %6d\n", name, t.Asked, t.Served, t.InTime, t.Refused, t.Failed, t.Lost)
	}
	if r.Excused > 0 {
		fmt.Fprintf(out, "%d lost while their router's machine was stopped or cut off, which is no fault of the router\n",
			r.Excused)
	}
}

// printDiscovery tells what discovery did with the time in which routers waited for it.
func printDiscovery(out io.Writer, r *lab.Result) {
	d := r.Discovery
	fmt.Fprintf(out, "discovery: %d calls admitted, %d rejected, %d failed; %.3f s answering, %.3f s rejecting, %.3f s idle while routers waited\n",
		d.Admitted, d.Rejected, d.Failed, seconds(d.Answering), seconds(d.Rejecting), seconds(d.Idle))
}

// conclude tells each broken rule and ends with the line of the sum.
func conclude(out io.Writer, sum lab.Sum, took time.Duration) error {
	for _, f := range sum.Found {
		for _, b := range f.Broken {
			fmt.Fprintf(out, "seed %d: %s\n", f.Seed, b)
		}
	}
	fmt.Fprintln(out, sum.Line(took))
	if sum.Broken > 0 {
		return errMissed
	}
	return nil
}
