package main

import "github.com/spf13/cobra"

// root is the command line: a command for each thing that the program does, in a file of its own.
func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:               "lab",
		Short:             "Routers among stand-ins for caches, store, discovery and clients",
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	cmd.AddCommand(tryCommand(), runCommand(), huntCommand(), soakCommand(), pressureCommand(), shrinkCommand(), listCommand(), registryCommand())
	return cmd
}
