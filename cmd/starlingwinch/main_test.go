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
	"strings"
	"syscall"
	"testing"
	"time"
)

// testTimeout limits the run time of each started program and each wait.
const testTimeout = 30 * time.Second

const config = `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"index":1,"snapshot":true,"endpoints":[
  {"name":"c1","address":"127.0.0.1:1","zone":"a","group":1,"status":"in_service","weight":1,"since_ms":0}]},
 "settings":{"instances":1,"discovery":"automatic","categories":[{"name":"read","effect":"read_like","dedupScope":"all",
  "aim":500000,"hardLimit":1000000,"worth":1}],"limits":{"maxAttempts":1},"rules":{"drainGrace":1000000}}}`

// program returns a command that runs the program with the given configuration.
func program(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	cmd := command(t)
	cmd.Env = append(cmd.Env, configVariable+"="+file(t, "config.json", config))
	return cmd
}

// Parts of log lines that tests wait for, up to the value of the first field.
const (
	servingLine    = "msg=serving address="
	discoveryMoved = `msg="discovery address changed" address=`
)

// started is a running program.
type started struct {
	cmd  *exec.Cmd
	addr string
	log  *bufio.Reader
	out  io.Closer // the reading end of the log

	discoveryChanges int    // number of log lines about a changed address of discovery
	lastDiscovery    string // the address in the last of these lines
}

func start(t *testing.T, cmd *exec.Cmd) *started {
	t.Helper()
	s := startLogged(t, cmd)
	s.addr = s.waitServing(t)
	return s
}

// startLogged starts a program with a pipe for its log. It does not wait until the program serves.
func startLogged(t *testing.T, cmd *exec.Cmd) *started {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(testTimeout, func() { cmd.Process.Kill() }) // a program that hangs must not block the test
	t.Cleanup(func() { kill.Stop() })
	return &started{cmd: cmd, log: bufio.NewReader(stderr), out: stderr}
}

// wait reads the log up to a line that holds the text, and returns the rest of that line.
func (s *started) wait(t *testing.T, text string) string {
	t.Helper()
	for {
		line, err := s.log.ReadString('\n')
		if err != nil {
			t.Fatalf("%q was not logged: %v", text, err)
		}
		s.note(line)
		if _, rest, ok := strings.Cut(strings.TrimSpace(line), text); ok {
			return rest
		}
	}
}

// waitServing reads the log up to the line that says that the router serves, and returns its address.
func (s *started) waitServing(t *testing.T) string {
	t.Helper()
	address, _, _ := strings.Cut(s.wait(t, servingLine), " ")
	return address
}

// note records the address of discovery if the log line reports a change of it.
func (s *started) note(line string) {
	if _, addr, ok := strings.Cut(strings.TrimSpace(line), discoveryMoved); ok {
		s.discoveryChanges, s.lastDiscovery = s.discoveryChanges+1, addr
	}
}

// end sends SIGTERM and checks that the program exits with code 0.
func (s *started) end(t *testing.T) {
	t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	rest, _ := io.ReadAll(s.log)
	for line := range strings.Lines(string(rest)) {
		s.note(line)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v\n%s", err, rest)
	}
}

func TestStartServeAndStop(t *testing.T) {
	s := start(t, program(t, fmt.Sprintf(config, "127.0.0.1:0")))
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(nc, "*1\r\n$4\r\nPING\r\n")
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("PING: %q, %v", line, err)
	}
	s.end(t)
}

// TestReloadUnderLoad reloads valid and invalid files at SIGHUP while a client sends commands. Invalid files must change nothing,
// the client must see no error, and a SIGHUP during a drain must not stop the drain.
func TestReloadUnderLoad(t *testing.T) {
	cmd := program(t, fmt.Sprintf(config, "127.0.0.1:0"))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "BALANCER_CONFIG=")
	s := start(t, cmd)
	stop, failed := make(chan struct{}), make(chan error, 1)
	go func() {
		failed <- func() error {
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				return err
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(testTimeout))
			r := bufio.NewReader(nc)
			for {
				select {
				case <-stop:
					return nil
				default:
				}
				fmt.Fprint(nc, "*1\r\n$4\r\nPING\r\n")
				if line, err := r.ReadString('\n'); line != "+PONG\r\n" {
					return fmt.Errorf("PING: %q, %v", line, err)
				}
			}
		}()
	}()
	hangUp := func(config, logged string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		s.wait(t, logged)
	}
	good := fmt.Sprintf(config, "127.0.0.1:0")
	hangUp("{", `msg="reload failed"`)
	hangUp(strings.Replace(good, `"127.0.0.1:1","seed"`, `"127.0.0.1:2","seed"`, 1), discoveryMoved+"127.0.0.1:2")
	hangUp(good, discoveryMoved+"127.0.0.1:1")
	close(stop)
	if err := <-failed; err != nil {
		t.Error(err)
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.wait(t, "msg=draining")
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.end(t)
}

// TestSignalsBeforeConfigurationReadHandled sends signals before the files are read. The program must start and handle the signals
// in their order; an unhandled signal would end the program.
func TestSignalsBeforeConfigurationReadHandled(t *testing.T) {
	cmd := program(t, "")
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "BALANCER_CONFIG=")
	if err := errors.Join(os.Remove(path), syscall.Mkfifo(path, 0o600)); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(testTimeout, func() { cmd.Process.Kill() })
	defer kill.Stop()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program reads the pipe
	if err != nil {
		t.Fatal(err)
	}
	for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	fmt.Fprintf(file, config, "127.0.0.1:0")
	file.Close()
	// The reload blocks on the pipe, which has no writer now; the drain must not wait for the reload.
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v, want exit code 0", err)
	}
	if text := log.String(); !strings.Contains(text, servingLine) || !strings.Contains(text, "msg=draining") {
		t.Errorf("log: %q", text)
	}
}

func TestInvalidConfigurationLogsOneLine(t *testing.T) {
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
