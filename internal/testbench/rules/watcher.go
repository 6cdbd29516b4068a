package rules

import (
	"slices"
	"strings"
)

const (
	// retentionMargin is added to the longest time for which a finished request is retained.
	retentionMargin Time = 1_000_000 // µs
	// maxRequestsWithViolation bounds the requests whose history is retained after a violation.
	maxRequestsWithViolation = 100
)

// Watcher is an Observer that reports each violation of a rule. Its verdicts depend only on the times of the events: more
// frequent calls of Tick find the same violations earlier. All methods must be called from one goroutine.
type Watcher struct {
	settings      Settings
	report        func(Violation)
	retention     Time // how long a request is retained after its deadline
	now           Time // latest time of an event
	closed        bool
	requestCount  uint64 // number of requests so far, which is the order of the next request
	requests      map[string]*request
	pendingChecks checkQueue
	retired       retiredQueue
	// requestsWithViolation are the first maxRequestsWithViolation requests that broke a rule.
	requestsWithViolation map[string]*request
	classes               map[string]*class
	routers               map[string]*router
	caches                map[string]*cache
	store                 storeLoad
	counts                Counts
}

var _ Observer = (*Watcher)(nil)

// New returns a Watcher that calls report for each violation when it is detected.
func New(settings Settings, report func(Violation)) *Watcher {
	w := &Watcher{
		settings:              settings,
		report:                report,
		requests:              map[string]*request{},
		requestsWithViolation: map[string]*request{},
		classes:               map[string]*class{},
		routers:               map[string]*router{},
		caches:                map[string]*cache{},
	}
	for name, c := range settings.Classes { // any order: the classes are independent
		w.classes[name] = &class{Class: c, tally: Tally{Class: name}}
		w.retention = max(w.retention, c.IdempotencyWindow, c.ClientTimeout)
	}
	w.retention += retentionMargin + settings.Slack + settings.MaxTransit + settings.ExtraRetention
	w.store.init(settings.StoreOverloadWindow)
	return w
}

// Tick runs the checks that are overdue at now.
func (w *Watcher) Tick(now Time) { w.advance(now) }

// Close ends the run. It runs the overdue checks and the pending checks of broken connections. Requests before their deadline,
// and attempts whose close may still be in transit, break no rule.
func (w *Watcher) Close(now Time) {
	w.advance(now)
	if w.closed {
		return
	}
	w.closed = true
	for len(w.pendingChecks.items) > 0 {
		w.closeCheck(w.pendingChecks.pop())
	}
}

// closeCheck handles a check that is not due at the end of the run.
func (w *Watcher) closeCheck(check pendingCheck) {
	r := check.request
	switch check.kind {
	case checkBrokenConnection:
		w.runCheck(check)
	case checkDeadline:
		superseded := check.at < r.sent.Deadline+w.settings.Slack
		if !superseded && r.state == stateOpen && !r.connectionBroken {
			w.counts.Unsettled++
		}
	}
}

// Counts returns the totals up to now.
func (w *Watcher) Counts() Counts {
	c := w.counts
	c.Held = len(w.requests)
	for _, class := range w.classes { // any order: sorted below
		c.Classes = append(c.Classes, class.tally)
	}
	slices.SortFunc(c.Classes, func(a, b Tally) int { return strings.Compare(a.Class, b.Class) })
	for _, t := range c.Classes { // in the order of names, so that sums of floats are reproducible
		c.Tally.add(t)
	}
	return c
}

// advance runs the checks that are due before now, and removes requests whose retention is over.
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

// runCheck runs one check that is due.
func (w *Watcher) runCheck(check pendingCheck) {
	r := check.request
	switch check.kind {
	case checkDeadline:
		if check.at < r.sent.Deadline+w.settings.Slack {
			return // Behind has moved the deadline and queued a later check
		}
		if r.state == stateOpen && !r.connectionBroken {
			w.markLost(r, r.sent.Deadline, "no answer by the deadline")
		}
		r.dropLongValues()
		w.retired.push(check.at+w.retention, r)
	case checkBrokenConnection:
		if r.state == stateOpen && r.connectionBroken && r.brokenAt+killNoticeDelay == check.at {
			w.markLost(r, r.brokenAt, "the connection ended before a complete answer")
		}
	case checkOverlap:
		w.reportOverlap(r, check.earlier, check.later, check.at)
	}
}

// reportViolation counts and reports a violation; r is nil if the violation concerns no request.
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
