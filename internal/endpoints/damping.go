package endpoints

import (
	"container/heap"
	"math"
)

// Damping holds the parameters of flap damping (RFC 2439, 4.2). Each flap adds Penalty to an endpoint's penalty, which halves
// every HalfLife. An endpoint whose penalty exceeds Suppress is suppressed until the penalty has decayed to Reuse: its drains
// and removals are published, but it is not published as serving. A penalty is capped at the value whose decay to Reuse takes
// MaxSuppress.
type Damping struct {
	Penalty     float64 // added by one flap
	Suppress    float64 // penalty above which an endpoint is suppressed
	Reuse       float64 // penalty at which a suppression ends
	HalfLife    Time    // time in which a penalty halves
	MaxSuppress Time    // longest time of one suppression
}

// DefaultDamping returns parameters that suppress an endpoint at its third flap in quick succession, for about 15 s at first
// and for at most a minute. One restart is one flap. The fleet is small, so a suppression of 15 minutes, as in RFC 2439, would
// cost more than the moved keys.
func DefaultDamping() Damping {
	return Damping{Penalty: 1000, Suppress: 2000, Reuse: 1000, HalfLife: 10_000_000, MaxSuppress: 60_000_000}
}

// maxPenalty returns the cap of a penalty, whose decay to Reuse takes MaxSuppress.
func (d *Damping) maxPenalty() float64 {
	return d.Reuse * math.Exp2(float64(d.MaxSuppress)/float64(d.HalfLife))
}

// decayed returns the rest of a penalty after the elapsed time.
func (d *Damping) decayed(penalty float64, elapsed Time) float64 {
	if penalty == 0 {
		return 0
	}
	return penalty * math.Exp2(-float64(elapsed)/float64(d.HalfLife))
}

// suppressionFor returns the time in which a penalty decays to Reuse, at most MaxSuppress.
func (d *Damping) suppressionFor(penalty float64) Time {
	return min(d.MaxSuppress, Time(math.Ceil(float64(d.HalfLife)*math.Log2(penalty/d.Reuse))))
}

// flapHistory is the state of flap damping for one endpoint.
type flapHistory struct {
	penalty         float64 // as of lastFlap
	lastFlap        Time
	count           int  // flaps since the endpoint was last stable
	suppressedUntil Time // 0 if the endpoint was never suppressed
	queueIndex      int  // in the suppressionQueue; notQueued if the endpoint is not suppressed
}

const notQueued = -1

func (f *flapHistory) isSuppressed(now Time) bool { return f.suppressedUntil > now }

// add counts a flap and reports whether the endpoint must be suppressed. A flap during a suppression extends the suppression
// even if the penalty is below Suppress (RFC 2439, 4.8.3).
func (f *flapHistory) add(d *Damping, now Time) bool {
	left := d.decayed(f.penalty, now-f.lastFlap)
	if left < d.Reuse/2 {
		f.count = 0 // the endpoint was stable long enough for its earlier flaps not to count
	}
	f.count++
	f.penalty, f.lastFlap = min(left+d.Penalty, d.maxPenalty()), now
	if f.penalty <= d.Suppress && !f.isSuppressed(now) {
		return false
	}
	f.suppressedUntil = max(f.suppressedUntil, now+d.suppressionFor(f.penalty))
	return true
}

// recordFlap counts a flap of an endpoint and suppresses the endpoint after too many flaps.
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

// endSuppressions schedules a new merge of each endpoint whose suppression has ended.
func (m *Merger) endSuppressions() {
	for len(m.suppressed) > 0 && m.suppressed[0].flaps.suppressedUntil <= m.now {
		m.markDirty(heap.Pop(&m.suppressed).(*endpoint))
	}
}

// suppressionQueue is a heap of the suppressed endpoints, ordered by the end of their suppression.
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
