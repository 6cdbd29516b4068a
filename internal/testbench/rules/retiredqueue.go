package rules

// minRetiredToCompact is the number of removed entries up to which the queue is not compacted.
const minRetiredToCompact = 64

// retiredRequest is a request past its deadline that is retained until an instant.
type retiredRequest struct {
	until   Time
	request *request
}

// retiredQueue holds the requests past their deadline, in the order of their removal.
type retiredQueue struct {
	items []retiredRequest
	head  int // index of the first entry that has not been removed
}

func (q *retiredQueue) push(until Time, r *request) {
	q.items = append(q.items, retiredRequest{until, r})
}

func (q *retiredQueue) len() int { return len(q.items) - q.head }

// pop removes and returns the first request if its retention is over, and returns nil otherwise.
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
