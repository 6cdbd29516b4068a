package decide

import "slices"

// unknownClass is the class of requests whose class is not in the settings.
var unknownClass = Class{Semantics: NonIdempotent}

// request is what this router knows of one request.
type request struct {
	*Request
	class       *Class
	arrivedAt   Time // during a retry storm, when its client first requested it
	attempts    []attempt
	firstRecord [1]attempt // backing array for the one attempt that most requests need

	// The next three are independent of one another, but for a finished request, which is not queued.

	finished  bool // set with the final answer, or when the client has gone
	queued    bool // set while it waits for capacity
	streaming bool // set when the answer has begun to reach the client; it is not unset

	originLimited bool   // set when the origin limit has kept it from a cache; it is not unset
	overflowed    bool   // as of the last selection: a cache ahead of the selected one lacked capacity
	reason        Reason // what last kept it from being served

	deadlineTimer int64 // token of the timer of its deadline; 0 for none
	queueTimer    int64 // token of the timer of its queue deadline; 0 for none
}

// responseTimeout is how long an attempt may take before it counts as overdue; µs.
func (c *Class) responseTimeout() Time { return max(c.LatencyObjective/2, 1) }

// classOf returns the class whose rules hold for a request.
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

// handleRequest takes in a new request and sends it on, queues it, or answers it.
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
		// Whatever else happens, this timer gives the final answer.
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

// withRandomKey returns a copy of a request without a key that has one, so that such requests spread over the
// caches.
func (r *Router) withRandomKey(ev *Request) *Request {
	keyed := *ev
	keyed.Key = mix(uint64(ev.ID) ^ uint64(r.random))
	return &keyed
}

// countRequest takes a new request into the budgets that requests pay for, and into the counts of its key.
func (r *Router) countRequest(q *request) {
	r.retryBudget.earn(r.storm.budgetFraction())
	r.earnHealthChecks()
	r.hotKeys.count(q.Key)
	r.failover.earn(r.timeliness.ratio())
}

// forward sends a request on, queues it, or answers it if neither is possible.
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

// costsRetryToken reports whether a further attempt takes a token of the retry budget. One whose connection
// broke at once has cost the caches nothing.
func (q *request) costsRetryToken() bool {
	return len(q.attempts) > 0 && !q.attempts[len(q.attempts)-1].connectionBroke
}

// giveUp answers a request unless an attempt is still out that may do so.
func (r *Router) giveUp(q *request) {
	if !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.isOut() }) {
		r.answer(q)
	}
}

// answer gives the final answer, once.
func (r *Router) answer(q *request) {
	if q.finished || q.streaming {
		return
	}
	if r.mayReject(q) {
		if q.FirstRequestedAt == 0 && len(r.serving) > 0 { // without caches it says nothing of their capacity
			r.storm.lastFirstTryRejectedAt = r.now
		}
		r.reject(q)
	} else {
		r.emit(Fail{ID: q.ID, Reason: q.reason})
	}
	r.finish(q)
}

// handleRequestDeadline answers a request whose deadline has come.
func (r *Router) handleRequestDeadline(q *request) {
	q.reason = DeadlineExceeded
	r.answer(q)
}

// handleResponseStarted notes that the answer has begun to reach the client.
func (r *Router) handleResponseStarted(ev *ResponseStarted) {
	if q := r.requests[ev.ID]; q != nil {
		q.streaming = true
	}
}

// handleClientGone ends a request that nobody waits for.
func (r *Router) handleClientGone(ev *ClientGone) {
	if q := r.requests[ev.ID]; q != nil {
		r.finish(q)
	}
}

// finish stops what goes on for a request that has its final answer or needs none.
func (r *Router) finish(q *request) {
	q.finished = true
	if q.queued {
		r.dequeue(q)
	}
	r.cancelTimers(q.deadlineTimer)
	anyOut := false
	for n := range q.attempts {
		a := &q.attempts[n]
		if !a.isOut() {
			continue
		}
		anyOut = true
		if r.settings.AllowCancel && !q.streaming && a.state == attemptPending {
			r.cancel(q, n)
		}
	}
	if !anyOut {
		delete(r.requests, q.ID)
	}
}
