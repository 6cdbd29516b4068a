package decide

import "slices"

// unknownClass is the class of requests whose class is not in the settings.
var unknownClass = Class{Semantics: NonIdempotent}

// request is the router's state for one request.
type request struct {
	*Request
	class       *Class
	arrivedAt   Time // arrival; during a retry storm, the time of the client's first try
	attempts    []attempt
	firstRecord [1]attempt // backing array for the one attempt that most requests need

	// The next three fields are independent, except that a finished request is not queued.

	finished  bool // set with the final answer, or when the client has disconnected
	queued    bool // set while the request waits for capacity
	streaming bool // set when the answer has started to reach the client; never cleared

	originLimited bool   // set when the origin limit has excluded a cache; never cleared
	overflowed    bool   // in the latest selection, a healthy cache of a higher rank lacked capacity
	reason        Reason // latest reason why the request was not served

	deadlineTimer int64 // timer token of the deadline; 0 for none
	queueTimer    int64 // timer token of the queue deadline; 0 for none

	links queueLinks // position in the queue
}

// responseTimeout returns the time after which an attempt counts as overdue; µs.
func (c *Class) responseTimeout() Time { return max(c.LatencyObjective/2, 1) }

// classOf returns the class whose rules apply to a request.
func (r *Router) classOf(ev *Request) *Class {
	class := r.classes[ev.Class]
	if class == nil {
		return &unknownClass
	}
	if ev.IdempotencyKeyMissing {
		withoutKey := *class
		withoutKey.Semantics = NonIdempotent
		return &withoutKey
	}
	return class
}

// handleRequest admits a new request and sends, queues or answers it.
func (r *Router) handleRequest(ev *Request) {
	q := &request{Request: ev, class: r.classOf(ev), arrivedAt: r.now}
	if r.storm.Active && ev.FirstRequestedAt > 0 {
		q.arrivedAt = ev.FirstRequestedAt
		if r.rejectsLateRetry(q) {
			q.reason = RetryTooLate
			r.reject(q)
			return
		}
	}
	q.attempts = q.firstRecord[:0]
	if !q.HasKey {
		q.Request = r.withRandomKey(ev)
	}
	r.requests[q.ID] = q
	if r.now < q.Deadline {
		// This timer guarantees a final answer in every case.
		q.deadlineTimer = r.schedule(q.Deadline, timer{kind: requestDeadlineReached, request: q})
	}
	r.countRequest(q)
	if !r.admits() {
		q.reason = Overloaded
		r.answer(q)
		return
	}
	r.forward(q)
}

// withRandomKey returns a copy of a request without a key, with a random key that spreads such requests over
// the caches.
func (r *Router) withRandomKey(ev *Request) *Request {
	keyed := *ev
	keyed.Key = mix(uint64(ev.ID) ^ uint64(r.random))
	return &keyed
}

// countRequest adds the earnings of a new request to the budgets, and counts the request for its key.
func (r *Router) countRequest(q *request) {
	r.retryBudget.earn(r.storm.budgetFraction())
	r.earnHealthChecks()
	r.hotKeys.count(q.Key)
	r.failover.earn(r.timeliness.ratio())
}

// forward sends or queues a request, or answers it if neither is possible.
func (r *Router) forward(q *request) {
	if q.costsRetryToken() && !r.retryBudget.allows() {
		q.reason = RetryBudgetExhausted
		r.giveUp(q)
		return
	}
	q.reason = NoEndpoint
	c, overloaded := r.selectCache(q)
	switch {
	case c != nil:
		r.send(q, c)
	case overloaded && r.now < q.queueDeadline():
		r.enqueue(q)
	default:
		if overloaded {
			q.reason = q.capacityReason()
		}
		r.giveUp(q)
	}
}

// costsRetryToken reports whether a further attempt uses a token of the retry budget. After an attempt whose
// connection broke at once, the retry is free, because that attempt cost the caches nothing.
func (q *request) costsRetryToken() bool {
	return len(q.attempts) > 0 && !q.attempts[len(q.attempts)-1].connectionBroke
}

// giveUp answers a request unless an attempt in flight may still serve it.
func (r *Router) giveUp(q *request) {
	if !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.inFlight() }) {
		r.answer(q)
	}
}

// answer gives the final answer: Reject if a retry is safe, and Fail otherwise. It has no effect on a request
// that is finished or streaming.
func (r *Router) answer(q *request) {
	if q.finished || q.streaming {
		return
	}
	if r.mayReject(q) {
		if q.FirstRequestedAt == 0 && len(r.serving) > 0 { // without caches, it says nothing of capacity
			r.storm.lastFirstTryRejectedAt = r.now
		}
		r.reject(q)
	} else {
		r.emit(Fail{ID: q.ID, Reason: q.reason})
	}
	r.finish(q)
}

// handleRequestDeadline answers a request whose deadline has passed.
func (r *Router) handleRequestDeadline(q *request) {
	q.reason = DeadlineExceeded
	r.answer(q)
}

// handleResponseStarted records that the answer has started to reach the client.
func (r *Router) handleResponseStarted(ev *ResponseStarted) {
	if q := r.requests[ev.ID]; q != nil {
		q.streaming = true
	}
}

// handleClientGone finishes a request whose client has disconnected.
func (r *Router) handleClientGone(ev *ClientGone) {
	if q := r.requests[ev.ID]; q != nil {
		r.finish(q)
	}
}

// finish ends the work on a request that has its final answer or needs none. It removes the request from the
// queue, cancels the deadline timer and, if permitted, cancels the attempts in flight.
func (r *Router) finish(q *request) {
	q.finished = true
	if q.queued {
		r.dequeue(q)
	}
	r.cancelTimers(q.deadlineTimer)
	anyInFlight := false
	for n := range q.attempts {
		a := &q.attempts[n]
		if !a.inFlight() {
			continue
		}
		anyInFlight = true
		if r.settings.AllowCancel && !q.streaming && a.state == attemptPending {
			r.cancel(q, n)
		}
	}
	if !anyInFlight {
		delete(r.requests, q.ID)
	}
}
