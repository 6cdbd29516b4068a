// How a member that does not answer becomes one that is held to be gone.

package gossip

import (
	"math"
	"slices"
)

// suspects are those under suspicion, by name, so that equal events give equal actions.
func (f *View) suspects() (names []string) {
	for name, m := range f.members {
		if m.State == Suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Suspicion.

// suspect holds a member under suspicion, by its own doubt or another one's.
func (f *View) suspect(m *member, by string) {
	if m == f.self || !m.State.IsAlive() {
		return
	}
	if m.State != Suspect {
		m.suspectBy, m.suspected, m.confirmed = m.suspectBy[:0], f.now, 0
		f.state(m, Suspect)
		f.logf("fleet: %s is suspected, by %s", m.Name, by)
	}
	if slices.Contains(m.suspectBy, by) || len(m.suspectBy) > confirms {
		return
	}
	m.suspectBy = append(m.suspectBy, by)
	f.news = slices.DeleteFunc(f.news, func(e *entry) bool { return e.rumour.name == m.Name && e.rumour.by == "" })
	f.spreadAs(m, by)
	f.tell(m)
}

// tell lets a member know that it is accused, so that it can refute that (Lifeguard, IV-C).
func (f *View) tell(m *member) {
	if f.cfg.Plain || m.Addr == "" || m.toldAt > 0 && f.now < m.toldAt+f.cfg.Interval/2 || len(f.probes) >= mostProbes {
		return
	}
	m.toldAt = f.now
	// Some look for themselves, so that a suspicion is soon confirmed, or not; few, whatever the fleet's size.
	look := f.rng.Float64() < lookers/float64(len(f.members))
	f.probe(m.Name, m.Addr, !look)
}

// suspicionEnds is when a suspicion ends, if nobody refutes it: the more routers suspect a member by themselves, the
// sooner (Lifeguard, IV-B).
func (f *View) suspicionEnds(m *member) Time {
	n := math.Max(1, math.Log10(float64(len(f.names))+1))
	least := float64(f.cfg.Suspicion) * n * float64(f.cfg.Interval)
	if f.cfg.Plain {
		return m.suspected + Time(least)
	}
	most := longer * least
	// Where nobody is left who could confirm it, nobody does: a router that is cut off is soon done.
	c := float64(max(0, len(m.suspectBy)-1, confirms-f.unsuspected()))
	span := max(least, most-(most-least)*math.Log(c+1)/math.Log(confirms+1))
	ends := m.suspected + Time(span)
	if f.cfg.Defect == NoTimeout {
		return math.MaxInt64 / 4
	}
	if m.confirmed > 0 {
		ends = min(ends, m.confirmed)
	}
	return ends
}

// unsuspected is how many others are here and under no suspicion, up to what it takes to confirm one.
func (f *View) unsuspected() (n int) {
	for _, m := range f.members { // any order: a count
		if n += b2i(m != f.self && m.State.IsAlive() && m.State != Suspect); n == confirms {
			break
		}
	}
	return n
}

// condemn ends a suspicion that nobody has refuted.
func (f *View) condemn(m *member) {
	by := slices.Clone(m.suspectBy)
	if m.base == Leaving {
		f.state(m, Left)
		f.logf("fleet: %s has left", m.Name)
	} else {
		f.counts.Accused++
		f.state(m, Faulty)
		f.logf("fleet: %s is held faulty, suspected by %v for %.1f s", m.Name, by, float64(f.now-m.suspected)/1e6)
	}
	if c := f.contact[m.Addr]; c != nil {
		c.wait, c.next = 0, f.now+askFirst
	}
	f.spread(m)
}
