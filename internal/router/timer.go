package router

import (
	"starlingwinch/decide"
	"starlingwinch/internal/timerqueue"
)

// mostSpent is how many records of timers are kept for the next ones.
const mostSpent = 4096

// timer is one of the module's. A request sets two or three and takes nearly all of them back, so the records are used again.
type timer struct {
	timerqueue.Entry
	router *Router
	token  int64
	next   *timer // of those that are over
}

func (r *Router) setTimer(a decide.SetTimer) {
	t := r.spent
	if t == nil {
		t = &timer{router: r}
	} else {
		r.spent, t.next = t.next, nil
		r.spents--
	}
	t.token = a.Token
	r.timers[a.Token] = t
	r.clock.Add(&t.Entry, a.At, t)
}

func (r *Router) dropTimer(token int64) {
	if t := r.timers[token]; t != nil {
		r.clock.Remove(&t.Entry)
		r.overTimer(t)
	}
}

// overTimer keeps the record of a timer that has fired or was taken back, up to a bound.
func (r *Router) overTimer(t *timer) {
	delete(r.timers, t.token)
	if r.spents < mostSpent {
		t.next, r.spent = r.spent, t
		r.spents++
	}
}

// Expired implements alarm.Owner.
func (t *timer) Expired() {
	r := t.router
	r.backlog = append(r.backlog, &decide.Timer{Token: t.token})
	r.overTimer(t)
	r.ProcessEvents()
}
