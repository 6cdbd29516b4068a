// A request from its arrival to its answer.

package decide

import (
	"slices"
)

var unknownClass = Class{Semantics: NonIdempotent}

func (r *Router) request(ev *Request) {
	q := &request{Request: ev, class: r.classes[ev.Class], arrived: r.now}
	if q.class == nil {
		q.class = &unknownClass
	} else if ev.IdempotencyKeyMissing {
		unkeyed := *q.class
		unkeyed.Semantics, q.class = NonIdempotent, &unkeyed
	}
	if r.pressure.Active && ev.FirstRequestedAt > 0 {
		// The danger: a request that is refused comes back until its client gives up, and what caches can
		// do goes to those that were asked long ago: they are served, and too late. Where all that ask for
		// the first time are served, there is room for them.
		q.arrived = ev.FirstRequestedAt
		sending := r.pressure.Outage || r.now < r.sentAt+r.set.DrainGrace/10 // else there is room by now
		if r.now >= q.holdUntil() && r.now < r.turnedAway+r.set.DrainGrace/2 && sending && r.mayRefuse(q) {
			q.why = RetryTooLate
			r.refuse(q)
			return
		}
	}
	q.attempts = q.first[:0]
	if !q.HasKey {
		own := *ev
		own.Key, q.Request = mix(uint64(ev.ID)^r.rng), &own
	}
	r.reqs[q.ID] = q
	if r.now < q.Deadline {
		// No request is lost: whatever else happens, this timer gives the final answer.
		q.timers[0] = r.schedule(q.Deadline, timer{due: deadlinePast, q: q})
	}
	r.budget = min(r.budget+retryShare*r.retries(), retryBurst*r.retries())
	price := r.set.HealthCheckCost
	if r.sparse() {
		// Each probe opens a connection, and each cache hears from all of them.
		price = (price + r.set.DialCost) / sparseProbes
	}
	r.spare += probeShare / max(price, 1e-9)
	r.keys[0][q.Key]++
	r.asked[0]++
	r.earnMove()
	if !r.admits() {
		q.why = Overloaded
		r.answer(q)
		return
	}
	r.forward(q)
}

// retries is the share of the budget that is left for retries and hedges.
func (r *Router) retries() float64 {
	if r.pressure.Active {
		return r.pressure.RetryBudgetFraction
	}
	return 1
}

// forward sends a request on, holds it for room, or answers it when neither can be.
func (r *Router) forward(q *request) {
	if r.isRetry(q) && r.budget < 1 {
		q.why = RetryBudgetExhausted
		r.giveUp(q) // the danger: retries feed the overload that caused them
		return
	}
	q.why = NoEndpoint
	c, crowded := r.pick(q)
	switch {
	case c != nil:
		r.send(q, c)
	case crowded && r.now < q.holdUntil():
		r.hold(q)
	default:
		if crowded {
			q.why = [...]Reason{NoCapacity, OriginProtected}[b2i(q.spares)]
		}
		r.giveUp(q)
	}
}

// isRetry reports whether a further attempt adds to what caches are asked for: one that did not
// meet its cache has cost none of them anything.
func (r *Router) isRetry(q *request) bool {
	return len(q.attempts) > 0 && !q.attempts[len(q.attempts)-1].unmet
}

// giveUp answers a request unless an attempt is still out that may do so.
func (r *Router) giveUp(q *request) {
	if !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.pending }) {
		r.answer(q)
	}
}

// holdUntil is when a held request can no longer be served within its aim.
func (q *request) holdUntil() Time {
	return q.arrived + Time(holdShare*float64(min(q.class.LatencyObjective, q.Deadline-q.arrived)))
}

// hold keeps a request until a cache has room. The danger it answers: a crowded
// cache serves everything late, and late failures cost most.
func (r *Router) hold(q *request) {
	if !q.held {
		q.held = true
		r.waiting = append(r.waiting, q)
		q.timers[1] = r.schedule(q.holdUntil(), timer{due: holdOver, q: q})
	}
}

func (r *Router) unhold(q *request) {
	q.held = false
	r.drop(q.timers[1])
	if i := slices.Index(r.waiting, q); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// admit sends held requests on when there is room again, the latest first: the danger of
// the fair order is that in overload each one waits until it is too late.
func (r *Router) admit() {
	failed := 0
	for i := len(r.waiting) - 1; i >= 0 && failed < admitTries; i-- {
		q := r.waiting[i]
		if c, _ := r.pick(q); c == nil {
			failed++ // the danger: with thousands held, trying all at each answer takes seconds
		} else {
			r.unhold(q)
			r.send(q, c)
		}
	}
}

func (r *Router) send(q *request, c *cache) {
	if r.isRetry(q) || len(q.attempts) == 0 && q.astray && !r.originIdles() && !c.knows(q.Key) {
		r.budget--
	}
	q.attempts = append(q.attempts, attempt{to: c, sent: r.now, pending: true, fetch: r.fetch(q, c)})
	n := len(q.attempts) - 1
	c.pending++
	c.uses++
	r.uses++
	c.sends = r.recent(c) + 1
	c.lastSend, r.sentAt = r.now, r.now
	r.fetching += b2i(q.attempts[n].fetch)
	if c.zone.fails >= zoneThreshold {
		c.zone.trialAt = r.now + r.set.SlowStartWindow/4 // the trial is one request
	}
	r.do(Send{ID: q.ID, Cache: c.ID, AttemptDeadline: q.Deadline, WriteDeadline: q.remembered(n)})
	q.attempts[n].timers[0] = r.schedule(r.now+q.class.patience(), timer{due: attemptSlow, n: n, q: q})
}

// slow looks after an attempt that is out for longer than the patience.
func (r *Router) slow(q *request, n int, first bool) {
	a := &q.attempts[n]
	if !a.pending || q.done {
		return
	}
	if r.lost > lossy && r.overtaken(q, a) {
		a.lost = true
		a.to.hung++
		r.lost += (1 - r.lost) / recently / 2 // it might have come late
		if !first {
			adjust(&a.to.limit, true, .5) // it was held against the cache
		}
	} else if first {
		r.verdict(a, false)
		r.overdue(q, n)
	}
	if first || a.lost {
		r.hedge(q, n)
	}
	if r.lost > lossy && !a.lost {
		q.attempts[n].timers[0] = r.schedule(r.now+q.class.patience()/4, timer{due: attemptSlower, n: n, q: q})
	}
}

// overtaken reports whether later attempts were answered in time though this one was not. The
// danger: a cache, or the way to it, loses part of what it is sent. Taken for crowding, that lowers
// its limit until hardly anything is sent at all.
func (r *Router) overtaken(q *request, a *attempt) bool {
	return a.to.passed > a.sent && a.to.late < unhurried && (!a.fetch && !q.Write || r.passed > a.sent)
}

// hedge sends a second copy of a request whose attempt is overdue at a cache that has answered
// nothing since. The danger: a cache that hangs takes requests and answers none until two
// rounds of probes have failed. Late answers are no reason: in overload they all are.
func (r *Router) hedge(q *request, n int) {
	if q.done || !r.set.AllowHedging || r.pressure.Active {
		return
	}
	a := &q.attempts[n]
	if a.lost {
		r.budget = max(r.budget, 1) // it takes nothing from the cache, which is not crowded either
	} else if a.to.answered > a.sent || r.budget < 1 {
		return
	}
	if c, _ := r.pick(q); c != nil {
		r.send(q, c)
	}
}

// patience is how long an attempt may take before it counts as overdue.
func (c *Class) patience() Time { return max(c.LatencyObjective/2, 1) }

// fetch reports whether the origin likely has to serve a read that is sent to the cache.
func (r *Router) fetch(q *request, c *cache) bool { return !q.Write && !c.knows(q.Key) }

// overdue blames a late attempt on the origin if it is a likely miss and the cache answered the
// last likely hit in time, else on the cache. The danger: an origin that is asked for too much serves all of
// it late, writes too, and goes on with work that nobody waits for; a cache likewise.
func (r *Router) overdue(q *request, n int) {
	a := &q.attempts[n]
	c := a.to
	if a.fetch && c.prompt && (r.now >= c.warmAt || r.pressure.Outage) {
		// A cold one is slow itself and has few hits.
		lateAt := a.sent + Time(originShare*float64(q.class.LatencyObjective))
		a.timers[2] = r.schedule(lateAt, timer{due: originLate, n: n, q: q})
		return
	}
	c.prompt = false
	if c.limit > r.alone() {
		r.pool(false)
		adjust(&c.limit, false, tolerated)
		return
	}
	// The danger: where all caches are slow by themselves, less load makes none of them faster,
	// and a share of nothing is served. Alone, an attempt may take its whole aim.
	a.timers[2] = r.schedule(a.sent+q.class.LatencyObjective, timer{due: cacheLate, n: n, q: q})
}

// answer gives the final answer, once.
func (r *Router) answer(q *request) {
	if q.done || q.streams {
		return
	}
	if r.mayRefuse(q) {
		if q.FirstRequestedAt == 0 && len(r.ready) > 0 { // without a cache it says nothing of their room
			r.turnedAway = r.now
		}
		r.refuse(q)
	} else {
		r.do(Fail{ID: q.ID, Reason: q.why})
	}
	r.finish(q)
}

// refuse names a time to come back. The danger: those that are refused together come back together.
func (r *Router) refuse(q *request) {
	wait := min(r.set.MaxRetryAfter, q.class.LatencyObjective)
	if r.pressure.Active {
		span := min(r.pressure.RetryAfterJitter, r.set.MaxRetryAfter-wait/2)
		wait = wait/2 + Time(unit(mix(q.Key^mix(uint64(q.ID))))*float64(span))
	}
	r.do(Reject{ID: q.ID, RetryAfter: wait, Reason: q.why})
}

// finish stops what is still out for a request that is over.
func (r *Router) finish(q *request) {
	q.done = true
	if q.held {
		r.unhold(q)
	}
	r.drop(q.timers[0])
	out := false
	for i := range q.attempts {
		if a := &q.attempts[i]; a.pending {
			out = true
			if r.set.AllowCancel && !q.streams && !a.stopped {
				a.stopped = true
				r.do(Cancel{q.ID, i})
			}
		}
	}
	if !out {
		delete(r.reqs, q.ID)
	}
}
