package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// addresses counts the addresses that ownAddress has returned.
var addresses atomic.Uint32

// ownAddress returns an address that no other test and no outgoing connection uses: the loopback address depends on the process
// ID, and the port is below the range of ports that the system assigns.
func ownAddress() string {
	id := uint32(os.Getpid())
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 1+id>>8%200, id%256, 1+addresses.Add(1)%250), "6379")
}

// handOver is a router process with successors that use the same name, address and files.
type handOver struct {
	t    *testing.T
	addr string
	args []string
	old  *started
}

// newHandOver starts the first process. files are the texts of operators' files; %s in them stands for a new temporary folder.
func newHandOver(t *testing.T, files ...string) *handOver {
	t.Helper()
	h := &handOver{t: t, addr: ownAddress()}
	text := fmt.Sprintf(config, h.addr)
	if host, _, err := net.SplitHostPort(h.addr); err == nil {
		peer := net.JoinHostPort(host, "7946")
		text = strings.Replace(text, `"seed"`, fmt.Sprintf(`"peer_listen":%q,"peers":[%q],"seed"`, peer, peer), 1)
		text = strings.Replace(text, `"maxAttempts":1`, `"maxAttempts":1,"peerMessages":true`, 1)
	}
	h.args = []string{"run", "--config", file(t, "config.json", text)}
	folder := t.TempDir()
	for i, f := range files {
		f = strings.ReplaceAll(f, "%s", folder)
		h.args = append(h.args, "--operator", file(t, fmt.Sprintf("operator-%d.toml", i), f))
	}
	h.old = h.start()
	h.old.addr = h.old.waitServing(t)
	return h
}

// start starts a process with the same arguments as the first one.
func (h *handOver) start() *started {
	h.t.Helper()
	return startLogged(h.t, command(h.t, h.args...))
}

func (h *handOver) signal(s *started, signals ...syscall.Signal) {
	h.t.Helper()
	for _, sig := range signals {
		if err := s.cmd.Process.Signal(sig); err != nil {
			h.t.Fatal(err)
		}
	}
}

// awaitWaiting waits until a process logs that it waits for its address.
func (h *handOver) awaitWaiting(s *started) {
	h.t.Helper()
	s.wait(h.t, "reason=waiting-for-address")
}

// awaitServing waits until a process serves at the address, and checks that it answers a PING.
func (h *handOver) awaitServing(s *started) {
	h.t.Helper()
	if s.waitServing(h.t) != h.addr {
		h.t.Errorf("the process does not serve at %s", h.addr)
	}
	answer := ask(h.t, h.addr, "PING")
	for limit := time.Now().Add(testTimeout); strings.HasPrefix(answer, "-LOADING") && time.Now().Before(limit); {
		answer = ask(h.t, h.addr, "PING") // the router has no endpoint list until the call to discovery fails
	}
	if answer != "+PONG" {
		h.t.Errorf("PING: %q", answer)
	}
}

// awaitExit waits until a process exits, checks its exit code, and returns the rest of its log.
func (h *handOver) awaitExit(s *started, code int) (log string) {
	h.t.Helper()
	var rest bytes.Buffer
	rest.ReadFrom(s.log)
	err := s.cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == code || err == nil && code == 0 {
		return rest.String()
	}
	h.t.Errorf("the process ended with %v, want exit code %d\n%s", err, code, rest.String())
	return rest.String()
}

const fleetSettings = "kind = \"fleet\"\nenabled = true\n"
const stateSettings = "kind = \"state\"\nfolder = \"%s\"\n"

// shortWait is an operators' file with which a process waits for its address only as long as a predecessor may take to end.
const shortWait = "kind = \"limits\"\n[clients]\naddress_time = \"0s\"\n"

// TestStartWaitsForPredecessor starts a process while its predecessor listens, drains, is stopped or was killed. The predecessor
// may still hold the address, the gossip address or the lock of the snapshot folder. The new process must not exit because of
// that, and must serve as soon as it has the address.
func TestStartWaitsForPredecessor(t *testing.T) {
	for _, files := range []struct {
		name  string
		files []string
	}{{"Plain", nil}, {"DatagramAddress", []string{fleetSettings}}, {"StateFolder", []string{stateSettings}}} {
		t.Run(files.name, func(t *testing.T) {
			t.Parallel()
			t.Run("Listening", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				next := h.start()
				h.awaitWaiting(next)
				h.signal(h.old, syscall.SIGTERM)
				h.awaitExit(h.old, 0)
				h.awaitServing(next)
				next.end(t)
			})
			t.Run("Draining", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				h.signal(h.old, syscall.SIGTERM)
				h.old.wait(t, "msg=draining")
				next := h.start()
				h.awaitServing(next)
				h.awaitExit(h.old, 0)
				next.end(t)
			})
			t.Run("Stopped", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				h.signal(h.old, syscall.SIGSTOP, syscall.SIGTERM)
				next := h.start()
				h.awaitWaiting(next)
				h.signal(h.old, syscall.SIGKILL)
				h.awaitServing(next)
				next.end(t)
			})
			t.Run("Killed", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				h.signal(h.old, syscall.SIGKILL)
				next := h.start()
				h.awaitServing(next)
				next.end(t)
			})
		})
	}
}

// TestLogWithoutReaderDoesNotEndRouter closes the reading end of the log. The router must continue to serve, and drain at SIGTERM.
func TestLogWithoutReaderDoesNotEndRouter(t *testing.T) {
	h := newHandOver(t)
	h.old.out.Close()
	h.signal(h.old, syscall.SIGHUP, syscall.SIGHUP) // each signal makes the router log
	for range 3 {
		if answer := ask(t, h.addr, "PING"); answer != "+PONG" {
			t.Fatalf("PING: %q", answer)
		}
	}
	h.signal(h.old, syscall.SIGTERM)
	if err := h.old.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// TestLogLinesNameProcess checks that each log line holds the process ID, as two processes may write to one log during a
// hand-over.
func TestLogLinesNameProcess(t *testing.T) {
	h := newHandOver(t)
	h.signal(h.old, syscall.SIGTERM)
	log := h.awaitExit(h.old, 0)
	for line := range strings.Lines(log) {
		if !strings.Contains(line, fmt.Sprintf(" [%d] ", h.old.cmd.Process.Pid)) {
			t.Errorf("a line without the process ID: %q", line)
		}
	}
}

// ask sends a command on a new connection, and returns the answer.
func ask(t *testing.T, addr, command string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(nc, "%s\r\n", command)
	var b [64]byte
	n, err := nc.Read(b[:])
	if err != nil {
		t.Fatalf("%s: %v", command, err)
	}
	return strings.TrimSpace(string(b[:n]))
}

// TestSignalsWhileWaitingForAddress sends signals to a process that waits for its address. SIGTERM must end the process at once
// with exit code 0, and SIGHUP must make it read its files again.
func TestSignalsWhileWaitingForAddress(t *testing.T) {
	for _, signals := range [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP}} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			t.Parallel()
			h := newHandOver(t)
			next := h.start()
			h.awaitWaiting(next)
			h.signal(next, signals...)
			h.awaitExit(next, 0)
			if answer := ask(t, h.addr, "PING"); answer != "+PONG" {
				t.Errorf("PING to the predecessor: %q", answer)
			}
			h.old.end(t)
		})
	}
	t.Run("Reload", func(t *testing.T) {
		t.Parallel()
		h := newHandOver(t)
		next := h.start()
		h.awaitWaiting(next)
		h.signal(next, syscall.SIGHUP)
		next.wait(t, `msg="discovery address unchanged"`)
		h.signal(next, syscall.SIGTERM)
		h.awaitExit(next, 0)
		h.old.end(t)
	})
}

// TestAddressInUseFailsStart starts the program while another program holds its address. The start must fail, and the last line of
// the log must name the address.
func TestAddressInUseFailsStart(t *testing.T) {
	addr := ownAddress()
	holder, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	h := &handOver{t: t, addr: addr, args: []string{"run", "--config", file(t, "config.json", fmt.Sprintf(config, addr)),
		"--operator", file(t, "limits.toml", shortWait)}}
	next := h.start()
	h.awaitWaiting(next)
	lines := strings.Split(strings.TrimSpace(h.awaitExit(next, 1)), "\n")
	last := lines[len(lines)-1]
	if !strings.Contains(last, addr) || !strings.Contains(last, "address already in use") {
		t.Errorf("the last line is %q", last)
	}
}
