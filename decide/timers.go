package decide

// What is to be done at a time: who asked for what, by token. No decision is made here.

// timer is what is to be done at a time.
type timer struct {
	due due
	n   int // number of the attempt
	q   *request
	f   func()
}

type due uint8

const (
	duty          due = iota // f
	deadlinePast             // the final answer is due
	holdOver                 // the request can no longer be served within its aim
	attemptSlow              // the attempt is out for longer than the patience
	attemptSlower            // ... and was looked at before
	aimPast                  // ... for longer than the aim
	originLate               // a likely miss is out for longer than the origin should take
	cacheLate                // a cache takes one attempt at a time and is late with it
)

// schedule has something done at the given time, unless it is dropped.
func (r *Router) schedule(at Time, t timer) (token int64) {
	r.token++
	r.timers[r.token] = t
	r.do(SetTimer{r.token, max(at, r.now+1)})
	return r.token
}

// at runs f at the given time.
func (r *Router) at(t Time, f func()) { r.schedule(t, timer{f: f}) }

// drop takes timers back. The danger: thousands a second that have nothing left to do hold their requests.
func (r *Router) drop(tokens ...int64) {
	for _, t := range tokens {
		if _, set := r.timers[t]; set {
			delete(r.timers, t)
			r.do(CancelTimer{t})
		}
	}
}
