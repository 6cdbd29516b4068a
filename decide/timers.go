package decide

// timerKind identifies the handler of a timer.
type timerKind uint8

const (
	functionDue            timerKind = iota // call run
	requestDeadlineReached                  // give the final answer
	queueDeadlineReached                    // a queued request can no longer be served in time
	attemptOverdue                          // the response timeout of an attempt has passed
	attemptStillOverdue                     // check an overdue attempt again
	objectiveReached                        // the latency objective of an attempt has passed
	originOverdue                           // a likely miss is in flight for longer than the origin should take
	soleAttemptOverdue                      // a cache that receives one attempt at a time is late
)

// timer is an action that is due at an instant.
type timer struct {
	kind    timerKind
	attempt int      // number of the attempt, for kinds that concern an attempt
	request *request // nil for functionDue
	run     func()   // for functionDue only
}

// timerTable holds the pending timers by token.
type timerTable struct {
	pending   map[int64]timer
	lastToken int64
}

// take removes and returns a timer that has fired. It reports false if the timer was cancelled.
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

// runAt schedules a call of a function.
func (r *Router) runAt(at Time, run func()) { r.schedule(at, timer{run: run}) }

// cancelTimers cancels timers. It ignores token 0 and timers that have fired. If timers were not cancelled,
// the timers of thousands of answered requests per second would keep their records in memory.
func (r *Router) cancelTimers(tokens ...int64) {
	for _, token := range tokens {
		if _, pending := r.timers.pending[token]; pending {
			delete(r.timers.pending, token)
			r.emit(CancelTimer{token})
		}
	}
}
