package gossip

import (
	"bytes"
	"testing"
)

// pair is two views, each of which receives the datagrams of the other at once unless they are disconnected.
type pair struct {
	t            *testing.T
	now          Time
	views        [2]*View
	addrs        [2]string
	sent         [2][][]byte // datagrams that each view has sent
	disconnected bool
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t, now: 1, addrs: [2]string{"10.0.0.1:7946", "10.0.0.2:7946"}}
	for i := range p.views {
		c := testConfig()
		c.Name, c.Boot, c.Seed = []string{"n1", "n2"}[i], uint32(i+1), uint64(i)
		c.Peers = []string{p.addrs[1-i]}
		v, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		p.views[i] = v
	}
	return p
}

func (p *pair) handle(i int, ev Event) {
	var sent [][]byte
	for _, a := range p.views[i].Handle(p.now, ev) {
		if s, is := a.(Send); is {
			sent = append(sent, bytes.Clone(s.Data))
		}
	}
	p.sent[i] = append(p.sent[i], sent...)
	if p.disconnected {
		return
	}
	for _, b := range sent {
		p.handle(1-i, &DatagramReceived{From: p.addrs[i], Data: b})
	}
}

// run advances the time by d in steps of 10 ms, with a Tick for each view at each step.
func (p *pair) run(d Time) {
	for end := p.now + d; p.now < end; p.now += 10_000 {
		p.handle(0, &Tick{})
		p.handle(1, &Tick{})
	}
}

// other returns the first view's member for the second view.
func (p *pair) other() *member { return p.views[0].members["n2"] }

func newJoinedPair(t *testing.T) *pair {
	p := newPair(t)
	p.run(3_000_000)
	if m := p.other(); m == nil || m.State != Alive {
		t.Fatalf("the first view's member for the second: got %+v, want it alive", m)
	}
	if settled, _, _ := p.views[0].Settled(); !settled {
		t.Fatal("got an unsettled view, want two equal views to be settled")
	}
	return p
}

// TestReplayedDatagramsAreRejected checks that replayed datagrams of a faulty member do not make the member alive.
func TestReplayedDatagramsAreRejected(t *testing.T) {
	p := newJoinedPair(t)
	recorded := p.sent[1]
	p.disconnected = true
	p.run(10_000_000)
	if s := p.other().State; s != Faulty {
		t.Fatalf("state of a member that was silent for 10 s: got %v, want %v", s, Faulty)
	}
	for _, b := range recorded {
		p.handle(0, &DatagramReceived{From: p.addrs[1], Data: b})
	}
	if s := p.other().State; s != Faulty {
		t.Errorf("state after replayed datagrams: got %v, want %v", s, Faulty)
	}
	if c := p.views[0].Counts(); c.Replayed < len(recorded) {
		t.Errorf("got %d datagrams counted as replayed, want at least %d", c.Replayed, len(recorded))
	}
}

// TestDatagramsOfEarlierProcessAreRejected checks that datagrams that a member sent before its restart are ignored afterwards.
func TestDatagramsOfEarlierProcessAreRejected(t *testing.T) {
	p := newJoinedPair(t)
	recorded := p.sent[1]
	c := testConfig()
	c.Name, c.Boot, c.Start, c.Peers = "n2", 77, c.Start+9000, []string{p.addrs[0]}
	p.views[1], _ = New(c)
	p.run(2_000_000)
	if m := p.other(); m.boot != 77 {
		t.Fatalf("after the restart: got boot %d of %+v, want boot 77", m.boot, m.Member)
	}
	for _, b := range recorded {
		p.handle(0, &DatagramReceived{From: p.addrs[1], Data: b})
	}
	if m := p.other(); m.boot != 77 || m.State != Alive {
		t.Errorf("after datagrams of the earlier process: got boot %d of %+v, want boot 77 and state %v", m.boot, m.Member, Alive)
	}
}

// TestImplausibleIncarnationsAreRejected checks that headers and updates with an incarnation far ahead of the clock are ignored.
func TestImplausibleIncarnationsAreRejected(t *testing.T) {
	p := newJoinedPair(t)
	before := p.other().Incarnation
	d := datagram{header: header{kind: ping, name: "n2", boot: 2, sequence: 1 << 40, incarnation: 1<<64 - 2}}
	p.handle(0, &DatagramReceived{From: p.addrs[1], Data: d.append(nil)})
	b := (&datagram{header: header{kind: ping, name: "n2", boot: 2, sequence: 1 << 41, incarnation: before}}).append(nil)
	for _, name := range []string{"n1", "n2", "n3"} {
		b, _ = appendUpdate(b, &update{name: name, state: Faulty, incarnation: 1<<64 - 2, boot: 2}, MaxDatagramBytes)
	}
	p.handle(0, &DatagramReceived{From: p.addrs[1], Data: b})
	if m := p.other(); m.Incarnation > before+1 || m.State == Faulty || p.views[0].members["n3"] != nil || p.views[0].self.Incarnation > before+10 {
		t.Errorf("an implausible incarnation was accepted: member %+v, own member %+v", m.Member, p.views[0].self.Member)
	}
	if c := p.views[0].Counts(); c.OutOfRange != 4 {
		t.Errorf("got %d incarnations counted as out of range, want 4", c.OutOfRange)
	}
}

// TestUnreadableDatagramsAndUnknownSendersAreCounted checks that neither is answered, and that an unknown sender does
// not become a member.
func TestUnreadableDatagramsAndUnknownSendersAreCounted(t *testing.T) {
	p := newJoinedPair(t)
	before := p.views[0].Counts()
	p.disconnected = true
	for _, b := range [][]byte{nil, {1}, bytes.Repeat([]byte{0xff}, 300), []byte("GET / HTTP/1.1\r\n\r\n")} {
		p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: b})
	}
	d := datagram{header: header{kind: ping, name: "n9", boot: 9, sequence: 1, incarnation: 1_796_000_000_000}, nonce: 1}
	p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: d.append(nil)})
	c := p.views[0].Counts()
	if c.Unreadable != before.Unreadable+4 || c.NonMember != before.NonMember+1 || c.Sent != before.Sent {
		t.Errorf("counts before %+v, after %+v; want 4 more unreadable, 1 more from non-members and none sent", before, c)
	}
	if p.views[0].members["n9"] != nil {
		t.Error("the unknown sender became a member")
	}
}

// TestObserverReadsView checks that an observer receives a page and does not become a member.
func TestObserverReadsView(t *testing.T) {
	p := newJoinedPair(t)
	p.disconnected = true
	p.sent[0] = nil
	p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: EncodeQuery(0, 42)})
	if len(p.sent[0]) != 1 || len(p.sent[0][0]) > MaxDatagramBytes {
		t.Fatalf("got %d answers, want 1 of at most %d bytes", len(p.sent[0]), MaxDatagramBytes)
	}
	page, err := DecodePage(p.sent[0][0], 42)
	if err != nil || page.Router != "n1" || !page.Settled || page.Total != 2 || len(page.Members) != 2 {
		t.Fatalf("got page %+v, error %v; want a settled page of n1 with 2 members", page, err)
	}
	if _, err := DecodePage(p.sent[0][0], 43); err == nil {
		t.Error("DecodePage accepted a page with the nonce of another query")
	}
	if len(p.views[0].members) != 2 {
		t.Error("the observer became a member")
	}
}

// TestRepliesToObserversAreLimited checks that a view limits its answers to many queries at one instant.
func TestRepliesToObserversAreLimited(t *testing.T) {
	p := newJoinedPair(t)
	p.disconnected = true
	p.sent[0] = nil
	for range 10 * maxReplyRate {
		p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: EncodeQuery(0, 42)})
	}
	if n := len(p.sent[0]); n > maxReplyRate+1 {
		t.Errorf("got %d answers at one instant, want at most %d", n, maxReplyRate+1)
	}
}

// TestUpdatesAreSentABoundedNumberOfTimes checks that no update is queued a minute after a change.
func TestUpdatesAreSentABoundedNumberOfTimes(t *testing.T) {
	p := newJoinedPair(t)
	p.disconnected = true
	p.handle(0, &UpdateInfo{Info: Info{List: 5}})
	if len(p.views[0].updates) == 0 {
		t.Fatal("got no queued update after a change of the info, want one")
	}
	p.run(60_000_000)
	if len(p.views[0].updates) != 0 {
		t.Errorf("got %d queued updates after a minute, want 0", len(p.views[0].updates))
	}
}

// TestNewRejectsInvalidConfig checks that New returns an error for fields that are out of range.
func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"empty name":        func(c *Config) { c.Name = "" },
		"name too long":     func(c *Config) { c.Name = string(make([]byte, MaxNameBytes+1)) },
		"invalid peer":      func(c *Config) { c.Peers = []string{"nowhere"} },
		"seed without addr": func(c *Config) { c.Seeds = []string{"10.0.0.1:1"} },
		"too many peers":    func(c *Config) { c.Peers = make([]string, MaxMembers+1) },
		"timeout too long":  func(c *Config) { c.Timeout = c.Interval },
	} {
		c := testConfig()
		invalidate(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
