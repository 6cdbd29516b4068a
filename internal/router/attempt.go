package router

import (
	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/upstream"
)

// attempt is one attempt to serve a request at one cache. It implements upstream.Request.
type attempt struct {
	upstream.Attempt
	router  *Router
	request *request
	target  guard.Cache          // the cache as listed when the attempt began
	result  decide.AttemptResult // the event that the module receives
}

// Encode implements upstream.Request.
func (a *attempt) Encode(b []byte, wait Time) []byte { return a.request.command.Encode(b, wait) }

// MaySend implements upstream.Request. It checks the client's connection again because, in a single turn, the client may
// disconnect after the event that allows the request to be sent.
func (a *attempt) MaySend(now Time) bool {
	q := a.request
	isOver := q.finished || q.slot.ClientGone()
	return a.router.guard.MaySend(now, &q.guard, a.target, isOver) == guard.Allowed
}

// WriteStarted implements upstream.Request.
func (a *attempt) WriteStarted(now, wait Time, whole bool) {
	a.router.guard.WriteStarted(now, &a.request.guard, a.Number, a.target, wait, whole)
	a.router.limitDelivery(a.request, now)
}

// limitDelivery has the attempts of a request checked when the caches may have forgotten one of them: another one that waits in the
// kernel for a cache that hangs would run again when it arrives. It is called when an attempt begins.
func (r *Router) limitDelivery(q *request, now Time) {
	window, isLimited := q.guard.RepeatWindow()
	if !isLimited || len(q.attempts) < 2 {
		return
	}
	r.m.At(now+window, func() { r.abortUndeliverable(q) })
	if first := q.guard.FirstStart(); first < now { // no check was due while the first attempt was the only one
		r.m.At(first+window, func() { r.abortUndeliverable(q) })
	}
}

// abortUndeliverable ends the attempts of a request that have not reached their caches and may not run any more.
func (r *Router) abortUndeliverable(q *request) {
	for _, a := range q.attempts {
		if a.IsUndelivered() && r.guard.MayFinish(r.m.Now(), &q.guard, a.Number) != guard.Allowed {
			a.Abort(decide.TimedOut)
		}
	}
	r.ProcessEvents()
}

// MayFinish implements upstream.Request.
func (a *attempt) MayFinish(now Time) bool {
	return a.router.guard.MayFinish(now, &a.request.guard, a.Number) == guard.Allowed
}

// WriteCompleted implements upstream.Request.
func (a *attempt) WriteCompleted() { a.request.guard.WriteCompleted(a.Number) }

// KeyHash implements upstream.Request.
func (a *attempt) KeyHash() uint64 { return a.request.command.KeyHash }

// Idempotent implements upstream.Request.
func (a *attempt) Idempotent() bool { return a.request.command.Idempotent }

// startAttempt carries out a Send action. An attempt that cannot begin, because its cache was removed or its client has
// disconnected, still gets a result.
func (r *Router) startAttempt(action decide.Send) {
	q := r.requests[action.ID]
	if q == nil {
		return // the contract has reported the unknown request and synthesizes a result
	}
	a := r.newAttempt(q, action)
	q.attempts = append(q.attempts, a)
	if !q.finished {
		q.attemptsInFlight++
		if r.pool.Start(action.Cache, &a.Attempt) {
			return
		}
		q.attemptsInFlight--
	}
	a.Discard()
	r.queueRequestEvent(q, &decide.AttemptResult{
		ID:      q.id,
		Attempt: a.Number,
		Result:  decide.NotSent,
		Final:   q.finished,
		Load:    decide.UnknownLoad,
	})
}

// newAttempt returns the record of a request's next attempt.
func (r *Router) newAttempt(q *request, action decide.Send) *attempt {
	now := r.m.Now()
	a := &q.firstAttempt
	if len(q.attempts) > 0 {
		r.logRetry(q, action.Cache)
		a = &attempt{}
	}
	a.router = r
	a.request = q
	a.target = guard.Cache{Name: action.Cache}
	if e := r.endpoints[action.Cache]; e != nil {
		a.target.Zone, a.target.Cell = e.entry.Zone, e.entry.Cell
	}
	a.Attempt = upstream.Attempt{
		Request:       a,
		Number:        len(q.attempts),
		SentAt:        now,
		Deadline:      action.AttemptDeadline,
		WriteDeadline: action.WriteDeadline,
	}
	if a.Deadline == 0 || a.Deadline > q.deadline {
		a.Deadline = q.deadline
	}
	return a
}

// cancelAttempt carries out a Cancel action.
func (r *Router) cancelAttempt(action decide.Cancel) {
	q := r.requests[action.ID]
	if q != nil && action.Attempt < len(q.attempts) {
		q.attempts[action.Attempt].Abort(decide.Cancelled)
	}
}

// startHealthCheck carries out a HealthCheck action. While the router waits for its address, it sends no health checks and
// reports each as not sent.
func (r *Router) startHealthCheck(cache string) {
	now := r.m.Now()
	check := &upstream.Attempt{SentAt: now, Deadline: now + r.cfg.OperatorLimits.Caches.HealthCheckTimeout.Microseconds()}
	if r.frontend == nil || !r.pool.Start(cache, check) {
		r.queueEvent(&decide.HealthCheckResult{Cache: cache, Result: decide.NotSent, Load: decide.UnknownLoad})
	}
}

// AttemptEnded implements upstream.Owner: it handles the result of an attempt or a health check. The first value that arrives is
// the final answer to its request.
func (r *Router) AttemptEnded(ended *upstream.Attempt, result decide.Result, reply *resp.Reply) {
	elapsed := r.m.Now() - ended.SentAt
	load := decide.UnknownLoad
	if reply != nil {
		load = reply.LoadReport
	}
	a, ofRequest := ended.Request.(*attempt)
	if !ofRequest {
		r.queueEvent(&decide.HealthCheckResult{Cache: ended.Cache(), Result: result, Elapsed: elapsed, Load: load})
		return
	}
	q := a.request
	q.guard.AttemptEnded(ended.Number, result)
	r.logAttemptEnded(q, ended, result, elapsed)
	q.attemptsInFlight--
	q.connectionLost = q.connectionLost || result == decide.ConnectionLost
	r.recordAttempt(result)
	event := &a.result
	*event = decide.AttemptResult{ID: q.id, Attempt: ended.Number, Result: result, Elapsed: elapsed, Load: load}
	r.queueRequestEvent(q, event)
	if reply != nil {
		event.Miss = reply.Miss
		if result == decide.Served {
			r.finishRequest(q, servedWith(reply.Value))
		}
	}
	event.Final = q.finished
}
