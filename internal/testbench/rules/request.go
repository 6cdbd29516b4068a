package rules

import "fmt"

const (
	// killNoticeDelay is how long after a connection breaks the kill of its router may still be reported.
	killNoticeDelay Time = 250_000 // µs
	// clientLeftGrace is how long after the client of a request left an attempt may still begin.
	clientLeftGrace Time = 100_000 // µs
	// maxRetainedValue bounds the size in bytes of a value that is retained past the deadline.
	maxRetainedValue = 256
)

// requestState is the state of a request: open, or how the request ended.
type requestState uint8

const (
	stateOpen     requestState = iota
	stateAnswered              // with the answer final, at finalAt
	stateLost                  // no answer in time, from a live router
	stateLeft                  // the client left at leftAt
	stateExcused               // the router was killed
)

// request is the record of one request.
type request struct {
	sent             Request
	class            *class
	process          *routerProcess
	order            uint64 // number of requests sent before this request
	state            requestState
	final            Answer
	finalAt          Time
	connectionBroken bool // the connection has ended; the verdict waits for killNoticeDelay
	brokenAt         Time
	leftAt           Time // earliest instant at which the router can have seen that the client left
	effects          int  // executions that no cache dropped as a repeat
	attempts         []attempt
	history          []historyEvent

	attemptBuffer [3]attempt       // holds the first attempts without an allocation
	historyBuffer [10]historyEvent // holds the first events without an allocation
}

// Asked implements Observer.
func (w *Watcher) Asked(now Time, sent Request) {
	w.advance(now)
	if r := w.requests[sent.ID]; r != nil {
		w.resend(now, r, sent)
		return
	}
	r := &request{sent: sent, class: w.class(sent.Class), process: w.router(sent.Router).process, order: w.requestCount}
	w.requestCount++
	r.attempts, r.history = r.attemptBuffer[:0], r.historyBuffer[:0]
	r.record(historyEvent{at: now, kind: eventSent, peer: sent.Router})
	r.class.tally.Asked++
	r.class.tally.WorthAsked += r.class.PriorityWeight
	w.requests[sent.ID] = r
	if r.process.down {
		// No router has read the request: the client has not yet noticed that the router is down.
		r.state = stateExcused
		r.class.tally.Excused++
	}
	if sent.Forgone && r.state == stateOpen {
		r.state, r.leftAt = stateLeft, sent.Deadline // no router can see that the client has left
		r.class.tally.Left++
	}
	w.pendingChecks.push(pendingCheck{at: sent.Deadline + w.settings.Slack, kind: checkDeadline, request: r})
}

// resend moves a request that crossed the close of its connection to the second connection. A router that read the request
// before it closed the connection lost the request, even if the client believes that the request crossed the close.
func (w *Watcher) resend(now Time, r *request, sent Request) {
	r.record(historyEvent{at: now, kind: eventSent, peer: sent.Router})
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
			w.markLost(r, now, "the router closed the connection after it had read the request")
			return
		}
	}
	r.connectionBroken = false
	r.sent.Router, r.sent.Sent = sent.Router, sent.Sent
	r.process = w.router(sent.Router).process
}

// markLost ends a request that got no answer. The router is responsible for the loss unless the router was killed.
func (w *Watcher) markLost(r *request, at Time, reason string) {
	if r.process.killed {
		r.state = stateExcused
		r.class.tally.Excused++
		return
	}
	r.state = stateLost
	r.class.tally.Lost++
	w.reportViolation(r, Violation{Rule: Lost, At: at, Text: reason})
}

// Answered implements Observer.
func (w *Watcher) Answered(now Time, id string, kind Answer, value string) {
	w.advance(now)
	r := w.requests[id]
	if r == nil {
		w.reportViolation(nil, Violation{Rule: Doubled, At: now, Request: id, Text: "the answer belongs to no known request"})
		return
	}
	r.record(historyEvent{at: now, kind: eventAnswered, answer: kind})
	switch r.state {
	case stateAnswered:
		r.class.tally.Doubled++
		w.reportViolation(r, Violation{Rule: Doubled, At: now,
			Text: fmt.Sprintf("%s, but the request was already %s %s before", kind, r.final, span(now-r.finalAt))})
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

// countAnswer adds the answer of a request that was still open to the tally of its class.
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

// Unseen postpones the earliest instant at which a request's router can have seen that the client left, because the
// connection was cut or slow.
func (w *Watcher) Unseen(id string, at Time) {
	if r := w.requests[id]; r != nil && r.state == stateLeft {
		r.leftAt = max(r.leftAt, at)
	}
}

// Broken implements Observer. The verdict waits for killNoticeDelay, because the connections of a killed router break before
// the end of its process is reported.
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

// dropLongValues releases the long values of a request whose deadline has passed.
func (r *request) dropLongValues() {
	for i := range r.attempts {
		if len(r.attempts[i].value) > maxRetainedValue {
			r.attempts[i].value, r.attempts[i].valueDropped = "", true
		}
	}
}
