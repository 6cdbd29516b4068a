package frontend

// enforceConnectionLimit applies the connection limit after a connection was accepted or closed. newest is the accepted
// connection, or nil.
//
// Past the limit, the server retires an unused connection in favour of newest. If all connections are in use, a few more
// stay open until their first command, which is rejected: in the kernel's accept queue, the client would wait until its
// timeout. With more than maxExcessConnections of them, the listener pauses.
func (s *Server) enforceConnectionLimit(newest *connection) {
	if s.closed {
		return
	}
	if s.connections > s.options.MaxConnections {
		if c := s.evictionCandidate(newest); c != nil {
			c.retire()
		}
	}
	if s.connections > s.options.MaxConnections && newest != nil && !newest.closed {
		newest.excess = true
		newest.enterState(stateExcess)
	}
	s.admitExcessConnections()
	s.pauseListenerAtLimit()
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
	atLimit := s.connections > s.options.MaxConnections+maxExcessConnections
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
// unused for longest. Closing a connection between requests loses nothing.
func (s *Server) evictionCandidate(newest *connection) *connection {
	unused := s.lists[stateNew].firstNotRetired()
	idle := s.lists[stateIdle].firstNotRetired()
	if unused == newest {
		unused = nil
	}
	switch {
	case unused != nil && unused.stateSince <= s.machine.Now()-commandGrace:
		return unused
	case unused == nil || idle != nil && idle.stateSince < unused.stateSince:
		return idle
	}
	return unused
}

// overHalfFull reports whether more than half of MaxConnections are open. Idle connections then time out sooner.
func (s *Server) overHalfFull() bool { return s.connections > s.options.MaxConnections/2 }
