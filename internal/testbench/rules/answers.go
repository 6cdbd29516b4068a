package rules

// checkAnswer checks a final answer against what the caches did.
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
		// The router is not responsible for a value that its cache did not finish either.
		for i := range r.attempts {
			if !r.attempts[i].replied {
				return
			}
		}
		if r.process.killed {
			return
		}
		r.class.tally.Lost++
		v.Rule, v.Text = Lost, "its value was cut off, though the caches had given theirs whole"
		w.reportViolation(r, v)
	}
}

// wrongValue says what is wrong with a value that a request was served with, and returns "" for a right one.
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
		return "no cache has made this value for it"
	default:
		return "no cache has served it"
	}
}

// requestServedWith returns the first request, in the order of sending, that a cache made the value for.
func (w *Watcher) requestServedWith(value string) *request {
	var first *request
	for _, r := range w.requests { // any order: the first one sent counts
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
