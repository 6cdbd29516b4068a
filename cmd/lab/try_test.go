package main

import (
	"bytes"
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab/loopback"
)

func TestTryServesAndEndsByItself(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "lab")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var stderr bytes.Buffer
	cmd := exec.Command(bin, "try", "--for", "1s", "--rate", "20", "--caches", "3", "--fault", "drop-idle:all@500ms")
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%v\n%s%s", err, out, stderr.Bytes())
	}
	for _, want := range []string{"redis-cli -p ", "3 caches up", "try: requests ", " doubled 0 "} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%q is not in\n%s", want, out)
		}
	}
}

func TestFlagsThatCannotBeAreUsageErrors(t *testing.T) {
	for args, want := range map[string]string{
		"try --fault cut:surat<>rajkot@1s": "not possible on loopback sockets: cut:surat<>rajkot@1s",
		"try --fault hang:c10@1s":          "target",
		"try --fault hang":                 "no @",
		"try --routers 0":                  "--routers: out of range",
		"try --rate 0":                     "--rate: out of range",
		"try --for -1s":                    "--for: out of range",
		"try so":                           "unknown word",
		"run nothing":                      "lab list",
	} {
		cmd := root()
		cmd.SetArgs(strings.Fields(args))
		err := cmd.Execute()
		if !errors.As(err, new(usageError)) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %s", args, err, want)
		}
	}
}

// The danger: a fault of chaos that is not possible would be told only to who runs it.
func TestChaosIsLegal(t *testing.T) {
	for _, minutes := range []time.Duration{1, 5} {
		if err := loopback.Check(chaosScript(minutes * chaosLength)); err != nil {
			t.Error(err)
		}
	}
}
