package frontend

// Drain starts a drain: the server accepts the connections already in the listener's queue but no later ones, and closes
// each connection as soon as it is between requests. It calls onDrained once no connection is left.
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

// checkDrained reports the end of a drain once no connection is left and no further connection can be accepted.
func (s *Server) checkDrained() {
	if s.connections > 0 || !s.listenerFinished || s.onDrained == nil {
		return
	}
	onDrained := s.onDrained
	s.onDrained = nil
	s.machine.Post(onDrained)
}

// retire marks the connection to be closed as soon as it is between requests. If no bytes wait to be read, it closes the
// connection at once if it is idle, or has been open for commandGrace without a command. Otherwise it starts the grace.
func (c *connection) retire() {
	if c.retired || c.closed {
		return
	}
	c.retired, c.retiredAt = true, c.server.machine.Now()
	c.releaseEmptyUnparsed()
	unused := c.state == stateNew && c.stateSince+commandGrace <= c.retiredAt
	if (c.state == stateIdle || unused) && !c.isBusy() && c.socket.HasNothingUnread() {
		c.close()
		return
	}
	c.startGrace()
}

// isBusy reports whether replies are due, or received bytes wait to be executed.
func (c *connection) isBusy() bool {
	return len(c.pendingReplies) > 0 || len(c.unsent) > 0 || len(c.unparsed) > 0 || c.readScheduled
}

// startGrace starts the timer that closes the connection after commandGrace. If replies are still due at that time, they are
// written first, however long that takes. The grace lets a partial command arrive completely, and lets a new connection send
// its first command.
func (c *connection) startGrace() {
	if c.graceTimerSet {
		return
	}
	c.graceTimerSet = true
	c.server.machine.At(c.server.machine.Now()+commandGrace, c.graceOver)
}

// graceOver is called when the grace of a retired connection ends. It reads first, as the rest of a command may have
// arrived but not been read. It then closes the connection, after an error reply if a command is incomplete, unless replies
// are due, which are written first, or more bytes wait to be read, for which it starts the grace again.
func (c *connection) graceOver() {
	c.graceTimerSet = false
	c.readIfPending()
	switch {
	case c.closed, c.finishing, len(c.pendingReplies) > 0, len(c.unsent) > 0: // already closed, or closes after its replies
	case c.readScheduled:
		c.startGrace() // more has arrived than one turn reads
	case c.hasPartialCommand():
		c.endPartialCommand()
	default:
		c.close()
	}
	c.server.handler.ProcessEvents()
}
