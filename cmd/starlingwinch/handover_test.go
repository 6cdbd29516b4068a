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

// addresses counts the addresses that the tests of hand-overs use.
var addresses atomic.Uint32

// ownAddress returns an address that no other test and no outgoing connection uses: a loopback address of this process's own,
// and a port below those that the system assigns.
func ownAddress() string {
	id := uint32(os.Getpid())
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 1+id>>8%200, id%256, 1+addresses.Add(1)%250), "6379")
}

// handOver is a router process whose successors use the same name, address and files.
type handOver struct {
	t    *testing.T
	addr string
	args []string
	old  *started
}

// newHandOver starts the first process. files are the texts of operators' files; %s in them is a folder of the test's own.
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

// start starts a successor.
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

// waits waits until a process logs that it waits for its address.
func (h *handOver) waits(s *started) {
	h.t.Helper()
	s.wait(h.t, "reason=waiting-for-address")
}

// serves waits until a process serves, and sends it a PING.
func (h *handOver) serves(s *started) {
	h.t.Helper()
	if s.waitServing(h.t) != h.addr {
		h.t.Errorf("it serves elsewhere than at %s", h.addr)
	}
	answer := ask(h.t, h.addr, "PING")
	for limit := time.Now().Add(patience); strings.HasPrefix(answer, "-LOADING") && time.Now().Before(limit); {
		answer = ask(h.t, h.addr, "PING") // discovery has not failed yet
	}
	if answer != "+PONG" {
		h.t.Errorf("PING: %q", answer)
	}
}

// ended waits for a process's end and its exit code.
func (h *handOver) ended(s *started, code int) (log string) {
	h.t.Helper()
	var rest bytes.Buffer
	rest.ReadFrom(s.log)
	err := s.cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == code || err == nil && code == 0 {
		return rest.String()
	}
	h.t.Errorf("it ended with %v, want exit code %d\n%s", err, code, rest.String())
	return rest.String()
}

const fleetSettings = "kind = \"fleet\"\nenabled = true\n"
const stateSettings = "kind = \"state\"\nfolder = \"%s\"\n"

// shortWait is an operators' file by which a start waits no longer than a predecessor may take to end.
const shortWait = "kind = \"limits\"\n[clients]\naddress_time = \"0s\"\n"

// TestStartWaitsForPredecessor starts a process beside its predecessor. Whatever that one does meanwhile, the new one
// never ends for what it still holds (the address, the gossip address, the lock of the snapshot folder), and serves
// once it has the address.
func TestStartWaitsForPredecessor(t *testing.T) {
	for _, files := range []struct {
		name  string
		files []string
	}{{"Plain", nil}, {"DatagramAddress", []string{fleetSettings}}, {"StateFolder", []string{stateSettings}}} {
		t.Run(files.name, func(t *testing.T) {
			t.Parallel()
			t.Run("Listens", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				next := h.start()
				h.waits(next)
				h.signal(h.old, syscall.SIGTERM)
				h.ended(h.old, 0)
				h.serves(next)
				next.end(t)
			})
			t.Run("Drains", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				h.signal(h.old, syscall.SIGTERM)
				h.old.wait(t, "msg=draining")
				next := h.start()
				h.serves(next)
				h.ended(h.old, 0)
				next.end(t)
			})
			t.Run("StandsStill", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				h.signal(h.old, syscall.SIGSTOP, syscall.SIGTERM)
				next := h.start()
				h.waits(next)
				h.signal(h.old, syscall.SIGKILL)
				h.serves(next)
				next.end(t)
			})
			t.Run("IsKilled", func(t *testing.T) {
				h := newHandOver(t, files.files...)
				h.signal(h.old, syscall.SIGKILL)
				next := h.start()
				h.serves(next)
				next.end(t)
			})
		})
	}
}

// TestLogWithoutReaderDoesNotEndRouter ends the process that reads the log: the router goes on serving and drains.
func TestLogWithoutReaderDoesNotEndRouter(t *testing.T) {
	h := newHandOver(t)
	h.old.out.Close()
	h.signal(h.old, syscall.SIGHUP, syscall.SIGHUP) // each has lines logged
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

// TestLogLinesNameProcess has two processes write into one log.
func TestLogLinesNameProcess(t *testing.T) {
	h := newHandOver(t)
	h.signal(h.old, syscall.SIGTERM)
	log := h.ended(h.old, 0)
	for line := range strings.Lines(log) {
		if !strings.Contains(line, fmt.Sprintf(" [%d] ", h.old.cmd.Process.Pid)) {
			t.Errorf("a line without its process: %q", line)
		}
	}
}

// ask sends one command on a connection of its own, and returns the answer.
func ask(t *testing.T, addr, command string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(nc, "%s\r\n", command)
	var b [64]byte
	n, err := nc.Read(b[:])
	if err != nil {
		t.Fatalf("%s: %v", command, err)
	}
	return strings.TrimSpace(string(b[:n]))
}

// TestSignalsWhileWaitingForAddress sends signals to a process that waits for its address: SIGTERM ends it at once
// with 0, SIGHUP has it read its files.
func TestSignalsWhileWaitingForAddress(t *testing.T) {
	for _, signals := range [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP}} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			t.Parallel()
			h := newHandOver(t)
			next := h.start()
			h.waits(next)
			h.signal(next, signals...)
			h.ended(next, 0)
			if answer := ask(t, h.addr, "PING"); answer != "+PONG" {
				t.Errorf("the process before answers %q", answer)
			}
			h.old.end(t)
		})
	}
	t.Run("Reads", func(t *testing.T) {
		t.Parallel()
		h := newHandOver(t)
		next := h.start()
		h.waits(next)
		h.signal(next, syscall.SIGHUP)
		next.wait(t, `msg="discovery address unchanged"`)
		h.signal(next, syscall.SIGTERM)
		h.ended(next, 0)
		h.old.end(t)
	})
}

// TestAddressInUseFailsStart has a process that is no predecessor hold the address: the start ends with one line that
// names it, after all other lines.
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
	h.waits(next)
	lines := strings.Split(strings.TrimSpace(h.ended(next, 1)), "\n")
	last := lines[len(lines)-1]
	if !strings.Contains(last, addr) || !strings.Contains(last, "address already in use") {
		t.Errorf("the last line is %q", last)
	}
}
