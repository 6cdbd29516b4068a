package standin

// Repeats is the memory of keyed writes that the caches of a group share.
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

// NewRepeats is an empty memory.
func NewRepeats() *Repeats { return &Repeats{writes: map[string]*keyedWrite{}} }

// maxRepeats bounds the memory; the oldest write is forgotten first.
const maxRepeats = 1 << 16

// lookup is the write that an attempt of this key, arrived then, repeats; nil where it repeats none.
func (r *Repeats) lookup(idem string, arrived, window Time) *keyedWrite {
	w := r.writes[idem]
	if w == nil || arrived >= w.arrivedAt+window {
		return nil
	}
	return w
}

// begin begins a write. What repeats it must wait for its end.
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

// finish closes a write: it was carried out, or it failed and is as if it had never come.
func (r *Repeats) finish(idem string, w *keyedWrite, ok bool) {
	w.finished = true
	if !ok && r.writes[idem] == w {
		w.arrivedAt = -1 << 62 // a place in order stays, and drops nothing
	}
	for _, f := range w.waiting {
		f(ok)
	}
	w.waiting = nil
}
