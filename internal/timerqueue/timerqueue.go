// Package timerqueue multiplexes many deadlines onto one timer of a machine. Nearly all entries are removed before they expire,
// such as the deadline of a request or of an attempt. The entries form a binary heap (Williams), and each entry stores its
// position in the heap, so that any entry can be removed in O(log n). Adding an entry requires no separate allocation, because the
// entry is embedded in the record that it belongs to.
//
// The machine's timer is set for the earliest entry. When that entry is removed, the timer remains set and fires once without
// any entry due, which costs less than resetting the timer at each removal. All calls must be made in the machine's event loop.
package timerqueue

import "starlingwinch/internal/machine"

// Time is an instant in microseconds on the machine's clock.
type Time = machine.Time

// Owner is the record that an Entry belongs to.
type Owner interface {
	// Expired is called when the entry expires. The entry is no longer set then, and may be added again.
	Expired()
}

// Entry is a deadline in a Queue. It is embedded in its Owner; the zero value is not set.
type Entry struct {
	owner    Owner  // nil while the entry is not set
	at       Time   // expiry time
	sequence uint64 // order of addition: entries with equal times expire in this order
	position int    // position in the heap, from 1; 0 while the entry is not set
}

// IsSet reports whether the entry is in a queue: the entry was added, and has neither expired nor been removed.
func (e *Entry) IsSet() bool { return e.position > 0 }

// Queue holds the entries that share one timer of a machine. Use New to create one.
type Queue struct {
	machine      machine.Machine
	heap         []*Entry      // children of the entry at position i are at 2i and 2i+1
	nextSequence uint64        // number of entries ever added
	timer        machine.Timer // nil while no timer is set
	timerAt      Time          // time for which timer is set
	expiring     bool          // expireDue is running, which sets the timer when it ends
}

// New returns an empty queue.
func New(m machine.Machine) *Queue { return &Queue{machine: m} }

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.heap) }

// Add adds an entry that expires at the given time. The entry must not be set. If the time is in the past, the entry expires in a
// later turn of the event loop.
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

// Remove removes an entry and clears its reference to the owner. It does nothing if the entry is not set.
func (q *Queue) Remove(e *Entry) {
	if e.position > 0 {
		q.removeFromHeap(e)
	}
}

// Close removes all entries and stops the timer.
func (q *Queue) Close() {
	for len(q.heap) > 0 {
		q.removeFromHeap(q.heap[len(q.heap)-1])
	}
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
}

// armTimer sets the timer for the first entry, unless the timer is already set for that time or earlier.
func (q *Queue) armTimer() {
	if len(q.heap) == 0 || q.expiring {
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
	q.timer = q.machine.At(at, q.expireDue)
}

// expireDue expires the entries that are due. Entries that are added while it runs wait for a later turn of the event loop: an
// entry that is added again for the current time would otherwise keep the turn from ending.
func (q *Queue) expireDue() {
	q.timer, q.expiring = nil, true
	now, firstNew := q.machine.Now(), q.nextSequence
	for len(q.heap) > 0 && q.heap[0].at <= now && q.heap[0].sequence < firstNew {
		e := q.heap[0]
		owner := e.owner
		q.removeFromHeap(e)
		owner.Expired()
	}
	q.expiring = false
	q.armTimer()
}

// removeFromHeap removes an entry from the heap and unsets it.
func (q *Queue) removeFromHeap(e *Entry) {
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

// before reports whether the entry at position i expires before the entry at position j.
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

// moveUp moves the entry at position i towards the root until its parent expires before it.
func (q *Queue) moveUp(i int) {
	for ; i > 1 && q.before(i, i/2); i /= 2 {
		q.swap(i, i/2)
	}
}

// moveDown moves the entry at position i away from the root until it expires before its children.
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
