package rules

import "fmt"

// maxHistoryEvents bounds the events recorded for one request.
const maxHistoryEvents = 64

// historyEventKind is the kind of an event in a request's history.
type historyEventKind uint8

const (
	eventSent historyEventKind = iota
	eventAnswered
	eventClientLeft
	eventConnectionBroken
	eventAttemptBegan
	eventRan
	eventDeduplicated
	eventCacheReplied
	eventAttemptEnded
	eventViolation
)

// historyEvent is one event in the history of a request.
type historyEvent struct {
	at     Time
	sent   Time   // eventAttemptBegan only: the latest instant at which the attempt can have been sent
	peer   string // the router or the cache at which the event happened
	router string // eventAttemptBegan only: the sender
	kind   historyEventKind
	answer Answer
	rule   Rule
}

// record adds an event to the request's history.
func (r *request) record(event historyEvent) {
	if len(r.history) < maxHistoryEvents {
		r.history = append(r.history, event)
	}
}

// History returns one line for each event of a request, in the order of the reports. Times count from the sending of the
// request. History covers the requests in memory and the first maxRequestsWithViolation requests that broke a rule; it returns
// nil for all others.
func (w *Watcher) History(id string) []string {
	r := w.requests[id]
	if r == nil {
		r = w.requestsWithViolation[id]
	}
	if r == nil {
		return nil
	}
	zero := r.history[0].at
	lines := make([]string, 0, len(r.history)+1)
	for _, event := range r.history {
		lines = append(lines, fmt.Sprintf("%12s  %s", span(event.at-zero), event.describe(r, zero)))
	}
	if len(r.history) == maxHistoryEvents {
		lines = append(lines, "... later events were not recorded")
	}
	return lines
}

// describe returns a description of the event; zero is the instant at which the request was sent.
func (event *historyEvent) describe(r *request, zero Time) string {
	switch event.kind {
	case eventSent:
		return fmt.Sprintf("%s of %s asked of router %s, deadline %s",
			r.sent.Class, r.sent.Key, event.peer, span(r.sent.Deadline-zero))
	case eventAnswered:
		return "answered: " + event.answer.String()
	case eventClientLeft:
		return "the client left"
	case eventConnectionBroken:
		return "the router's connection ended"
	case eventAttemptBegan:
		return fmt.Sprintf("began at cache %s, sent by router %s at %s", event.peer, event.router, span(event.sent-zero))
	case eventRan:
		return "ran at cache " + event.peer
	case eventDeduplicated:
		return "dropped as a repeat at cache " + event.peer
	case eventCacheReplied:
		return fmt.Sprintf("cache %s replied: %s", event.peer, event.answer)
	case eventAttemptEnded:
		return "the connection to cache " + event.peer + " ended"
	default:
		return "BROKEN: " + event.rule.String()
	}
}

// span formats a span of time in milliseconds.
func span(t Time) string {
	return fmt.Sprintf("%.3f ms", float64(t)/1e3)
}
