package router

import (
	"log/slog"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/upstream"
)

// Reasons that the event log gives for requests that end without a decision of the module.
const (
	reasonOpenRequests = "open requests" // the number of open requests has reached the limit in the settings
	reasonFairShare    = "fair share"    // the client exceeds its fair share during a retry storm
	reasonDuplicateID  = "duplicate id"  // the client sent the id of a request that is still open
	reasonReadLate     = "read late"     // the client's time was over when the request was read
	reasonHook         = "hook"          // verdict of a hook
	reasonDrainOver    = "drain over"    // the drain ended before the request was answered
)

// previousAttemptInFlight is the reason of a retry while the previous attempt is still in flight: a hedged request.
const previousAttemptInFlight = "out"

// logAttemptEnded logs an attempt that ended without a value.
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

// logRetry logs a retry of a request, with the result of the previous attempt as the reason.
func (r *Router) logRetry(q *request, cache string) {
	reason := previousAttemptInFlight
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

// RequestRejected implements frontend.Handler: it logs a request that the frontend rejected.
func (r *Router) RequestRejected(reason frontend.RejectReason, clientID string) {
	r.logNotAccepted(eventlog.RequestRejected, string(reason), clientID)
}

// logNotAccepted logs a request that ended before the router created its record.
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

// logStartProgress logs a step of the router's start, with the time since Start was called.
func (r *Router) logStartProgress(reason string, fields ...slog.Attr) {
	fields = append(fields, slog.Int64("after_us", r.m.Now()-r.startedAt))
	r.events.Add(eventlog.StartProgress, reason, fields...)
}

// DiscoveryCallEnded implements endpointsource.Owner: it logs the result of a call to discovery.
func (r *Router) DiscoveryCallEnded(result string, version int64, caches int) {
	r.events.Add(eventlog.DiscoveryCallEnded, result, slog.Int64("version", version), slog.Int("caches", caches))
}

// ConnectionClosed implements frontend.Handler: it logs the end of a client's connection.
func (r *Router) ConnectionClosed(reason string, unanswered int) {
	r.events.Add(eventlog.ConnectionClosed, reason, slog.Int("unanswered", unanswered))
}
