package main

import (
	"bytes"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// said takes what a command prints, and tells when a line is whole.
type said struct {
	bytes.Buffer
	line chan string
}

func (s *said) Write(b []byte) (int, error) {
	n, err := s.Buffer.Write(b)
	if line, ok := strings.CutSuffix(s.String(), "\n"); ok {
		s.line <- line
	}
	return n, err
}

func TestTheRegistryAnswersUntilAnInterrupt(t *testing.T) {
	out := &said{line: make(chan string, 1)}
	cmd := registryCommand()
	cmd.SetOut(out)
	cmd.SetArgs([]string{"--listen", "127.0.0.1:0", "--base", "/v2/"})
	done := make(chan error, 1)
	go func() { done <- cmd.Execute() }()
	var url string
	select {
	case line := <-out.line:
		url = strings.TrimPrefix(line, "registry at ")
	case err := <-done:
		t.Fatalf("it ended with %v", err)
	}
	resp, err := (&http.Client{Timeout: 20 * time.Second}).Get(url)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 || !strings.HasSuffix(url, "/v2/apps") {
		t.Errorf("%s answered %d", url, resp.StatusCode)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestBadFlagsOfTheRegistryAreRefused(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"--listen nowhere", "--listen"},
		{"--evict-every 0s", "--evict-every"},
		{"--cache-time=-1s", "--cache-time"},
		{"a-word", "unknown"},
	} {
		cmd := registryCommand()
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		cmd.SetArgs(strings.Fields(c.args))
		if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q in it", c.args, err, c.want)
		}
	}
}
