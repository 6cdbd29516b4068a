package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// scenario is a measurement with marks.
type scenario struct {
	about string
	run   func(out io.Writer, long bool) error
}

var scenarios = map[string]scenario{}

func runCommand() *cobra.Command {
	long := false
	cmd := &cobra.Command{
		Use:   "run NAME",
		Short: "Make a measurement: one line of figures, and 1 where one misses its mark",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 || scenarios[args[0]].run == nil {
				return usageError{fmt.Errorf("run: a measurement is wanted: %s",
					strings.Join(slices.Sorted(maps.Keys(scenarios)), ", "))}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			return scenarios[args[0]].run(cmd.OutOrStdout(), long)
		},
	}
	cmd.Flags().BoolVar(&long, "long", false, "a longer run")
	return cmd
}
