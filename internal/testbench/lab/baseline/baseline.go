// Package baseline is the least that makes a router of the decision module: a connection for each attempt, no pools, no
// limits. Tests of the lab run it, so that they hold whatever becomes of the router.
package baseline

import (
	"encoding/json"
	"strconv"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/settings"
	"starlingwinch/internal/testbench/lab"
)

type node struct {
	m        machine.Machine
	c        config
	set      decide.Settings
	module   guard.Module
	backlog  []decide.Event
	telling  bool
	listener machine.Listener
	clients  []*client
	requests map[int64]*request
	timers   map[int64]machine.Timer // of the module
	lastID   int64
	addrs    map[string]string // of the caches that are known
	list     *list
	drained  func()
	ending   bool
	conns    int
	attempts int
}

type config struct {
	Listen, Discovery string
	Settings          json.RawMessage
}

// Start is a lab.Start.
func Start(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
	n := &node{m: m, requests: map[int64]*request{}, timers: map[int64]machine.Timer{}, addrs: map[string]string{}}
	if err := json.Unmarshal(c.JSON, &n.c); err != nil {
		return nil, err
	}
	var err error
	if n.set, _, err = settings.Parse(n.c.Settings); err != nil {
		return nil, err
	}
	if n.module, err = decide.New(n.set, m.Entropy()); err != nil {
		return nil, err
	}
	if c.Wrap != nil {
		n.module = c.Wrap(n.module)
	}
	n.listener, err = m.Listen(n.c.Listen, func(conn machine.Conn) machine.Handler {
		c := &client{n: n, stream: stream{conn: conn}}
		n.clients = append(n.clients, c)
		n.conns++
		return c
	})
	if err != nil {
		return nil, err
	}
	n.list = &list{n: n, after: -1}
	n.list.dial()
	return n, nil
}

// Addr implements lab.Node.
func (n *node) Addr() string { return n.listener.Addr() }

// RecordCounts implements lab.Node.
func (n *node) RecordCounts() map[string]int {
	open := 0
	for _, r := range n.requests {
		if !r.over {
			open++
		}
	}
	return map[string]int{"requests": open, "attempts": n.attempts, "connections": n.conns}
}

// Reload implements lab.Node.
func (n *node) Reload(raw []byte) error {
	var c config
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	if c.Discovery != n.c.Discovery {
		n.c.Discovery = c.Discovery
		n.list.again()
	}
	return nil
}

// Drain closes the listener at once, and every connection when nothing is owed on it.
func (n *node) Drain(done func()) {
	n.drained = done
	n.m.At(n.m.Now()+400_000, func() {
		n.listener.Close()
		n.ending = true
		n.drainOn()
	})
}

func (n *node) drainOn() {
	for _, c := range append([]*client(nil), n.clients...) {
		if len(c.slots) == 0 {
			c.drop()
		}
	}
	if len(n.clients) > 0 {
		n.m.At(n.m.Now()+10_000, n.drainOn)
		return
	}
	n.drained()
}

// tell hands the module what has happened, and does what it says.
func (n *node) tell(ev decide.Event) {
	n.backlog = append(n.backlog, ev)
	if n.telling {
		return
	}
	n.telling = true
	for len(n.backlog) > 0 {
		ev := n.backlog[0]
		n.backlog = n.backlog[1:]
		for _, a := range n.module.Handle(n.m.Now(), ev) {
			n.perform(a)
		}
	}
	n.telling = false
}

func (n *node) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		n.send(a)
	case decide.Cancel:
		if r := n.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].end(decide.Cancelled, nil, false)
		}
	case decide.Reject:
		if r := n.requests[a.ID]; r != nil {
			r.finish([]byte("-BUSY " + strconv.FormatInt(a.RetryAfter/1000, 10) + "\r\n"))
		}
	case decide.Fail:
		if r := n.requests[a.ID]; r != nil {
			r.finish([]byte("-ERR failed\r\n"))
		}
	case decide.SetTimer:
		n.timers[a.Token] = n.m.At(a.At, func() {
			delete(n.timers, a.Token)
			n.tell(&decide.Timer{Token: a.Token})
		})
	case decide.CancelTimer:
		if t := n.timers[a.Token]; t != nil {
			t.Stop()
			delete(n.timers, a.Token)
		}
	case decide.HealthCheck:
		n.backlog = append(n.backlog, &decide.HealthCheckResult{Cache: a.Cache, Elapsed: 1000, Load: decide.LoadReport{Utilization: -1}})
	case decide.Log:
		n.m.Log(a.String())
	}
}

func (n *node) send(s decide.Send) {
	r := n.requests[s.ID]
	if r == nil {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), sent: n.m.Now(), writeBy: s.WriteDeadline}
	r.attempts = append(r.attempts, a)
	r.out++
	n.attempts++
	addr := n.addrs[s.Cache]
	if addr == "" || r.over {
		a.end(decide.NotSent, nil, false)
		return
	}
	stopAt := s.AttemptDeadline
	if stopAt == 0 || stopAt > r.deadline {
		stopAt = r.deadline
	}
	a.timer = n.m.At(stopAt, func() { a.end(decide.TimedOut, nil, false) })
	n.conns++
	a.dialing = n.m.Dial(addr, 200_000, func(conn machine.Conn, err error) machine.Handler {
		a.dialing = nil
		if err == nil && a.writeBy != 0 && n.m.Now() >= a.writeBy {
			conn.Close()
			err = machine.ErrTimeout
		}
		if err != nil {
			n.conns--
			a.end(decide.ConnectFailed, nil, false)
			return a
		}
		a.conn = conn
		a.written = true
		a.write(r.raw)
		return a
	})
}
