// Package timerqueue keeps many times at which something is due on one timer of a machine. Nearly all of them are removed before
// they come: the deadline of a request, the end of an attempt. Such a time costs a place in a heap (Williams' binary heap, with
// the position kept in the entry so that any entry can be removed in O(log n)) and no allocation, as the entry is part of the
// record that it belongs to.
//
// The machine's timer is set for the earliest entry at that moment, and stays as it is when that entry is removed: it then fires
// in vain once, which costs less than setting it anew each time. All calls are made in the machine's loop.
package timerqueue

import "starlingwinch/internal/machine"

// Time is an instant in microseconds on the machine's clock.
type Time = machine.Time

// Owner is the record that an Entry belongs to.
type Owner interface {
	// Expired is called when the time has come. The entry is not set then, and may be added again.
	Expired()
}

// Entry is one time in a Queue. It is part of its Owner; the zero value is not set.
type Entry struct {
	owner    Owner  // nil while it is not set
	at       Time   // when it is due
	sequence uint64 // among entries of one time, those added first are due first
	position int    // in the heap, from 1; 0 while it is not set
}

// IsSet reports whether the entry is in a queue: it was added, and has neither expired nor been removed.
func (e *Entry) IsSet() bool { return e.position > 0 }

// Queue holds the entries of one machine. Use New.
type Queue struct {
	machine      machine.Machine
	heap         []*Entry      // children of the entry at position i are at 2i and 2i+1
	nextSequence uint64        // number of entries ever added
	timer        machine.Timer // nil while none is set
	timerAt      Time          // what timer is set for
	firing       bool          // set while entries expire: the timer is set after that
}

// New returns a queue without entries.
func New(m machine.Machine) *Queue { return &Queue{machine: m} }

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.heap) }

// Add adds an entry, which must not be set, for a time. One whose time is past expires in a later turn of the loop.
func (q *Queue) Add(e *Entry, at Time, owner Owner) {
	e.owner, e.at, e.sequence = owner, max(at, q.machine.Now()), q.nextSequence
	q.nextSequence++
	q.heap = append(q.heap, e)
	e.position = len(q.heap)
	q.moveUp(e.position)
	if e.position == 1 {
		q.armTimer()
	}
}

// Remove removes an entry, and does nothing if it is not set. The entry does not refer to its owner afterwards.
func (q *Queue) Remove(e *Entry) {
	if e.position > 0 {
		q.takeOut(e)
	}
}

// Close removes all entries.
func (q *Queue) Close() {
	for len(q.heap) > 0 {
		q.takeOut(q.heap[len(q.heap)-1])
	}
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
}

// armTimer sets the timer for the first entry, unless it is set for an earlier time.
func (q *Queue) armTimer() {
	if len(q.heap) == 0 || q.firing {
		return
	}
	at := q.heap[0].at
	if q.timer != nil {
		if q.timerAt <= at {
			return
		}
		q.timer.Stop()
	}
	q.timerAt = at
	q.timer = q.machine.At(at, q.fireDue)
}

// fireDue expires the entries that are due. Those that are added meanwhile wait for another turn of the loop: one that adds
// itself again for now would otherwise never let the turn end.
func (q *Queue) fireDue() {
	q.timer, q.firing = nil, true
	now, firstNew := q.machine.Now(), q.nextSequence
	for len(q.heap) > 0 && q.heap[0].at <= now && q.heap[0].sequence < firstNew {
		e := q.heap[0]
		owner := e.owner
		q.takeOut(e)
		owner.Expired()
	}
	q.firing = false
	q.armTimer()
}

// takeOut removes an entry from the heap.
func (q *Queue) takeOut(e *Entry) {
	i, last := e.position, len(q.heap)
	q.swap(i, last)
	q.heap[last-1] = nil
	q.heap = q.heap[:last-1]
	if i < last {
		q.moveDown(i)
		q.moveUp(i)
	}
	e.owner, e.position = nil, 0
}

// before reports whether the entry at position i is due before the one at position j.
func (q *Queue) before(i, j int) bool {
	a, b := q.heap[i-1], q.heap[j-1]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// swap exchanges the entries at two positions.
func (q *Queue) swap(i, j int) {
	heap := q.heap
	heap[i-1], heap[j-1] = heap[j-1], heap[i-1]
	heap[i-1].position, heap[j-1].position = i, j
}

// moveUp moves the entry at position i towards the root until its parent is due before it.
func (q *Queue) moveUp(i int) {
	for ; i > 1 && q.before(i, i/2); i /= 2 {
		q.swap(i, i/2)
	}
}

// moveDown moves the entry at position i away from the root until it is due before its children.
func (q *Queue) moveDown(i int) {
	for {
		first := i
		for child := 2 * i; child <= 2*i+1 && child <= len(q.heap); child++ {
			if q.before(child, first) {
				first = child
			}
		}
		if first == i {
			return
		}
		q.swap(i, first)
		i = first
	}
}
