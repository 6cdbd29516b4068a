package decide

import "slices"

const (
	// maxQueueFraction is the fraction of the latency objective that a request may wait for capacity.
	maxQueueFraction = .4
	// maxDispatchFailures is the number of queued requests without capacity that are tried after one result.
	// With thousands of queued requests, trying all of them after each result takes seconds.
	maxDispatchFailures = 32
)

// requestQueue holds the requests that wait for capacity, in order of arrival. A cache above its limit would
// serve all requests late.
type requestQueue struct {
	waiting []*request
}

func (u *requestQueue) add(q *request) { u.waiting = append(u.waiting, q) }

func (u *requestQueue) remove(q *request) {
	if i := slices.Index(u.waiting, q); i >= 0 {
		u.waiting = slices.Delete(u.waiting, i, i+1)
	}
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
	for i := len(r.queue.waiting) - 1; i >= 0 && failures < maxDispatchFailures; i-- {
		q := r.queue.waiting[i]
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
