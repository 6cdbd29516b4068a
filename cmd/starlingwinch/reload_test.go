package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestReloadsApplyInOrderOfSignals blocks the first reload while it reads its file, which is a pipe, and sends a second SIGHUP for
// a newer file. The newer file must be in effect at the end.
func TestReloadsApplyInOrderOfSignals(t *testing.T) {
	first := fmt.Sprintf(config, "127.0.0.1:0")
	at := func(port int) string {
		return strings.Replace(first, `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":"127.0.0.1:%d"`, port), 1)
	}
	path := file(t, "config.json", first)
	s := start(t, command(t, "run", "--config", path))
	pipe := filepath.Join(filepath.Dir(path), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(pipe, path); err != nil {
		t.Fatal(err)
	}
	s.hangUp(t)
	older, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program reads the pipe
	if err != nil {
		t.Fatal(err)
	}
	newer := file(t, "newer.json", at(3))
	if err := os.Rename(newer, path); err != nil {
		t.Fatal(err)
	}
	s.hangUp(t)
	s.wait(t, `msg="reload queued"`) // the second signal has been handled
	if _, err := older.WriteString(at(2)); err != nil {
		t.Fatal(err)
	}
	older.Close()
	for s.discoveryChanges < 2 {
		s.wait(t, discoveryMoved)
	}
	s.end(t)
	if last := s.lastDiscovery; last != "127.0.0.1:3" {
		t.Errorf("got discovery address %s, want 127.0.0.1:3 of the newest file", last)
	}
}
