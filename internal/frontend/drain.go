package frontend

// Drain accepts what waits at the listener and nothing after that, and closes each connection as soon as it is between
// requests. onDrained is called when none is left.
func (s *Server) Drain(onDrained func()) {
	s.draining, s.onDrained = true, onDrained
	s.listener.Finish(func() {
		s.listenerFinished = true
		s.checkDrained()
	})
	for state := range s.lists {
		for c := s.lists[state].first; c != nil; {
			next := c.next
			c.retire()
			c = next
		}
	}
	s.handler.ProcessEvents()
}

// checkDrained reports the end of a drain once no connection is left and none can come.
func (s *Server) checkDrained() {
	if s.connections > 0 || !s.listenerFinished || s.onDrained == nil {
		return
	}
	onDrained := s.onDrained
	s.onDrained = nil
	s.machine.Post(onDrained)
}

// retire has the connection closed as soon as it is between requests.
func (c *connection) retire() {
	if c.retired || c.closed {
		return
	}
	c.retired, c.retiredAt = true, c.server.machine.Now()
	c.unparsed = releaseEmpty(c.unparsed)
	unused := c.state == stateNew && c.stateSince+commandGrace <= c.retiredAt
	if (c.state == stateIdle || unused) && c.socket.Quiet() {
		c.close()
		return
	}
	c.startGrace()
}

// startGrace closes the connection after commandGrace, unless replies are due by then: they are written first, however long
// that takes. It gives a command that has begun the time to arrive whole, and a new connection the time to send its first one.
func (c *connection) startGrace() {
	if c.graceRunning {
		return
	}
	c.graceRunning = true
	c.server.machine.At(c.server.machine.Now()+commandGrace, c.graceOver)
}

// graceOver closes a retired connection that has nothing due. It reads first: the rest of a command may have arrived unread.
func (c *connection) graceOver() {
	c.graceRunning = false
	c.readIfPending()
	switch {
	case c.closed, c.finishing, len(c.pendingReplies) > 0, len(c.unsent) > 0: // it closes after its replies
	case c.readScheduled:
		c.startGrace() // more has arrived than one turn reads
	case len(c.unparsed) > 0:
		c.failProtocol(incompleteCommandText)
	default:
		c.close()
	}
	c.server.handler.ProcessEvents()
}
