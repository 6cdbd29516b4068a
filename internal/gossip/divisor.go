package gossip

// Divisor says by how many routers the traffic that all of them together may send is divided: to a cache that is warming up,
// over a cache's connections, to the origin. A divisor that is too large leaves capacity unused; one that is too small
// overloads a cache. It is called at each change of the view, and performs no I/O.
type Divisor struct {
	// Min is the smallest divisor: the settings' instances, unless operators set another one.
	Min int
	// Hold is for how long a view has to be settled before faulty routers are not counted any more. Raising it leaves capacity
	// unused for longer after a failure; lowering it risks overload where the failure was none.
	Hold Time
	// Greedy plants a defect: a minority does not count the others.
	Greedy bool

	lastMajority map[string]bool // the last settled view with more than half of the one before, without members that left
}

// Membership is what a divisor needs to know of a view.
type Membership struct {
	Alive   []string // names of members that are alive, this router included
	Left    []string // names of members that announced that they leave, and left
	Settled bool
	For     Time // for which the view has been settled, or unsettled
}

// Divisor returns the divisor of a membership.
//
// It grows at once by members that join, and shrinks at once by members that left, as they send nothing more. By faulty
// members it shrinks only after the hold, and only while more than half of the last such view is alive. In a partition each
// side takes the other one for faulty: if both sides divided by their own number, a cache would get twice its capacity.
// Members that joined since do not count for either side, as with them both could be more than half.
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
	if d.confirms(s, stayed) {
		d.lastMajority = map[string]bool{}
		for _, name := range s.Alive {
			d.lastMajority[name] = true
		}
		return max(len(s.Alive), d.Min, 1)
	}
	return max(len(d.lastMajority)+joined, d.Min, 1)
}

// confirms reports whether a membership replaces the last majority, of which so many members are alive.
func (d *Divisor) confirms(s Membership, stayed int) bool {
	if !s.Settled {
		return false
	}
	if len(d.lastMajority) == 0 {
		return true
	}
	return s.For >= d.Hold && (2*stayed > len(d.lastMajority) || d.Greedy)
}

// Membership returns what a divisor needs to know of the view.
func (v *View) Membership() Membership {
	s := Membership{Settled: v.agreement.settled, For: v.now - v.agreement.settledChangedAt}
	for name, m := range v.members { // any order: sets
		switch {
		case m.State.IsAlive():
			s.Alive = append(s.Alive, name)
		case m.State == Left:
			s.Left = append(s.Left, name)
		}
	}
	return s
}
