package guard

import (
	"maps"
	"slices"

	"starlingwinch/decide"
)

// trackedRequest is a request that is open: not answered, or with an attempt in flight.
type trackedRequest struct {
	id              int64
	openedAt        decide.Time
	deadline        decide.Time
	attempts        []trackedAttempt // by number
	inFlight        int              // attempts without a result
	over            bool             // it has its final answer, or its client has gone
	clientGone      bool             // its client has gone
	missingReported bool             // its missing answer was reported
}

// trackedAttempt is an attempt of an open request.
type trackedAttempt struct {
	cache           *trackedCache
	listing         int         // the cache's when it was sent
	sentAt          decide.Time // when the module sent it
	deadline        decide.Time // when the loop gives it up
	endedAt         decide.Time // when it got its result
	result          decide.Result
	inFlight        bool // it has no result
	withheld        bool // its Send was withheld from the loop
	responding      bool // its response has started, and may take as long as it takes
	missingReported bool // its missing result was reported
}

// trackedCache is a cache by its name. The module forgets a cache that leaves the list, with the attempts in flight there; the
// sockets do not. So both are counted.
type trackedCache struct {
	name              string
	listed            bool
	listing           int           // how often it has left the list
	inFlight          int           // attempts in flight on its sockets
	inFlightOfListing int           // attempts in flight that the module counts: those sent since it was last listed
	healthChecks      []decide.Time // when those in flight were sent
	missingReported   int           // the first so many of healthChecks were reported as missing
}

// closedRequest keeps the number of attempts of a request that is closed.
type closedRequest struct {
	id       int64
	attempts int
}

// openRequest begins to track a request.
func (c *Contract) openRequest(ev *decide.Request) {
	var request *trackedRequest
	if n := len(c.freeRequests); n > 0 {
		request, c.freeRequests = c.freeRequests[n-1], c.freeRequests[:n-1]
		*request = trackedRequest{attempts: request.attempts[:0]}
	} else {
		request = &trackedRequest{}
	}
	request.id, request.openedAt, request.deadline = ev.ID, c.now, ev.Deadline
	c.requests[ev.ID] = request
	c.newestRequest = max(c.newestRequest, ev.ID)
}

// closeIfComplete stops tracking a request once neither side owes anything for it.
func (c *Contract) closeIfComplete(request *trackedRequest) {
	if !request.over || request.inFlight > 0 {
		return
	}
	delete(c.requests, request.id)
	c.rememberClosed(closedRequest{request.id, len(request.attempts)})
	if len(c.freeRequests) < maxFreeRequests {
		c.freeRequests = append(c.freeRequests, request)
	}
}

// rememberClosed keeps a closed request in place of the one closed longest ago.
func (c *Contract) rememberClosed(closed closedRequest) {
	c.lastClosed = (c.lastClosed + 1) % maxClosedRequests
	c.closed[c.lastClosed] = closed
}

// nextAttemptOfClosed returns the number that the module gives its next attempt for a request that is closed or was never
// announced.
func (c *Contract) nextAttemptOfClosed(id int64) int {
	for i := range c.closed {
		closed := &c.closed[i]
		if closed.id == id && closed.attempts > 0 {
			closed.attempts++
			return closed.attempts - 1
		}
	}
	c.rememberClosed(closedRequest{id, 1})
	return 0
}

// isInFlight reports whether the loop owes a result for an attempt.
func (request *trackedRequest) isInFlight(attempt int) bool {
	if attempt < 0 || attempt >= len(request.attempts) {
		return false
	}
	return request.attempts[attempt].inFlight && !request.attempts[attempt].withheld
}

// endAttempt records the result of an attempt.
func (c *Contract) endAttempt(request *trackedRequest, number int, result decide.Result) {
	attempt := &request.attempts[number]
	attempt.inFlight, attempt.result, attempt.endedAt = false, result, c.now
	request.inFlight--
	if attempt.listing == attempt.cache.listing {
		attempt.cache.inFlightOfListing--
	}
	if !attempt.withheld {
		attempt.cache.inFlight--
	}
	c.forgetIfUnused(attempt.cache)
}

// endWithheld records the result of a withheld attempt, and returns the event for the module.
func (c *Contract) endWithheld(pending pendingResult) decide.Event {
	last := true
	request := c.requests[pending.request]
	if request != nil && pending.attempt < len(request.attempts) && request.attempts[pending.attempt].withheld {
		c.endAttempt(request, pending.attempt, decide.NotSent)
		last = request.over
		c.closeIfComplete(request)
	}
	return &decide.AttemptResult{
		ID:      pending.request,
		Attempt: pending.attempt,
		Result:  decide.NotSent,
		Last:    last,
		Load:    decide.UnknownLoad,
	}
}

// cacheNamed returns the record of a cache, and makes it where there is none.
func (c *Contract) cacheNamed(name string) *trackedCache {
	cache := c.caches[name]
	if cache == nil {
		cache = &trackedCache{name: name}
		c.caches[name] = cache
	}
	return cache
}

// forgetIfUnused stops tracking a cache that is not listed once nothing is in flight there.
func (c *Contract) forgetIfUnused(cache *trackedCache) {
	if !cache.listed && cache.inFlight == 0 && len(cache.healthChecks) == 0 {
		delete(c.caches, cache.name)
	}
}

// sortedNames returns the names of the tracked caches.
func (c *Contract) sortedNames() []string { return slices.Sorted(maps.Keys(c.caches)) }
