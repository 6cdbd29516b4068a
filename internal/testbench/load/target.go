package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/standin"
)

// startTimeout bounds the time until a process serves, and the time until it exits after a signal.
const startTimeout = 20 * time.Second

// Errors of StartRouter.
var (
	errRouterEnded      = errors.New("the router exited before it served")
	errRouterNotServing = errors.New("the router did not serve within the start timeout")
)

// Target is a process under load.
type Target struct {
	Addr string
	cmd  *exec.Cmd
	dir  string
}

// Limits are the machine limits that a router is configured with, and the router's number in its cluster.
type Limits struct {
	Cores    float64
	MemoryMB int64
	Sockets  int
	Self     int // number of the router, from 0
	Routers  int // number of routers in the cluster; 0 to configure no peers
}

// Core is the processor that targets run on, so that their throughputs are comparable. If Core is negative, targets run on any
// processor.
var Core = -1

// command returns the command for a program, pinned to Core.
func command(ctx context.Context, program string, args ...string) *exec.Cmd {
	if Core >= 0 {
		if taskset, err := exec.LookPath("taskset"); err == nil {
			return exec.CommandContext(ctx, taskset, append([]string{"-c", strconv.Itoa(Core), program}, args...)...)
		}
	}
	return exec.CommandContext(ctx, program, args...)
}

// StartRouter starts a router program with a fixed list of caches and further arguments, and waits until it serves. The
// program ends with ctx at the latest.
func StartRouter(ctx context.Context, program string, limits Limits, caches []string, args ...string) (*Target, error) {
	t, path, err := prepare("config.json", routerConfig(limits, caches))
	if err != nil {
		return nil, err
	}
	t.cmd = command(ctx, program, args...)
	t.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	stderr, err := t.cmd.StderrPipe()
	if err == nil {
		err = t.cmd.Start()
	}
	if err != nil {
		t.cmd = nil
		t.Stop()
		return nil, err
	}
	if t.Addr, err = t.serving(stderr); err != nil {
		t.Stop()
		return nil, err
	}
	return t, nil
}

// prepare creates a target with a temporary directory and writes a file into it.
func prepare(name string, content []byte) (t *Target, path string, err error) {
	dir, err := os.MkdirTemp("", "load")
	if err != nil {
		return nil, "", err
	}
	t, path = &Target{dir: dir}, filepath.Join(dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Stop()
		return nil, "", err
	}
	return t, path, nil
}

// serving returns the address that the router logs when it serves, and discards the rest of the log.
func (t *Target) serving(log io.Reader) (string, error) {
	addr := make(chan string, 1)
	go func() {
		defer close(addr)
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			if _, fields, ok := strings.Cut(lines.Text(), "msg=serving address="); ok {
				address, _, _ := strings.Cut(fields, " ")
				addr <- address
				break
			}
		}
		io.Copy(io.Discard, log)
	}()
	select {
	case a, ok := <-addr:
		if !ok {
			return "", errRouterEnded
		}
		return a, nil
	case <-time.After(startTimeout):
		return "", errRouterNotServing
	}
}

// Stop terminates the process, with SIGKILL if it outlasts startTimeout, and removes its directory.
func (t *Target) Stop() {
	if t.cmd != nil {
		t.cmd.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(startTimeout, func() { t.cmd.Process.Kill() })
		t.cmd.Wait()
		kill.Stop()
	}
	os.RemoveAll(t.dir)
}

// Usage is the resource usage of a process so far.
type Usage struct {
	CPU        time.Duration // user and system
	ResidentMB float64
}

// Usage returns the usage of the process, as the operating system reports it.
func (t *Target) Usage() (u Usage, err error) {
	pid := t.cmd.Process.Pid
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return u, err
	}
	for _, name := range threads {
		raw, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		ns, err := strconv.ParseInt(strings.Fields(string(raw))[0], 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(ns)
	}
	u.ResidentMB, err = residentMB(pid)
	return u, err
}

// residentMB returns the resident memory of a process; 0 if the process has ended.
func residentMB(pid int) (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024, nil
		}
	}
	return 0, nil // the process has ended
}

// FamilyMB returns the total resident memory of the process and its children.
func (t *Target) FamilyMB() float64 {
	sum, _ := residentMB(t.cmd.Process.Pid)
	lists, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", t.cmd.Process.Pid))
	for _, name := range lists {
		children, _ := os.ReadFile(name) // a thread that has ended has no children
		for _, word := range strings.Fields(string(children)) {
			if pid, err := strconv.Atoi(word); err == nil {
				mb, _ := residentMB(pid)
				sum += mb
			}
		}
	}
	return sum
}

// routerConfig returns the configuration file of a router with a fixed list of warm caches.
func routerConfig(limits Limits, caches []string) []byte {
	type object = map[string]any
	s := standin.DefaultRouterSettings()
	s.Name, s.Listen, s.Discovery, s.Seed, s.Routers = "load", "127.0.0.1:0", "127.0.0.1:1", "1", 1
	s.Cores, s.MemoryMB, s.Sockets = limits.Cores, limits.MemoryMB, limits.Sockets
	s.AllowHealthChecks = false
	var config object
	if err := json.Unmarshal(s.JSON(), &config); err != nil {
		panic(err) // unreachable: package standin encoded it
	}
	var endpoints []object
	for i, addr := range caches {
		endpoints = append(endpoints, object{"name": fmt.Sprintf("c%04d", i), "address": addr, "zone": "a", "group": 1,
			"status": "in_service", "weight": 1, "since_ms": 0})
	}
	if limits.Routers > 0 {
		var peers []string
		for i := range limits.Routers {
			peers = append(peers, fmt.Sprintf("127.0.0.1:%d", i+1))
		}
		config["peers"], config["peer_listen"] = peers, peers[limits.Self]
	}
	config["known"] = object{"index": 1, "snapshot": true, "endpoints": endpoints}
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err) // unreachable: the configuration holds only encodable values
	}
	return raw
}

// Result is the measurement of one run.
type Result struct {
	Requests        int64
	PerSecond       float64
	CPU             float64 // CPU time of the target per request, in microseconds
	P50, P99        Time
	ResidentMB      float64
	Refused, Failed int64
}

// Against puts a target under load for a span and measures it.
func Against(t *Target, o Options, warm, span Time) (Result, error) {
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		return Result{}, err
	}
	var before, after Usage
	var berr, aerr error
	c := NewClients(m, t.Addr, o)
	connected := m.Now() + connectTime
	m.At(connected, func() {
		m.At(m.Now()+warm, func() { before, berr = t.Usage() })
		c.Run(warm, span, func() {
			after, aerr = t.Usage()
			c.Close()
			m.Stop()
		})
	})
	m.Run()
	if err := errors.Join(berr, aerr); err != nil {
		return Result{}, err
	}
	n := c.Served + c.Refused + c.Failed
	if n == 0 {
		return Result{}, fmt.Errorf("no request of %d was answered, %d connections broke", c.requestsSent, c.Broken)
	}
	return Result{Requests: n, PerSecond: float64(n) * 1e6 / float64(span),
		CPU: float64((after.CPU - before.CPU).Microseconds()) / float64(n), P50: c.Latency.Quantile(.5),
		P99: c.Latency.Quantile(.99), ResidentMB: after.ResidentMB, Refused: c.Refused, Failed: c.Failed}, nil
}

// Hold keeps idle clients connected that each send a single request. It calls from after the duration warm, and to at the end of
// the span. It returns an error unless each client was answered and stayed connected to the end.
func Hold(t *Target, idle int, warm, span Time, from, to func()) error {
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		return err
	}
	c := NewClients(m, t.Addr, Options{Idle: idle})
	up := 0
	m.At(m.Now()+warm, func() {
		from()
		m.At(m.Now()+span, func() {
			to()
			up = c.Up - int(c.Broken)
			c.Close()
			m.Stop()
		})
	})
	m.Run()
	if up != idle || c.idleAnswers != idle {
		return fmt.Errorf("of %d idle clients, %d connected, %d connections broke and %d were answered", idle, c.Up, c.Broken, c.idleAnswers)
	}
	return nil
}
