// Package bare is the least that makes a router of the decision module: a connection for each attempt, no pools, no
// limits. Tests of the lab run it, so that they hold whatever becomes of the router.
package bare

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/lab"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/settings"
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

func (n *node) Addr() string { return n.listener.Addr() }

func (n *node) Left() map[string]int {
	open := 0
	for _, r := range n.requests {
		if !r.over {
			open++
		}
	}
	return map[string]int{"requests": open, "attempts": n.attempts, "connections": n.conns}
}

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
	case decide.Refuse:
		if r := n.requests[a.ID]; r != nil {
			r.finish([]byte("-BUSY " + strconv.FormatInt(a.Wait/1000, 10) + "\r\n"))
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
	case decide.DropTimer:
		if t := n.timers[a.Token]; t != nil {
			t.Stop()
			delete(n.timers, a.Token)
		}
	case decide.Probe:
		n.backlog = append(n.backlog, &decide.Probed{Cache: a.Cache, Elapsed: 1000, Load: decide.Load{Busy: -1}})
	case decide.Log:
		n.m.Log(a.Text)
	}
}

// stream is a connection with what has come on it.
type stream struct {
	conn    machine.Conn
	in, out []byte
	closed  bool
}

// fill reads what has come and reports whether more can come.
func (c *stream) fill() bool {
	var b [2048]byte
	for {
		k, err := c.conn.Read(b[:])
		c.in = append(c.in, b[:k]...)
		if err == machine.ErrWait {
			return true
		}
		if err != nil {
			return false
		}
	}
}

func (c *stream) write(b []byte) {
	if c.closed {
		return
	}
	c.out = append(c.out, b...)
	k, _ := c.conn.Write(c.out)
	c.out = c.out[k:]
}

func (c *stream) Writable() { c.write(nil) }

func (c *stream) close() {
	c.closed = true
	c.conn.Close()
}

// reply finds out how long the first whole thing in b is: 0 for not there yet, below 0 for what can't be read.
func reply(b []byte, deep bool) int {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > 256 {
			return -1
		}
		return 0
	}
	if end == 0 {
		return -1
	}
	k, err := strconv.Atoi(string(b[1:end]))
	used := end + 2
	switch b[0] {
	case '+', '-':
		return used
	case '$':
		if err != nil || k < -1 || k > 64<<10 {
			return -1
		}
		if k < 0 {
			return used
		}
		if len(b) < used+k+2 {
			return 0
		}
		if b[used+k] != '\r' {
			return -1
		}
		return used + k + 2
	case '*':
		if err != nil || k < 1 || k > 16 || deep {
			return -1
		}
		for range k {
			m := reply(b[used:], true)
			if m <= 0 {
				return m
			}
			used += m
		}
		return used
	}
	return -1
}

// words are the parts of an array.
func words(b []byte) (all []string) {
	for b = b[bytes.IndexByte(b, '\n')+1:]; len(b) > 0; {
		k := reply(b, true)
		text, _ := bytes.CutSuffix(b[:k], []byte("\r\n"))
		all = append(all, string(text[bytes.IndexByte(text, '\n')+1:]))
		b = b[k:]
	}
	return all
}

// client is a connection of a client.
type client struct {
	stream
	n     *node
	slots []*slot
}

// slot is the place of an answer.
type slot struct {
	client  *client
	request *request
	answer  []byte
}

func (c *client) Readable() {
	if c.closed {
		return
	}
	on := c.fill()
	for !c.closed {
		k := reply(c.in, false)
		if k == 0 {
			break
		}
		if k < 0 || c.in[0] != '*' {
			c.write([]byte("-ERR what is that\r\n"))
			c.drop()
			return
		}
		raw := append([]byte(nil), c.in[:k]...)
		c.in = c.in[k:]
		c.command(raw)
	}
	if !on {
		c.drop()
	}
}

func (c *client) drop() {
	if c.closed {
		return
	}
	c.close()
	c.n.conns--
	for i, x := range c.n.clients {
		if x == c {
			c.n.clients = append(c.n.clients[:i], c.n.clients[i+1:]...)
			break
		}
	}
	for _, s := range c.slots {
		if r := s.request; r != nil && !r.over {
			r.over = true
			c.n.tell(&decide.Departed{ID: r.id})
			r.forget()
		}
	}
}

func (s *slot) say(b []byte) {
	s.answer = b
	c := s.client
	for len(c.slots) > 0 && c.slots[0].answer != nil {
		c.write(c.slots[0].answer)
		c.slots = c.slots[1:]
	}
	if len(c.slots) == 0 && c.n.ending && !c.closed {
		c.drop()
	}
}

func (c *client) command(raw []byte) {
	n, s, args := c.n, &slot{client: c}, words(raw)
	c.slots = append(c.slots, s)
	switch {
	case args[0] == "PING" && len(n.addrs) > 0:
		s.say([]byte("+PONG\r\n"))
		return
	case len(args) < 4:
		s.say([]byte("-ERR not now\r\n"))
		return
	}
	n.lastID++
	r := &request{n: n, id: n.lastID, raw: raw, slot: s}
	s.request = r
	ev := &decide.Request{ID: r.id, HasKey: true, Write: args[0] == "C.SET"}
	hash := fnv.New64a()
	hash.Write([]byte(args[1]))
	ev.Key = hash.Sum64()
	for _, pair := range strings.Split(args[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			ev.Class = value
		case "t":
			ev.Tenant = value
		case "d":
			ms, _ := strconv.ParseInt(value, 10, 64)
			r.deadline = n.m.Now() + ms*1000
		}
	}
	ev.Deadline = r.deadline
	n.requests[r.id] = r
	n.tell(ev)
}

type request struct {
	n        *node
	id       int64
	raw      []byte
	deadline decide.Time
	slot     *slot
	over     bool
	out      int
	attempts []*attempt
}

func (r *request) finish(b []byte) {
	if r.over {
		return
	}
	r.over = true
	for _, a := range r.attempts {
		if !a.written {
			a.end(decide.Cancelled, nil, false)
		}
	}
	r.slot.say(b)
	r.forget()
}

func (r *request) forget() {
	if r.over && r.out == 0 {
		delete(r.n.requests, r.id)
	}
}

// attempt is one attempt with its connection.
type attempt struct {
	stream
	request *request
	number  int
	sent    decide.Time
	writeBy decide.Time
	dialing machine.Dialing
	timer   machine.Timer
	written bool
	over    bool
}

func (n *node) send(s decide.Send) {
	r := n.requests[s.ID]
	if r == nil {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), sent: n.m.Now(), writeBy: s.WriteBy}
	r.attempts = append(r.attempts, a)
	r.out++
	n.attempts++
	addr := n.addrs[s.Cache]
	if addr == "" || r.over {
		a.end(decide.NotSent, nil, false)
		return
	}
	stopAt := s.StopAt
	if stopAt == 0 || stopAt > r.deadline {
		stopAt = r.deadline
	}
	a.timer = n.m.At(stopAt, func() { a.end(decide.NoAnswer, nil, false) })
	n.conns++
	a.dialing = n.m.Dial(addr, 200_000, func(conn machine.Conn, err error) machine.Handler {
		a.dialing = nil
		if err == nil && a.writeBy != 0 && n.m.Now() >= a.writeBy {
			conn.Close()
			err = machine.ErrTimeout
		}
		if err != nil {
			n.conns--
			a.end(decide.NoConnection, nil, false)
			return a
		}
		a.conn = conn
		a.written = true
		a.write(r.raw)
		return a
	})
}

func (a *attempt) Readable() {
	if a.over {
		return
	}
	on := a.fill()
	k := reply(a.in, false)
	switch {
	case k > 0 && a.in[0] == '*':
		parts := words(a.in[:k])
		a.end(decide.Served, []byte(fmt.Sprintf("$%d\r\n%s\r\n", len(parts[0]), parts[0])), parts[1] == "miss")
	case k > 0 && bytes.HasPrefix(a.in, []byte("-BUSY")):
		a.end(decide.Rejected, nil, false)
	case k > 0:
		a.end(decide.Errored, nil, false)
	case k < 0 || !on:
		a.end(decide.ConnLost, nil, false)
	}
}

func (a *attempt) end(result decide.Result, answer []byte, miss bool) {
	if a.over {
		return
	}
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
	r := a.request
	n := r.n
	if a.dialing != nil {
		a.dialing.Cancel()
		n.conns--
	}
	if a.conn != nil {
		a.close()
		n.conns--
	}
	if !a.written && result == decide.Cancelled {
		result = decide.NotSent
	}
	r.out--
	n.attempts--
	if answer != nil {
		r.finish(answer)
	}
	n.tell(&decide.Outcome{ID: r.id, Attempt: a.number, Result: result, Elapsed: n.m.Now() - a.sent, Last: r.over,
		Miss: miss, Load: decide.Load{Busy: -1}})
	r.forget()
}

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
	ev := &decide.List{Kind: decide.ListChanges}
	if in.Snapshot {
		ev.Kind = decide.ListFull
	}
	for _, e := range in.Endpoints {
		condition, known := map[string]decide.Condition{"in_service": decide.Up, "terminating": decide.Draining,
			"terminated": decide.Removed}[e.Status]
		if !known || e.Name == "" || e.Name == "s-bad" {
			continue
		}
		ev.Entries = append(ev.Entries, decide.Entry{ID: e.Name, Zone: e.Zone, Cell: e.Group, Size: e.Weight,
			Start: e.Since * 1000, Condition: condition})
		l.n.addrs[e.Name] = e.Address
	}
	l.after = in.Index
	l.n.tell(ev)
	return true
}
