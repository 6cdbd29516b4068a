package guard

import (
	"fmt"
	"slices"

	"starlingwinch/decide"
)

// OverdueEvents returns replacements for missing events. The loop must pass them to Handle like its own events. OverdueEvents
// reports and replaces each missing result or answer once.
//
// The replacement for a missing result of an attempt or a health check is TimedOut, because the attempt may have run. The
// replacement for a missing answer is a ClientGone, after which the module owes no answer; the loop must answer the client
// itself, with a failure.
func (c *Contract) OverdueEvents(now decide.Time) []decide.Event {
	c.now = now
	clear(c.repairs)
	var overdue []int64
	for id, request := range c.requests { // any order: overdue is sorted below
		if request.isOverdue(now) {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	var events []decide.Event
	for _, id := range overdue {
		events = c.appendMissingResultsAndAnswer(events, c.requests[id])
	}
	for _, name := range c.sortedCacheNames() {
		events = c.appendMissingHealthChecks(events, c.caches[name])
	}
	for _, ev := range events {
		c.repairs[ev] = true
	}
	return events
}

// isOverdue reports whether the final answer or the result of an attempt is missing.
func (request *trackedRequest) isOverdue(now decide.Time) bool {
	if request.answerOverdue(now) {
		return true
	}
	for i := range request.attempts {
		if request.attempts[i].resultOverdue(now) {
			return true
		}
	}
	return false
}

// answerOverdue reports whether the final answer is missing. The duration of a response that has started is not limited.
func (request *trackedRequest) answerOverdue(now decide.Time) bool {
	if request.finished || request.missingReported || now-overdueTolerance <= request.deadline {
		return false
	}
	return !slices.ContainsFunc(request.attempts, func(attempt trackedAttempt) bool {
		return attempt.inFlight && attempt.responseStarted
	})
}

// resultOverdue reports whether the result of the attempt is missing.
func (attempt *trackedAttempt) resultOverdue(now decide.Time) bool {
	if !attempt.inFlight || attempt.withheld || attempt.responseStarted || attempt.missingReported {
		return false
	}
	return now-overdueTolerance > attempt.deadline
}

// appendMissingResultsAndAnswer reports the missing results and the missing answer of a request and appends their replacements to
// events.
func (c *Contract) appendMissingResultsAndAnswer(events []decide.Event, request *trackedRequest) []decide.Event {
	for number := range request.attempts {
		attempt := &request.attempts[number]
		if !attempt.resultOverdue(c.now) {
			continue
		}
		attempt.missingReported = true
		text := fmt.Sprintf("attempt %d has no result after its deadline %d", number, attempt.deadline)
		c.reportBreach(ResultMissing, request.id, attempt.cache.name, text)
		events = append(events, &decide.AttemptResult{
			ID:      request.id,
			Attempt: number,
			Result:  decide.TimedOut,
			Elapsed: c.now - attempt.sentAt,
			Final:   request.finished,
			Load:    decide.UnknownLoad,
		})
	}
	if request.answerOverdue(c.now) {
		request.missingReported = true
		c.reportBreach(AnswerMissing, request.id, "", fmt.Sprintf("the request has no final answer after its deadline %d", request.deadline))
		events = append(events, &decide.ClientGone{ID: request.id})
	}
	return events
}

// appendMissingHealthChecks reports the missing results of a cache's health checks and appends their replacements to events.
func (c *Contract) appendMissingHealthChecks(events []decide.Event, cache *trackedCache) []decide.Event {
	for _, sentAt := range cache.healthChecks[cache.missingChecksReported:] {
		if c.now <= sentAt+overdueTolerance {
			break
		}
		cache.missingChecksReported++
		c.reportBreach(HealthCheckMissing, 0, cache.name, fmt.Sprintf("the health check sent at %d has no result", sentAt))
		events = append(events, &decide.HealthCheckResult{
			Cache:   cache.name,
			Result:  decide.TimedOut,
			Elapsed: c.now - sentAt,
			Load:    decide.UnknownLoad,
		})
	}
	return events
}

// CheckCounts compares the Contract's counts with the module's and with onSockets, which returns the number of attempts, without
// health checks, that the loop has in flight at a cache. It reports each difference as a breach. onSockets may be nil. The loop
// must call CheckCounts only when its event queue is empty.
func (c *Contract) CheckCounts(now decide.Time, onSockets func(cache string) int) {
	c.now = now
	if c.counter != nil {
		if n := c.counter.OpenRequests(); n != len(c.requests) {
			text := fmt.Sprintf("the module counts %d open requests, the contract counts %d", n, len(c.requests))
			c.reportBreach(OpenCountDiffers, 0, "", text)
		}
	}
	for _, name := range c.sortedCacheNames() {
		c.checkCache(c.caches[name], onSockets)
	}
}

// checkCache compares the counts of attempts in flight at one cache.
func (c *Contract) checkCache(cache *trackedCache, onSockets func(cache string) int) {
	if onSockets != nil {
		if n := onSockets(cache.name); n != cache.inFlight {
			text := fmt.Sprintf("%d attempts are in flight on sockets, the contract counts %d", n, cache.inFlight)
			c.reportBreach(SocketCountDiffers, 0, cache.name, text)
		}
	}
	if c.counter == nil || !cache.listed {
		return
	}
	if n := c.counter.InFlight(cache.name); n != cache.inFlightSinceListed {
		text := fmt.Sprintf("the module counts %d attempts in flight, the contract counts %d", n, cache.inFlightSinceListed)
		c.reportBreach(ModuleCountDiffers, 0, cache.name, text)
	}
}
