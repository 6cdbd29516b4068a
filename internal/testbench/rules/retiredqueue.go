package rules

// minRetiredToCompact is the number of forgotten entries below which the queue is not compacted.
const minRetiredToCompact = 64

// retiredRequest is a request past its deadline, remembered until an instant.
type retiredRequest struct {
	until   Time
	request *request
}

// retiredQueue holds the requests past their deadline, in the order in which they are forgotten.
type retiredQueue struct {
	items []retiredRequest
	head  int // the first entry that is not forgotten
}

func (q *retiredQueue) push(until Time, r *request) {
	q.items = append(q.items, retiredRequest{until, r})
}

func (q *retiredQueue) len() int { return len(q.items) - q.head }

// pop removes the first request if its time has passed, and returns nil otherwise.
func (q *retiredQueue) pop(now Time) *request {
	if q.len() == 0 || q.items[q.head].until >= now {
		return nil
	}
	r := q.items[q.head].request
	q.items[q.head].request = nil
	q.head++
	if q.head*2 > len(q.items) && q.head > minRetiredToCompact {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return r
}
