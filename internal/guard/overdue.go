package guard

import (
	"fmt"
	"slices"

	"starlingwinch/decide"
)

// Overdue returns events in place of those that are missing, for the loop to hand to Handle like its own. Each is reported and
// returned once.
//
// An attempt without a result may have run, so its result is TimedOut; a health check's is too. For a request without an answer
// a ClientGone is returned: the module owes nothing more for it, and the loop has to answer the client itself, with a failure.
func (c *Contract) Overdue(now decide.Time) []decide.Event {
	c.now = now
	clear(c.repairs)
	var overdue []int64
	for id, request := range c.requests { // any order: sorted below
		if request.isOverdue(now) {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	var events []decide.Event
	for _, id := range overdue {
		events = c.appendMissingOfRequest(events, c.requests[id])
	}
	for _, name := range c.sortedNames() {
		events = c.appendMissingHealthChecks(events, c.caches[name])
	}
	for _, ev := range events {
		c.repairs[ev] = true
	}
	return events
}

// isOverdue reports whether the answer or a result is missing.
func (request *trackedRequest) isOverdue(now decide.Time) bool {
	if request.missesAnswer(now) {
		return true
	}
	for i := range request.attempts {
		if request.attempts[i].missesResult(now) {
			return true
		}
	}
	return false
}

// missesAnswer reports whether the final answer is missing. A response that has started may take as long as it takes.
func (request *trackedRequest) missesAnswer(now decide.Time) bool {
	if request.over || request.missingReported || now-lateTolerance <= request.deadline {
		return false
	}
	return !slices.ContainsFunc(request.attempts, func(attempt trackedAttempt) bool {
		return attempt.inFlight && attempt.responding
	})
}

// missesResult reports whether the result of the attempt is missing.
func (attempt *trackedAttempt) missesResult(now decide.Time) bool {
	if !attempt.inFlight || attempt.withheld || attempt.responding || attempt.missingReported {
		return false
	}
	return now-lateTolerance > attempt.deadline
}

// appendMissingOfRequest reports the missing results and the missing answer of a request, and appends the events that stand in
// for them.
func (c *Contract) appendMissingOfRequest(events []decide.Event, request *trackedRequest) []decide.Event {
	for number := range request.attempts {
		attempt := &request.attempts[number]
		if !attempt.missesResult(c.now) {
			continue
		}
		attempt.missingReported = true
		text := fmt.Sprintf("attempt %d should have ended by %d", number, attempt.deadline)
		c.breach(ResultMissing, request.id, attempt.cache.name, text)
		events = append(events, &decide.AttemptResult{
			ID:      request.id,
			Attempt: number,
			Result:  decide.TimedOut,
			Elapsed: c.now - attempt.sentAt,
			Last:    request.over,
			Load:    decide.UnknownLoad,
		})
	}
	if request.missesAnswer(c.now) {
		request.missingReported = true
		c.breach(AnswerMissing, request.id, "", fmt.Sprintf("the request wanted its answer by %d", request.deadline))
		events = append(events, &decide.ClientGone{ID: request.id})
	}
	return events
}

// appendMissingHealthChecks reports the missing results of health checks of a cache, and appends the events that stand in for
// them.
func (c *Contract) appendMissingHealthChecks(events []decide.Event, cache *trackedCache) []decide.Event {
	for _, sentAt := range cache.healthChecks[cache.missingReported:] {
		if c.now <= sentAt+lateTolerance {
			break
		}
		cache.missingReported++
		c.breach(HealthCheckMissing, 0, cache.name, fmt.Sprintf("the probe of %d has not ended", sentAt))
		events = append(events, &decide.HealthCheckResult{
			Cache:   cache.name,
			Result:  decide.TimedOut,
			Elapsed: c.now - sentAt,
			Load:    decide.UnknownLoad,
		})
	}
	return events
}

// Check compares the Contract's counts with the module's, and with onSockets: the number of attempts, health checks not among
// them, that the loop has in flight at a cache. It must be called when the loop has handed over all its events.
func (c *Contract) Check(now decide.Time, onSockets func(cache string) int) {
	c.now = now
	if c.counter != nil {
		if n := c.counter.Open(); n != len(c.requests) {
			text := fmt.Sprintf("the module holds %d requests, %d are open", n, len(c.requests))
			c.breach(OpenCountDiffers, 0, "", text)
		}
	}
	for _, name := range c.sortedNames() {
		c.checkCache(c.caches[name], onSockets)
	}
}

// checkCache compares the counts of one cache.
func (c *Contract) checkCache(cache *trackedCache, onSockets func(cache string) int) {
	if onSockets != nil {
		if n := onSockets(cache.name); n != cache.inFlight {
			text := fmt.Sprintf("%d attempts are on sockets, %d are out", n, cache.inFlight)
			c.breach(SocketCountDiffers, 0, cache.name, text)
		}
	}
	if c.counter == nil || !cache.listed {
		return
	}
	if n := c.counter.InFlight(cache.name); n != cache.inFlightOfListing {
		text := fmt.Sprintf("the module counts %d attempts, %d are out", n, cache.inFlightOfListing)
		c.breach(ModuleCountDiffers, 0, cache.name, text)
	}
}
