package rules

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// deathNotice is how long after a broken connection its router may turn out to have been killed.
	deathNotice Time = 250_000
	// forgetAfter is added to the longest window that a finished request is remembered for.
	forgetAfter Time = 1_000_000
	// mostClasses bounds the classes that are counted by name: names come from clients.
	mostClasses = 64
	// leftGrace is how long after its client has left an attempt, first or further, may still begin.
	leftGrace Time = 100_000
	// mostKept bounds the requests with a broken rule whose life is kept to the end.
	mostKept = 100
	// longestKept bounds the values that are held past the deadline, in bytes.
	longestKept = 256
)

// Watcher is an Observer that finds each broken rule. It judges by the times in the events alone: calling Tick
// more often changes nothing in what it finds, only how soon. It must be told of all from one goroutine.
type Watcher struct {
	set      Settings
	report   func(Violation)
	keep     Time
	now      Time
	closed   bool
	asked    uint64
	requests map[string]*request
	due      dueHeap
	retired  retired
	kept     map[string]*request // requests that broke a rule, the first mostKept
	classes  map[string]*class
	routers  map[string]*router
	caches   map[string]*cache
	store    storeLoad
	counts   Counts
}

var _ Observer = (*Watcher)(nil)

// class is a class with its tally.
type class struct {
	Class
	tally Tally
}

// refusable reports whether the class may be refused though an attempt may have run.
func (c *class) refusable() bool {
	return c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll
}

// router is a router's name through its lives.
type router struct {
	life    *routerLife
	listed  map[string]*listing
	tooMany bool // descriptors, as last told
}

// routerLife is one process of a router. Requests point to theirs, so its end is told to all of them at once.
type routerLife struct {
	down, killed bool
}

type state uint8

const (
	open     state = iota
	answered       // by final, at finalAt
	lost
	left
	excused
)

// request is what is remembered of one.
type request struct {
	ask      Ask
	class    *class
	life     *routerLife
	order    uint64 // in which it was asked
	state    state
	final    Answer
	finalAt  Time
	broken   bool // its connection has ended; the verdict waits for deathNotice
	brokenAt Time
	leftAt   Time // by its client, before its deadline; the earliest at which its router can have seen it
	effects  int
	attempts []attempt
	moments  []moment

	attemptRoom [3]attempt
	momentRoom  [10]moment
}

// New returns a Watcher that reports each broken rule as it finds it.
func New(set Settings, report func(Violation)) *Watcher {
	w := &Watcher{
		set:      set,
		report:   report,
		requests: map[string]*request{},
		kept:     map[string]*request{},
		classes:  map[string]*class{},
		routers:  map[string]*router{},
		caches:   map[string]*cache{},
	}
	for name, c := range set.Classes { // any order: each by itself
		w.classes[name] = &class{Class: c, tally: Tally{Class: name}}
		w.keep = max(w.keep, c.Window, c.Deadline)
	}
	w.keep += forgetAfter + set.Slack + set.Flight + set.Remember
	w.store.init(set.StoreFallFor)
	return w
}

// Tick finds what is overdue at now.
func (w *Watcher) Tick(now Time) { w.advance(now) }

// Close is the end of the run: what is overdue is judged, and so are connections that have just broken. Requests
// whose deadline is to come, and copies whose close may be under way, are nobody's fault.
func (w *Watcher) Close(now Time) {
	w.advance(now)
	if w.closed {
		return
	}
	w.closed = true
	for len(w.due.items) > 0 {
		d := w.due.pop()
		switch {
		case d.kind == dueBroken:
			w.check(d)
		case d.kind == dueDeadline && d.at < d.r.ask.Deadline+w.set.Slack:
		case d.kind == dueDeadline && d.r.state == open && !d.r.broken:
			w.counts.Unsettled++
		}
	}
}

// Counts returns what was counted up to now.
func (w *Watcher) Counts() Counts {
	c := w.counts
	c.Held = len(w.requests)
	for _, k := range w.classes { // any order: sorted below
		c.Classes = append(c.Classes, k.tally)
	}
	slices.SortFunc(c.Classes, func(a, b Tally) int { return strings.Compare(a.Class, b.Class) })
	for _, t := range c.Classes { // added up in the order of names, so that sums of floats are the same each time
		c.Tally.add(t)
	}
	return c
}

func (t *Tally) add(o Tally) {
	t.Asked += o.Asked
	t.Served += o.Served
	t.InTime += o.InTime
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Lost += o.Lost
	t.Doubled += o.Doubled
	t.Left += o.Left
	t.Excused += o.Excused
	t.WorthAsked += o.WorthAsked
	t.WorthEarned += o.WorthEarned
}

// advance makes the checks that are due before now, and forgets what is over.
func (w *Watcher) advance(now Time) {
	if now <= w.now {
		return
	}
	w.now = now
	for len(w.due.items) > 0 && w.due.items[0].at < now {
		w.check(w.due.pop())
	}
	for r := w.retired.pop(now); r != nil; r = w.retired.pop(now) {
		delete(w.requests, r.ask.ID)
	}
}

func (w *Watcher) check(d due) {
	switch d.kind {
	case dueDeadline:
		if d.at < d.r.ask.Deadline+w.set.Slack {
			return // it stands behind others; there is a later check
		}
		if d.r.state == open && !d.r.broken {
			w.lose(d.r, d.r.ask.Deadline, "no answer by its deadline")
		}
		d.r.dropLongValues()
		w.retired.push(d.at+w.keep, d.r)
	case dueBroken:
		if d.r.state == open && d.r.broken && d.r.brokenAt+deathNotice == d.at {
			w.lose(d.r, d.r.brokenAt, "the connection ended with no whole answer")
		}
	case dueCopy:
		w.checkCopy(d.r, d.earlier, d.later, d.at)
	}
}

// lose ends a request that got no answer: its router's fault, unless that was killed.
func (w *Watcher) lose(r *request, at Time, why string) {
	if r.life.killed {
		r.state = excused
		r.class.tally.Excused++
		return
	}
	r.state = lost
	r.class.tally.Lost++
	w.violate(r, Violation{Rule: Lost, At: at, Text: why})
}

// violate reports a broken rule; r is nil where it is about no request.
func (w *Watcher) violate(r *request, v Violation) {
	if r != nil {
		v.Request = r.ask.ID
		if v.Router == "" {
			v.Router = r.ask.Router
		}
		r.note(moment{at: v.At, kind: brokeRule, rule: v.Rule})
		if len(w.kept) < mostKept {
			w.kept[r.ask.ID] = r
		}
	}
	w.counts.Broken[v.Rule]++
	if w.report != nil {
		w.report(v)
	}
}

func (w *Watcher) class(name string) *class {
	c := w.classes[name]
	if c != nil {
		return c
	}
	if len(w.classes) >= mostClasses {
		name = "(other)"
		if c = w.classes[name]; c != nil {
			return c
		}
	}
	c = &class{tally: Tally{Class: name}}
	w.classes[name] = c
	return c
}

func (w *Watcher) router(name string) *router {
	r := w.routers[name]
	if r == nil {
		r = &router{life: &routerLife{}, listed: map[string]*listing{}}
		w.routers[name] = r
	}
	return r
}

// Asked implements Observer.
func (w *Watcher) Asked(now Time, a Ask) {
	w.advance(now)
	if r := w.requests[a.ID]; r != nil {
		w.askedAgain(now, r, a)
		return
	}
	r := &request{ask: a, class: w.class(a.Class), life: w.router(a.Router).life, order: w.asked}
	w.asked++
	r.attempts, r.moments = r.attemptRoom[:0], r.momentRoom[:0]
	r.note(moment{at: now, kind: wasAsked, who: a.Router})
	r.class.tally.Asked++
	r.class.tally.WorthAsked += r.class.Worth
	w.requests[a.ID] = r
	if r.life.down {
		// Nobody has taken it: the front has not noticed yet that the router is gone.
		r.state = excused
		r.class.tally.Excused++
	}
	if a.Forgone && r.state == open {
		r.state, r.leftAt = left, a.Deadline // no router can see it
		r.class.tally.Left++
	}
	w.due.push(due{at: a.Deadline + w.set.Slack, kind: dueDeadline, r: r})
}

// askedAgain takes a request that crossed the close of its connection. The danger: a router that reads a
// request and then closes the connection has lost it, though the client may think that it crossed.
func (w *Watcher) askedAgain(now Time, r *request, a Ask) {
	r.note(moment{at: now, kind: wasAsked, who: a.Router})
	if r.state == excused && now <= r.ask.Deadline {
		r.class.tally.Excused--
		r.state = open
	}
	if r.state != open || now > r.ask.Deadline {
		w.counts.Strange++
		return
	}
	for i := range r.attempts {
		if r.attempts[i].router == r.ask.Router && !r.life.killed {
			w.lose(r, now, "its connection was closed though its router had read it")
			return
		}
	}
	r.broken = false
	r.ask.Router, r.ask.Sent = a.Router, a.Sent
	r.life = w.router(a.Router).life
}

// Answered implements Observer.
func (w *Watcher) Answered(now Time, id string, kind Answer, value string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil {
		w.violate(nil, Violation{Rule: Doubled, At: now, Request: id, Text: "an answer to no request known"})
		return
	}
	r.note(moment{at: now, kind: wasAnswered, answer: kind})
	switch r.state {
	case answered:
		r.class.tally.Doubled++
		w.violate(r, Violation{Rule: Doubled, At: now,
			Text: fmt.Sprintf("%s after it was %s %s before", kind, r.final, span(now-r.finalAt))})
		return
	case left, excused:
		return
	case lost:
		if now > r.ask.Deadline+w.set.Slack {
			w.violate(r, Violation{Rule: Late, At: now,
				Text: fmt.Sprintf("%s, %s after its deadline", kind, span(now-r.ask.Deadline))})
		}
	}
	wasOpen := r.state == open
	r.state, r.final, r.finalAt = answered, kind, now
	if wasOpen {
		w.count(r)
	}
	w.checkAnswer(r, value)
}

// count books an answer that came in time.
func (w *Watcher) count(r *request) {
	t := &r.class.tally
	switch r.final {
	case Refused:
		t.Refused++
	case Failed, Cut:
		t.Failed++
	case Served:
		t.Served++
		if r.class.Aim == 0 || r.finalAt-r.ask.Sent <= r.class.Aim {
			t.InTime++
			t.WorthEarned += r.class.Worth
		} else {
			t.WorthEarned += r.class.Worth * r.class.LateWorth
		}
	}
}

// Left implements Observer.
func (w *Watcher) Left(now Time, id string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil {
		return
	}
	r.note(moment{at: now, kind: hasLeft})
	if r.state == open && !r.broken && now < r.ask.Deadline {
		r.state, r.leftAt = left, now
		r.class.tally.Left++
	}
}

// Unseen says that a request's router can't have seen before at that its client has left: the way there was cut, or long.
func (w *Watcher) Unseen(id string, at Time) {
	if r := w.requests[id]; r != nil && r.state == left {
		r.leftAt = max(r.leftAt, at)
	}
}

// Broken implements Observer. The danger: a killed router's connections break before anybody has noticed
// that its process is gone, so the verdict waits.
func (w *Watcher) Broken(now Time, id string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil || r.state != open {
		return
	}
	r.note(moment{at: now, kind: wasBroken})
	r.broken, r.brokenAt = true, now
	w.due.push(due{at: now + deathNotice, kind: dueBroken, r: r})
}

// Behind implements Observer.
func (w *Watcher) Behind(now Time, id string, until Time) {
	w.advance(now)
	r := w.requests[id]
	if r == nil || r.state != open || until <= r.ask.Deadline {
		return
	}
	r.ask.Deadline = until
	w.due.push(due{at: until + w.set.Slack, kind: dueDeadline, r: r})
}

// RouterUp implements Observer.
func (w *Watcher) RouterUp(now Time, name string) {
	w.advance(now)
	r := w.router(name)
	if r.life.down {
		r.life = &routerLife{}
	}
	clear(r.listed)
	r.tooMany = false
}

// RouterDown implements Observer.
func (w *Watcher) RouterDown(now Time, name string, clean bool) {
	w.advance(now)
	r := w.router(name)
	r.life.down, r.life.killed = true, !clean
	clear(r.listed)
}

// Usage implements Observer. A spell over the limit is one violation.
func (w *Watcher) Usage(now Time, name string, descriptors, most int) {
	w.advance(now)
	r := w.router(name)
	over := descriptors > most
	if over && !r.tooMany {
		w.violate(nil, Violation{Rule: TooManyOpen, At: now, Router: name,
			Text: fmt.Sprintf("%d open, %d allowed", descriptors, most)})
	}
	r.tooMany = over
}

// Leftover implements Observer.
func (w *Watcher) Leftover(now Time, name, what string, n int) {
	w.advance(now)
	if n > 0 {
		w.violate(nil, Violation{Rule: LeftBehind, At: now, Router: name, Text: fmt.Sprintf("%d %s", n, what)})
	}
}
