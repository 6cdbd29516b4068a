package router

import (
	"starlingwinch/decide"
	"starlingwinch/internal/timerqueue"
)

// maxFreeTimers is the maximum number of timer records that are retained for reuse.
const maxFreeTimers = 4096

// policyTimer is a timer that the module has set. Its record is reused, because each request sets two or three timers and nearly
// all of them are cancelled.
type policyTimer struct {
	timerqueue.Entry
	router   *Router
	token    int64
	nextFree *policyTimer // in Router.freeTimers
}

// setTimer carries out a SetTimer action.
func (r *Router) setTimer(action decide.SetTimer) {
	t := r.freeTimers
	if t == nil {
		t = &policyTimer{router: r}
	} else {
		r.freeTimers, t.nextFree = t.nextFree, nil
		r.freeTimerCount--
	}
	t.token = action.Token
	r.timers[action.Token] = t
	r.timerQueue.Add(&t.Entry, action.At, t)
}

// cancelTimer carries out a CancelTimer action.
func (r *Router) cancelTimer(token int64) {
	if t := r.timers[token]; t != nil {
		r.timerQueue.Remove(&t.Entry)
		r.freeTimer(t)
	}
}

// freeTimer retains the record of a timer that has fired or was cancelled for reuse, up to maxFreeTimers records.
func (r *Router) freeTimer(t *policyTimer) {
	delete(r.timers, t.token)
	if r.freeTimerCount < maxFreeTimers {
		t.nextFree, r.freeTimers = r.freeTimers, t
		r.freeTimerCount++
	}
}

// Expired implements timerqueue.Owner.
func (t *policyTimer) Expired() {
	r := t.router
	r.queueEvent(&decide.Timer{Token: t.token})
	r.freeTimer(t)
	r.ProcessEvents()
}
