// What the outcome of an attempt teaches.

package decide

func (r *Router) outcome(ev *AttemptResult) {
	q := r.reqs[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.attempts) || !q.attempts[ev.Attempt].pending {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.pending, a.neverRan = false, ev.Result.NeverRan()
	r.drop(a.timers[:]...)
	a.to.pending--
	r.fetching -= b2i(a.fetch)
	a.to.hung -= b2i(a.lost)
	if ev.Result == Served || ev.Result == Errored || ev.Result == Rejected {
		a.to.answered = r.now
		r.reached(a.to, true)
	} else if a.unmet = ev.Result == ConnectFailed || ev.Result == ConnectionLost &&
		r.now-a.sent < q.class.patience()/2; ev.Result == ConnectFailed {
		r.reached(a.to, false)
	}
	r.rest(a.to)
	good := ev.Result == Served && r.now-a.sent < q.class.patience()
	if r.now-a.sent < q.class.patience() && ev.Result != Cancelled && ev.Result != NotSent {
		r.verdict(a, good)
	}
	if ev.Result == Served && !good && r.now-a.sent < q.class.LatencyObjective {
		r.met = min(r.met+1, r.judged) // the danger: where work is long beside the aim, all would seem lost
	}
	if ev.Result == Served {
		a.to.late += (float64(b2i(!good)) - a.to.late) / recently
	}
	if good {
		a.to.passed = max(a.to.passed, a.sent)
		if ev.Miss || q.Write {
			r.passed = max(r.passed, a.sent)
		}
		r.lost -= r.lost / recently
	}
	a.to.prompt = a.to.prompt || good && !a.fetch
	if z, took := a.to.zone, r.now-a.sent; ev.Result == Served && !ev.Miss && !q.Write {
		if z.way == 0 {
			z.way = took
		}
		z.way, z.wayTill = min(took, z.way+(took-z.way)/recently), r.now+r.set.SlowStartWindow
	}
	fetched := ev.Result == Served && a.fetch &&
		float64(r.now-a.sent) < originShare*float64(q.class.LatencyObjective)
	if failed := ev.Result == Errored; failed || ev.Result == Served {
		a.to.erring, a.to.erredAt = r.errors(a.to)*7/8+float64(b2i(failed))/8, r.now
		r.erring += (float64(b2i(failed)) - r.erring) / 16
	}
	blamed := ev.Result == Errored && !r.fails(a.to)
	if blamed || fetched && float64(r.fetching+1) > r.fetches/2 {
		adjust(&r.fetches, fetched, originTolerated)
		r.fetches = max(1, r.fetches)
	}
	crowd := ev.Result == Rejected || ev.Result == ConnectFailed && !r.pressure.Outage
	if crowd || good && float64(a.to.pending+1) > a.to.limit/2 {
		r.pool(good)
		adjust(&a.to.limit, good, tolerated)
	} else if ev.Result == Served && a.to.limit < r.alone() && r.now-a.sent < q.class.LatencyObjective {
		adjust(&a.to.limit, true, tolerated)
	}
	if a.fetch && ev.Miss && !fetched && r.sparse() {
		r.fetches = max(1, r.fetches-step)
	}
	if a.fetch && (ev.Result == Served || blamed) {
		r.missing -= r.missing / missWindow
		if ev.Miss || blamed {
			r.missing += 1.0 / missWindow
		}
	}
	if ev.Result == Served {
		a.to.keeps[0][q.Key] = true
		a.to.serves, a.to.lastServe = r.servedBy(a.to)+1, r.now
	}
	defer r.admit()
	if ev.Last || q.done {
		r.finish(q)
		return
	}
	if r.now >= q.Deadline {
		q.why = DeadlineExceeded
		r.answer(q) // the danger: the time-out at the deadline still owes the answer
		return
	}
	r.forward(q)
}
