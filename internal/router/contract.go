package router

import (
	"log/slog"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/guard"
)

// repairContract delivers the events that the contract finds overdue: it aborts the attempt or fails the request that an event is
// about, and queues the event itself unless aborting the attempt does so. It only queues a missing health check result. If no event
// is pending afterwards, it checks the contract's counts.
func (r *Router) repairContract() {
	for _, event := range r.contract.OverdueEvents(r.m.Now()) {
		switch event := event.(type) {
		case *decide.AttemptResult:
			if r.abortOverdueAttempt(event) {
				continue // aborting the attempt queues its result
			}
			if q := r.requests[event.ID]; q != nil {
				q.undeliveredEvents++
			}
		case *decide.ClientGone:
			if q := r.requests[event.ID]; q != nil {
				q.undeliveredEvents++
				r.finishRequest(q, failure)
			}
		}
		r.queueEvent(event)
	}
	if len(r.pendingEvents) == 0 {
		r.contract.CheckCounts(r.m.Now(), r.pool.InFlight)
	}
}

// abortOverdueAttempt ends an attempt that is still in flight because its deadline timer was lost. It reports whether there was
// such an attempt.
func (r *Router) abortOverdueAttempt(overdue *decide.AttemptResult) bool {
	q := r.requests[overdue.ID]
	if q == nil || overdue.Attempt >= len(q.attempts) || q.attempts[overdue.Attempt].Ended() {
		return false
	}
	q.attempts[overdue.Attempt].Abort(decide.TimedOut)
	return true
}

// violations returns the number of violations that the guard has counted.
func (r *Router) violations() int {
	counts := r.guard.Counts()
	return counts.TotalViolations()
}

// logViolation logs a violation of one of the guard's rules.
func (r *Router) logViolation(v guard.Violation) {
	r.events.Add(eventlog.Violation, v.Reason.String(), slog.Int64("request", v.Request), slog.String("id", v.ClientID),
		slog.Int("attempt", v.Attempt), slog.String("cache", v.Cache), slog.Int64("by_us", v.Excess))
}

// logBreach logs a breach of the contract between the event loop and the module, with the events and actions that preceded it.
func (r *Router) logBreach(b guard.Breach) {
	r.logger.Error("contract breach", "kind", b.Kind.String(), "request", b.Request, "cache", b.Cache, "detail", b.Text,
		"before", strings.Join(b.History, " | "))
}
