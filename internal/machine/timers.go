package machine

// timers is a heap of timers, ordered by the time at which they are due and then by the order in which they were set.
type timers struct {
	heap     []*timer
	setCount uint64 // number of timers set so far
}

type timer struct {
	owner    *timers
	at       Time
	sequence uint64
	pos      int // index in the heap; negative once removed
	f        func()
}

func (ts *timers) add(at Time, f func()) *timer {
	t := &timer{owner: ts, at: at, sequence: ts.setCount, pos: len(ts.heap), f: f}
	ts.setCount++
	ts.heap = append(ts.heap, t)
	ts.up(t.pos)
	return t
}

// first returns the timer that is due next, or nil.
func (ts *timers) first() *timer {
	if len(ts.heap) == 0 {
		return nil
	}
	return ts.heap[0]
}

// Stop implements Timer.
func (t *timer) Stop() { t.remove() }

// remove removes the timer from the heap and returns its function, or nil if it was removed before. A removed timer references
// nothing, so that an owner that holds it retains no memory.
func (t *timer) remove() func() {
	if t.pos < 0 {
		return nil
	}
	ts, i, last := t.owner, t.pos, len(t.owner.heap)-1
	ts.swap(i, last)
	ts.heap[last] = nil
	ts.heap = ts.heap[:last]
	if i < last {
		ts.down(i)
		ts.up(i)
	}
	f := t.f
	t.owner, t.f, t.pos = nil, nil, -1
	return f
}

func (ts *timers) before(i, j int) bool {
	a, b := ts.heap[i], ts.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.sequence < b.sequence
}

func (ts *timers) swap(i, j int) {
	ts.heap[i], ts.heap[j] = ts.heap[j], ts.heap[i]
	ts.heap[i].pos, ts.heap[j].pos = i, j
}

func (ts *timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !ts.before(i, parent) {
			return
		}
		ts.swap(i, parent)
		i = parent
	}
}

func (ts *timers) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(ts.heap); child++ {
			if ts.before(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		ts.swap(i, least)
		i = least
	}
}
