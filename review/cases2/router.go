package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// class is a request class of the settings.
type class struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	DedupScope string  `json:"dedupScope"`
	KeyTTL     int64   `json:"keyTtl"`
	Aim        int64   `json:"aim"`
	HardLimit  int64   `json:"hardLimit"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"lateWorth"`
	Stream     bool    `json:"stream"`
}

// rajkotClasses are the classes of the site rajkot-logs.
func rajkotClasses() []class {
	return []class{
		{"call-lookup", "read_like", "all", 5_000_000, 500_000, 1_200_000, 2, 0.5, false},
		{"log-page", "read_like", "all", 5_000_000, 1_000_000, 3_000_000, 5, 0.2, false},
		{"add-contact", "idempotency_key", "all", 1_200_000, 600_000, 1_200_000, 3, 0.25, false},
		{"confirm-contact", "idempotency_key", "all", 4_000_000, 1_200_000, 2_500_000, 5, 0.2, false},
	}
}

// settings are the platform's settings of a router.
type settings map[string]any

// rajkotSettings returns settings like those of the site rajkot-logs.
func rajkotSettings(classes []class) settings {
	return settings{
		"az": "rajkot", "categories": classes, "clients": map[string]any{"marksRetry": false}, "countedBy": "request",
		"discovery": "subscribe", "failureDomains": []string{"ahmedabad", "rajkot", "surat"}, "instances": 1, "kinds": []string{"std-6"},
		"limits": map[string]any{"cancel": true, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeout": 200000,
			"keepalive": 60000000, "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfter": 1500000, "maxStreams": 100,
			"peerMessages": false, "probes": true, "retryAfter": true, "secondCopies": true},
		"me": 0, "overShareWorth": 0.1,
		"penalties": map[string]any{"connection": 0.03, "crossZone": 0.01, "discovery": 0.0, "handshake": 0.03, "lateFail": 0.05,
			"moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.04},
		"realms": []any{}, "report": map[string]any{"fields": []string{}, "via": "none"}, "round": 5000,
		"rules": map[string]any{"askEvery": 10000000, "cold": 23000000, "drainGrace": 1000000, "fall": 3000000,
			"graceToAnswer": 20000, "startCapacity": 0.16, "tipMultiple": 3.0},
		"scoringMix": map[string]any{"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.35},
		"specifics":  map[string]any{"mode": "through", "originFall": 3000000, "originFallMultiple": 3.0, "originKind": -1},
		"stage":      0, "tiers": []string{"log-cache"}, "weights": "none", "workload": "cache",
	}
}

// routerConfig is the file that a router is started with.
type routerConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     hostList       `json:"known"`
	Settings  settings       `json:"settings"`
}

// router is a router process.
type router struct {
	lab    *lab
	config routerConfig
	path   string // of the configuration
	addr   string
	cmd    *exec.Cmd
	log    *logFile
	exited chan struct{}
	err    error // of the process's end; valid once exited is closed
}

// logFile holds a router's log.
type logFile struct {
	path string
	file *os.File
}

// text returns the log up to now.
func (f *logFile) text() string {
	b, _ := os.ReadFile(f.path)
	return string(b)
}

// runCommand returns the deploy file's command that starts a router.
func (l *lab) runCommand() (string, error) {
	file, err := os.ReadFile(filepath.Join(l.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(file)
	if match == nil {
		return "", errors.New("deploy/balancer.toml names no run command")
	}
	return string(match[1]), nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startRouter starts a router and waits until it answers PING. A configuration without an address gets a free one.
func (l *lab) startRouter(config routerConfig) (*router, error) {
	if config.Listen == "" {
		addr, err := freeAddress("127.0.0.1")
		if err != nil {
			return nil, err
		}
		config.Listen = addr
	}
	r := &router{lab: l, config: config, path: filepath.Join(l.dir, config.Name+".json"), addr: config.Listen}
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	if err := r.begin(); err != nil {
		return nil, err
	}
	return r, r.waitReady()
}

// writeConfig replaces the configuration file in one step.
func (r *router) writeConfig() error {
	raw, err := json.Marshal(r.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.path+".new", raw, 0o644); err != nil {
		return err
	}
	return os.Rename(r.path+".new", r.path)
}

// begin starts the process.
func (r *router) begin() error {
	l := r.lab
	command, err := l.runCommand()
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(l.dir, r.config.Name+"-*.log")
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp(l.dir, "tmp-")
	if err != nil {
		return err
	}
	r.log = &logFile{path: file.Name(), file: file}
	r.cmd = exec.Command("/bin/sh", "-c", command)
	r.cmd.Dir = l.root
	r.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+r.path, "BALANCER_NAME="+r.config.Name, "BALANCER_LISTEN="+r.config.Listen,
		"BALANCER_DISCOVERY="+r.config.Discovery, "TMPDIR="+tmp)
	r.cmd.Stdout, r.cmd.Stderr = file, file
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.exited = make(chan struct{})
	cmd, exited := r.cmd, r.exited
	go func() {
		r.err = cmd.Wait()
		close(exited)
	}()
	l.notef("router %s: process %d started at %s", r.config.Name, cmd.Process.Pid, r.config.Listen)
	l.atEnd(func() {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		<-exited
		file.Close()
		if os.Getenv("SHOWLOG") != "" {
			fmt.Println(r.log.text())
		}
	})
	return nil
}

// waitReady waits until the router answers PING with PONG.
func (r *router) waitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", r.addr, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		b := make([]byte, 64)
		n, _ := conn.Read(b)
		conn.Close()
		if bytes.HasPrefix(b[:n], []byte("+PONG")) {
			r.lab.notef("router %s: ready", r.config.Name)
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready after 30 s: %s", r.config.Name, r.log.text())
}

// hasExited reports whether the process has ended.
func (r *router) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// status returns a value of /proc/PID/status in KiB.
func (r *router) status(name string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(b)) {
		if rest, found := strings.CutPrefix(line, name+":"); found {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return -1
}
