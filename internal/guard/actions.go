package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// acceptActions records what the module asks for and returns what the loop is to carry out.
func (c *Contract) acceptActions(actions []decide.Action) []decide.Action {
	for i, action := range actions {
		if c.acceptAction(action) {
			continue
		}
		accepted := append([]decide.Action(nil), actions[:i]...)
		for _, action := range actions[i+1:] {
			if c.acceptAction(action) {
				accepted = append(accepted, action)
			}
		}
		return accepted
	}
	return actions
}

// acceptAction records one action, and reports whether the loop is to carry it out.
func (c *Contract) acceptAction(action decide.Action) bool {
	switch action := action.(type) {
	case decide.Send:
		return c.acceptSend(action)
	case decide.Cancel:
		return c.acceptCancel(action)
	case decide.Reject:
		return c.acceptAnswer(action.ID, eventReject)
	case decide.Fail:
		return c.acceptAnswer(action.ID, eventFail)
	case decide.SetTimer:
		if !c.timers.add(action.Token) {
			c.breach(TimerReused, 0, "", fmt.Sprintf("timer %d is set already", action.Token))
			return false
		}
	case decide.CancelTimer:
		if !c.timers.remove(action.Token) {
			c.breach(CancelTimerNotSet, 0, "", fmt.Sprintf("timer %d, which is taken back, is not set", action.Token))
			return false
		}
	case decide.HealthCheck:
		return c.acceptHealthCheck(action)
	case decide.CloseIdle:
		return c.acceptCloseIdle(action)
	}
	return true
}

// acceptSend tracks a new attempt. Its Send is withheld if the request is over: the loop sends nothing more for it, so its
// numbers of attempts need not follow.
func (c *Contract) acceptSend(action decide.Send) bool {
	request := c.requests[action.ID]
	if request == nil {
		c.events.add(eventRecord{at: c.now, kind: eventSend, request: action.ID, cache: action.Cache})
		c.breach(SendAfterEnd, action.ID, action.Cache, "a send for a request that is over or was never asked")
		c.pendingResults = append(c.pendingResults, pendingResult{action.ID, c.nextAttemptOfClosed(action.ID)})
		return false
	}
	number := len(request.attempts)
	c.events.add(eventRecord{at: c.now, kind: eventSend, request: action.ID, attempt: number, cache: action.Cache})
	cache := c.cacheNamed(action.Cache)
	if !cache.listed {
		// It is carried out all the same: the loop answers with NotSent, and the numbers of attempts stay the same on both
		// sides.
		c.breach(SendUnlisted, action.ID, action.Cache, "a send to a cache that is not listed")
	}
	deadline := request.deadline
	if action.AttemptDeadline > 0 {
		deadline = min(deadline, action.AttemptDeadline)
	}
	request.attempts = append(request.attempts, trackedAttempt{
		cache:    cache,
		listing:  cache.listing,
		sentAt:   c.now,
		deadline: deadline,
		inFlight: true,
		withheld: request.over,
	})
	request.inFlight++
	cache.inFlightOfListing++
	if request.over {
		c.breach(SendAfterEnd, action.ID, action.Cache, "a send for a request that is over")
		c.pendingResults = append(c.pendingResults, pendingResult{action.ID, number})
		return false
	}
	cache.inFlight++
	return true
}

// acceptCancel checks that the attempt is in flight.
func (c *Contract) acceptCancel(action decide.Cancel) bool {
	c.events.add(eventRecord{at: c.now, kind: eventCancel, request: action.ID, attempt: action.Attempt})
	request := c.requests[action.ID]
	known := request != nil && action.Attempt >= 0 && action.Attempt < len(request.attempts)
	if !known || !request.attempts[action.Attempt].inFlight {
		c.breach(CancelUnknown, action.ID, "", fmt.Sprintf("a cancel of attempt %d, which is not out", action.Attempt))
		return false
	}
	return !request.attempts[action.Attempt].withheld
}

// acceptAnswer records a final answer, Reject or Fail.
func (c *Contract) acceptAnswer(id int64, kind eventKind) bool {
	c.events.add(eventRecord{at: c.now, kind: kind, request: id})
	request := c.requests[id]
	if request == nil || request.over {
		c.breach(AnswerAfterEnd, id, "", "a final answer to a request that is over or was never asked")
		return false
	}
	request.over = true
	c.closeIfComplete(request)
	return true
}

// acceptHealthCheck tracks a health check.
func (c *Contract) acceptHealthCheck(action decide.HealthCheck) bool {
	c.events.add(eventRecord{at: c.now, kind: eventHealthCheck, cache: action.Cache})
	cache := c.caches[action.Cache]
	if cache == nil || !cache.listed {
		c.breach(HealthCheckUnlisted, 0, action.Cache, "a probe of a cache that is not listed")
		return false
	}
	cache.healthChecks = append(cache.healthChecks, c.now)
	return true
}

// acceptCloseIdle checks that the cache is listed.
func (c *Contract) acceptCloseIdle(action decide.CloseIdle) bool {
	c.events.add(eventRecord{at: c.now, kind: eventCloseIdle, cache: action.Cache})
	cache := c.caches[action.Cache]
	if cache == nil || !cache.listed {
		c.breach(CloseIdleUnlisted, 0, action.Cache, "the cache is not listed")
		return false
	}
	return true
}
