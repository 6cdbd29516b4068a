package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
	"starlingwinch/internal/plugin/worker"
)

// runWorker runs a worker for hooks if the command line asks for one, and reports whether it did. main calls it before
// anything else, because a worker logs nothing and must start fast.
func runWorker(args []string) bool {
	if len(args) != 2 || args[1] != hooks.CommandName {
		return false
	}
	if worker.Main() != nil {
		os.Exit(exitFailure)
	}
	return true
}

// loadHooks returns the configuration of hooks, with the code of the hooks read from their files. With more than one processor,
// a hook may also run inside the router's process.
func loadHooks(files []operatorconfig.File, processors int) (hooks.Config, error) {
	cfg, err := operatorconfig.Get[hooks.File](files, hooks.Kind).Read()
	if processors > 1 {
		cfg.ServeInProcess = func(c io.ReadWriteCloser) {
			defer c.Close()
			worker.Serve(c, nil)
		}
	}
	return cfg, err
}

// hookCommand returns the command "hook", whose subcommands create, check, run and measure hooks.
func hookCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "hook new|check|run|bench",
		Short: "Create, check, run and measure hooks",
		Long: "Hooks are small programs by an operator that pass, refuse or fail requests before the router handles them. These\n" +
			"commands help to write hooks; deploy/hooks.toml enables them. As in a router, a hook runs in a separate process,\n" +
			"with the budget that the flags set.",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{cmd.CommandPath() + ": a command is required; see " + cmd.CommandPath() + " --help"}
			}
			return noArgs(cmd, args)
		},
		// RunE never runs, because Args always fails. Without RunE, cobra would print the help instead of calling Args.
		RunE: func(*cobra.Command, []string) error { return nil },
	}
	cmd.AddCommand(hookNewCommand(), hookCheckCommand(), hookRunCommand(), hookBenchCommand())
	return cmd
}

// hookTrial loads a hook into a worker and calls it, for the commands check, run and bench.
type hookTrial struct {
	// Set by flags.
	time   time.Duration
	load   time.Duration
	memory string
	steps  int64

	// Set by start.
	name   string
	code   []byte
	budget plugin.Budget
	client *worker.Client
	points plugin.Points // that the hook handles
	loaded time.Duration // duration of the load
}

// flags adds the flags that set the hook's budget to a command.
func (t *hookTrial) flags(cmd *cobra.Command) {
	u := hooks.DefaultFile().Defaults
	cmd.Flags().DurationVar(&t.time, "time", u.Time, "time budget of a call, as `SPAN`")
	cmd.Flags().DurationVar(&t.load, "load-time", u.LoadTime, "time budget of loading the hook, as `SPAN`")
	cmd.Flags().StringVar(&t.memory, "memory", u.Memory.String(), "limit of the hook's memory, as `SIZE`")
	cmd.Flags().Int64Var(&t.steps, "steps", int64(u.Steps), "limit of the steps of a call; 0 for no limit")
}

// start reads a hook's file and loads the hook into a worker.
func (t *hookTrial) start(cmd *cobra.Command, path string) error {
	err := t.parseBudget(cmd)
	if err != nil {
		return err
	}
	engine := engineOf(path)
	if engine == nil {
		return fmt.Errorf("%s: unknown file extension (wanted .wasm or .star)", configerror.QuoteIfNeeded(path))
	}
	if t.code, err = operatorconfig.Read(path, plugin.MaxCode); err != nil {
		return err
	}
	t.name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if t.client, err = worker.NewClient(hooks.CommandName); err != nil {
		return err
	}
	began := time.Now()
	t.points, err = t.client.Load(wire.Load{Name: t.name, Engine: engine.Name(), Budget: t.budget, Code: t.code})
	t.loaded = time.Since(began)
	if err != nil {
		t.client.Close()
		return fmt.Errorf("%s: %w", configerror.QuoteIfNeeded(path), err)
	}
	return nil
}

// parseBudget sets the budget from the flags. The error is a usageError that names the flag.
func (t *hookTrial) parseBudget(cmd *cobra.Command) error {
	usage := func(flag, text string) error {
		return usageError{fmt.Sprintf("%s: --%s: %s", cmd.CommandPath(), flag, text)}
	}
	memory, err := operatorconfig.ParseSize(t.memory)
	switch {
	case err != nil || memory < 1<<20 || memory > 1<<30:
		return usage("memory", fmt.Sprintf("out of range (%s, wanted 1MiB to 1GiB)", configerror.Quote(t.memory)))
	case t.time < 100*time.Microsecond || t.time > time.Second:
		return usage("time", fmt.Sprintf("out of range (%s, wanted 100us to 1s)", t.time))
	case t.load < 10*time.Millisecond || t.load > 30*time.Second:
		return usage("load-time", fmt.Sprintf("out of range (%s, wanted 10ms to 30s)", t.load))
	case t.steps < 0:
		return usage("steps", "below 0")
	}
	t.budget = plugin.DefaultBudget
	t.budget.Time, t.budget.LoadTime = t.time.Microseconds(), t.load.Microseconds()
	t.budget.Memory, t.budget.Steps = int64(memory), t.steps
	return nil
}

// engineOf returns the engine for a file by its extension, or nil if there is none.
func engineOf(path string) (engine plugin.Engine) {
	for _, e := range worker.Engines {
		if filepath.Ext(path) == e.FileExtension() {
			engine = e
		}
	}
	return engine
}

// pointNames returns the names of a set of points, separated by commas.
func pointNames(s plugin.Points) string {
	var all []string
	for _, p := range []plugin.Point{plugin.Load, plugin.OnRequest, plugin.Answered, plugin.ListChanged, plugin.Unload} {
		if s.Has(p) {
			all = append(all, p.String())
		}
	}
	return strings.Join(all, ", ")
}

// hookCheckCommand returns the command "hook check".
func hookCheckCommand() *cobra.Command {
	var t hookTrial
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Load a hook as a router does, and report its faults",
		Args:  oneArg("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := t.start(cmd, args[0]); err != nil {
				return err
			}
			defer t.client.Close()
			if err := t.tryPoints(); err != nil {
				return fmt.Errorf("%s: %w", configerror.QuoteIfNeeded(args[0]), err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good (contract %d; points: %s; %d bytes; loaded in %.1f ms)\n",
				configerror.QuoteIfNeeded(args[0]), plugin.Version, pointNames(t.points), len(t.code), float64(t.loaded.Microseconds())/1000)
			return nil
		},
	}
	t.flags(cmd)
	return cmd
}

// tryPoints calls the hook once at each point that it handles, with empty texts.
func (t *hookTrial) tryPoints() error {
	for _, p := range []plugin.Point{plugin.OnRequest, plugin.Answered, plugin.ListChanged, plugin.Unload} {
		if !t.points.Has(p) {
			continue
		}
		budget := t.budget.Time
		if p == plugin.Unload {
			budget = t.budget.LoadTime
		}
		if _, err := t.client.Call(&plugin.Call{Point: p, TimeLeft: 1_000_000}, budget); err != nil {
			return fmt.Errorf("at the point %s, called with empty texts: %w", p, err)
		}
	}
	return nil
}

// hookRunCommand returns the command "hook run".
func hookRunCommand() *cobra.Command {
	var t hookTrial
	var path string
	var value bool
	cmd := &cobra.Command{
		Use:   "run FILE --requests FILE",
		Short: "Call a hook with recorded requests and print its verdicts",
		Long: "Calls a hook with each line of a file of recorded requests (JSON, one object per line: point, verb, class,\n" +
			"tenant, key, time_left_ms, size, value, outcome, took_ms, caches, take_work, now_ms) and prints its verdicts.\n" +
			"Fields may be omitted: point is then request, time_left_ms 1000 and outcome served; all others are empty. No request\n" +
			"is sent. Exits 1 if a call returned no verdict.",
		Args: oneArg("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if path == "" {
				return usageError{cmd.CommandPath() + ": --requests: a FILE is required; see " + cmd.CommandPath() + " --help"}
			}
			calls, err := readRequests(path, value)
			if err != nil {
				return err
			}
			if err := t.start(cmd, args[0]); err != nil {
				return err
			}
			defer t.client.Close()
			return t.dryRun(cmd.OutOrStdout(), calls)
		},
	}
	t.flags(cmd)
	cmd.Flags().StringVar(&path, "requests", "", "the `FILE` of recorded requests")
	cmd.Flags().BoolVar(&value, "wants-value", false, "pass the values of the requests to the hook")
	return cmd
}

// dryRun calls the hook with each recorded request and prints its verdicts. It returns an error if a call gave no verdict.
func (t *hookTrial) dryRun(out io.Writer, calls []plugin.Call) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "LINE\tPOINT\tKEY\tVERDICT\tTOOK\tWORDS")
	counts := map[string]int{} // by verdict
	for i := range calls {
		c := &calls[i]
		if !t.points.Has(c.Point) {
			counts["not asked"]++
			continue
		}
		r, err := t.client.Call(c, t.budget.Time)
		verdict, text := r.Verdict.Decision.String(), describeVerdict(&r.Verdict)
		if err != nil {
			verdict, text = "none", err.Error()
		}
		counts[verdict]++
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d us\t%s\n", i+1, c.Point, configerror.QuoteIfNeeded(c.Key), verdict, r.RunTime, text)
		if err != nil && r.Sequence == 0 { // the worker has exited
			break
		}
	}
	table.Flush()
	fmt.Fprintf(out, "%s: calls %d pass %d refuse %d fail %d none %d not_asked %d\n", t.name, len(calls), counts["pass"],
		counts["refuse"], counts["fail"], counts["none"], counts["not asked"])
	if counts["none"] > 0 {
		return errors.New(t.name + ": a call returned no verdict")
	}
	return nil
}

// describeVerdict returns the fields of a verdict besides its decision as one text.
func describeVerdict(v *plugin.Verdict) string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	if v.RetryAfter > 0 {
		add("wait %d ms", v.RetryAfter/1000)
	}
	if v.Text != "" {
		add("text %q", v.Text)
	}
	if v.Tenant != "" {
		add("tenant %s", v.Tenant)
	}
	for _, tag := range v.Tags {
		add("tag %s", tag)
	}
	for _, line := range v.Log {
		add("log %q", line)
	}
	return strings.Join(parts, "; ")
}
