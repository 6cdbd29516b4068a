package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/settings"
)

// checkCommand returns the command "check", which validates configuration files.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate configuration files without starting a router",
		Long: "Validates the platform's file (JSON) and operators' files (TOML), and prints each fault as one line on\n" +
			"standard error. Exits 0 if there is no fault, otherwise 1.",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{cmd.CommandPath() + ": a FILE is required; see " + cmd.CommandPath() + " --help"}
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			stdout := newNonBlockingWriter(os.Stdout)
			defer stdout.flush(commandFlushTimeout)
			var faults configerror.List
			for _, path := range args {
				description, err := check(path)
				if err != nil {
					addFault(&faults, err)
					continue
				}
				fmt.Fprintf(stdout, "%s: good (%s)\n", configerror.QuoteIfNeeded(path), description)
			}
			return faults.Err()
		},
	}
}

// check validates one file, and returns a description of its kind.
func check(path string) (string, error) {
	raw, err := operatorconfig.Read(path, maxConfigBytes)
	if err != nil {
		return "", err
	}
	if !isPlatform(path, raw) {
		file, err := kinds.Parse(path, raw)
		return "operators' file, kind " + file.Kind, err
	}
	faults := settings.Check(raw)
	faults.SetFile(path)
	return "platform's file", faults.Err()
}

// isPlatform reports whether a file is the platform's: by the extension .json or .toml, otherwise by whether its text, after any
// white space, starts with '{'. All other files are operators' files.
func isPlatform(path string, raw []byte) bool {
	switch filepath.Ext(path) {
	case ".json":
		return true
	case ".toml":
		return false
	}
	return bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{"))
}
