package standin

// Repeats is the memory of writes by idempotency key that the caches of a group share.
type Repeats struct {
	writes map[string]*keyedWrite
	order  []string // keys of writes, oldest first
}

// keyedWrite is a write that a cache has begun to carry out.
type keyedWrite struct {
	arrivedAt Time // arrival of the attempt that is carried out
	finished  bool
	waiting   []func(ok bool) // repeats that arrived while the write was in flight
}

// NewRepeats returns an empty memory.
func NewRepeats() *Repeats { return &Repeats{writes: map[string]*keyedWrite{}} }

// maxRepeats is the maximum number of writes; the oldest is dropped first.
const maxRepeats = 1 << 16

// lookup returns the write that an attempt with this key repeats, or nil. arrived is when the attempt arrived.
func (r *Repeats) lookup(key string, arrived, window Time) *keyedWrite {
	w := r.writes[key]
	if w == nil || arrived >= w.arrivedAt+window {
		return nil
	}
	return w
}

// begin records a write whose execution begins. Repeats of the write must wait until it ends.
func (r *Repeats) begin(key string, arrived Time) *keyedWrite {
	if r.writes[key] == nil {
		r.order = append(r.order, key)
	}
	w := &keyedWrite{arrivedAt: arrived}
	r.writes[key] = w
	if len(r.order) > maxRepeats {
		delete(r.writes, r.order[0])
		r.order = r.order[1:]
	}
	return w
}

// finish ends a write and resumes its repeats. A failed write is treated as if it had never arrived.
func (r *Repeats) finish(key string, w *keyedWrite, ok bool) {
	w.finished = true
	if !ok && r.writes[key] == w {
		w.arrivedAt = -1 << 62 // outside every window; the key stays in order
	}
	for _, f := range w.waiting {
		f(ok)
	}
	w.waiting = nil
}
