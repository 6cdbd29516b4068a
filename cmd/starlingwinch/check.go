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

// checkCommand returns the command "check", which checks files.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Name all that is wrong with files, and change and start nothing",
		Long: "Checks files of the platform (JSON) and of operators (TOML), and names all that is wrong with them on\n" +
			"standard error, a line each. Ends with 0 where nothing is wrong, else with 1.",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{cmd.CommandPath() + ": a FILE is wanted; see " + cmd.CommandPath() + " --help"}
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			stdout := newNonBlockingWriter(os.Stdout)
			defer stdout.flush(commandFlushTimeout)
			var faults configerror.List
			for _, path := range args {
				what, err := check(path)
				if err != nil {
					addFault(&faults, err)
					continue
				}
				fmt.Fprintf(stdout, "%s: good (%s)\n", configerror.Plain(path), what)
			}
			return faults.Err()
		},
	}
}

// check checks one file, and returns what kind of file it is.
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
	faults.In(path)
	return "platform's file", faults.Err()
}

// isPlatform reports whether a file is the platform's, by its name or else by how it begins. Others are operators' files.
func isPlatform(path string, raw []byte) bool {
	switch filepath.Ext(path) {
	case ".json":
		return true
	case ".toml":
		return false
	}
	return bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{"))
}
