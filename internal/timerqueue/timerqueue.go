// Package timerqueue keeps many times at which something is due on one timer of a machine. Nearly all of
// them are taken back before they come: the deadline of a request, an attempt's end. Such a time costs
// a place in a heap here (Williams' binary heap, with the position kept in the entry so that any of
// them can be taken out in O(log n)), and nothing that the collector has to look for: the entry is
// part of what it belongs to.
//
// The machine's timer is set for the earliest time there was when it was set, and stays as it is when
// that one is taken back: it then fires in vain once, which costs less than setting it anew each time.
//
// All calls are made in the machine's loop.
package timerqueue

import "starlingwinch/internal/machine"

// Time is an instant in microseconds, as the machine has it.
type Time = machine.Time

// Owner is what an alarm belongs to.
type Owner interface {
	// Expired is called once the time has come. The alarm is out by then and may be set again.
	Expired()
}

// Entry is one time. It is part of its owner's record; the zero value is out.
type Entry struct {
	owner Owner
	at    Time
	nr    uint64 // at one instant, those set first fire first
	place int    // in the heap, from 1; 0 while it is out
}

// IsSet reports whether the alarm is set: it has not fired and was not taken back.
func (a *Entry) IsSet() bool { return a.place > 0 }

// Queue holds the alarms of one machine. Use New.
type Queue struct {
	m     machine.Machine
	heap  []*Entry
	set   uint64        // how many were ever set
	timer machine.Timer // nil where none is set
	at    Time          // what it is set for
	rings bool          // alarms are being fired: the timer is set when that is done
}

// New returns a clock without alarms.
func New(m machine.Machine) *Queue { return &Queue{m: m} }

// Len is how many alarms are set.
func (c *Queue) Len() int { return len(c.heap) }

// Add sets an alarm, which is out, for a time; one that has passed comes in a later turn of the loop.
func (c *Queue) Add(a *Entry, at Time, owner Owner) {
	a.owner, a.at, a.nr = owner, max(at, c.m.Now()), c.set
	c.set++
	c.heap = append(c.heap, a)
	a.place = len(c.heap)
	c.up(a.place)
	if a.place == 1 {
		c.arm()
	}
}

// Remove takes an alarm back; one that is out already stays out. It holds nothing from then on.
func (c *Queue) Remove(a *Entry) {
	if a.place > 0 {
		c.take(a)
	}
}

// arm sets the timer for the first alarm, unless it is set for an earlier time.
func (c *Queue) arm() {
	if len(c.heap) == 0 || c.rings {
		return
	}
	at := c.heap[0].at
	if c.timer != nil {
		if c.at <= at {
			return
		}
		c.timer.Stop()
	}
	c.at = at
	c.timer = c.m.At(at, c.ring)
}

// ring fires the alarms that are due. Those that are set meanwhile wait for another turn of the loop. The danger: one
// that sets itself anew for now holds up the loop for ever.
func (c *Queue) ring() {
	c.timer, c.rings = nil, true
	now, set := c.m.Now(), c.set
	for len(c.heap) > 0 && c.heap[0].at <= now && c.heap[0].nr < set {
		a := c.heap[0]
		owner := a.owner
		c.take(a)
		owner.Expired()
	}
	c.rings = false
	c.arm()
}

// Close takes all alarms back.
func (c *Queue) Close() {
	for len(c.heap) > 0 {
		c.take(c.heap[len(c.heap)-1])
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// take takes an alarm out of the heap.
func (c *Queue) take(a *Entry) {
	i, last := a.place, len(c.heap)
	c.swap(i, last)
	c.heap[last-1] = nil
	c.heap = c.heap[:last-1]
	if i < last {
		c.down(i)
		c.up(i)
	}
	a.owner, a.place = nil, 0
}

func (c *Queue) before(i, j int) bool {
	a, b := c.heap[i-1], c.heap[j-1]
	return a.at < b.at || a.at == b.at && a.nr < b.nr
}

func (c *Queue) swap(i, j int) {
	h := c.heap
	h[i-1], h[j-1] = h[j-1], h[i-1]
	h[i-1].place, h[j-1].place = i, j
}

func (c *Queue) up(i int) {
	for ; i > 1 && c.before(i, i/2); i /= 2 {
		c.swap(i, i/2)
	}
}

func (c *Queue) down(i int) {
	for {
		least := i
		for child := 2 * i; child <= 2*i+1 && child <= len(c.heap); child++ {
			if c.before(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		c.swap(i, least)
		i = least
	}
}
