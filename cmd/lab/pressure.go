package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/lab/pressure"
)

// maxPrintedBreaches limits the breaches of a play that are printed.
const maxPrintedBreaches = 5

// minPressure is the shortest play.
const minPressure = 3 * time.Second

func pressureCommand() *cobra.Command {
	seeds, shapes, memory, program := "1", "", 48, ""
	o := pressure.Options{Sockets: 1024, Length: 8 * time.Second}
	cmd := &cobra.Command{
		Use:   "pressure",
		Short: "Play hostile clients against a router process with little memory and a part of a core",
		Long: "Plays each shape of hostile clients with each seed, beside usual clients. Checks the peak of the process's memory, the\n" +
			"answers to usual clients, and what caches receive. Ends with 1 where anything was broken.\n" +
			"Shapes: " + strings.Join(slices.Sorted(maps.Keys(pressure.Shapes)), ", "),
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			from, to, err := seedRange(seeds)
			if err != nil {
				return usageError{err}
			}
			if o.Length < minPressure || memory < 1 || o.Beside < 0 {
				return usageError{fmt.Errorf("pressure: --for of at least %v, --memory of at least 1 and --beside of at least 0 are wanted", minPressure)}
			}
			names := slices.Sorted(maps.Keys(pressure.Shapes))
			if shapes != "" {
				names = strings.Split(shapes, ",")
			}
			for _, name := range names {
				if pressure.Shapes[name] == nil {
					return usageError{fmt.Errorf("pressure: unknown shape %q", name)}
				}
			}
			o.Program, o.MemoryMB = program, memory
			return runPressure(cmd.OutOrStdout(), o, names, from, to)
		},
	}
	cmd.Flags().StringVar(&seeds, "seeds", seeds, "`first-last`")
	cmd.Flags().StringVar(&shapes, "shapes", shapes, "`names` of shapes, with commas; all if empty")
	cmd.Flags().IntVar(&memory, "memory", memory, "`MB` of memory that the router may hold")
	cmd.Flags().IntVar(&o.Sockets, "sockets", o.Sockets, "descriptors that the router may hold")
	cmd.Flags().IntVar(&o.Beside, "beside", o.Beside, "busy `processes` on the router's core")
	cmd.Flags().DurationVar(&o.Length, "for", o.Length, "`length` of each play")
	cmd.Flags().StringVar(&program, "program", program, "`program` to play; built from the source if empty")
	return cmd
}

// runPressure plays the shapes with the seeds, one after another.
func runPressure(out io.Writer, o pressure.Options, shapes []string, from, to uint64) error {
	if o.Program == "" {
		dir, err := os.MkdirTemp("", "starlingwinch-pressure-build-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		if o.Program, err = loopback.Build(dir); err != nil {
			return err
		}
	}
	played, broken := 0, 0
	for _, o.Shape = range shapes {
		for o.Seed = from; o.Seed <= to; o.Seed++ {
			result, err := pressure.Run(o)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", o.Shape, o.Seed, err)
			}
			played++
			fmt.Fprintf(out, "%s, seed %d, %d MB: %v\n", o.Shape, o.Seed, o.MemoryMB, result)
			if len(result.Broken) == 0 {
				continue
			}
			broken++
			fmt.Fprintf(out, "  BROKEN (%d)\n", len(result.Broken))
			for _, breach := range result.Broken[:min(len(result.Broken), maxPrintedBreaches)] {
				fmt.Fprintf(out, "  %s\n", breach)
			}
		}
	}
	fmt.Fprintf(out, "%d plays, %d broken\n", played, broken)
	if broken > 0 {
		return errMissed
	}
	return nil
}
