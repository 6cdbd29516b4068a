package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/retrystorm"
)

func stormCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "storm",
		Short: "Tell of storms of retries and reconnects",
		Args:  knownWords,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "explain LOGFILE",
		Short: "Tell in plain words which storms a router's log shows, and what caused each change",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) != 1 {
				return usageError{cmd.CommandPath() + ": one LOGFILE is wanted; see " + cmd.CommandPath() + " --help"}
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			log, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer log.Close()
			stdout := newOutlet(os.Stdout)
			defer stdout.flush(2 * time.Second)
			return retrystorm.Explain(log, stdout)
		},
	})
	return cmd
}
