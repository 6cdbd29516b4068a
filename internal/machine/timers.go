package machine

// timers is a heap of timers by when they are due and, at one instant, by when they were set.
type timers struct {
	heap []*timer
	set  uint64 // how many were ever set
}

type timer struct {
	of  *timers
	at  Time
	nr  uint64
	pos int // in the heap; below 0 once it is out
	f   func()
}

// add sets a timer.
func (ts *timers) add(at Time, f func()) *timer {
	t := &timer{of: ts, at: at, nr: ts.set, pos: len(ts.heap), f: f}
	ts.set++
	ts.heap = append(ts.heap, t)
	ts.up(t.pos)
	return t
}

// first is the timer that is due next, or nil.
func (ts *timers) first() *timer {
	if len(ts.heap) == 0 {
		return nil
	}
	return ts.heap[0]
}

// Stop implements Timer.
func (t *timer) Stop() { t.take() }

// take takes the timer out and returns what it was to call: nil where it is out already. A timer that
// is out holds nothing, however long its owner keeps it.
func (t *timer) take() func() {
	if t.pos < 0 {
		return nil
	}
	ts, i, last := t.of, t.pos, len(t.of.heap)-1
	ts.swap(i, last)
	ts.heap[last] = nil
	ts.heap = ts.heap[:last]
	if i < last {
		ts.down(i)
		ts.up(i)
	}
	f := t.f
	t.of, t.f, t.pos = nil, nil, -1
	return f
}

func (ts *timers) before(i, j int) bool {
	a, b := ts.heap[i], ts.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.nr < b.nr
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
