package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// acceptEvent checks and records one of the loop's events and reports whether to pass it to the module.
func (c *Contract) acceptEvent(ev decide.Event) bool {
	isRepair := len(c.repairs) > 0 && c.repairs[ev]
	if isRepair {
		delete(c.repairs, ev)
	}
	switch ev := ev.(type) {
	case *decide.EndpointList:
		c.acceptEndpointList(ev)
	case *decide.Request:
		return c.acceptRequest(ev)
	case *decide.ResponseStarted:
		return c.acceptResponseStarted(ev)
	case *decide.AttemptResult:
		return c.acceptResult(ev, isRepair)
	case *decide.ClientGone:
		return c.acceptClientGone(ev, isRepair)
	case *decide.HealthCheckResult:
		return c.acceptHealthCheckResult(ev, isRepair)
	case *decide.Timer:
		if !c.timers.remove(ev.Token) {
			c.reportBreach(TimerNotSet, 0, "", fmt.Sprintf("timer %d is not set or has already fired", ev.Token))
			return false
		}
	}
	return true
}

// acceptRequest checks that the request is not open yet and starts tracking it.
func (c *Contract) acceptRequest(ev *decide.Request) bool {
	c.events.add(eventRecord{at: c.now, kind: eventRequest, request: ev.ID})
	if c.requests[ev.ID] != nil {
		c.reportBreach(RequestRepeated, ev.ID, "", "the request is already open")
		return false
	}
	c.openRequest(ev)
	return true
}

// acceptEndpointList records which caches are listed. It applies the same rules as the module.
func (c *Contract) acceptEndpointList(ev *decide.EndpointList) {
	if ev.Kind == decide.FailedUpdate {
		return
	}
	named := make(map[string]bool, len(ev.Endpoints))
	for i := range ev.Endpoints {
		endpoint := &ev.Endpoints[i]
		if endpoint.Status == decide.Removed {
			if cache := c.caches[endpoint.ID]; cache != nil {
				c.markUnlisted(cache)
			}
			continue
		}
		named[endpoint.ID] = true
		c.markListed(c.getOrCreateCache(endpoint.ID))
	}
	if ev.Kind == decide.DeltaUpdate {
		return
	}
	for _, name := range c.sortedCacheNames() {
		if !named[name] {
			c.markUnlisted(c.caches[name])
		}
	}
}

// markListed records that a cache is listed.
func (c *Contract) markListed(cache *trackedCache) {
	if !cache.listed {
		cache.listed = true
		c.events.add(eventRecord{at: c.now, kind: eventListed, cache: cache.name})
	}
}

// markUnlisted records that a cache is no longer listed.
func (c *Contract) markUnlisted(cache *trackedCache) {
	if cache.listed {
		cache.listed, cache.inFlightSinceListed = false, 0
		cache.removals++
		c.events.add(eventRecord{at: c.now, kind: eventUnlisted, cache: cache.name})
	}
	c.forgetIfUnused(cache)
}

// acceptResponseStarted checks that the attempt is in flight and records that its response has started.
func (c *Contract) acceptResponseStarted(ev *decide.ResponseStarted) bool {
	c.events.add(eventRecord{at: c.now, kind: eventResponseStarted, request: ev.ID, attempt: ev.Attempt})
	request := c.requests[ev.ID]
	if request == nil || !request.awaitsResult(ev.Attempt) {
		c.reportBreach(ResponseStartUnknown, ev.ID, "", fmt.Sprintf("attempt %d is not in flight", ev.Attempt))
		return false
	}
	request.attempts[ev.Attempt].responseStarted = true
	return true
}

// acceptResult checks that the attempt is in flight and records its result.
func (c *Contract) acceptResult(ev *decide.AttemptResult, isRepair bool) bool {
	record := eventRecord{at: c.now, kind: eventResult, request: ev.ID, attempt: ev.Attempt, result: ev.Result}
	request := c.requests[ev.ID]
	if request == nil || !request.awaitsResult(ev.Attempt) {
		c.events.add(record)
		if !isRepair { // a repair is no breach: the result that it replaces has arrived since
			c.reportUnexpectedResult(ev, request)
		}
		return false
	}
	record.cache = request.attempts[ev.Attempt].cache.name
	c.events.add(record)
	c.endAttempt(request, ev.Attempt, ev.Result)
	// Final may arrive before the ClientGone that explains it, because the loop already knows that the client has disconnected.
	request.finished = request.finished || ev.Final
	c.closeIfComplete(request)
	return true
}

// reportUnexpectedResult reports a result of an attempt that is not in flight. request is nil if the request is not open.
func (c *Contract) reportUnexpectedResult(ev *decide.AttemptResult, request *trackedRequest) {
	neverSent := ev.ID > c.newestRequest || ev.Attempt < 0 || request != nil && ev.Attempt >= len(request.attempts)
	if neverSent {
		c.reportBreach(ResultUnknown, ev.ID, "", fmt.Sprintf("attempt %d was never sent", ev.Attempt))
	} else {
		c.reportBreach(ResultRepeated, ev.ID, "", fmt.Sprintf("attempt %d already has its result", ev.Attempt))
	}
}

// acceptClientGone records that the client has disconnected and that the module owes its request no answer.
func (c *Contract) acceptClientGone(ev *decide.ClientGone, isRepair bool) bool {
	c.events.add(eventRecord{at: c.now, kind: eventClientGone, request: ev.ID})
	request := c.requests[ev.ID]
	switch {
	case request == nil && ev.ID > c.newestRequest:
		c.reportBreach(ClientGoneUnknown, ev.ID, "", "the request is unknown")
		return false
	case request == nil:
		return true // the request ended, for example by the final answer, while this event was still queued
	case request.clientGone:
		if !isRepair {
			c.reportBreach(ClientGoneUnknown, ev.ID, "", "the client has already disconnected")
		}
		return false
	}
	request.finished, request.clientGone = true, true
	c.closeIfComplete(request)
	return true
}

// acceptHealthCheckResult checks that a health check of the cache is in flight and records its result.
func (c *Contract) acceptHealthCheckResult(ev *decide.HealthCheckResult, isRepair bool) bool {
	c.events.add(eventRecord{at: c.now, kind: eventHealthCheckResult, cache: ev.Cache, result: ev.Result})
	cache := c.caches[ev.Cache]
	if cache == nil || len(cache.healthChecks) == 0 {
		if !isRepair {
			c.reportBreach(HealthCheckUnknown, 0, ev.Cache, "no health check is in flight")
		}
		return false
	}
	cache.healthChecks = append(cache.healthChecks[:0], cache.healthChecks[1:]...)
	cache.missingChecksReported = max(0, cache.missingChecksReported-1)
	c.forgetIfUnused(cache)
	return true
}
