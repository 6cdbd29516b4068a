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

// templates maps an engine to the template file of a new hook, the extension of the file that is written, and the command to run
// on that file next.
var templates = map[string]struct{ file, extension, next string }{
	"script": {"scaffold/hook.star", ".star", "bin/starlingwinch hook check NAME.star"},
	"wasm":   {"scaffold/hook.c", ".c", "clang --target=wasm32 -O2 -nostdlib -Wl,--no-entry -o NAME.wasm NAME.c"},
}

// hookNewCommand returns the command "hook new".
func hookNewCommand() *cobra.Command {
	engine := "script"
	cmd := &cobra.Command{
		Use:   "new NAME [--engine script|wasm]",
		Short: "Write a template for a new hook",
		Long: "Writes NAME.star, or NAME.c for WebAssembly, to the current folder. Does not overwrite an existing file.\n" +
			"docs/operators/hooks.md names other languages.",
		Args: oneArg("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, known := templates[engine]
			if !known {
				return usageError{fmt.Sprintf("%s: --engine: unknown value %s (wanted script or wasm)%s", cmd.CommandPath(),
					configerror.Quote(engine), configerror.DidYouMean(engine, []string{"script", "wasm"}))}
			}
			name := args[0]
			if !isHookName(name) {
				return usageError{fmt.Sprintf("%s: %s is not a valid name of a hook (wanted 1 to 64 letters, digits, _ and -)",
					cmd.CommandPath(), configerror.Quote(name))}
			}
			text, err := scaffolds.ReadFile(s.file)
			if err != nil {
				return err
			}
			path := name + s.extension
			if err := writeNew(path, strings.ReplaceAll(string(text), "NAME", name)); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: written; next:\n    %s\n", path, strings.ReplaceAll(s.next, "NAME", name))
			return nil
		},
	}
	cmd.Flags().StringVar(&engine, "engine", engine, "`ENGINE` that runs the hook: script or wasm")
	return cmd
}

// writeNew writes a new file. It returns an error if the file exists.
func writeNew(path, text string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s: the file exists and is not changed", path)
	}
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}

// isHookName reports whether a name is valid for a hook.
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
