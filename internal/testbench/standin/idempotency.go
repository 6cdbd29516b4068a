package standin

// Repeats is the memory of writes by idempotency key that the caches of a group share.
type Repeats struct {
	writes map[string]*keyedWrite
	order  []string // of the keys in writes, the oldest first
}

// keyedWrite is a write that a cache has begun to carry out.
type keyedWrite struct {
	arrivedAt Time // of the attempt that is carried out
	finished  bool
	waiting   []func(ok bool) // repeats that came while it was under way
}

// NewRepeats returns an empty memory.
func NewRepeats() *Repeats { return &Repeats{writes: map[string]*keyedWrite{}} }

// maxRepeats bounds the number of writes; the oldest is dropped first.
const maxRepeats = 1 << 16

// lookup returns the write that an attempt with this key repeats, or nil. arrived is when the attempt arrived.
func (r *Repeats) lookup(idem string, arrived, window Time) *keyedWrite {
	w := r.writes[idem]
	if w == nil || arrived >= w.arrivedAt+window {
		return nil
	}
	return w
}

// begin records a write that is carried out now. What repeats it must wait for its end.
func (r *Repeats) begin(idem string, arrived Time) *keyedWrite {
	if r.writes[idem] == nil {
		r.order = append(r.order, idem)
	}
	w := &keyedWrite{arrivedAt: arrived}
	r.writes[idem] = w
	if len(r.order) > maxRepeats {
		delete(r.writes, r.order[0])
		r.order = r.order[1:]
	}
	return w
}

// finish ends a write and resumes its repeats. A failed write is treated as if it had never arrived.
func (r *Repeats) finish(idem string, w *keyedWrite, ok bool) {
	w.finished = true
	if !ok && r.writes[idem] == w {
		w.arrivedAt = -1 << 62 // its entry in order stays and drops nothing
	}
	for _, f := range w.waiting {
		f(ok)
	}
	w.waiting = nil
}
