package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"starlingwinch/internal/testbench/lab"
)

func listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Name the scripts of hard cases and the measurements",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			for _, name := range lab.Scripts() {
				_, doc, err := lab.Script(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%-26s %s\n", name, doc)
			}
			for _, s := range lab.Scenarios() {
				fmt.Fprintf(out, "%-26s %s\n", s.Name, s.Doc)
			}
			return nil
		},
	}
}
