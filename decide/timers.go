package decide

// timerKind is what is due when a timer fires.
type timerKind uint8

const (
	functionDue            timerKind = iota // call run
	requestDeadlineReached                  // give the final answer
	queueDeadlineReached                    // a queued request can't be served in time any more
	attemptOverdue                          // the response timeout of an attempt has passed
	attemptStillOverdue                     // check an overdue attempt again
	objectiveReached                        // the latency objective of an attempt has passed
	originOverdue                           // a likely miss is out for longer than the origin should take
	soleAttemptOverdue                      // a cache that gets one attempt at a time is late with it
)

// timer is what is to be done at an instant.
type timer struct {
	kind    timerKind
	attempt int      // number of the attempt, for the kinds that are about one
	request *request // nil for functionDue
	run     func()   // for functionDue only
}

// timerTable holds the timers that are set, by token.
type timerTable struct {
	pending   map[int64]timer
	lastToken int64
}

// take removes a timer that fires. It reports false if the timer was cancelled.
func (t *timerTable) take(token int64) (timer, bool) {
	fired, pending := t.pending[token]
	delete(t.pending, token)
	return fired, pending
}

// schedule sets a timer and returns its token.
func (r *Router) schedule(at Time, t timer) (token int64) {
	r.timers.lastToken++
	r.timers.pending[r.timers.lastToken] = t
	r.emit(SetTimer{r.timers.lastToken, max(at, r.now+1)})
	return r.timers.lastToken
}

// runAt calls a function at an instant.
func (r *Router) runAt(at Time, run func()) { r.schedule(at, timer{run: run}) }

// cancelTimers takes timers back. Token 0 and timers that have fired are ignored. Without this, the timers of
// thousands of answered requests a second would hold their records.
func (r *Router) cancelTimers(tokens ...int64) {
	for _, token := range tokens {
		if _, pending := r.timers.pending[token]; pending {
			delete(r.timers.pending, token)
			r.emit(CancelTimer{token})
		}
	}
}
