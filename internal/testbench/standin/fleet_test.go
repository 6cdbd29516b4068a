package standin

import (
	"encoding/json"
	"fmt"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/settings"
)

// proxy stands in for a router: each client connection has a separate connection to one cache,
// and bytes are forwarded in both directions.
type proxy struct {
	m     machine.Machine
	name  string
	fleet *Fleet
	next  int
}

type proxyConn struct {
	stream
	other *proxyConn
}

func (h *proxyConn) Writable() { h.flush() }
func (h *proxyConn) Readable() {
	err := h.fill(maxCommandBytes)
	if h.other.conn != nil {
		h.other.send(h.received)
		h.received = nil
	}
	if err != nil {
		h.close()
		if h.other.conn != nil {
			h.other.close()
		}
		h.other.closed = true
	}
}

func (p *proxy) accept(conn machine.Conn) machine.Handler {
	a, b := &proxyConn{stream: stream{conn: conn}}, &proxyConn{}
	a.other, b.other = b, a
	p.next++
	c := p.fleet.Caches[p.next%len(p.fleet.Caches)]
	addr := ""
	for _, d := range c.listeners {
		if d.router == p.name {
			addr = d.addr
		}
	}
	p.m.Dial(addr, Second, func(conn machine.Conn, err error) machine.Handler {
		if err != nil || b.closed {
			a.close()
			if err == nil {
				conn.Close()
			}
			return b
		}
		b.conn = conn
		b.send(a.received)
		a.received = nil
		return b
	})
	return a
}

// playFleet runs a fleet behind routers that only forward bytes, and returns the recorded events.
func playFleet(t *testing.T, seed uint64) ([]string, *Fleet) {
	t.Helper()
	l := newLab()
	n := &notes{l: l}
	host := func() machine.Machine { return l }
	at := func(string, string) machine.Machine { return l }
	var targets []Target
	o := DefaultOptions()
	o.Cache.MemoryKeys = 15000
	f, err := NewFleet(o, Places{Cache: at, Store: host, Discovery: host, Client: at,
		Routers: func(string) []Target { return targets }}, newTestRand(seed), n)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range o.Routers {
		p := &proxy{m: l, name: name, fleet: f}
		ln, err := l.Listen("127.0.0.1:0", p.accept)
		if err != nil {
			t.Fatal(err)
		}
		targets = append(targets, Target{name, ln.Addr()})
	}
	f.Start()
	l.run(t, 5*Second)
	if _, err := f.AddCache(true); err != nil {
		t.Fatal(err)
	}
	f.Caches[0].Hang(true)
	l.run(t, 5*Second)
	f.Caches[0].Hang(false)
	f.Stop()
	l.run(t, 5*Second)
	return n.lines, f
}

func TestFleetServesLoadClients(t *testing.T) {
	lines, f := playFleet(t, 1)
	total := &Tally{}
	for _, one := range f.Tallies() {
		total.Add(one)
	}
	if total.Requests < 1800 || total.OnTime < total.Requests*6/10 || f.Open() != 0 {
		t.Errorf("%d open, %+v", f.Open(), *total)
	}
	if sum := total.OnTime + total.Late + total.Rejected + total.Failed + total.Lost + total.Left; sum != total.Requests {
		t.Errorf("got %d requests with %d outcomes, want equal numbers", total.Requests, sum)
	}
	zones := map[string]int{}
	for _, c := range f.Caches {
		zones[c.Zone()]++
	}
	if len(f.Caches) != 10 || zones["ahmedabad"] != 4 || zones["rajkot"] != 3 || zones["surat"] != 3 {
		t.Errorf("caches by zone: %v", zones)
	}
	for _, line := range lines {
		if len(line) > 3 && line[:3] == "bad" {
			t.Fatalf("client sent a malformed command: %s", line)
		}
	}
	f.Close()
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	a, _ := playFleet(t, 2)
	b, _ := playFleet(t, 2)
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Error("two runs with the same seed differ, want equal runs")
	}
	if c, _ := playFleet(t, 3); fmt.Sprint(a) == fmt.Sprint(c) {
		t.Error("runs with different seeds are equal, want different runs")
	}
}

func TestReplaceStartsColdCacheUnderNewName(t *testing.T) {
	_, f := playFleet(t, 4)
	old := f.Caches[1]
	c, err := f.Replace(old)
	if err != nil || old.Up() || !c.WarmingUp() || c.Name() == old.Name() {
		t.Errorf("%v: old up %t, new cold %t, names %s and %s", err, old.Up(), c.WarmingUp(), old.Name(), c.Name())
	}
}

func TestRouterSettingsAreReadByRouter(t *testing.T) {
	var config struct{ Settings json.RawMessage }
	if err := json.Unmarshal(DefaultRouterSettings().JSON(), &config); err != nil {
		t.Fatal(err)
	}
	s, transport, err := settings.Parse(config.Settings)
	if err != nil {
		t.Fatal(err)
	}
	put := s.Classes[2]
	if put.Semantics != decide.IdempotentByKey || put.DeduplicationScope != decide.DeduplicatedEverywhere ||
		put.IdempotencyWindow != 1200*Millisecond ||
		!s.WatchRequired || s.DrainGrace != Second || transport.Keepalive != 60*Second || s.PollInterval != 6*Second {
		t.Errorf("the router read %+v and %+v", s, transport)
	}
}

func TestReplaceKeepsZone(t *testing.T) {
	l := newLab()
	p := Places{
		Cache: func(string, string) machine.Machine { return l }, Store: func() machine.Machine { return l },
		Discovery: func() machine.Machine { return l }, Client: func(string, string) machine.Machine { return l },
		Routers: func(string) []Target { return nil },
	}
	o := DefaultOptions()
	o.Caches = 4
	f, err := NewFleet(o, p, newTestRand(1), nil)
	if err != nil {
		t.Fatal(err)
	}
	old := f.Caches[1]
	c, err := f.Replace(old)
	if err != nil {
		t.Fatal(err)
	}
	if c.Zone() != old.Zone() || c.Name() == old.Name() || old.Up() || !c.WarmingUp() {
		t.Errorf("cache %s in zone %s replaces %s in zone %s, want the same zone", c.Name(), c.Zone(), old.Name(), old.Zone())
	}
	l.run(t, 3*Second)
	warm := f.Caches[0]
	restarted := l.now
	if err := f.Restart(warm); err != nil {
		t.Fatal(err)
	}
	l.run(t, 3*Second)
	if line := f.Discovery.entry(warm.Name()); line.Since != restarted || !warm.WarmingUp() {
		t.Errorf("start time in the list: got %d, want %d", line.Since, restarted)
	}
}
