package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// acceptEvent checks and records an event of the loop, and reports whether the module gets it.
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
			c.breach(TimerNotSet, 0, "", fmt.Sprintf("timer %d is not set, or has fired", ev.Token))
			return false
		}
	}
	return true
}

// acceptRequest begins to track a request.
func (c *Contract) acceptRequest(ev *decide.Request) bool {
	c.events.add(eventRecord{at: c.now, kind: eventRequest, request: ev.ID})
	if c.requests[ev.ID] != nil {
		c.breach(RequestRepeated, ev.ID, "", "the request is open already")
		return false
	}
	c.openRequest(ev)
	return true
}

// acceptEndpointList records which caches are listed, just as the module takes it.
func (c *Contract) acceptEndpointList(ev *decide.EndpointList) {
	if ev.Kind == decide.FailedUpdate {
		return
	}
	named := make(map[string]bool, len(ev.Endpoints))
	for i := range ev.Endpoints {
		endpoint := &ev.Endpoints[i]
		if endpoint.Status == decide.Removed {
			if cache := c.caches[endpoint.ID]; cache != nil {
				c.unlist(cache)
			}
			continue
		}
		named[endpoint.ID] = true
		c.list(c.cacheNamed(endpoint.ID))
	}
	if ev.Kind == decide.DeltaUpdate {
		return
	}
	for _, name := range c.sortedNames() {
		if !named[name] {
			c.unlist(c.caches[name])
		}
	}
}

// list records that a cache is listed.
func (c *Contract) list(cache *trackedCache) {
	if !cache.listed {
		cache.listed = true
		c.events.add(eventRecord{at: c.now, kind: eventListed, cache: cache.name})
	}
}

// unlist records that a cache is not listed any more.
func (c *Contract) unlist(cache *trackedCache) {
	if cache.listed {
		cache.listed, cache.inFlightOfListing = false, 0
		cache.listing++
		c.events.add(eventRecord{at: c.now, kind: eventUnlisted, cache: cache.name})
	}
	c.forgetIfUnused(cache)
}

// acceptResponseStarted records that an attempt's response has started.
func (c *Contract) acceptResponseStarted(ev *decide.ResponseStarted) bool {
	c.events.add(eventRecord{at: c.now, kind: eventResponseStarted, request: ev.ID, attempt: ev.Attempt})
	request := c.requests[ev.ID]
	if request == nil || !request.isInFlight(ev.Attempt) {
		c.breach(ResponseStartUnknown, ev.ID, "", fmt.Sprintf("attempt %d is not out", ev.Attempt))
		return false
	}
	request.attempts[ev.Attempt].responding = true
	return true
}

// acceptResult records the result of an attempt.
func (c *Contract) acceptResult(ev *decide.AttemptResult, isRepair bool) bool {
	record := eventRecord{at: c.now, kind: eventResult, request: ev.ID, attempt: ev.Attempt, result: ev.Result}
	request := c.requests[ev.ID]
	if request == nil || !request.isInFlight(ev.Attempt) {
		c.events.add(record)
		if !isRepair { // else the missing result has come after all
			c.breachOfResult(ev, request)
		}
		return false
	}
	record.cache = request.attempts[ev.Attempt].cache.name
	c.events.add(record)
	c.endAttempt(request, ev.Attempt, ev.Result)
	// Last may come before the ClientGone that explains it: the loop knew that the client had gone.
	request.over = request.over || ev.Last
	c.closeIfComplete(request)
	return true
}

// breachOfResult reports a result of an attempt that is not in flight. The request is nil where it is not open.
func (c *Contract) breachOfResult(ev *decide.AttemptResult, request *trackedRequest) {
	neverSent := ev.ID > c.newestRequest || ev.Attempt < 0 || request != nil && ev.Attempt >= len(request.attempts)
	if neverSent {
		c.breach(ResultUnknown, ev.ID, "", fmt.Sprintf("attempt %d was never sent", ev.Attempt))
	} else {
		c.breach(ResultRepeated, ev.ID, "", fmt.Sprintf("attempt %d has had its outcome", ev.Attempt))
	}
}

// acceptClientGone records that nothing more is owed for a request.
func (c *Contract) acceptClientGone(ev *decide.ClientGone, isRepair bool) bool {
	c.events.add(eventRecord{at: c.now, kind: eventClientGone, request: ev.ID})
	request := c.requests[ev.ID]
	switch {
	case request == nil && ev.ID > c.newestRequest:
		c.breach(ClientGoneUnknown, ev.ID, "", "the request was never asked")
		return false
	case request == nil:
		return true // the client left while the final answer was on its way from the module
	case request.clientGone:
		if !isRepair {
			c.breach(ClientGoneUnknown, ev.ID, "", "the client has left already")
		}
		return false
	}
	request.over, request.clientGone = true, true
	c.closeIfComplete(request)
	return true
}

// acceptHealthCheckResult records the result of a health check.
func (c *Contract) acceptHealthCheckResult(ev *decide.HealthCheckResult, isRepair bool) bool {
	c.events.add(eventRecord{at: c.now, kind: eventHealthCheckResult, cache: ev.Cache, result: ev.Result})
	cache := c.caches[ev.Cache]
	if cache == nil || len(cache.healthChecks) == 0 {
		if !isRepair {
			c.breach(HealthCheckUnknown, 0, ev.Cache, "no probe is out")
		}
		return false
	}
	cache.healthChecks = append(cache.healthChecks[:0], cache.healthChecks[1:]...)
	cache.missingReported = max(0, cache.missingReported-1)
	c.forgetIfUnused(cache)
	return true
}
