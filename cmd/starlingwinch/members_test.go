package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/standin/registry"
)

// startRegistry runs a registry with two instances of log-cache; the second one is OUT_OF_SERVICE.
func startRegistry(t *testing.T) (url string) {
	t.Helper()
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	r := registry.New(m, registry.Options{})
	addr, err := r.Open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i, status := range []string{"UP", "OUT_OF_SERVICE"} {
		err := r.Register(registry.Instance{App: "LOG-CACHE", ID: fmt.Sprint("cache-", i+1), HostName: "localhost",
			IPAddr: "127.0.0.1", Port: 7000 + i, PortOn: true, Status: status, Metadata: map[string]string{"zone": "ahmedabad"}})
		if err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan struct{})
	go func() {
		m.Run()
		close(done)
	}()
	t.Cleanup(func() {
		m.Stop()
		<-done
	})
	return "http://" + addr + r.Base()
}

// TestMembersPrintsRegistry checks that the command members prints the caches of a registry, and shows an instance that is
// OUT_OF_SERVICE as draining.
func TestMembersPrintsRegistry(t *testing.T) {
	cmd := program(t, fmt.Sprintf(config, "127.0.0.1:0"))
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	url := startRegistry(t)
	file := write("eureka.toml", fmt.Sprintf("kind = \"eureka\"\nenabled = true\nurls = [%q]\napplication = \"log-cache\"\n", url))
	order := write("order.toml", "kind = \"membership\"\norder = [\"eureka\"]\n")
	run := func(files ...string) (string, error) {
		c := exec.Command(cmd.Path, "members", "--wait", "20s")
		for _, f := range files {
			c.Args = append(c.Args, "--operator", f)
		}
		c.Env = cmd.Env
		var out bytes.Buffer
		c.Stdout, c.Stderr = &out, &out
		err := c.Run()
		return out.String(), err
	}
	out, err := run(file, order)
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"cache-1  127.0.0.1:7000  ahmedabad  takes work", "cache-2  127.0.0.1:7001  ahmedabad  drains",
		"OUT_OF_SERVICE"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	// Nothing listens at the address of the platform's discovery, which is a source by default.
	out, err = run(file)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(out, "discovery did not answer") {
		t.Errorf("with discovery: %v\n%s", err, out)
	}
}
