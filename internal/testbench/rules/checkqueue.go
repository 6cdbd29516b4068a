package rules

// checkKind is the kind of a pending check.
type checkKind uint8

const (
	checkDeadline         checkKind = iota // whether the request has an answer
	checkBrokenConnection                  // whether the router was killed when the connection broke
	checkOverlap                           // whether the earlier attempt was closed when the later attempt was sent
)

// pendingCheck is a check that runs once the instant at has passed.
type pendingCheck struct {
	at             Time
	order          uint64 // order among checks that are due at the same instant
	kind           checkKind
	request        *request
	earlier, later int // checkOverlap only: indices of the two attempts
}

func (a *pendingCheck) before(b *pendingCheck) bool {
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// checkQueue is a binary heap; the check that is due first is at the root.
type checkQueue struct {
	items []pendingCheck
	order uint64 // order of the next check
}

func (q *checkQueue) push(check pendingCheck) {
	check.order = q.order
	q.order++
	q.items = append(q.items, check)
	i := len(q.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.items[i].before(&q.items[parent]) {
			break
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *checkQueue) pop() pendingCheck {
	top := q.items[0]
	n := len(q.items) - 1
	q.items[0] = q.items[n]
	q.items[n] = pendingCheck{}
	q.items = q.items[:n]
	for i := 0; ; {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < n; child++ {
			if q.items[child].before(&q.items[first]) {
				first = child
			}
		}
		if first == i {
			return top
		}
		q.items[i], q.items[first] = q.items[first], q.items[i]
		i = first
	}
}
