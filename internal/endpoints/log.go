package endpoints

import (
	"fmt"
	"log/slog"
	"time"

	"starlingwinch/decide"
)

const (
	maxLoggedChanges      = 20  // endpoints whose change of status is logged one by one in one turn
	maxLoggedFailure      = 200 // characters of a failure's text
	maxLoggedSourceLength = 60  // characters of an unknown source's name
)

// statusNames are the values of the log field "status".
var statusNames = [...]string{
	decide.Serving:  "serving",
	decide.Draining: "draining",
	decide.Removed:  "removed",
}

func (m *Merger) log(level slog.Level, message string, attrs ...slog.Attr) {
	m.turn.logs = append(m.turn.logs, Log{Level: level, Message: message, Attrs: attrs})
}

func (m *Merger) logUnknownSource(name string) {
	m.log(slog.LevelWarn, "endpoint update from unknown source", slog.String("source", truncated(name, maxLoggedSourceLength)))
}

func (m *Merger) logAvailable(s *source) {
	m.log(slog.LevelInfo, "endpoint source available", slog.String("source", s.Name),
		slog.Duration("unavailable_for", duration(m.now-s.unavailableSince)))
}

func (m *Merger) logUnavailable(s *source) {
	m.log(slog.LevelWarn, "endpoint source unavailable", slog.String("source", s.Name), slog.Int("retained", s.known),
		slog.String("cause", truncated(s.failureReason, maxLoggedFailure)))
}

func (m *Merger) logIgnored(s *source, ignored int) {
	m.log(slog.LevelWarn, "endpoints beyond limit ignored", slog.String("source", s.Name), slog.Int("ignored", ignored),
		slog.Int("limit", m.options.MaxEndpoints))
}

func (m *Merger) logMassRemoval(s *source) {
	m.log(slog.LevelWarn, "endpoint mass removal awaits confirmation", slog.String("source", s.Name),
		slog.Int("omitted", s.massRemoval.unconfirmed), slog.Int("known", s.known))
}

func (m *Merger) logOverdue(s *source, removed int) {
	m.log(slog.LevelWarn, "endpoint mass removal accepted unconfirmed", slog.String("source", s.Name),
		slog.Int("removed", removed))
}

// logChanges logs each endpoint whose status has changed, up to maxLoggedChanges, and a summary if there are more.
func (m *Merger) logChanges() {
	logged := 0
	var byStatus [len(statusNames)]int
	for _, c := range m.turn.changes {
		if c.status == c.before {
			continue
		}
		byStatus[c.status]++
		logged++
		if logged <= maxLoggedChanges {
			m.logChange(c.endpoint)
		}
	}
	if logged > maxLoggedChanges {
		m.log(slog.LevelInfo, "endpoint status changes in total", slog.Int("serving", byStatus[decide.Serving]),
			slog.Int("draining", byStatus[decide.Draining]), slog.Int("removed", byStatus[decide.Removed]))
	}
}

func (m *Merger) logChange(e *endpoint) {
	attrs := []slog.Attr{slog.String("endpoint", e.id), slog.String("status", statusNames[e.status])}
	m.log(slog.LevelInfo, "endpoint status changed", append(attrs, m.causeAt(e, m.now).attrs()...)...)
}

// attrs returns the cause as log fields.
func (c cause) attrs() []slog.Attr {
	if c.suppressed {
		return []slog.Attr{slog.Duration("suppressed_for", duration(c.suppressedFor)), slog.Int("flaps", c.flaps)}
	}
	return []slog.Attr{slog.String("source", c.source), slog.String("reason", c.reason)}
}

// truncated returns at most maxLength characters of a text.
func truncated(text string, maxLength int) string { return fmt.Sprintf("%.*s", maxLength, text) }

func duration(span Time) time.Duration { return time.Duration(span) * time.Microsecond }
