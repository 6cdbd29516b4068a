package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/snapshotstore"
)

// stateCommand returns the command "state", which prints and checks stored snapshots.
func stateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Print and check the snapshots that a router has stored",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "show FILE",
		Short: "Print a stored snapshot as tables, with the age of each value",
		Args:  oneArg("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return showState(cmd.OutOrStdout(), args[0], time.Now())
		},
	}, &cobra.Command{
		Use:   "verify FOLDER",
		Short: "Report whether each file of a snapshot folder is valid; change nothing",
		Long: "Reports whether each file of a snapshot folder is valid: the files that a router reads when it starts, and the\n" +
			"files that were set aside. Changes nothing. Exits 1 if a file that a router reads is not valid, or if the\n" +
			"folder can't be read.",
		Args: oneArg("FOLDER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return verifyState(cmd.OutOrStdout(), args[0], time.Now())
		},
	})
	return cmd
}

// oneArg accepts exactly one argument. The usage error calls the argument by the given name.
func oneArg(name string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Sprintf("%s: one %s is required; see %s --help", cmd.CommandPath(), name, cmd.CommandPath())}
		}
		return nil
	}
}

// showState prints the snapshot in one file as tables.
func showState(out io.Writer, path string, now time.Time) error {
	f, state, err := snapshotstore.Read(machine.Files(), path)
	if err != nil {
		return fmt.Errorf("%s: %w", configerror.QuoteIfNeeded(path), err)
	}
	at := now.UnixMicro()
	fmt.Fprintf(out, "written by %s at %s, %s\n\n", configerror.Quote(f.Router),
		time.UnixMicro(f.Written).UTC().Format("2006-01-02 15:04:05.000 UTC"), formatAge(at, f.Written))
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tVALUE\tAGE")
	for _, row := range []struct {
		name string
		v    float64
	}{{"likely misses out at most", state.Router.OriginLimit}, {"share of likely misses that were true", state.Router.OriginMissRatio},
		{"budget of retries", state.Router.RetryBudget}, {"share of errors", state.Router.ErrorRatio},
		{"share of lost attempts", state.Router.LostRatio}} {
		fmt.Fprintf(t, "%s\t%.3g\t%s\n", row.name, row.v, formatAge(at, state.At))
	}
	for _, z := range state.Router.Zones {
		fmt.Fprintf(t, "zone %s: failed connections in a row\t%d\t%s\n", configerror.QuoteIfNeeded(z.Name), z.FailedConnections, formatAge(at, state.At))
	}
	t.Flush()
	fmt.Fprintln(out)
	showCaches(out, state.Caches, at)
	return nil
}

// showCaches prints the caches of a snapshot as a table.
func showCaches(out io.Writer, caches []snapshot.Endpoint, now snapshot.Time) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CACHE\tSTARTED\tAGE\tLIMIT\tLATE\tERRORS\tPROBES\tKEYS\tAGE OF KEYS")
	for _, c := range caches {
		started, probes, keys := "long ago", "healthy", "-"
		if c.StartedAt > 0 {
			started = time.UnixMicro(c.StartedAt).UTC().Format("01-02 15:04:05.000")
		}
		if !c.Healthy {
			probes = "unhealthy"
		}
		if c.FailedHealthChecks > 0 {
			probes += fmt.Sprintf(", %d failed", c.FailedHealthChecks)
		}
		if len(c.CachedKeys) > 0 {
			keys = formatAge(now, c.KeysAt)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.3g\t%.0f %%\t%.0f %%\t%s\t%d\t%s\n", configerror.QuoteIfNeeded(c.ID), started, formatAge(now, c.At),
			c.ConcurrencyLimit, 100*c.LateRatio, 100*c.ErrorRatio, probes, len(c.CachedKeys), keys)
	}
	t.Flush()
}

// verifyState prints whether each file of a folder is valid. It returns an error if a file that a router reads is not valid.
func verifyState(out io.Writer, folder string, now time.Time) error {
	info, err := os.Stat(folder)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return fmt.Errorf("%s: not a folder", configerror.QuoteIfNeeded(folder))
	}
	at, bad, good := now.UnixMicro(), 0, 0
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FILE\tVERDICT\tROUTER\tWRITTEN\tCACHES")
	for _, row := range snapshotstore.Verify(machine.Files(), folder, at) {
		if row.Rejected != nil {
			fmt.Fprintf(t, "%s\t%s\t-\t-\t-\n", row.Name, configerror.QuoteIfNeeded(row.Rejected.Error()))
			if row.InUse {
				bad++
			}
			continue
		}
		if row.InUse {
			good++
		}
		fmt.Fprintf(t, "%s\tsound\t%s\t%s\t%d\n", row.Name, configerror.QuoteIfNeeded(row.File.Router), formatAge(at, row.File.Written),
			len(row.Snapshot.Caches))
	}
	t.Flush()
	switch {
	case bad > 0:
		return fmt.Errorf("%s: %d of %d files that a router reads are not valid", configerror.QuoteIfNeeded(folder), bad, bad+good)
	case good == 0:
		fmt.Fprintln(out, "the folder holds no snapshot")
	}
	return nil
}

// formatAge formats the time between an instant and now, such as "3s ago" or, for a later instant, "in 3s".
func formatAge(now, then snapshot.Time) string {
	if then > now {
		return "in " + snapshotstore.FormatSpan(then-now)
	}
	return snapshotstore.FormatSpan(now-then) + " ago"
}
