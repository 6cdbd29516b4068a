package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestStartWaitsForReplacedFiles starts the program while the platform's file or an operators' file is missing or incomplete. The
// program must wait, and serve after the file is complete.
func TestStartWaitsForReplacedFiles(t *testing.T) {
	complete := fmt.Sprintf(config, "127.0.0.1:0")
	for name, first := range map[string]string{"Missing": "", "Empty": "x", "Half": complete[:len(complete)/2]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "config.json")
			if first != "" {
				write(t, path, strings.TrimPrefix(first, "x"))
			}
			s := startLogged(t, command(t, "run", "--config", path))
			s.wait(t, "reason=waiting-for-files")
			write(t, path+".next", complete)
			if err := os.Rename(path+".next", path); err != nil {
				t.Fatal(err)
			}
			s.waitServing(t)
			s.end(t)
		})
	}
	t.Run("OperatorsFile", func(t *testing.T) {
		t.Parallel()
		path := filepath.Join(t.TempDir(), "limits.toml")
		s := startLogged(t, command(t, "run", "--config", file(t, "config.json", complete), "--operator", path))
		s.wait(t, "reason=waiting-for-files")
		write(t, path, "kind = \"limits\"\n")
		s.waitServing(t)
		s.end(t)
	})
	t.Run("Terminated", func(t *testing.T) {
		t.Parallel()
		s := startLogged(t, command(t, "run", "--config", filepath.Join(t.TempDir(), "none.json")))
		s.wait(t, "reason=waiting-for-files")
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		s.end(t)
	})
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
