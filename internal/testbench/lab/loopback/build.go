package loopback

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Build builds the router program into a directory and returns its path. It needs the Go tool chain, and the
// working directory to be inside the module.
func Build(dir string) (string, error) { return build(dir, "") }

// BuildTrial is Build for a program whose system calls can be made to fail; see Options.Calls.
func BuildTrial(dir string) (string, error) { return build(dir, "faultkernel") }

func build(dir, tags string) (string, error) {
	path := filepath.Join(dir, "starlingwinch")
	out, err := exec.Command("go", "build", "-tags", tags, "-o", path, "starlingwinch/cmd/starlingwinch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build of the router: %w\n%s", err, bytes.TrimSpace(out))
	}
	return path, nil
}
