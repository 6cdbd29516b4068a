package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// entry is one cache in discovery's list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// list is an answer of discovery.
type list struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// discovery is a stand-in for discovery whose list does not change.
type discovery struct {
	mu      sync.Mutex
	entries []entry
	server  *http.Server
	address string
}

// startDiscovery serves a list on a free port.
func startDiscovery(p *play, entries []entry) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{entries: entries, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.answer)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go d.server.Serve(listener)
	p.atEnd(func() { d.server.Close() })
	return d, nil
}

// answer answers a call for the whole list at once, and a watch without changes when its wait is over.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	const index = 41
	answer := list{Index: index, Snapshot: true}
	if after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64); err == nil && after >= index {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = list{Index: index, Endpoints: []entry{}}
	} else {
		d.mu.Lock()
		answer.Endpoints = d.entries
		d.mu.Unlock()
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// class is a class of requests in the router's settings.
type class struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	Aim        int64   `json:"aim"`
	HardLimit  int64   `json:"hardLimit"`
	KeyTTL     int64   `json:"keyTtl,omitempty"`
	DedupScope string  `json:"dedupScope,omitempty"`
	LateWorth  float64 `json:"lateWorth"`
	Stream     bool    `json:"stream"`
	Worth      float64 `json:"worth"`
}

// routerConfig is the router's configuration: the settings of a small deployment, with the given classes.
func routerConfig(discoveryAddress string, memoryMB int, known []entry, classes []class) map[string]any {
	return map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"known":  list{Index: 40, Snapshot: true, Endpoints: known},
		"settings": map[string]any{
			"instances": 1, "me": 0, "az": "rajkot", "stage": 0, "round": 5000,
			"discovery": "subscribe", "countedBy": "request", "workload": "cache", "weights": "none", "overShareWorth": 0.1,
			"failureDomains": []string{"ahmedabad", "rajkot", "surat"}, "kinds": []string{"std-6"}, "tiers": []string{"log-cache"},
			"realms": []any{}, "clients": map[string]any{"marksRetry": false},
			"categories": classes,
			"limits": map[string]any{"cancel": true, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeout": 200000,
				"keepalive": 60000000, "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfter": 1500000, "maxStreams": 100,
				"peerMessages": false, "probes": true, "retryAfter": true, "secondCopies": true},
			"penalties": map[string]any{"connection": 0.03, "crossZone": 0.01, "discovery": 0.0, "handshake": 0.03, "lateFail": 0.05,
				"moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.04},
			"report": map[string]any{"fields": []string{}, "via": "none"},
			"rules": map[string]any{"askEvery": 10000000, "cold": 23000000, "drainGrace": 1000000, "fall": 3000000,
				"graceToAnswer": 20000, "startCapacity": 0.16, "tipMultiple": 3.0},
			"scoringMix": map[string]any{"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.35},
			"specifics": map[string]any{"mode": "through", "notes": "1 hit, 2 miss, 3 miss while another fetch is out",
				"originFall": 3000000, "originFallMultiple": 3.0, "originKind": -1, "reportX0": "", "reportX1": ""},
		},
	}
}

var (
	runKey      = regexp.MustCompile(`(?m)^run = "([^"]*)"`)
	servingLine = regexp.MustCompile(`msg=serving address=(127\.0\.0\.1:[0-9]+) `)
)

// startRouter starts the router by the deploy file's command and returns its address once it has answered PING with PONG.
func startRouter(p *play, config map[string]any) (string, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	command := runKey.FindSubmatch(deploy)
	if command == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no run key")
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(p.file("config.json"), raw, 0o600); err != nil {
		return "", err
	}
	log, err := os.Create(p.file("router.log"))
	if err != nil {
		return "", err
	}
	defer log.Close()
	router := exec.Command("/bin/sh", "-c", string(command[1]))
	router.Env = append(os.Environ(), "BALANCER_CONFIG="+p.file("config.json"), "TMPDIR="+p.folder)
	router.Stderr = log
	router.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited, err := startAndWait(router)
	if err != nil {
		return "", err
	}
	p.atEnd(func() { endProcess(p, router.Process, exited) })
	for range 300 {
		logged, err := os.ReadFile(p.file("router.log"))
		if err != nil {
			return "", err
		}
		if match := servingLine.FindSubmatch(logged); match != nil && answersPing(string(match[1])) {
			return string(match[1]), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", fmt.Errorf("the router did not answer PING")
}

// startAndWait starts a command and returns a channel for its end. The system kills the process if this program is killed; it counts
// the end of the thread that started it as such an end, so that this thread waits.
func startAndWait(command *exec.Cmd) (<-chan error, error) {
	started, exited := make(chan error, 1), make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := command.Start()
		started <- err
		if err == nil {
			exited <- command.Wait()
		}
	}()
	return exited, <-started
}

// answersPing reports whether PING is answered with PONG at an address.
func answersPing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// endProcess ends the router with SIGTERM, or with SIGKILL if it has not ended 5 s later, and adds its log to the record.
func endProcess(p *play, process *os.Process, exited <-chan error) {
	process.Signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		p.record.line("router", "ended: %v", err)
	case <-time.After(5 * time.Second):
		process.Kill()
		p.record.line("router", "killed: %v", <-exited)
	}
	logged, err := os.ReadFile(p.file("router.log"))
	if err != nil {
		return
	}
	for line := range bytes.Lines(logged) {
		p.record.line("log", "%s", bytes.TrimSpace(line))
	}
}
