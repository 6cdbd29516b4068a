package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// acceptActions checks and records the module's actions and returns those that the loop must carry out.
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

// acceptAction checks and records one action and reports whether the loop must carry it out.
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
			c.reportBreach(TimerReused, 0, "", fmt.Sprintf("timer %d is already set", action.Token))
			return false
		}
	case decide.CancelTimer:
		if !c.timers.remove(action.Token) {
			c.reportBreach(CancelTimerNotSet, 0, "", fmt.Sprintf("cancel of timer %d, which is not set", action.Token))
			return false
		}
	case decide.HealthCheck:
		return c.acceptHealthCheck(action)
	case decide.CloseIdle:
		return c.acceptCloseIdle(action)
	}
	return true
}

// acceptSend tracks a new attempt. It withholds the Send if the request has ended or is unknown, and queues a NotSent result for
// the module. The loop sends no further attempts for that request, so the loop's attempt numbers for it need not match the module's.
func (c *Contract) acceptSend(action decide.Send) bool {
	request := c.requests[action.ID]
	if request == nil {
		c.events.add(eventRecord{at: c.now, kind: eventSend, request: action.ID, cache: action.Cache})
		c.reportBreach(SendAfterEnd, action.ID, action.Cache, "send for a request that has ended or is unknown")
		c.pendingResults = append(c.pendingResults, pendingResult{action.ID, c.nextAttemptOfClosed(action.ID)})
		return false
	}
	number := len(request.attempts)
	c.events.add(eventRecord{at: c.now, kind: eventSend, request: action.ID, attempt: number, cache: action.Cache})
	cache := c.getOrCreateCache(action.Cache)
	if !cache.listed {
		// The loop gets the Send nevertheless. It replies with NotSent, and attempt numbers stay equal on both sides.
		c.reportBreach(SendUnlisted, action.ID, action.Cache, "send to a cache that is not listed")
	}
	deadline := request.deadline
	if action.AttemptDeadline > 0 {
		deadline = min(deadline, action.AttemptDeadline)
	}
	request.attempts = append(request.attempts, trackedAttempt{
		cache:          cache,
		removalsAtSend: cache.removals,
		sentAt:         c.now,
		deadline:       deadline,
		inFlight:       true,
		withheld:       request.finished,
	})
	request.inFlight++
	cache.inFlightSinceListed++
	if request.finished {
		c.reportBreach(SendAfterEnd, action.ID, action.Cache, "send for a request that has ended")
		c.pendingResults = append(c.pendingResults, pendingResult{action.ID, number})
		return false
	}
	cache.inFlight++
	return true
}

// acceptCancel checks that the attempt is in flight and that its Send was not withheld.
func (c *Contract) acceptCancel(action decide.Cancel) bool {
	c.events.add(eventRecord{at: c.now, kind: eventCancel, request: action.ID, attempt: action.Attempt})
	request := c.requests[action.ID]
	known := request != nil && action.Attempt >= 0 && action.Attempt < len(request.attempts)
	if !known || !request.attempts[action.Attempt].inFlight {
		c.reportBreach(CancelUnknown, action.ID, "", fmt.Sprintf("cancel of attempt %d, which is not in flight", action.Attempt))
		return false
	}
	return !request.attempts[action.Attempt].withheld
}

// acceptAnswer checks and records a final answer, a Reject or a Fail.
func (c *Contract) acceptAnswer(id int64, kind eventKind) bool {
	c.events.add(eventRecord{at: c.now, kind: kind, request: id})
	request := c.requests[id]
	if request == nil || request.finished {
		c.reportBreach(AnswerAfterEnd, id, "", "final answer to a request that has ended or is unknown")
		return false
	}
	request.finished = true
	c.closeIfComplete(request)
	return true
}

// acceptHealthCheck checks that the cache is listed and tracks the health check.
func (c *Contract) acceptHealthCheck(action decide.HealthCheck) bool {
	c.events.add(eventRecord{at: c.now, kind: eventHealthCheck, cache: action.Cache})
	cache := c.caches[action.Cache]
	if cache == nil || !cache.listed {
		c.reportBreach(HealthCheckUnlisted, 0, action.Cache, "health check of a cache that is not listed")
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
		c.reportBreach(CloseIdleUnlisted, 0, action.Cache, "close of idle connections to a cache that is not listed")
		return false
	}
	return true
}
