package frontend

import "starlingwinch/internal/machine"

// connectionState is what a connection is waiting for. It determines how long the connection may wait (maxTimeInState).
//
//	new              -> partial command, idle, awaiting replies: as its first bytes arrive
//	partial command  -> awaiting replies, idle: the command is whole
//	idle             -> partial command, awaiting replies: as bytes arrive
//	awaiting replies -> idle, partial command: all replies are written
//	any              -> write blocked: the socket does not take a whole reply; -> awaiting replies: it has taken all of it
//	new              -> excess: it is past the connection limit; -> new: it no longer is
//	any              -> lingering: its last reply is written while the client still sends
type connectionState uint8

const (
	stateNew             connectionState = iota // no command has arrived yet
	statePartialCommand                         // a command has begun and is not whole
	stateIdle                                   // between commands, with no reply due
	stateAwaitingReplies                        // replies are due
	stateWriteBlocked                           // the client does not read its replies
	stateExcess                                 // past the connection limit: its first request is refused
	stateLingering                              // its last reply is written, and what still arrives is dropped
	stateCount                                  // the number of states
)

// stateNames are the states' names in the log, as what a connection took too long for.
var stateNames = [stateCount]string{"first-command", "command", "idle", "replies", "write", "excess", "linger"}

// connectionList holds the connections in one state in the order in which they entered it. The first is the first whose time
// is over, so that one timer serves all.
type connectionList struct{ first, last *connection }

// add appends a connection.
func (l *connectionList) add(c *connection) {
	c.prev, c.next = l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

// remove takes a connection out.
func (l *connectionList) remove(c *connection) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.prev, c.next = nil, nil
}

// firstNotRetired returns the first connection that is not about to be closed, or nil.
func (l *connectionList) firstNotRetired() *connection {
	c := l.first
	for c != nil && c.retired {
		c = c.next
	}
	return c
}

// enterState moves the connection into a state. Its time there begins now, also where it was in that state before.
func (c *connection) enterState(state connectionState) {
	c.leaveState()
	c.state, c.listed, c.stateSince = state, true, c.server.machine.Now()
	c.server.lists[state].add(c)
	c.server.armExpiryTimer(state)
}

// leaveState takes the connection out of its state's list.
func (c *connection) leaveState() {
	if c.listed {
		c.server.lists[c.state].remove(c)
		c.listed = false
	}
}

// updateState moves the connection into the state that follows from what was read and what is due. It is called when all that
// had arrived is read.
func (c *connection) updateState() {
	c.unparsed = releaseEmpty(c.unparsed)
	if c.unparsedCharge > 0 && int64(cap(c.unparsed)) < c.unparsedCharge {
		c.server.buffered.release(c.unparsedCharge)
		c.unparsedCharge = 0
	}
	var next connectionState
	switch {
	case c.state == stateLingering || c.state == stateWriteBlocked:
		return
	case len(c.unparsed) > 0:
		next = statePartialCommand
	case len(c.pendingReplies) > 0:
		next = stateAwaitingReplies
	case c.retired && c.commandSeen && c.socket.Quiet():
		c.close()
		return
	case c.commandSeen:
		next = stateIdle
	default:
		next = stateNew
	}
	if c.excess && next != stateAwaitingReplies {
		next = stateExcess
	}
	// The time of a partial command runs from its first byte, idle time from the last command or reply.
	if next != c.state || c.commandTaken {
		c.enterState(next)
	}
	c.commandTaken = false
}

// maxTimeInState returns how long a connection may stay in a state; 0 is no limit.
func (s *Server) maxTimeInState(state connectionState) Time {
	limits := &s.options.Limits
	switch state {
	case stateNew, statePartialCommand:
		return limits.CommandTime.Microseconds()
	case stateIdle:
		if s.overHalfFull() {
			return limits.CrowdedIdleTime.Microseconds()
		}
		return limits.IdleTime.Microseconds()
	case stateWriteBlocked:
		return limits.WriteTime.Microseconds()
	case stateExcess:
		return excessTimeout
	case stateLingering:
		return limits.LingerTime.Microseconds()
	}
	return 0
}

// armExpiryTimer has the timer fire in time for the first connection in a state.
func (s *Server) armExpiryTimer(state connectionState) {
	first, maxTime := s.lists[state].first, s.maxTimeInState(state)
	if first == nil || maxTime == 0 {
		return
	}
	expiresAt := first.stateSince + maxTime
	if s.expiryTimer == nil || expiresAt < s.expiryAt {
		s.stopExpiryTimer()
		s.expiryAt, s.expiryTimer = expiresAt, s.machine.At(expiresAt, s.expireOverdue)
	}
}

// stopExpiryTimer cancels the timer, if one is set.
func (s *Server) stopExpiryTimer() {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = machine.Timer(nil)
	}
}

// expireOverdue ends the time of the connections that have been in their state for too long. It is the timer's callback.
func (s *Server) expireOverdue() {
	s.expiryTimer = nil
	now := s.machine.Now()
	for i := range s.lists {
		state := connectionState(i)
		maxTime := s.maxTimeInState(state)
		if maxTime == 0 {
			continue
		}
		for c := s.lists[i].first; c != nil && c.stateSince+maxTime <= now; c = s.lists[i].first {
			c.expire()
		}
		s.armExpiryTimer(state)
	}
	s.enforceConnectionLimit(nil)
	s.handler.ProcessEvents()
}

// expire ends the connection's time in its state: afterwards it has entered a state anew, or is closed. What has arrived
// unread is read first, as the turn may have taken long.
func (c *connection) expire() {
	state, since := c.state, c.stateSince
	if state != stateWriteBlocked && state != stateLingering {
		c.readIfPending()
		if c.closed || c.state != state || c.stateSince != since {
			return
		}
		if c.readScheduled { // more has arrived than one turn reads
			c.enterState(state)
			return
		}
	}
	if state == statePartialCommand {
		c.failProtocol(incompleteCommandText)
		return
	}
	c.close()
}
