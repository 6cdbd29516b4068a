package guard

import (
	"maps"
	"slices"

	"starlingwinch/decide"
)

// trackedRequest is an open request: one that has no final answer or has an attempt in flight.
type trackedRequest struct {
	id              int64
	openedAt        decide.Time
	deadline        decide.Time
	attempts        []trackedAttempt // indexed by attempt number
	inFlight        int              // attempts without a result
	finished        bool             // the request has its final answer, or its client has disconnected
	clientGone      bool             // the client has disconnected
	missingReported bool             // the missing answer has been reported
}

// trackedAttempt is an attempt of an open request.
type trackedAttempt struct {
	cache           *trackedCache
	removalsAtSend  int         // value of cache.removals when the attempt was sent
	sentAt          decide.Time // when the module returned the Send
	deadline        decide.Time // when the loop aborts the attempt
	endedAt         decide.Time // when the result arrived
	result          decide.Result
	inFlight        bool // no result has arrived
	withheld        bool // the Send was withheld from the loop
	responseStarted bool // the response has started; its duration is not limited
	missingReported bool // the missing result has been reported
}

// trackedCache is the record of a cache. It counts attempts in flight twice because the module discards a cache, with its attempts
// in flight, when the cache leaves the endpoint list, while the attempts continue on their sockets.
type trackedCache struct {
	name                  string
	listed                bool
	removals              int           // number of times that the cache has left the endpoint list
	inFlight              int           // attempts in flight on the cache's sockets
	inFlightSinceListed   int           // attempts in flight that the module counts: those sent since the cache was last listed
	healthChecks          []decide.Time // send times of the health checks in flight, oldest first
	missingChecksReported int           // number of entries at the front of healthChecks whose missing result has been reported
}

// closedRequest stores the number of attempts of a closed request.
type closedRequest struct {
	id       int64
	attempts int
}

// openRequest starts tracking a request.
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

// closeIfComplete stops tracking a request that is finished and has no attempt in flight.
func (c *Contract) closeIfComplete(request *trackedRequest) {
	if !request.finished || request.inFlight > 0 {
		return
	}
	delete(c.requests, request.id)
	c.recordClosed(closedRequest{request.id, len(request.attempts)})
	if len(c.freeRequests) < maxFreeRequests {
		c.freeRequests = append(c.freeRequests, request)
	}
}

// recordClosed stores a closed request and overwrites the oldest entry.
func (c *Contract) recordClosed(closed closedRequest) {
	c.lastClosed = (c.lastClosed + 1) % maxClosedRequests
	c.closed[c.lastClosed] = closed
}

// nextAttemptOfClosed returns the number that the module assigns to its next attempt for a request that is closed or unknown.
func (c *Contract) nextAttemptOfClosed(id int64) int {
	for i := range c.closed {
		closed := &c.closed[i]
		if closed.id == id && closed.attempts > 0 {
			closed.attempts++
			return closed.attempts - 1
		}
	}
	c.recordClosed(closedRequest{id, 1})
	return 0
}

// awaitsResult reports whether the loop must still deliver a result for an attempt.
func (request *trackedRequest) awaitsResult(attempt int) bool {
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
	if attempt.removalsAtSend == attempt.cache.removals {
		attempt.cache.inFlightSinceListed--
	}
	if !attempt.withheld {
		attempt.cache.inFlight--
	}
	c.forgetIfUnused(attempt.cache)
}

// endWithheldAttempt records the result of a withheld attempt and returns the event for the module.
func (c *Contract) endWithheldAttempt(pending pendingResult) decide.Event {
	last := true
	request := c.requests[pending.request]
	if request != nil && pending.attempt < len(request.attempts) && request.attempts[pending.attempt].withheld {
		c.endAttempt(request, pending.attempt, decide.NotSent)
		last = request.finished
		c.closeIfComplete(request)
	}
	return &decide.AttemptResult{
		ID:      pending.request,
		Attempt: pending.attempt,
		Result:  decide.NotSent,
		Final:   last,
		Load:    decide.UnknownLoad,
	}
}

// getOrCreateCache returns the record of a cache and creates the record if there is none.
func (c *Contract) getOrCreateCache(name string) *trackedCache {
	cache := c.caches[name]
	if cache == nil {
		cache = &trackedCache{name: name}
		c.caches[name] = cache
	}
	return cache
}

// forgetIfUnused stops tracking a cache that is not listed and has no attempt or health check in flight.
func (c *Contract) forgetIfUnused(cache *trackedCache) {
	if !cache.listed && cache.inFlight == 0 && len(cache.healthChecks) == 0 {
		delete(c.caches, cache.name)
	}
}

// sortedCacheNames returns the names of the tracked caches in ascending order.
func (c *Contract) sortedCacheNames() []string { return slices.Sorted(maps.Keys(c.caches)) }
