// What is known of each member, and what this one says of itself.

package gossip

import (
	"slices"

	"starlingwinch/internal/rendezvous"
)

// member is what this router knows of another one, and of itself.
type member struct {
	Member
	boot      uint32
	rev       uint64 // of Info
	base      State  // Alive or Leaving: what it is where nobody suspects it
	told      string // the address that it names itself
	seen      window
	suspectBy []string
	suspected Time
	confirmed Time // when the suspicion ends that is confirmed already by a claim that it is faulty
	toldAt    Time // when it was last told that it is accused
	unsettled Time // when it said so, or another digest, if it did so last
}

// contact is an address that this router may talk to.
type contact struct {
	addr       string
	name       string // who answered there last
	configured bool
	next, wait Time // when it is asked next, where it is not that of a member that is here
}

// state changes what a member is held to be, and the digest with it.
func (f *View) state(m *member, s State) {
	f.digest ^= m.print()
	was := m.State
	if m.State = s; s == Alive || s == Leaving {
		m.base = s
	}
	m.Since = f.now
	f.digest ^= m.print()
	if was.IsAlive() != s.IsAlive() || (was == Left) != (s == Left) {
		f.touched = true
		f.do(Changed{})
	} else if was != s && s != Suspect && was != Suspect {
		f.do(Changed{})
	}
}

// print is a member's part in the digest of the view. Suspicion is no part of it: it comes and goes at each router by
// itself. One that has left is not either: each router forgets it in its own time.
func (m *member) print() uint64 {
	s := m.State
	switch s {
	case Left:
		return 0
	case Suspect:
		s = m.base
	}
	return rendezvous.Mix(rendezvous.Hash(m.Name) ^ rendezvous.Mix(m.Incarnation*8+uint64(s)) ^ uint64(m.boot)<<17)
}

// adopt takes over a newer life or a refutation of a member: what it says of itself.
func (f *View) adopt(m *member, incarnation uint64, boot uint32, s State) {
	f.digest ^= m.print()
	old := m.State
	if m.boot != boot {
		m.boot, m.rev, m.seen = boot, 0, window{}
	}
	m.Incarnation = incarnation
	f.digest ^= m.print()
	m.suspectBy, m.confirmed = m.suspectBy[:0], 0
	f.state(m, s)
	f.touched = f.touched || old != s
	switch {
	case old == Suspect:
		f.logf("fleet: %s refutes that it is gone", m.Name)
	case old != s:
		f.logf("fleet: %s is %s (it was %s)", m.Name, s, old)
	}
	f.spread(m)
}

// refute contradicts a claim on this router.
func (f *View) refute(claimed uint64) {
	f.counts.Refuted++
	f.health = min(mostHealth, f.health+b2i(!f.cfg.Plain))
	if f.cfg.Defect == NotRaised {
		return
	}
	f.raise(claimed + 1)
}

// raise gives this router a higher incarnation.
func (f *View) raise(to uint64) {
	f.digest ^= f.self.print()
	f.self.Incarnation = max(f.self.Incarnation+1, to)
	f.digest ^= f.self.print()
	f.touched = true
	f.spread(f.self)
}

func (f *View) leave(gone bool) {
	if f.gone {
		return
	}
	if f.self.State != Leaving {
		f.state(f.self, Leaving)
		f.raise(0)
	}
	if gone {
		f.digest ^= f.self.print()
		f.self.Incarnation++
		f.digest ^= f.self.print()
		f.state(f.self, Left)
		f.spread(f.self)
		f.gone = true
	}
	// Nobody may ask this router any more before it has said so.
	for range helpers {
		if m := f.any(""); m != nil {
			f.send(m.Addr, datagram{header: header{kind: ping}, nonce: f.nonce()}, nil, MaxDatagramBytes)
		}
	}
}

// peers takes over changed addresses.
func (f *View) peers(addrs []string) {
	keep := map[string]bool{}
	for _, a := range append(slices.Clone(addrs), f.cfg.Seeds...) {
		if len(keep) < MaxMembers {
			keep[a] = true
		}
		if c := f.contact[a]; c != nil {
			c.configured = true
		} else if len(f.contact) < MaxMembers {
			f.contact[a] = &contact{addr: a, configured: true}
		}
	}
	for a, c := range f.contact { // any order: each by itself
		if c.configured && !keep[a] {
			delete(f.contact, a)
			if m := f.members[c.name]; m != nil && m.Addr == a {
				m.Addr, m.Configured = "", false
			}
		}
	}
	f.cfg.Peers = addrs
}

// forgotten drops members that left long ago. Until then they stand for the incarnation that they had: an old claim
// that they are here is not believed.
func (f *View) forgotten() {
	for name, m := range f.members { // any order: each by itself
		if m.State == Left && m != f.self && f.now > m.Since+forget {
			delete(f.members, name)
			if c := f.contact[m.Addr]; c != nil && !c.configured {
				delete(f.contact, m.Addr)
			}
		}
	}
}

// Members lists the view, by name, itself included.
func (f *View) Members() []Member {
	list := make([]Member, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// Settled reports whether all members that are held to be here have said the digest of this view, since when that is
// or is not so, and the digest.
func (f *View) Settled() (settled bool, since Time, digest uint64) {
	return f.settled, f.changed, f.digest
}
