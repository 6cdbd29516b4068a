package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns the command "version".
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version, revision and compiler of this build",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			info, _ := debug.ReadBuildInfo()
			_, err := fmt.Fprintln(os.Stdout, version(info))
			return err
		},
	}
}

// version returns the version, revision and compiler of a build as one line.
func version(info *debug.BuildInfo) string {
	if info == nil {
		return "starlingwinch, unknown build"
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	text := "starlingwinch " + info.Main.Version
	if info.Main.Version == "" {
		text = "starlingwinch (devel)"
	}
	if rev := settings["vcs.revision"]; rev != "" {
		text += ", revision " + rev
		if settings["vcs.modified"] == "true" {
			text += " with changes"
		}
		if at := settings["vcs.time"]; at != "" {
			text += " of " + at
		}
	} else {
		text += ", revision unknown"
	}
	return text + ", " + info.GoVersion
}

// buildDigest returns a digest of the line that version returns. Routers compare it to detect members that run a different build.
// Builds of one revision with different uncommitted changes may have the same digest.
func buildDigest() uint32 {
	f := fnv.New32a()
	if info, known := debug.ReadBuildInfo(); known {
		io.WriteString(f, version(info))
	}
	return f.Sum32()
}
