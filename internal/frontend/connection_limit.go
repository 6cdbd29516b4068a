package frontend

// enforceConnectionLimit applies the connection limit after a connection was accepted or closed. newest is the accepted
// connection, or nil.
//
// Past the limit, the server retires an unused connection in favour of newest. If all connections are in use, a few more
// stay open until their first command, which is rejected: in the kernel's accept queue, the client would wait until its
// timeout. With more than maxExcessConnections of them, the listener pauses, and the first of them gives its place to the
// next connection after excessGrace: clients that send nothing must not keep the requests of others in the queue.
func (s *Server) enforceConnectionLimit(newest *connection) {
	if s.closed {
		return
	}
	if s.connections > s.options.MaxConnections {
		s.evictOne(newest)
	}
	if s.connections > s.options.MaxConnections && newest != nil && !newest.closed {
		newest.excess = true
		newest.enterState(stateExcess)
	}
	s.admitExcessConnections()
	s.replaceExcessConnections()
	s.pauseListenerAtLimit()
}

// evictOne retires an unused connection in favour of newest, or ends one that has stopped in the middle of a command.
func (s *Server) evictOne(newest *connection) {
	if c := s.stalledConnection(); c != nil {
		c.endPartialCommand()
		return
	}
	if c := s.evictionCandidate(newest); c != nil {
		c.retire()
	}
}

// stalledConnection returns the connection that has waited longest for the rest of a command that does not go on, or nil.
func (s *Server) stalledConnection() *connection {
	now := s.machine.Now()
	for c := s.lists[statePartialCommand].first; c != nil; c = c.next {
		if len(c.pendingReplies) == 0 && c.isStalled(now) {
			return c
		}
	}
	return nil
}

// takePlace lets a connection past the limit, of which a complete request has come, take the place of the connection whose command has
// been incomplete for longest. It reports whether there was one. Clients that write slowly would otherwise hold all places.
func (c *connection) takePlace() bool {
	s := c.server
	latest := s.machine.Now() - slowCommandTime
	other := s.lists[statePartialCommand].first
	for other != nil && (other.reading || other.readScheduled || len(other.pendingReplies) > 0) {
		other = other.next
	}
	if other == nil || other.stateSince > latest {
		return false
	}
	c.excess = false
	c.enterState(stateNew) // before the other connection closes, which would give its place to the first one past the limit
	other.endPartialCommand()
	return true
}

// replaceExcessConnections closes the connections past the limit that have had excessGrace for their command, as many as others may
// need their places.
func (s *Server) replaceExcessConnections() {
	latest := s.machine.Now() - excessGrace
	for s.atExcessLimit() {
		c := s.lists[stateExcess].first
		if c == nil || c.stateSince > latest {
			return
		}
		c.expire()
	}
}

// atExcessLimit reports whether the server takes no more connections past the limit.
func (s *Server) atExcessLimit() bool {
	return s.connections > s.options.MaxConnections+maxExcessConnections
}

// admitExcessConnections starts to serve connections that were past the limit, as many as the limit now allows.
func (s *Server) admitExcessConnections() {
	for s.connections <= s.options.MaxConnections && s.lists[stateExcess].first != nil {
		c := s.lists[stateExcess].first
		c.excess = false
		c.enterState(stateNew)
		c.updateState()
	}
}

// pauseListenerAtLimit pauses the listener if more than maxExcessConnections are open past the limit, and resumes it
// otherwise.
func (s *Server) pauseListenerAtLimit() {
	atLimit := s.atExcessLimit()
	if atLimit == s.listenerPaused {
		return
	}
	s.listenerPaused = atLimit
	if !atLimit {
		s.listener.Resume()
		return
	}
	s.listener.Pause()
	s.machine.At(s.machine.Now()+acceptRetryDelay, s.retryAccept)
}

// retryAccept resumes a paused listener, so that the next connection can replace a connection that has become unused.
func (s *Server) retryAccept() {
	if !s.listenerPaused {
		return
	}
	s.listenerPaused = false // enforceConnectionLimit pauses the listener again if needed, with a new timer
	s.listener.Resume()
	s.enforceConnectionLimit(nil)
	s.handler.ProcessEvents()
}

// evictionCandidate returns the connection to retire in favour of newest, or nil. Preferred is the connection open for
// longest without a command, if it was opened at least commandGrace ago; otherwise the connection that has been idle or
// unused for longest. Closing a connection between requests loses nothing, but its client then competes with all new ones:
// hundreds of clients that send nothing must not take the places of those that do.
func (s *Server) evictionCandidate(newest *connection) *connection {
	unused := s.lists[stateNew].firstNotRetired()
	idle := s.lists[stateIdle].firstNotRetired()
	if unused == newest {
		unused = nil
	}
	switch {
	case unused != nil && unused.stateSince <= s.machine.Now()-commandGrace:
		return unused
	case idle != nil && s.isFilledBySilentClients() && idle.stateSince > s.machine.Now()-recentlyUsed:
		return nil
	case unused == nil || idle != nil && idle.stateSince < unused.stateSince:
		return idle
	}
	return unused
}

// isFilledBySilentClients reports whether most places are held by connections that have sent no command, or a part of one.
func (s *Server) isFilledBySilentClients() bool {
	return s.lists[stateNew].length+s.lists[statePartialCommand].length > s.options.MaxConnections/2
}

// overHalfFull reports whether more than half of MaxConnections are open. Idle connections then time out sooner.
func (s *Server) overHalfFull() bool { return s.connections > s.options.MaxConnections/2 }
