package router

import (
	"log/slog"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/upstream"
)

// attemptEnded logs an attempt that was not served.
func (r *Router) attemptEnded(q *request, a *upstream.Attempt, result decide.Result, elapsed Time) {
	if result == decide.Served {
		return
	}
	if !r.events.Enabled() {
		r.events.Count(eventlog.AttemptEnded, guard.ResultName(result))
		return
	}
	r.events.Add(eventlog.AttemptEnded, guard.ResultName(result), slog.Int64("request", q.id), slog.String("id", q.name),
		slog.Int("attempt", a.Number), slog.String("cache", a.Cache()), slog.Int64("took_us", elapsed))
}

// retried logs a further attempt of a request, with what became of the one before.
func (r *Router) retried(q *request, cache string) {
	before := "out"
	if last := q.attempts[len(q.attempts)-1]; last.Ended() {
		before = guard.ResultName(last.outcome.Result)
	}
	if !r.events.Enabled() {
		r.events.Count(eventlog.AttemptRetried, before)
		return
	}
	r.events.Add(eventlog.AttemptRetried, before, slog.Int64("request", q.id), slog.String("id", q.name),
		slog.Int("attempt", len(q.attempts)), slog.String("cache", cache))
}

// unanswered logs a final answer that does not serve.
func (r *Router) unanswered(q *request, event eventlog.Event, why string) {
	if !r.events.Enabled() {
		r.events.Count(event, why)
		return
	}
	r.events.Add(event, why, slog.Int64("request", q.id), slog.String("id", q.name), slog.Int("attempts", len(q.attempts)))
}

// startIs logs how far the start has come, and how long it took up to there.
func (r *Router) startIs(reason string, fields ...slog.Attr) {
	fields = append(fields, slog.Int64("after_us", r.m.Now()-r.begun))
	r.events.Add(eventlog.StartProgress, reason, fields...)
}

// DiscoveryCallEnded implements sources.Owner.
func (r *Router) DiscoveryCallEnded(what string, version int64, caches int) {
	r.events.Add(eventlog.DiscoveryCallEnded, what, slog.Int64("version", version), slog.Int("caches", caches))
}

// ConnectionClosed implements front.Desk.
func (r *Router) ConnectionClosed(why string, unanswered int) {
	r.events.Add(eventlog.ConnectionClosed, why, slog.Int("unanswered", unanswered))
}
