// The list of caches.

package baseline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
)

// list watches discovery.
type list struct {
	n       *node
	conn    *listConn
	after   int64
	dialing machine.Dialing
	timer   machine.Timer
}

type listConn struct {
	stream
	l *list
}

// again begins a new connection to discovery.
func (l *list) again() {
	if l.dialing != nil {
		l.dialing.Cancel()
		l.dialing = nil
		l.n.conns--
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.conn != nil {
		l.conn.close()
		l.n.conns--
		l.conn = nil
	}
	l.timer = l.n.m.At(l.n.m.Now()+50_000, l.dial)
}

func (l *list) dial() {
	l.n.conns++
	l.dialing = l.n.m.Dial(l.n.c.Discovery, 500_000, func(conn machine.Conn, err error) machine.Handler {
		l.dialing = nil
		if err != nil {
			l.n.conns--
			l.again()
			return nil
		}
		l.conn = &listConn{stream{conn: conn}, l}
		l.ask()
		return l.conn
	})
}

func (l *list) ask() {
	path := "/discovery/hosts"
	if l.after >= 0 {
		path += fmt.Sprintf("?after=%d&wait_ms=2000", l.after)
	}
	l.conn.write([]byte("GET " + path + " HTTP/1.1\r\nHost: d\r\n\r\n"))
	l.timer = l.n.m.At(l.n.m.Now()+3_500_000, l.again)
}

// Readable implements machine.Handler.
func (c *listConn) Readable() {
	if c.closed {
		return
	}
	on := c.fill()
	head := bytes.Index(c.in, []byte("\r\n\r\n"))
	if head < 0 {
		if !on {
			c.l.again()
		}
		return
	}
	_, after, _ := strings.Cut(strings.ToLower(string(c.in[:head])), "content-length: ")
	length, _, _ := strings.Cut(after, "\r")
	size, _ := strconv.Atoi(length)
	if len(c.in) < head+4+size {
		if !on {
			c.l.again()
		}
		return
	}
	body := c.in[head+4 : head+4+size]
	ok := bytes.HasPrefix(c.in, []byte("HTTP/1.1 200")) && c.l.take(body)
	c.in = c.in[head+4+size:]
	c.l.timer.Stop()
	if !ok || !on {
		c.l.again()
		return
	}
	c.l.ask()
}

// take takes an answer of discovery in, and reports whether it could be read.
func (l *list) take(body []byte) bool {
	var in struct {
		Index     int64
		Snapshot  bool
		Endpoints []struct {
			Name, Address, Zone, Status string
			Group                       int
			Weight                      float64
			Since                       int64 `json:"since_ms"`
		}
	}
	if json.Unmarshal(body, &in) != nil {
		l.after = -1
		return false
	}
	ev := &decide.EndpointList{Kind: decide.DeltaUpdate}
	if in.Snapshot {
		ev.Kind = decide.FullUpdate
	}
	for _, e := range in.Endpoints {
		condition, known := map[string]decide.Status{"in_service": decide.Serving, "terminating": decide.Draining,
			"terminated": decide.Removed}[e.Status]
		if !known || e.Name == "" || e.Name == "s-bad" {
			continue
		}
		ev.Endpoints = append(ev.Endpoints, decide.Endpoint{ID: e.Name, Zone: e.Zone, Cell: e.Group, Weight: e.Weight,
			StartedAt: e.Since * 1000, Status: condition})
		l.n.addrs[e.Name] = e.Address
	}
	l.after = in.Index
	l.n.tell(ev)
	return true
}
