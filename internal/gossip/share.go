package gossip

// Shares. What all routers together may take of a cold cache, of a cache's connections and of the store is divided by
// the routers that there are. A divisor that is too large wastes; one that is too small pushes a cache over.

// Divisor follows by how many routers what all may take is divided. It is told the view at each change, and is free of
// I/O as the view is.
type Divisor struct {
	Min  int  // to divide by at least: the settings' instances, unless an operator says otherwise
	Hold Time // for which a view has to stay settled before routers that are held faulty are divided by no more
	// Greedy is a planted defect: a minority takes all.
	Greedy bool
	last   map[string]bool // the last settled view that held more than half of the one before, without those that left
}

// Membership is what of a view counts for shares.
type Membership struct {
	Alive   []string // held to be here, this router included
	Left    []string // said that they leave, and went
	Settled bool     // all that are here hold the same
	For     Time     // for which that has been so
}

// Divisor is the divisor, given what is seen now.
//
// It grows at once with those that join. It shrinks at once by those that said that they leave, as they take nothing
// more. For those that are held faulty it shrinks only where more than half of the last settled view is here, and after
// the hold. The danger: in a partition each half takes the other for dead, both take all, and a cache gets twice what
// it bears; a half never is more than half, and of two parts one alone can be. Those that have joined since count for
// neither: with one more on each side both halves would be more than half.
func (d *Divisor) Divisor(s Membership) int {
	for _, name := range s.Left {
		delete(d.last, name)
	}
	stay, joined := 0, 0
	for _, name := range s.Alive {
		if d.last[name] {
			stay++
		} else {
			joined++
		}
	}
	by := len(d.last) + joined
	if s.Settled && s.For >= d.Hold && (2*stay > len(d.last) || d.Greedy) || len(d.last) == 0 && s.Settled {
		d.last = map[string]bool{}
		for _, name := range s.Alive {
			d.last[name] = true
		}
		by = len(s.Alive)
	}
	return max(by, d.Min, 1)
}

// Membership sums up the view for shares.
func (f *View) Membership() Membership {
	s := Membership{Settled: f.settled, For: f.now - f.changed}
	for name, m := range f.members { // any order: sets
		switch {
		case m.State.IsAlive():
			s.Alive = append(s.Alive, name)
		case m.State == Left:
			s.Left = append(s.Left, name)
		}
	}
	return s
}
