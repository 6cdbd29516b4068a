package rules

import "fmt"

// mostMoments bounds the life that is kept of one request.
const mostMoments = 64

type momentKind uint8

const (
	wasAsked momentKind = iota
	wasAnswered
	hasLeft
	wasBroken
	hasBegun
	hasRun
	hasDropped
	hasReplied
	hasEnded
	brokeRule
)

// moment is one event in a request's life.
type moment struct {
	at, sent    Time
	who, router string
	kind        momentKind
	answer      Answer
	rule        Rule
}

func (r *request) note(m moment) {
	if len(r.moments) < mostMoments {
		r.moments = append(r.moments, m)
	}
}

// History returns a line for each event of a request in the order in which they were told, its times counted from
// when it was asked. It knows the requests in memory and the first ones that broke a rule; else it is nil.
func (w *Watcher) History(id string) []string {
	r := w.requests[id]
	if r == nil {
		r = w.kept[id]
	}
	if r == nil {
		return nil
	}
	zero := r.moments[0].at
	lines := make([]string, 0, len(r.moments)+1)
	for _, m := range r.moments {
		lines = append(lines, fmt.Sprintf("%12s  %s", span(m.at-zero), m.words(r, zero)))
	}
	if len(r.moments) == mostMoments {
		lines = append(lines, "... what came later was not kept")
	}
	return lines
}

func (m *moment) words(r *request, zero Time) string {
	switch m.kind {
	case wasAsked:
		return fmt.Sprintf("%s of %s asked of router %s, deadline %s",
			r.ask.Class, r.ask.Key, m.who, span(r.ask.Deadline-zero))
	case wasAnswered:
		return "answered: " + m.answer.String()
	case hasLeft:
		return "the client left"
	case wasBroken:
		return "the router's connection ended"
	case hasBegun:
		return fmt.Sprintf("began at cache %s, sent by router %s at %s", m.who, m.router, span(m.sent-zero))
	case hasRun:
		return "ran at cache " + m.who
	case hasDropped:
		return "dropped as a repeat at cache " + m.who
	case hasReplied:
		return fmt.Sprintf("cache %s replied: %s", m.who, m.answer)
	case hasEnded:
		return "the connection to cache " + m.who + " ended"
	default:
		return "BROKEN: " + m.rule.String()
	}
}

// span prints a span of time.
func span(t Time) string {
	return fmt.Sprintf("%.3f ms", float64(t)/1e3)
}
