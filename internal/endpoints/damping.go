package endpoints

import (
	"container/heap"
	"math"
)

// Damping are the parameters of flap damping (RFC 2439, 4.2). Each flap adds Penalty to the penalty of an endpoint, which
// halves with every HalfLife. Above Suppress, the endpoint is suppressed until its penalty has decayed to Reuse: it may drain
// or leave, but is not published as serving. A penalty is capped where the decay to Reuse takes MaxSuppress.
type Damping struct {
	Penalty     float64 // of one flap
	Suppress    float64 // penalty above which an endpoint is suppressed
	Reuse       float64 // penalty at which a suppression ends
	HalfLife    Time    // in which a penalty halves
	MaxSuppress Time    // of one suppression
}

// DefaultDamping suppresses an endpoint from its third flap in quick succession on, for 15 s at first and a minute at most.
// One restart is one flap. The fleet is small, so that a suppression of a quarter of an hour, as in RFC 2439, would cost
// more than the keys that move.
func DefaultDamping() Damping {
	return Damping{Penalty: 1000, Suppress: 2000, Reuse: 1000, HalfLife: 10_000_000, MaxSuppress: 60_000_000}
}

// maxPenalty is the cap of a penalty: from there, the decay to Reuse takes MaxSuppress.
func (d *Damping) maxPenalty() float64 {
	return d.Reuse * math.Exp2(float64(d.MaxSuppress)/float64(d.HalfLife))
}

// decayed is what is left of a penalty after a time.
func (d *Damping) decayed(penalty float64, elapsed Time) float64 {
	if penalty == 0 {
		return 0
	}
	return penalty * math.Exp2(-float64(elapsed)/float64(d.HalfLife))
}

// suppressionFor is how long the decay of a penalty to Reuse takes.
func (d *Damping) suppressionFor(penalty float64) Time {
	return min(d.MaxSuppress, Time(math.Ceil(float64(d.HalfLife)*math.Log2(penalty/d.Reuse))))
}

// flapHistory is the flap damping of one endpoint.
type flapHistory struct {
	penalty         float64 // as of lastFlap
	lastFlap        Time
	count           int  // flaps since the endpoint was last stable
	suppressedUntil Time // 0 where it never was
	queueIndex      int  // in the suppressionQueue; notQueued where it is not suppressed
}

const notQueued = -1

func (f *flapHistory) isSuppressed(now Time) bool { return f.suppressedUntil > now }

// add counts a flap, and reports whether the endpoint is to be suppressed from now on. A flap during a suppression extends
// that, also with a penalty below Suppress (RFC 2439, 4.8.3).
func (f *flapHistory) add(d *Damping, now Time) bool {
	left := d.decayed(f.penalty, now-f.lastFlap)
	if left < d.Reuse/2 {
		f.count = 0 // it was stable for long
	}
	f.count++
	f.penalty, f.lastFlap = min(left+d.Penalty, d.maxPenalty()), now
	if f.penalty <= d.Suppress && !f.isSuppressed(now) {
		return false
	}
	f.suppressedUntil = max(f.suppressedUntil, now+d.suppressionFor(f.penalty))
	return true
}

// recordFlap counts a flap of an endpoint, and suppresses it where there were too many.
func (m *Merger) recordFlap(e *endpoint) {
	if !e.flaps.add(&m.options.Damping, m.now) {
		return
	}
	if e.flaps.queueIndex == notQueued {
		heap.Push(&m.suppressed, e)
	} else {
		heap.Fix(&m.suppressed, e.flaps.queueIndex)
	}
}

// endSuppressions has the endpoints merged anew whose suppression is over.
func (m *Merger) endSuppressions() {
	for len(m.suppressed) > 0 && m.suppressed[0].flaps.suppressedUntil <= m.now {
		m.markDirty(heap.Pop(&m.suppressed).(*endpoint))
	}
}

// suppressionQueue is a heap of the suppressed endpoints; the one whose suppression ends first comes first.
type suppressionQueue []*endpoint

// Len implements heap.Interface.
func (q suppressionQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q suppressionQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.flaps.suppressedUntil != b.flaps.suppressedUntil {
		return a.flaps.suppressedUntil < b.flaps.suppressedUntil
	}
	return a.id < b.id
}

// Swap implements heap.Interface.
func (q suppressionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].flaps.queueIndex, q[j].flaps.queueIndex = i, j
}

// Push implements heap.Interface.
func (q *suppressionQueue) Push(x any) {
	e := x.(*endpoint)
	e.flaps.queueIndex = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *suppressionQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	e.flaps.queueIndex = notQueued
	return e
}
