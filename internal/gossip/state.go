package gossip

import (
	"log/slog"
	"slices"
	"strings"

	"starlingwinch/internal/rendezvous"
)

const (
	// leftRetention is for how long a member that left is remembered. Until then its incarnation rejects old claims that it
	// is alive.
	leftRetention Time = 600_000_000
	// leaveNotices is the number of members that a router notifies when it leaves.
	leaveNotices = 3
)

// member is what this router knows of a member, itself included.
type member struct {
	Member
	boot           uint32 // of its process, as it announced it
	revision       uint64 // of Info; it counts up with each change in one process
	announcedState State  // Alive or Leaving: its state where nobody suspects it
	announcedAddr  string // the address that it announced of itself
	replays        replayWindow
	suspicion      suspicion // meaningful while it is suspect
	notifiedAt     Time      // when it was notified last that it is suspected or faulty
	unsettledAt    Time      // when it announced last that it is not settled, or another digest; 0 if it did otherwise since
}

// contact is an address that this router may send to.
type contact struct {
	addr       string
	name       string // who answered there last; empty where nobody did
	configured bool
	pollAt     Time // when it is polled next, while no member that is alive is there
	pollDelay  Time // before pollAt; it doubles with each poll
}

// setState changes a member's state, and the digest with it.
func (v *View) setState(m *member, s State) {
	v.agreement.digest ^= m.digest()
	before := m.State
	if m.State = s; s == Alive || s == Leaving {
		m.announcedState = s
	}
	m.Since = v.now
	v.agreement.digest ^= m.digest()
	if before.IsAlive() != s.IsAlive() || (before == Left) != (s == Left) {
		v.agreement.namesStale = true
		v.do(Changed{})
	} else if before != s && s != Suspect && before != Suspect {
		v.do(Changed{})
	}
}

// digest is a member's part in the digest of a view. A suspect counts as what it announced, as suspicions come and go at each
// router by themselves. A member that left does not count, as each router forgets it in its own time.
func (m *member) digest() uint64 {
	s := m.State
	switch s {
	case Left:
		return 0
	case Suspect:
		s = m.announcedState
	}
	return rendezvous.Mix(rendezvous.Hash(m.Name) ^ rendezvous.Mix(m.Incarnation*8+uint64(s)) ^ uint64(m.boot)<<17)
}

// setIncarnation changes a member's incarnation, and the digest with it.
func (v *View) setIncarnation(m *member, incarnation uint64) {
	v.agreement.digest ^= m.digest()
	m.Incarnation = incarnation
	v.agreement.digest ^= m.digest()
}

// addMember adds a member that was unknown. It returns nil where the view is full.
func (v *View) addMember(name string, incarnation uint64, boot uint32, s State) *member {
	if len(v.members) >= MaxMembers {
		v.counts.Wrong++
		return nil
	}
	m := &member{
		Member:         Member{Name: name, State: s, Incarnation: incarnation, Since: v.now},
		boot:           boot,
		announcedState: Alive,
	}
	if s == Leaving {
		m.announcedState = s
	}
	v.members[name] = m
	v.agreement.digest ^= m.digest()
	v.agreement.namesStale = true
	v.do(Changed{})
	v.log(slog.LevelInfo, "gossip member added",
		slog.String("member", name), slog.String("state", s.String()), slog.Uint64("incarnation", incarnation))
	return m
}

// adopt takes over a newer incarnation or process of a member, with the state that it announced.
func (v *View) adopt(m *member, incarnation uint64, boot uint32, s State) {
	before := m.State
	v.agreement.digest ^= m.digest()
	if m.boot != boot {
		m.boot, m.revision, m.replays = boot, 0, replayWindow{}
	}
	m.Incarnation = incarnation
	v.agreement.digest ^= m.digest()
	m.suspicion.clear()
	v.setState(m, s)
	v.agreement.namesStale = v.agreement.namesStale || before != s
	switch {
	case before == Suspect:
		v.log(slog.LevelInfo, "gossip member refuted suspicion", slog.String("member", m.Name))
	case before != s:
		v.log(slog.LevelInfo, "gossip member changed state",
			slog.String("member", m.Name), slog.String("state", s.String()), slog.String("previous_state", before.String()))
	}
	v.broadcast(m)
}

// refute contradicts a claim on this router by an incarnation above the claimed one.
func (v *View) refute(claimed uint64) {
	v.counts.Refuted++
	if !v.cfg.Plain {
		v.addAwareness(1)
	}
	if v.cfg.Defect == NotRaised {
		return
	}
	v.raiseIncarnation(claimed + 1)
}

// raiseIncarnation raises this router's incarnation, at least to a number.
func (v *View) raiseIncarnation(to uint64) {
	v.setIncarnation(v.self, max(v.self.Incarnation+1, to))
	v.agreement.namesStale = true
	v.broadcast(v.self)
}

// leave announces that this router drains, or that it has ended.
func (v *View) leave(gone bool) {
	if v.gone {
		return
	}
	if v.self.State != Leaving {
		v.setState(v.self, Leaving)
		v.raiseIncarnation(0)
	}
	if gone {
		v.setIncarnation(v.self, v.self.Incarnation+1)
		v.setState(v.self, Left)
		v.broadcast(v.self)
		v.gone = true
	}
	// Some members are notified at once, as nobody probes a router that has ended.
	for range leaveNotices {
		if m := v.randomMember(""); m != nil {
			v.send(m.Addr, datagram{header: header{kind: ping}, nonce: v.newNonce()}, nil, MaxDatagramBytes)
		}
	}
}

// replacePeers replaces the configured addresses.
func (v *View) replacePeers(addresses []string) {
	configured := map[string]bool{}
	for _, address := range slices.Concat(addresses, v.cfg.Seeds) {
		if len(configured) < MaxMembers {
			configured[address] = true
		}
		if c := v.contacts[address]; c != nil {
			c.configured = true
		} else if len(v.contacts) < MaxMembers {
			v.contacts[address] = &contact{addr: address, configured: true}
		}
	}
	for address, c := range v.contacts { // any order: each by itself
		if c.configured && !configured[address] {
			v.removeContact(address, c)
		}
	}
	v.cfg.Peers = addresses
}

// removeContact removes an address that is not configured any more.
func (v *View) removeContact(address string, c *contact) {
	delete(v.contacts, address)
	if m := v.members[c.name]; m != nil && m.Addr == address {
		m.Addr, m.Configured = "", false
	}
}

// forgetLeft drops members that left long ago.
func (v *View) forgetLeft() {
	for name, m := range v.members { // any order: each by itself
		if m.State != Left || m == v.self || v.now <= m.Since+leftRetention {
			continue
		}
		delete(v.members, name)
		if c := v.contacts[m.Addr]; c != nil && !c.configured {
			delete(v.contacts, m.Addr)
		}
	}
}

// Members returns the members by name, this router included.
func (v *View) Members() []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// countAlive returns the number of members that are alive, this router included.
func (v *View) countAlive() int {
	count := 0
	for _, m := range v.members { // any order: a count
		if m.State.IsAlive() {
			count++
		}
	}
	return count
}
