package main

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"starlingwinch/internal/configerror"
)

//go:embed scaffold
var scaffolds embed.FS

// scaffold is the file that a hook begins as, by engine, with the command that comes next.
var scaffold = map[string]struct{ file, ending, next string }{
	"script": {"scaffold/hook.star", ".star", "bin/starlingwinch hook check NAME.star"},
	"wasm":   {"scaffold/hook.c", ".c", "clang --target=wasm32 -O2 -nostdlib -Wl,--no-entry -o NAME.wasm NAME.c"},
}

// hookNewCommand returns the command "hook new".
func hookNewCommand() *cobra.Command {
	engine := "script"
	cmd := &cobra.Command{
		Use:   "new NAME [--engine script|wasm]",
		Short: "Write the file that a hook begins as",
		Long: "Writes NAME.star, or NAME.c for WebAssembly, into the present folder; a file that is there already stays as\n" +
			"it is. docs/operators/hooks.md names other languages.",
		Args: oneArg("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, known := scaffold[engine]
			if !known {
				return usageError{fmt.Sprintf("%s: --engine: unknown word %s (wanted script or wasm)%s", cmd.CommandPath(),
					configerror.Quote(engine), configerror.DidYouMean(engine, []string{"script", "wasm"}))}
			}
			name := args[0]
			if !isHookName(name) {
				return usageError{fmt.Sprintf("%s: %s is no name for a hook (wanted 1 to 64 of letters, digits, _ and -)",
					cmd.CommandPath(), configerror.Quote(name))}
			}
			text, err := scaffolds.ReadFile(s.file)
			if err != nil {
				return err
			}
			path := name + s.ending
			if err := writeNew(path, strings.ReplaceAll(string(text), "NAME", name)); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: written; next:\n    %s\n", path, strings.ReplaceAll(s.next, "NAME", name))
			return nil
		},
	}
	cmd.Flags().StringVar(&engine, "engine", engine, "`ENGINE` that runs it: script or wasm")
	return cmd
}

// writeNew writes a new file; a file that exists stays as it is.
func writeNew(path, text string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s: is there already, and stays as it is", path)
	}
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}

// isHookName reports whether a name may be that of a hook.
func isHookName(name string) bool {
	if len(name) == 0 || len(name) > 64 {
		return false
	}
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_', c == '-' && name[0] != '-':
		default:
			return false
		}
	}
	return true
}
