package rules

// checkAnswer checks a final answer against the recorded attempts of its request.
func (w *Watcher) checkAnswer(r *request, value string) {
	v := Violation{At: r.finalAt}
	switch r.final {
	case Served:
		if v.Text = w.wrongValue(r, value); v.Text != "" {
			v.Rule = WrongValue
			w.reportViolation(r, v)
		}
	case Refused:
		if r.class.allowsRejectAfterRun() {
			return
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.wasRejectedBy(r.finalAt) {
				v.Rule, v.Cache, v.Text = RefusedAfterRun, a.cache.name, "an attempt there may have run"
				w.reportViolation(r, v)
				return
			}
		}
	case Cut:
		// The router is not responsible for a truncated value if a cache did not finish its own reply.
		for i := range r.attempts {
			if !r.attempts[i].replied {
				return
			}
		}
		if r.process.killed {
			return
		}
		r.class.tally.Lost++
		v.Rule, v.Text = Lost, "the value was truncated although every cache had replied in full"
		w.reportViolation(r, v)
	}
}

// wrongValue describes why the value that a request was served with is wrong, and returns "" for a correct value.
func (w *Watcher) wrongValue(r *request, value string) string {
	served := false
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.replied || a.reply != Served {
			continue
		}
		if a.value == value || a.valueDropped && len(value) > maxRetainedValue {
			return ""
		}
		served = true
	}
	owner := w.requestServedWith(value)
	switch {
	case owner != nil:
		return "the value was made for request " + owner.sent.ID
	case served:
		return "no cache has served this request with this value"
	default:
		return "no cache has served it"
	}
}

// requestServedWith returns the request, the first in the order of sending, that a cache served with the value.
func (w *Watcher) requestServedWith(value string) *request {
	var first *request
	for _, r := range w.requests { // any order: the request sent first is returned
		if first != nil && first.order < r.order {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.replied && a.reply == Served && a.value == value {
				first = r
			}
		}
	}
	return first
}
