package gossip

import (
	"bytes"
	"testing"
)

// pair is two views; each receives at once what the other one sends.
type pair struct {
	t            *testing.T
	now          Time
	views        [2]*View
	addrs        [2]string
	sent         [2][][]byte // by each
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
	var out [][]byte
	for _, a := range p.views[i].Handle(p.now, ev) {
		if s, is := a.(Send); is {
			out = append(out, bytes.Clone(s.Data))
		}
	}
	p.sent[i] = append(p.sent[i], out...)
	if p.disconnected {
		return
	}
	for _, b := range out {
		p.handle(1-i, &DatagramReceived{From: p.addrs[i], Data: b})
	}
}

// run lets time pass in steps of 10 ms.
func (p *pair) run(d Time) {
	for end := p.now + d; p.now < end; p.now += 10_000 {
		p.handle(0, &Tick{})
		p.handle(1, &Tick{})
	}
}

// other is the second view as a member of the first.
func (p *pair) other() *member { return p.views[0].members["n2"] }

func newMetPair(t *testing.T) *pair {
	p := newPair(t)
	p.run(3_000_000)
	if m := p.other(); m == nil || m.State != Alive {
		t.Fatalf("the two have not met: %+v", m)
	}
	if settled, _, _ := p.views[0].Settled(); !settled {
		t.Fatal("two views that are equal are not settled")
	}
	return p
}

// TestReplayedDatagramsAreRejected checks that a recording of a member does not make it alive again.
func TestReplayedDatagramsAreRejected(t *testing.T) {
	p := newMetPair(t)
	old := p.sent[1]
	p.disconnected = true
	p.run(10_000_000)
	if s := p.other().State; s != Faulty {
		t.Fatalf("one that says nothing for 10 s is %v", s)
	}
	for _, b := range old {
		p.handle(0, &DatagramReceived{From: p.addrs[1], Data: b})
	}
	if s := p.other().State; s != Faulty {
		t.Errorf("by a recording it is %v again", s)
	}
	if c := p.views[0].Counts(); c.Replayed < len(old) {
		t.Errorf("%d of %d old datagrams were seen to be old", c.Replayed, len(old))
	}
}

// TestDatagramsOfEarlierProcessAreRejected checks that what a member sent before its restart does not count after it.
func TestDatagramsOfEarlierProcessAreRejected(t *testing.T) {
	p := newMetPair(t)
	old := p.sent[1]
	c := testConfig()
	c.Name, c.Boot, c.Start, c.Peers = "n2", 77, c.Start+9000, []string{p.addrs[0]}
	p.views[1], _ = New(c)
	p.run(2_000_000)
	if m := p.other(); m.boot != 77 {
		t.Fatalf("the later process is not known: %+v", m.Member)
	}
	for _, b := range old {
		p.handle(0, &DatagramReceived{From: p.addrs[1], Data: b})
	}
	if m := p.other(); m.boot != 77 || m.State != Alive {
		t.Errorf("after datagrams of the earlier process: %+v", m.Member)
	}
}

// TestImplausibleIncarnationsAreRejected checks incarnations that are far ahead of the clock, in headers and updates.
func TestImplausibleIncarnationsAreRejected(t *testing.T) {
	p := newMetPair(t)
	was := p.other().Incarnation
	d := datagram{header: header{kind: ping, name: "n2", boot: 2, sequence: 1 << 40, incarnation: 1<<64 - 2}}
	p.handle(0, &DatagramReceived{From: p.addrs[1], Data: d.append(nil)})
	b := (&datagram{header: header{kind: ping, name: "n2", boot: 2, sequence: 1 << 41, incarnation: was}}).append(nil)
	for _, name := range []string{"n1", "n2", "n3"} {
		b, _ = appendUpdate(b, &update{name: name, state: Faulty, incarnation: 1<<64 - 2, boot: 2}, MaxDatagramBytes)
	}
	p.handle(0, &DatagramReceived{From: p.addrs[1], Data: b})
	if m := p.other(); m.Incarnation > was+1 || m.State == Faulty || p.views[0].members["n3"] != nil || p.views[0].self.Incarnation > was+10 {
		t.Errorf("accepted: %+v, itself %+v", m.Member, p.views[0].self.Member)
	}
	if c := p.views[0].Counts(); c.Wrong != 4 {
		t.Errorf("%d figures out of range were counted, of 4", c.Wrong)
	}
}

// TestGarbageAndUnknownSendersAreCounted checks that neither is answered, and that an unknown sender does not become a member.
func TestGarbageAndUnknownSendersAreCounted(t *testing.T) {
	p := newMetPair(t)
	before := p.views[0].Counts()
	p.disconnected = true
	for _, b := range [][]byte{nil, {1}, bytes.Repeat([]byte{0xff}, 300), []byte("GET / HTTP/1.1\r\n\r\n")} {
		p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: b})
	}
	d := datagram{header: header{kind: ping, name: "n9", boot: 9, sequence: 1, incarnation: 1_796_000_000_000}, nonce: 1}
	p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: d.append(nil)})
	c := p.views[0].Counts()
	if c.Garbage != before.Garbage+4 || c.Foreign != before.Foreign+1 || c.Sent != before.Sent {
		t.Errorf("before %+v, after %+v", before, c)
	}
	if p.views[0].members["n9"] != nil {
		t.Error("an unknown sender has become a member")
	}
}

// TestObserverReadsView checks that an observer gets a page and does not become a member.
func TestObserverReadsView(t *testing.T) {
	p := newMetPair(t)
	p.disconnected = true
	p.sent[0] = nil
	p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: EncodeQuery(0, 42)})
	if len(p.sent[0]) != 1 || len(p.sent[0][0]) > MaxDatagramBytes {
		t.Fatalf("%d answers", len(p.sent[0]))
	}
	page, err := DecodePage(p.sent[0][0], 42)
	if err != nil || page.Router != "n1" || !page.Settled || page.Of != 2 || len(page.Members) != 2 {
		t.Fatalf("%+v, %v", page, err)
	}
	if _, err := DecodePage(p.sent[0][0], 43); err == nil {
		t.Error("the answer to another question was taken")
	}
	if len(p.views[0].members) != 2 {
		t.Error("the observer is a member")
	}
}

// TestRepliesToObserversAreLimited checks the number of answers at one instant.
func TestRepliesToObserversAreLimited(t *testing.T) {
	p := newMetPair(t)
	p.disconnected = true
	p.sent[0] = nil
	for range 10 * maxReplyRate {
		p.handle(0, &DatagramReceived{From: "10.9.9.9:9", Data: EncodeQuery(0, 42)})
	}
	if n := len(p.sent[0]); n > maxReplyRate+1 {
		t.Errorf("%d answers at one instant", n)
	}
}

// TestUpdatesAreSentABoundedNumberOfTimes checks that no update is pending a minute after a change.
func TestUpdatesAreSentABoundedNumberOfTimes(t *testing.T) {
	p := newMetPair(t)
	p.disconnected = true
	p.handle(0, &UpdateInfo{Info: Info{List: 5}})
	if len(p.views[0].updates) == 0 {
		t.Fatal("a change is not sent")
	}
	p.run(60_000_000)
	if len(p.views[0].updates) != 0 {
		t.Errorf("after a minute %d updates are still pending", len(p.views[0].updates))
	}
}

// TestNewRejectsInvalidConfig checks each field that can be out of range.
func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, bend := range map[string]func(*Config){
		"no name":          func(c *Config) { c.Name = "" },
		"a long name":      func(c *Config) { c.Name = string(make([]byte, MaxNameBytes+1)) },
		"a peer":           func(c *Config) { c.Peers = []string{"nowhere"} },
		"a seed, no addr":  func(c *Config) { c.Seeds = []string{"10.0.0.1:1"} },
		"too many":         func(c *Config) { c.Peers = make([]string, MaxMembers+1) },
		"timeout too long": func(c *Config) { c.Timeout = c.Interval },
	} {
		c := testConfig()
		bend(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
