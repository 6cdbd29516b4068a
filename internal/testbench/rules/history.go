package rules

import "fmt"

// maxHistoryEvents bounds the life that is kept of one request.
const maxHistoryEvents = 64

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

// historyEvent is one event in a request's life.
type historyEvent struct {
	at, sent     Time
	peer, router string
	kind         historyEventKind
	answer       Answer
	rule         Rule
}

func (r *request) record(m historyEvent) {
	if len(r.history) < maxHistoryEvents {
		r.history = append(r.history, m)
	}
}

// History returns a line for each event of a request in the order in which they were told, its times counted from
// when it was asked. It knows the requests in memory and the first ones that broke a rule; else it is nil.
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
	for _, m := range r.history {
		lines = append(lines, fmt.Sprintf("%12s  %s", span(m.at-zero), m.describe(r, zero)))
	}
	if len(r.history) == maxHistoryEvents {
		lines = append(lines, "... what came later was not kept")
	}
	return lines
}

func (m *historyEvent) describe(r *request, zero Time) string {
	switch m.kind {
	case eventSent:
		return fmt.Sprintf("%s of %s asked of router %s, deadline %s",
			r.sent.Class, r.sent.Key, m.peer, span(r.sent.Deadline-zero))
	case eventAnswered:
		return "answered: " + m.answer.String()
	case eventClientLeft:
		return "the client left"
	case eventConnectionBroken:
		return "the router's connection ended"
	case eventAttemptBegan:
		return fmt.Sprintf("began at cache %s, sent by router %s at %s", m.peer, m.router, span(m.sent-zero))
	case eventRan:
		return "ran at cache " + m.peer
	case eventDeduplicated:
		return "dropped as a repeat at cache " + m.peer
	case eventCacheReplied:
		return fmt.Sprintf("cache %s replied: %s", m.peer, m.answer)
	case eventAttemptEnded:
		return "the connection to cache " + m.peer + " ended"
	default:
		return "BROKEN: " + m.rule.String()
	}
}

// span prints a span of time.
func span(t Time) string {
	return fmt.Sprintf("%.3f ms", float64(t)/1e3)
}
