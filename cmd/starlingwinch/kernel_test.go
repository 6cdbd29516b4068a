package main

import (
	"os/exec"
	"strings"
	"testing"
)

// TestProductBuildHasNoFaultKernel checks that only a build with the tag faultkernel contains the injection of system call
// failures.
func TestProductBuildHasNoFaultKernel(t *testing.T) {
	const name = "starlingwinch/internal/machine/faultkernel"
	for tags, want := range map[string]bool{"": false, "faultkernel": true} {
		out, err := exec.Command("go", "list", "-deps", "-tags", tags, ".").Output()
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Contains(string(out), name+"\n"); got != want {
			t.Errorf("with tags %q the program depends on %s: %v", tags, name, got)
		}
	}
}
