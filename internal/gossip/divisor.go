package gossip

// Divisor computes the number of routers by which a shared traffic limit is divided: the limits on traffic to a cache that is
// warming up, on a cache's connections, and on traffic to the origin. A divisor that is too large leaves capacity unused; a
// divisor that is too small overloads a cache. The caller calls Divisor after each change of the view. Divisor performs no I/O.
type Divisor struct {
	// Min is the minimum divisor: the number of instances in the settings, unless operators configure another one.
	Min int
	// Hold is how long a view must have been settled before the divisor excludes faulty routers. A longer hold leaves capacity
	// unused for longer after a failure; a shorter one risks overload if the routers had not failed.
	Hold Time
	// IgnoreMajority injects a defect: a minority excludes the other routers.
	IgnoreMajority bool

	// lastMajority holds the names of the last settled view that had more than half of its predecessor's members, without
	// members that left since.
	lastMajority map[string]bool
}

// Membership is the part of a view that a Divisor needs.
type Membership struct {
	Alive      []string // names of the members that are alive, this router included
	Left       []string // names of the members that announced that they leave, and left
	Settled    bool
	SettledFor Time // time since Settled last changed
}

// Divisor returns the divisor of a membership.
//
// The divisor grows at once when members join, and shrinks at once when members leave, because a member that left sends nothing
// more. Faulty members reduce the divisor only after the hold, and only while more than half of the last majority is alive. In a
// partition each side considers the other faulty: if both sides divided by their own number of members, a cache would get twice
// its capacity. Members that joined since the last majority count for neither side, because with them both sides could have
// more than half.
func (d *Divisor) Divisor(s Membership) int {
	for _, name := range s.Left {
		delete(d.lastMajority, name)
	}
	stayed, joined := 0, 0
	for _, name := range s.Alive {
		if d.lastMajority[name] {
			stayed++
		} else {
			joined++
		}
	}
	if d.replacesMajority(s, stayed) {
		d.lastMajority = map[string]bool{}
		for _, name := range s.Alive {
			d.lastMajority[name] = true
		}
		return max(len(s.Alive), d.Min, 1)
	}
	return max(len(d.lastMajority)+joined, d.Min, 1)
}

// replacesMajority reports whether a membership replaces the last majority. stayed is the number of members of the last majority
// that are alive.
func (d *Divisor) replacesMajority(s Membership, stayed int) bool {
	if !s.Settled {
		return false
	}
	if len(d.lastMajority) == 0 {
		return true
	}
	return s.SettledFor >= d.Hold && (2*stayed > len(d.lastMajority) || d.IgnoreMajority)
}

// Membership returns the part of the view that a Divisor needs.
func (v *View) Membership() Membership {
	s := Membership{Settled: v.agreement.settled, SettledFor: v.now - v.agreement.settledChangedAt}
	for name, m := range v.members { // any order: the names are used as sets
		switch {
		case m.State.IsAlive():
			s.Alive = append(s.Alive, name)
		case m.State == Left:
			s.Left = append(s.Left, name)
		}
	}
	return s
}
