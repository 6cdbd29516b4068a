package standin

// Repeats is the memory of keyed writes that the caches of a group share.
type Repeats struct {
	writes map[string]*keyedWrite
	order  []string // of the keys in writes, the oldest first
}

// keyedWrite is a write that a cache has begun to carry out.
type keyedWrite struct {
	arrived Time // of the attempt that is carried out
	over    bool
	waiting []func(ok bool) // repeats that came while it was under way
}

// NewRepeats is an empty memory.
func NewRepeats() *Repeats { return &Repeats{writes: map[string]*keyedWrite{}} }

// mostRepeats bounds the memory; the oldest write is forgotten first.
const mostRepeats = 1 << 16

// known is the write that an attempt of this key, arrived then, repeats; nil where it repeats none.
func (r *Repeats) known(idem string, arrived, window Time) *keyedWrite {
	w := r.writes[idem]
	if w == nil || arrived >= w.arrived+window {
		return nil
	}
	return w
}

// claim begins a write. What repeats it must wait for its end.
func (r *Repeats) claim(idem string, arrived Time) *keyedWrite {
	if r.writes[idem] == nil {
		r.order = append(r.order, idem)
	}
	w := &keyedWrite{arrived: arrived}
	r.writes[idem] = w
	if len(r.order) > mostRepeats {
		delete(r.writes, r.order[0])
		r.order = r.order[1:]
	}
	return w
}

// end closes a write: it was carried out, or it failed and is as if it had never come.
func (r *Repeats) end(idem string, w *keyedWrite, ok bool) {
	w.over = true
	if !ok && r.writes[idem] == w {
		w.arrived = -1 << 62 // a place in order stays, and drops nothing
	}
	for _, f := range w.waiting {
		f(ok)
	}
	w.waiting = nil
}
