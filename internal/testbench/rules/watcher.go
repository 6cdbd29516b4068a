package rules

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// killNoticeDelay is how long after a broken connection its router may turn out to have been killed.
	killNoticeDelay Time = 250_000
	// retentionMargin is added to the longest window that a finished request is remembered for.
	retentionMargin Time = 1_000_000
	// maxClasses bounds the classes that are counted by name: names come from clients.
	maxClasses = 64
	// clientLeftGrace is how long after its client has left an attempt, first or further, may still begin.
	clientLeftGrace Time = 100_000
	// maxRequestsWithViolation bounds the requests with a broken rule whose life is kept to the end.
	maxRequestsWithViolation = 100
	// maxRetainedValue bounds the values that are held past the deadline, in bytes.
	maxRetainedValue = 256
)

// Watcher is an Observer that finds each broken rule. It judges by the times in the events alone: calling Tick
// more often changes nothing in what it finds, only how soon. It must be told of all from one goroutine.
type Watcher struct {
	settings              Settings
	report                func(Violation)
	retention             Time
	now                   Time
	closed                bool
	requestCount          uint64
	requests              map[string]*request
	pendingChecks         checkQueue
	retired               retiredQueue
	requestsWithViolation map[string]*request // requests that broke a rule, the first mostKept
	classes               map[string]*class
	routers               map[string]*router
	caches                map[string]*cache
	store                 storeLoad
	counts                Counts
}

var _ Observer = (*Watcher)(nil)

// class is a class with its tally.
type class struct {
	Class
	tally Tally
}

// refusable reports whether the class may be refused though an attempt may have run.
func (c *class) refusable() bool {
	return c.Semantics == Idempotent || c.Semantics == IdempotentByKey && c.Scope == ScopeAll
}

// router is a router's name through its lives.
type router struct {
	process             *routerProcess
	listed              map[string]*listing
	overDescriptorLimit bool // descriptors, as last told
}

// routerProcess is one process of a router. Requests point to theirs, so its end is told to all of them at once.
type routerProcess struct {
	down, killed bool
}

type requestState uint8

const (
	stateOpen     requestState = iota
	stateAnswered              // by final, at finalAt
	stateLost
	stateLeft
	stateExcused
)

// request is what is remembered of one.
type request struct {
	sent             Request
	class            *class
	process          *routerProcess
	order            uint64 // in which it was asked
	state            requestState
	final            Answer
	finalAt          Time
	connectionBroken bool // its connection has ended; the verdict waits for deathNotice
	brokenAt         Time
	leftAt           Time // by its client, before its deadline; the earliest at which its router can have seen it
	effects          int
	attempts         []attempt
	history          []historyEvent

	attemptBuffer [3]attempt
	historyBuffer [10]historyEvent
}

// New returns a Watcher that reports each broken rule as it finds it.
func New(set Settings, report func(Violation)) *Watcher {
	w := &Watcher{
		settings:              set,
		report:                report,
		requests:              map[string]*request{},
		requestsWithViolation: map[string]*request{},
		classes:               map[string]*class{},
		routers:               map[string]*router{},
		caches:                map[string]*cache{},
	}
	for name, c := range set.Classes { // any order: each by itself
		w.classes[name] = &class{Class: c, tally: Tally{Class: name}}
		w.retention = max(w.retention, c.IdempotencyWindow, c.ClientTimeout)
	}
	w.retention += retentionMargin + set.Slack + set.MaxTransit + set.ExtraRetention
	w.store.init(set.StoreOverloadWindow)
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
	for len(w.pendingChecks.items) > 0 {
		d := w.pendingChecks.pop()
		switch {
		case d.kind == checkBrokenConnection:
			w.runCheck(d)
		case d.kind == checkDeadline && d.at < d.request.sent.Deadline+w.settings.Slack:
		case d.kind == checkDeadline && d.request.state == stateOpen && !d.request.connectionBroken:
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
	for len(w.pendingChecks.items) > 0 && w.pendingChecks.items[0].at < now {
		w.runCheck(w.pendingChecks.pop())
	}
	for r := w.retired.pop(now); r != nil; r = w.retired.pop(now) {
		delete(w.requests, r.sent.ID)
	}
}

func (w *Watcher) runCheck(d pendingCheck) {
	switch d.kind {
	case checkDeadline:
		if d.at < d.request.sent.Deadline+w.settings.Slack {
			return // it stands behind others; there is a later check
		}
		if d.request.state == stateOpen && !d.request.connectionBroken {
			w.markLost(d.request, d.request.sent.Deadline, "no answer by its deadline")
		}
		d.request.dropLongValues()
		w.retired.push(d.at+w.retention, d.request)
	case checkBrokenConnection:
		if d.request.state == stateOpen && d.request.connectionBroken && d.request.brokenAt+killNoticeDelay == d.at {
			w.markLost(d.request, d.request.brokenAt, "the connection ended with no whole answer")
		}
	case checkOverlap:
		w.reportOverlap(d.request, d.earlier, d.later, d.at)
	}
}

// markLost ends a request that got no answer: its router's fault, unless that was killed.
func (w *Watcher) markLost(r *request, at Time, why string) {
	if r.process.killed {
		r.state = stateExcused
		r.class.tally.Excused++
		return
	}
	r.state = stateLost
	r.class.tally.Lost++
	w.reportViolation(r, Violation{Rule: Lost, At: at, Text: why})
}

// reportViolation reports a broken rule; r is nil where it is about no request.
func (w *Watcher) reportViolation(r *request, v Violation) {
	if r != nil {
		v.Request = r.sent.ID
		if v.Router == "" {
			v.Router = r.sent.Router
		}
		r.record(historyEvent{at: v.At, kind: eventViolation, rule: v.Rule})
		if len(w.requestsWithViolation) < maxRequestsWithViolation {
			w.requestsWithViolation[r.sent.ID] = r
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
	if len(w.classes) >= maxClasses {
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
		r = &router{process: &routerProcess{}, listed: map[string]*listing{}}
		w.routers[name] = r
	}
	return r
}

// Asked implements Observer.
func (w *Watcher) Asked(now Time, a Request) {
	w.advance(now)
	if r := w.requests[a.ID]; r != nil {
		w.resend(now, r, a)
		return
	}
	r := &request{sent: a, class: w.class(a.Class), process: w.router(a.Router).process, order: w.requestCount}
	w.requestCount++
	r.attempts, r.history = r.attemptBuffer[:0], r.historyBuffer[:0]
	r.record(historyEvent{at: now, kind: eventSent, peer: a.Router})
	r.class.tally.Asked++
	r.class.tally.WorthAsked += r.class.PriorityWeight
	w.requests[a.ID] = r
	if r.process.down {
		// Nobody has taken it: the front has not noticed yet that the router is gone.
		r.state = stateExcused
		r.class.tally.Excused++
	}
	if a.Forgone && r.state == stateOpen {
		r.state, r.leftAt = stateLeft, a.Deadline // no router can see it
		r.class.tally.Left++
	}
	w.pendingChecks.push(pendingCheck{at: a.Deadline + w.settings.Slack, kind: checkDeadline, request: r})
}

// resend takes a request that crossed the close of its connection. The danger: a router that reads a
// request and then closes the connection has lost it, though the client may think that it crossed.
func (w *Watcher) resend(now Time, r *request, a Request) {
	r.record(historyEvent{at: now, kind: eventSent, peer: a.Router})
	if r.state == stateExcused && now <= r.sent.Deadline {
		r.class.tally.Excused--
		r.state = stateOpen
	}
	if r.state != stateOpen || now > r.sent.Deadline {
		w.counts.Strange++
		return
	}
	for i := range r.attempts {
		if r.attempts[i].router == r.sent.Router && !r.process.killed {
			w.markLost(r, now, "its connection was closed though its router had read it")
			return
		}
	}
	r.connectionBroken = false
	r.sent.Router, r.sent.Sent = a.Router, a.Sent
	r.process = w.router(a.Router).process
}

// Answered implements Observer.
func (w *Watcher) Answered(now Time, id string, kind Answer, value string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil {
		w.reportViolation(nil, Violation{Rule: Doubled, At: now, Request: id, Text: "an answer to no request known"})
		return
	}
	r.record(historyEvent{at: now, kind: eventAnswered, answer: kind})
	switch r.state {
	case stateAnswered:
		r.class.tally.Doubled++
		w.reportViolation(r, Violation{Rule: Doubled, At: now,
			Text: fmt.Sprintf("%s after it was %s %s before", kind, r.final, span(now-r.finalAt))})
		return
	case stateLeft, stateExcused:
		return
	case stateLost:
		if now > r.sent.Deadline+w.settings.Slack {
			w.reportViolation(r, Violation{Rule: Late, At: now,
				Text: fmt.Sprintf("%s, %s after its deadline", kind, span(now-r.sent.Deadline))})
		}
	}
	wasOpen := r.state == stateOpen
	r.state, r.final, r.finalAt = stateAnswered, kind, now
	if wasOpen {
		w.countAnswer(r)
	}
	w.checkAnswer(r, value)
}

// countAnswer books an answer that came in time.
func (w *Watcher) countAnswer(r *request) {
	t := &r.class.tally
	switch r.final {
	case Refused:
		t.Refused++
	case Failed, Cut:
		t.Failed++
	case Served:
		t.Served++
		if r.class.LatencyObjective == 0 || r.finalAt-r.sent.Sent <= r.class.LatencyObjective {
			t.InTime++
			t.WorthEarned += r.class.PriorityWeight
		} else {
			t.WorthEarned += r.class.PriorityWeight * r.class.LateWeightFraction
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
	r.record(historyEvent{at: now, kind: eventClientLeft})
	if r.state == stateOpen && !r.connectionBroken && now < r.sent.Deadline {
		r.state, r.leftAt = stateLeft, now
		r.class.tally.Left++
	}
}

// Unseen says that a request's router can't have seen before at that its client has left: the way there was cut, or long.
func (w *Watcher) Unseen(id string, at Time) {
	if r := w.requests[id]; r != nil && r.state == stateLeft {
		r.leftAt = max(r.leftAt, at)
	}
}

// Broken implements Observer. The danger: a killed router's connections break before anybody has noticed
// that its process is gone, so the verdict waits.
func (w *Watcher) Broken(now Time, id string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil || r.state != stateOpen {
		return
	}
	r.record(historyEvent{at: now, kind: eventConnectionBroken})
	r.connectionBroken, r.brokenAt = true, now
	w.pendingChecks.push(pendingCheck{at: now + killNoticeDelay, kind: checkBrokenConnection, request: r})
}

// Behind implements Observer.
func (w *Watcher) Behind(now Time, id string, until Time) {
	w.advance(now)
	r := w.requests[id]
	if r == nil || r.state != stateOpen || until <= r.sent.Deadline {
		return
	}
	r.sent.Deadline = until
	w.pendingChecks.push(pendingCheck{at: until + w.settings.Slack, kind: checkDeadline, request: r})
}

// RouterUp implements Observer.
func (w *Watcher) RouterUp(now Time, name string) {
	w.advance(now)
	r := w.router(name)
	if r.process.down {
		r.process = &routerProcess{}
	}
	clear(r.listed)
	r.overDescriptorLimit = false
}

// RouterDown implements Observer.
func (w *Watcher) RouterDown(now Time, name string, clean bool) {
	w.advance(now)
	r := w.router(name)
	r.process.down, r.process.killed = true, !clean
	clear(r.listed)
}

// Usage implements Observer. A spell over the limit is one violation.
func (w *Watcher) Usage(now Time, name string, descriptors, most int) {
	w.advance(now)
	r := w.router(name)
	over := descriptors > most
	if over && !r.overDescriptorLimit {
		w.reportViolation(nil, Violation{Rule: TooManyOpen, At: now, Router: name,
			Text: fmt.Sprintf("%d open, %d allowed", descriptors, most)})
	}
	r.overDescriptorLimit = over
}

// Leftover implements Observer.
func (w *Watcher) Leftover(now Time, name, what string, n int) {
	w.advance(now)
	if n > 0 {
		w.reportViolation(nil, Violation{Rule: LeftBehind, At: now, Router: name, Text: fmt.Sprintf("%d %s", n, what)})
	}
}
