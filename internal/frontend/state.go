package frontend

import "starlingwinch/internal/machine"

// connectionState is the state of a connection. It determines the maximum time for which the connection may wait
// (maxTimeInState).
//
//	new              -> partial command, idle, awaiting replies: the first bytes arrive
//	partial command  -> awaiting replies, idle: the command is complete
//	idle             -> partial command, awaiting replies: bytes arrive
//	awaiting replies -> idle, partial command: all replies are written
//	any              -> write blocked: the socket does not accept a complete reply
//	write blocked    -> awaiting replies: the socket has accepted the rest
//	new              -> excess: the connection is past the connection limit
//	excess           -> new: the connection is within the limit again
//	any              -> lingering: the last reply is written while the client still sends
type connectionState uint8

const (
	stateNew             connectionState = iota // no command has arrived
	statePartialCommand                         // a command has arrived in part
	stateIdle                                   // between commands, with no reply due
	stateAwaitingReplies                        // replies are due
	stateWriteBlocked                           // the client does not read its replies
	stateExcess                                 // past the connection limit: the first request is rejected
	stateLingering                              // the last reply is written, and bytes that still arrive are dropped
	stateCount                                  // number of states
)

// stateNames are the names of the states in the logged close reasons of connections that timed out.
var stateNames = [stateCount]string{"first-command", "command", "idle", "replies", "write", "excess", "linger"}

// connectionList holds the connections in one state, in the order in which they entered it. The first connection is the
// first to time out, so that one timer serves all connections.
type connectionList struct {
	first, last *connection
	length      int
}

// add appends a connection to the list.
func (l *connectionList) add(c *connection) {
	l.length++
	c.prev, c.next = l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

// remove removes a connection from the list.
func (l *connectionList) remove(c *connection) {
	l.length--
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

// firstNotRetired returns the first connection that is not retired, or nil.
func (l *connectionList) firstNotRetired() *connection {
	c := l.first
	for c != nil && c.retired {
		c = c.next
	}
	return c
}

// enterState moves the connection into a state. The time in the state starts now, even if the connection was already in that
// state.
func (c *connection) enterState(state connectionState) {
	c.leaveState()
	c.state, c.listed, c.stateSince = state, true, c.server.machine.Now()
	c.server.lists[state].add(c)
	c.server.armExpiryTimer(state)
}

// leaveState removes the connection from its state's list.
func (c *connection) leaveState() {
	if c.listed {
		c.server.lists[c.state].remove(c)
		c.listed = false
	}
}

// updateState moves the connection into the state that follows from its unparsed bytes and its pending replies. It is called
// once all bytes that had arrived are read.
func (c *connection) updateState() {
	c.releaseEmptyUnparsed()
	var next connectionState
	switch {
	case c.state == stateLingering || c.state == stateWriteBlocked:
		return
	case c.readPaused:
		next = stateAwaitingReplies // whole commands wait, however long the replies due before them take
	case c.hasPartialCommand():
		next = statePartialCommand
	case len(c.pendingReplies) > 0:
		next = stateAwaitingReplies
	case c.retired && (c.commandSeen || c.commandExecuted) && c.socket.HasNothingUnread():
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
	// The time limit of a partial command starts with its first byte, and the idle time with the last command or reply.
	if next != c.state || c.commandExecuted {
		c.enterState(next)
	}
	c.commandExecuted = false
}

// maxTimeInState returns the maximum time for which a connection may stay in a state; 0 means no limit.
func (s *Server) maxTimeInState(state connectionState) Time {
	limits := &s.options.Limits
	switch state {
	case stateNew, statePartialCommand:
		return limits.CommandTime.Microseconds()
	case stateIdle:
		if s.overHalfFull() {
			return limits.IdleTimeUnderPressure.Microseconds()
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

// armExpiryTimer sets the timer to fire when the first connection in the state times out, unless the timer fires earlier.
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

// stopExpiryTimer cancels the expiry timer, if it is set.
func (s *Server) stopExpiryTimer() {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = machine.Timer(nil)
	}
}

// expireOverdue calls expire for all connections that have reached the time limit of their state. It is the callback of the
// expiry timer.
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

// expire ends the connection's time in its state. After the call, the connection has entered a state again, or is closed.
// Bytes that have arrived are read first, as a long turn may have delayed reading them.
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
		c.endPartialCommand()
		return
	}
	c.close()
}
