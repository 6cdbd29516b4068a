package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// hostList is a list of discovery.
type hostList struct {
	Index     int64  `json:"index"`
	Snapshot  bool   `json:"snapshot"`
	Endpoints []host `json:"endpoints"`
}

// discovery is a stand-in for the platform's discovery.
type discovery struct {
	lab    *lab
	addr   string
	server *http.Server

	mu      sync.Mutex
	index   int64
	hosts   map[string]host
	order   []string
	changed map[string]int64 // version of each host's latest change
	news    chan struct{}    // closed at each change
}

// startDiscovery starts discovery with a list.
func (l *lab) startDiscovery(hosts []host) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{lab: l, addr: ln.Addr().String(), index: 10, hosts: map[string]host{}, changed: map[string]int64{}, news: make(chan struct{})}
	for _, h := range hosts {
		d.hosts[h.Name] = h
		d.order = append(d.order, h.Name)
		d.changed[h.Name] = d.index
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go d.server.Serve(ln)
	l.atEnd(func() { d.server.Close() })
	return d, nil
}

// list returns the whole list, or the changes after a version.
func (d *discovery) list(after int64) hostList {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := hostList{Index: d.index, Snapshot: after < 0, Endpoints: []host{}}
	for _, name := range d.order {
		h := d.hosts[name]
		if after < 0 && h.Status != "terminated" || after >= 0 && d.changed[name] > after {
			l.Endpoints = append(l.Endpoints, h)
		}
	}
	return l
}

// handle answers a call.
func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.lab.notef("discovery: call %s from %s", r.URL.RequestURI(), r.RemoteAddr)
	d.mu.Lock()
	index, news := d.index, d.news
	d.mu.Unlock()
	after := int64(-1)
	if text := r.URL.Query().Get("after"); text != "" {
		after, _ = strconv.ParseInt(text, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		if index <= after {
			select {
			case <-news:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
	d.write(w, d.list(after))
}

// write writes a list.
func (d *discovery) write(w http.ResponseWriter, list hostList) {
	w.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(list)
	d.lab.notef("discovery: answers version %d, whole %v, %d hosts", list.Index, list.Snapshot, len(list.Endpoints))
	w.Write(body)
}
