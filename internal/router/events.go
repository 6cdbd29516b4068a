package router

import (
	"log/slog"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/upstream"
)

// Reasons of requests that end without the decision module.
const (
	reasonOpenRequests = "open requests" // there were as many as the settings allow
	reasonFairShare    = "fair share"    // its client is beyond its share in a retry storm
	reasonDuplicateID  = "duplicate id"  // its client gave it the name of one that is open
	reasonHook         = "hook"          // a hook's verdict
	reasonDrainOver    = "drain over"    // a drain came to its end before it was answered
)

// previousAttemptOut is the reason of a retry whose attempt before is still out: a hedged request.
const previousAttemptOut = "out"

// logAttemptEnded logs an attempt that brought no value.
func (r *Router) logAttemptEnded(q *request, a *upstream.Attempt, result decide.Result, elapsed Time) {
	if result == decide.Served {
		return
	}
	reason := guard.ResultName(result)
	if !r.events.Enabled() {
		r.events.Count(eventlog.AttemptEnded, reason)
		return
	}
	r.events.Add(eventlog.AttemptEnded, reason, slog.Int64("request", q.id), slog.String("id", q.clientID),
		slog.Int("attempt", a.Number), slog.String("cache", a.Cache()), slog.Int64("took_us", elapsed))
}

// logRetry logs a further attempt of a request, with the result of the one before.
func (r *Router) logRetry(q *request, cache string) {
	reason := previousAttemptOut
	if previous := q.attempts[len(q.attempts)-1]; previous.Ended() {
		reason = guard.ResultName(previous.result.Result)
	}
	if !r.events.Enabled() {
		r.events.Count(eventlog.AttemptRetried, reason)
		return
	}
	r.events.Add(eventlog.AttemptRetried, reason, slog.Int64("request", q.id), slog.String("id", q.clientID),
		slog.Int("attempt", len(q.attempts)), slog.String("cache", cache))
}

// RequestRejected implements frontend.Handler: it logs a request that the frontend has refused itself.
func (r *Router) RequestRejected(reason frontend.RejectReason, clientID string) {
	r.logNotAccepted(eventlog.RequestRejected, string(reason), clientID)
}

// logNotAccepted logs a request that ends before it has a record.
func (r *Router) logNotAccepted(event eventlog.Event, reason, clientID string) {
	if !r.events.Enabled() {
		r.events.Count(event, reason)
		return
	}
	r.events.Add(event, reason, slog.String("id", clientID))
}

// logUnserved logs that a request was rejected or failed.
func (r *Router) logUnserved(q *request, event eventlog.Event, reason string) {
	if !r.events.Enabled() {
		r.events.Count(event, reason)
		return
	}
	r.events.Add(event, reason, slog.Int64("request", q.id), slog.String("id", q.clientID), slog.Int("attempts", len(q.attempts)))
}

// logStartProgress logs how far the start has come, and how long it took up to there.
func (r *Router) logStartProgress(reason string, fields ...slog.Attr) {
	fields = append(fields, slog.Int64("after_us", r.m.Now()-r.startedAt))
	r.events.Add(eventlog.StartProgress, reason, fields...)
}

// DiscoveryCallEnded implements endpointsource.Owner: it logs the result of a call of discovery.
func (r *Router) DiscoveryCallEnded(result string, version int64, caches int) {
	r.events.Add(eventlog.DiscoveryCallEnded, result, slog.Int64("version", version), slog.Int("caches", caches))
}

// ConnectionClosed implements frontend.Handler: it logs the end of a client's connection.
func (r *Router) ConnectionClosed(reason string, unanswered int) {
	r.events.Add(eventlog.ConnectionClosed, reason, slog.Int("unanswered", unanswered))
}
