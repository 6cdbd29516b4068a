package gossip

import (
	"log/slog"
	"slices"
	"strings"

	"starlingwinch/internal/rendezvous"
)

const (
	// leftRetention is how long a view keeps a member that left, so that the member's incarnation rejects old claims that the
	// member is alive.
	leftRetention Time = 600_000_000
	// leaveNotices is the number of pings that a router sends to random members when it leaves.
	leaveNotices = 3
)

// member is this router's record of a member, or of itself.
type member struct {
	Member
	boot           uint32 // random number of the member's process, as announced
	revision       uint64 // revision of Info; increases with each change within one process; 0 if Info is unknown
	announcedState State  // Alive or Leaving: the state that the member announced
	announcedAddr  string // address that the member announced
	replays        replayWindow
	suspicion      suspicion // valid only while the member is suspect
	notifiedAt     Time      // when the member was last notified that it is suspect or faulty
	unsettledAt    Time      // when the member last announced an unsettled view or another digest; 0 if it has agreed since
}

// contact is an address that this router may send to.
type contact struct {
	addr       string
	name       string // name of the member last seen at addr or announced with it; empty if unknown
	configured bool
	pollAt     Time // time of the next poll, while no member is alive at addr
	pollDelay  Time // delay before pollAt, without its random part; doubles with each poll
}

// setState sets a member's state and updates the view's digest.
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
		v.addAction(Changed{})
	} else if before != s && s != Suspect && before != Suspect {
		v.addAction(Changed{})
	}
}

// digest returns a member's contribution to the digest of a view. A suspect contributes the state that it announced, because
// suspicions begin and end at each router independently. A member that left contributes nothing, because each router removes the
// member at a different time. The factor 8 of the incarnation leaves room for the State.
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

// setIncarnation sets a member's incarnation and updates the view's digest.
func (v *View) setIncarnation(m *member, incarnation uint64) {
	v.agreement.digest ^= m.digest()
	m.Incarnation = incarnation
	v.agreement.digest ^= m.digest()
}

// addMember adds an unknown member. It returns nil if the view is full.
func (v *View) addMember(name string, incarnation uint64, boot uint32, s State) *member {
	if len(v.members) >= MaxMembers {
		v.counts.OutOfRange++
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
	v.addAction(Changed{})
	v.log(slog.LevelInfo, "gossip member added",
		slog.String("member", name), slog.String("state", s.String()), slog.Uint64("incarnation", incarnation))
	return m
}

// adopt applies a newer incarnation or process of a member, with the state that the member announced.
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

// refute refutes a claim about this router by announcing an incarnation above the claimed one.
func (v *View) refute(claimed uint64) {
	v.counts.Refuted++
	if !v.cfg.PlainSWIM {
		v.addAwareness(1)
	}
	if v.cfg.Defect == IncarnationNotRaised {
		return
	}
	v.raiseIncarnation(claimed + 1)
}

// raiseIncarnation raises this router's incarnation by at least one and at least to the given number.
func (v *View) raiseIncarnation(to uint64) {
	v.setIncarnation(v.self, max(v.self.Incarnation+1, to))
	v.agreement.namesStale = true
	v.broadcast(v.self)
}

// leave announces that this router drains, or that it has ended.
func (v *View) leave(ended bool) {
	if v.ended {
		return
	}
	if v.self.State != Leaving {
		v.setState(v.self, Leaving)
		v.raiseIncarnation(0)
	}
	if ended {
		v.setIncarnation(v.self, v.self.Incarnation+1)
		v.setState(v.self, Left)
		v.broadcast(v.self)
		v.ended = true
	}
	// Some members are notified at once, because no router probes a router that has ended.
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
	for address, c := range v.contacts { // any order: contacts are independent
		if c.configured && !configured[address] {
			v.removeContact(address, c)
		}
	}
	v.cfg.Peers = addresses
}

// removeContact removes an address that is no longer configured. If the member last seen or announced there is still reached at
// this address, the member's address is removed too.
func (v *View) removeContact(address string, c *contact) {
	delete(v.contacts, address)
	if m := v.members[c.name]; m != nil && m.Addr == address {
		m.Addr, m.Configured = "", false
	}
}

// pruneLeft removes members that left more than leftRetention ago.
func (v *View) pruneLeft() {
	for name, m := range v.members { // any order: members are independent
		if m.State != Left || m == v.self || v.now <= m.Since+leftRetention {
			continue
		}
		delete(v.members, name)
		if c := v.contacts[m.Addr]; c != nil && !c.configured {
			delete(v.contacts, m.Addr)
		}
	}
}

// Members returns the members sorted by name, this router included.
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
