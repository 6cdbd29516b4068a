package main

import (
	"os"

	"github.com/spf13/cobra"

	"starlingwinch/internal/retrystorm"
)

// stormCommand returns the command "storm", which explains the retry storms that a log records.
func stormCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "storm",
		Short: "Explain storms of retries and reconnects",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "explain LOGFILE",
		Short: "Describe the storms that a router's log records, and the cause of each change",
		Args:  oneArg("LOGFILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			log, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer log.Close()
			stdout := newNonBlockingWriter(os.Stdout)
			defer stdout.flush(commandFlushTimeout)
			return retrystorm.Explain(log, stdout)
		},
	})
	return cmd
}
