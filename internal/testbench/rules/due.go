package rules

// dueKind says what is to be looked at when its time has passed.
type dueKind uint8

const (
	dueDeadline dueKind = iota // has the request an answer?
	dueBroken                  // was its router killed when the connection broke?
	dueCopy                    // was the earlier attempt closed when the later one was sent?
)

// due is a check that is to be made once at has passed.
type due struct {
	at             Time
	order          uint64 // of those at one instant
	kind           dueKind
	r              *request
	earlier, later int // dueCopy: the two attempts
}

func (a *due) before(b *due) bool {
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// dueHeap has the check that is due first at its root.
type dueHeap struct {
	items []due
	order uint64
}

func (h *dueHeap) push(d due) {
	d.order = h.order
	h.order++
	h.items = append(h.items, d)
	i := len(h.items) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !h.items[i].before(&h.items[up]) {
			break
		}
		h.items[i], h.items[up] = h.items[up], h.items[i]
		i = up
	}
}

func (h *dueHeap) pop() due {
	top := h.items[0]
	n := len(h.items) - 1
	h.items[0] = h.items[n]
	h.items[n] = due{}
	h.items = h.items[:n]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < n; child++ {
			if h.items[child].before(&h.items[least]) {
				least = child
			}
		}
		if least == i {
			return top
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}

// retired are the requests past their deadline, the one to be forgotten first in front.
type retired struct {
	items []struct {
		until Time
		r     *request
	}
	head int
}

func (q *retired) push(until Time, r *request) {
	q.items = append(q.items, struct {
		until Time
		r     *request
	}{until, r})
}

func (q *retired) len() int { return len(q.items) - q.head }

// pop takes the first one out if its time has passed.
func (q *retired) pop(now Time) *request {
	if q.len() == 0 || q.items[q.head].until >= now {
		return nil
	}
	r := q.items[q.head].r
	q.items[q.head].r = nil
	q.head++
	if q.head*2 > len(q.items) && q.head > 64 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return r
}
