package frontend

import "starlingwinch/internal/resp"

// hasPartialCommand reports whether a command has arrived in part. Complete commands that wait for the pipeline limit or for
// the next turn count too.
func (c *connection) hasPartialCommand() bool { return len(c.unparsed) > 0 || c.skipper != nil }

// rejectPartialCommand rejects the command of which a part has arrived, as there is no memory for the rest. The bytes of the
// command are dropped as they arrive; the commands behind it are executed.
func (c *connection) rejectPartialCommand(quota *int) {
	c.skipper = &resp.CommandSkipper{}
	c.commandSeen = true
	c.replyLocally(AppendBusy(nil, c.server.options.RetryAfter))
	c.server.handler.RequestRejected(RejectedMemory, "")
	if !c.closed {
		c.executeUnparsed(quota)
	}
}

// skipRejectedCommand drops the part of a rejected command at the start of b, and reports whether the command is complete.
func (c *connection) skipRejectedCommand(b []byte) (used int, complete bool) {
	used, complete, err := c.skipper.Skip(b)
	if err != nil {
		c.failProtocol(err.Error())
		return used, false
	}
	if complete {
		c.skipper = nil
		c.commandExecuted = true
	}
	return used, complete
}

// endPartialCommand closes the connection of a client that has stopped within a command, after an error reply unless the
// command is already rejected.
func (c *connection) endPartialCommand() {
	if c.skipper != nil {
		c.finish()
		return
	}
	c.failProtocol(incompleteCommandText)
}
