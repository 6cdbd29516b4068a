package frontend

// enforceConnectionLimit is called when a connection was accepted or has closed. Past the limit it retires an unused connection
// in favour of newest, which is nil where none was accepted. Where all are in use, a few more stay open until their first
// command, which is refused: a connection left in the kernel's queue would wait there until its client's timeout. Past those,
// the listener pauses.
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

// admitExcessConnections has connections that were past the limit served, as far as the limit now allows.
func (s *Server) admitExcessConnections() {
	for s.connections <= s.options.MaxConnections && s.lists[stateExcess].first != nil {
		c := s.lists[stateExcess].first
		c.excess = false
		c.enterState(stateNew)
		c.updateState()
	}
}

// pauseListenerAtLimit pauses the listener where no further connection may be accepted, even to be refused, and resumes it
// where one may.
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

// retryAccept resumes a paused listener, so that the next connection may take the place of one that is unused by now.
func (s *Server) retryAccept() {
	if !s.listenerPaused {
		return
	}
	s.listenerPaused = false // enforceConnectionLimit pauses it again, with a new timer
	s.listener.Resume()
	s.enforceConnectionLimit(nil)
	s.handler.ProcessEvents()
}

// evictionCandidate returns the connection to retire in favour of the newest, or nil: the one open for longest without a
// command, except those opened less than commandGrace ago; else the one idle for longest. A connection may be closed between
// requests without loss.
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

// overHalfFull reports whether more than half of the connections that may be served are open. Idle ones then have less time.
func (s *Server) overHalfFull() bool { return s.connections > s.options.MaxConnections/2 }
