package sim

import "math/rand/v2"

// Link connects the hosts of one zone to those of another, in that direction. Its fields may be set at any time and hold for
// what is sent from then on. Probabilities run from 0 to 1.
type Link struct {
	Latency Time
	Jitter  Time    // the largest random addition to the latency
	Factor  float64 // multiplies the latency; 0 stands for 1
	Extra   Time    // added to that
	Split   float64 // probability that a write arrives in two pieces

	Loss   float64 // probability that a datagram is lost
	Twice  float64 // probability that it arrives twice
	Late   float64 // probability that it is delayed by up to LateBy
	LateBy Time

	cut  bool
	held []*event // pieces of connections that were sent into the cut, in order
	rand *rand.Rand
}

// delay draws the time of one transmission.
func (l *Link) delay() Time {
	d := l.Latency
	if l.Factor != 0 {
		d = Time(float64(d) * l.Factor)
	}
	d += l.Extra
	if l.Jitter > 0 {
		d += l.rand.Int64N(l.Jitter + 1)
	}
	return d
}

// chance draws whether something of that likelihood happens.
func (l *Link) chance(p float64) bool {
	return p > 0 && l.rand.Float64() < p
}

// zone is a data centre.
type zone struct {
	name  string
	links map[string]*Link // to the other zones
}

// zone returns the zone of that name.
func (w *World) zone(name string) *zone {
	z := w.zones[name]
	if z == nil {
		z = &zone{name, map[string]*Link{}}
		w.zones[name] = z
	}
	return z
}

// Link returns the link from one zone to another.
func (w *World) Link(from, to string) *Link {
	z := w.zone(from)
	l := z.links[to]
	if l == nil {
		l = new(Link)
		*l = w.Far
		if from == to {
			*l = w.Near
		}
		l.rand = w.Rand("link " + from + " " + to)
		z.links[to] = l
	}
	return l
}

// Slow makes the link from one zone to another slower: factor times the latency, and extra.
// Slow(from, to, 1, 0) ends it.
func (w *World) Slow(from, to string, factor float64, extra Time) {
	l := w.Link(from, to)
	l.Factor, l.Extra = factor, extra
}

// Cut interrupts the link from one zone to another, in this direction alone: what connections send waits for the Heal, new
// connections are not established, and datagrams are lost.
func (w *World) Cut(from, to string) { w.Link(from, to).cut = true }

// Heal ends a Cut. What was held back arrives in order, a latency later.
func (w *World) Heal(from, to string) {
	l := w.Link(from, to)
	l.cut = false
	held := l.held
	l.held = nil
	for _, ev := range held {
		sender := ev.conn.peer
		if w.SilentAfter > 0 && w.now-ev.heldAt > w.SilentAfter {
			sender.forget(true)
		}
		sender.delayedUntil = max(sender.delayedUntil, w.now+l.delay())
		w.schedule(ev, sender.delayedUntil, ev.lane)
	}
}

// holdBack reports whether a piece of a connection is held back, by a cut or behind a piece that is.
func (w *World) holdBack(ev *event) bool {
	sender := ev.conn.peer
	if sender.lastPiece == ev {
		sender.lastPiece = nil
	}
	l := sender.link
	if l.cut {
		if !ev.heldBack {
			ev.heldBack = true
			ev.heldAt = w.now
			sender.delayedPieces++
		}
		l.held = append(l.held, ev)
		return true
	}
	if ev.heldBack {
		sender.delayedPieces--
		return false
	}
	if sender.delayedPieces == 0 {
		return false
	}
	// Pieces sent after the heal must not overtake those that the cut had held back.
	ev.heldBack = true
	ev.heldAt = w.now
	sender.delayedPieces++
	sender.delayedUntil = max(sender.delayedUntil, w.now)
	w.schedule(ev, sender.delayedUntil, ev.lane)
	return true
}

// IsCut reports whether the link from one zone to another is cut.
func (w *World) IsCut(from, to string) bool {
	z := w.zones[from]
	return z != nil && z.links[to] != nil && z.links[to].cut
}
