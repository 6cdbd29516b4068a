package decide

const (
	// maxQueueFraction is the fraction of the latency objective that a request may wait for capacity.
	maxQueueFraction = .4
	// maxDispatchFailures is the number of queued requests without capacity that are tried after one result.
	// With thousands of queued requests, trying all of them after each result takes seconds.
	maxDispatchFailures = 32
)

// requestQueue holds the requests that wait for capacity, in order of arrival. A cache above its limit would
// serve all requests late. The requests form a doubly linked list, so that removing one of thousands of them
// takes constant time: in an overload, each of them leaves the queue at its own deadline.
type requestQueue struct {
	first, last *request
	length      int
}

// queueLinks are the neighbours of a request in the queue; nil at its ends and while it is not queued.
type queueLinks struct{ previous, next *request }

// add appends a request, which must not be in the queue.
func (u *requestQueue) add(q *request) {
	q.links = queueLinks{previous: u.last}
	if u.last != nil {
		u.last.links.next = q
	} else {
		u.first = q
	}
	u.last = q
	u.length++
}

// remove removes a request, which must be in the queue.
func (u *requestQueue) remove(q *request) {
	if q.links.previous != nil {
		q.links.previous.links.next = q.links.next
	} else {
		u.first = q.links.next
	}
	if q.links.next != nil {
		q.links.next.links.previous = q.links.previous
	} else {
		u.last = q.links.previous
	}
	q.links = queueLinks{}
	u.length--
}

// queueDeadline returns the time after which a queued request can no longer be served within its latency
// objective.
func (q *request) queueDeadline() Time {
	available := min(q.class.LatencyObjective, q.Deadline-q.arrivedAt)
	return q.arrivedAt + Time(maxQueueFraction*float64(available))
}

// enqueue queues a request until a cache has capacity. A request that is already queued keeps its place.
func (r *Router) enqueue(q *request) {
	if q.queued {
		return
	}
	q.queued = true
	r.queue.add(q)
	q.queueTimer = r.schedule(q.queueDeadline(), timer{kind: queueDeadlineReached, request: q})
}

// dequeue removes a request from the queue.
func (r *Router) dequeue(q *request) {
	q.queued = false
	r.cancelTimers(q.queueTimer)
	r.queue.remove(q)
}

// dispatchQueued sends queued requests to caches that have capacity again, in last-in, first-out order. In
// order of arrival, every request would wait in an overload until it is too late.
func (r *Router) dispatchQueued() {
	failures := 0
	var previous *request
	for q := r.queue.last; q != nil && failures < maxDispatchFailures; q = previous {
		previous = q.links.previous
		c, _ := r.selectCache(q)
		if c == nil {
			failures++
			continue
		}
		r.dequeue(q)
		r.send(q, c)
	}
}

// handleQueueDeadline gives up on a request that has waited too long for capacity.
func (r *Router) handleQueueDeadline(q *request) {
	if !q.queued || q.finished {
		return
	}
	q.reason = q.capacityReason()
	r.shedding.count(q.reason)
	r.dequeue(q)
	r.giveUp(q)
}

// capacityReason returns the kind of capacity that a request waits for or has waited for.
func (q *request) capacityReason() Reason {
	if q.originLimited {
		return OriginProtected
	}
	return NoCapacity
}

// sheddingReport counts the requests that were given up after waiting in the queue, for the log.
type sheddingReport struct {
	active      bool // requests were given up in the previous window
	forCapacity int  // in the current window, for lack of capacity at caches
	forOrigin   int  // in the current window, to protect the origin
}

func (s *sheddingReport) count(reason Reason) {
	if reason == OriginProtected {
		s.forOrigin++
	} else {
		s.forCapacity++
	}
}

// reportShedding logs when load shedding starts and ends. It is called once per window of key counts.
func (r *Router) reportShedding() {
	s := &r.shedding
	active := s.forCapacity+s.forOrigin > 0
	if active != s.active {
		s.active = active
		r.logShedding()
	}
	s.forCapacity, s.forOrigin = 0, 0
}
