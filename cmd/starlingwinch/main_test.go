package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patience = 30 * time.Second

const config = `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"index":1,"snapshot":true,"endpoints":[
  {"name":"c1","address":"127.0.0.1:1","zone":"a","group":1,"status":"in_service","weight":1,"since_ms":0}]},
 "settings":{"instances":1,"discovery":"automatic","categories":[{"name":"read","effect":"read_like","dedupScope":"all",
  "aim":500000,"hardLimit":1000000,"worth":1}],"limits":{"maxAttempts":1},"rules":{"drainGrace":1000000}}}`

// program builds the router and prepares a start with the given configuration.
func program(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "starlingwinch")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(bin)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	return cmd
}

func TestStartServeAndEnd(t *testing.T) {
	cmd := program(t, fmt.Sprintf(config, "127.0.0.1:0"))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(patience, func() { cmd.Process.Kill() }) // a program that hangs must not hang the test
	defer kill.Stop()
	log := bufio.NewReader(stderr)
	line, err := log.ReadString('\n')
	_, addr, ok := strings.Cut(strings.TrimSpace(line), "serving on ")
	if !ok {
		t.Fatalf("the program said %q, %v", line, err)
	}
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(nc, "*1\r\n$4\r\nPING\r\n")
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("PING: %q, %v", line, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	rest, _ := io.ReadAll(log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v\n%s", err, rest)
	}
}

func TestBadConfigurationEndsWithOneLine(t *testing.T) {
	cmd := program(t, fmt.Sprintf(config, "nowhere"))
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v, want exit code 1", err)
	}
	text := stderr.String()
	if strings.Count(text, "\n") != 1 || !strings.Contains(text, "listen") {
		t.Errorf("standard error: %q", text)
	}
}
