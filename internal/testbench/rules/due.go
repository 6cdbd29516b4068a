package rules

// checkKind says what is to be looked at when its time has passed.
type checkKind uint8

const (
	checkDeadline         checkKind = iota // has the request an answer?
	checkBrokenConnection                  // was its router killed when the connection broke?
	checkOverlap                           // was the earlier attempt closed when the later one was sent?
)

// pendingCheck is a check that is to be made once at has passed.
type pendingCheck struct {
	at             Time
	order          uint64 // of those at one instant
	kind           checkKind
	request        *request
	earlier, later int // dueCopy: the two attempts
}

func (a *pendingCheck) before(b *pendingCheck) bool {
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// checkQueue has the check that is due first at its root.
type checkQueue struct {
	items []pendingCheck
	order uint64
}

func (h *checkQueue) push(d pendingCheck) {
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

func (h *checkQueue) pop() pendingCheck {
	top := h.items[0]
	n := len(h.items) - 1
	h.items[0] = h.items[n]
	h.items[n] = pendingCheck{}
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

// retiredQueue are the requests past their deadline, the one to be forgotten first in front.
type retiredQueue struct {
	items []struct {
		until Time
		r     *request
	}
	head int
}

func (q *retiredQueue) push(until Time, r *request) {
	q.items = append(q.items, struct {
		until Time
		r     *request
	}{until, r})
}

func (q *retiredQueue) len() int { return len(q.items) - q.head }

// pop takes the first one out if its time has passed.
func (q *retiredQueue) pop(now Time) *request {
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
