package frontend

import (
	"bytes"
	"errors"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// errCommandTooLarge reports a command of more than resp.MaxCommandBytes. Its text is sent to the client.
var errCommandTooLarge = errors.New("too big a command")

// read reads and executes the commands that have arrived, up to maxCommandsPerTurn in one turn. A connection that must close
// between requests stays open until all commands of a read are executed.
func (c *connection) read() {
	// While reading is suspended, no read would show that the client has gone. Without this check, the client's requests
	// would still be sent to caches.
	if err := c.socket.EndError(); err != nil && !c.closed {
		c.handleDisconnect(err)
		return
	}
	c.reading = true
	everythingRead := c.readCommands()
	c.reading = false
	if everythingRead {
		c.updateState()
	}
}

// readCommands is the loop of read. It reports whether everything that had arrived is read and the connection goes on.
func (c *connection) readCommands() (everythingRead bool) {
	quota := maxCommandsPerTurn
	for reads := 0; c.continueReading(quota, reads); reads++ {
		if len(c.unparsed) > 0 {
			c.executeUnparsed(&quota)
			if c.closed || c.finishing {
				return false
			}
			if quota <= 0 || c.atPipelineLimit() {
				continue
			}
		}
		n, err := c.socket.Read(c.server.readBuffer[:c.server.readSize()])
		switch {
		case errors.Is(err, machine.ErrWait):
			return true
		case err != nil:
			c.handleDisconnect(err)
			return false
		}
		c.receivedAt = c.server.machine.Now()
		c.arrivedSince, c.lastArrivedSince = c.socket.Arrival()
		if !c.receive(c.server.readBuffer[:n], &quota) {
			return false
		}
	}
	return false
}

// continueReading reports whether read continues in this turn, after the given number of reads and with quota commands left
// to execute. If it reports false, it has initiated the next step: dropping bytes that arrive, pausing reading, or
// scheduling a read in another turn.
func (c *connection) continueReading(quota, reads int) bool {
	switch {
	case c.closed:
	case c.state == stateLingering:
		c.linger()
	case c.finishing: // closes after the replies that are due
	case c.atPipelineLimit():
		c.pauseReading()
	case quota <= 0 || reads > maxReadsPerTurn:
		c.awaitReplies()
		c.scheduleRead()
	default:
		return true
	}
	return false
}

// atPipelineLimit reports whether the maximum number of replies is due, which is one while memory is exhausted.
func (c *connection) atPipelineLimit() bool {
	due := len(c.pendingReplies)
	return due >= c.server.options.Limits.MaxPipelined || due > 0 && c.server.buffered.isExhausted()
}

// executeUnparsed executes the complete commands in the unparsed bytes.
func (c *connection) executeUnparsed(quota *int) {
	used := c.executeCommands(c.unparsed, quota)
	if c.closed || c.finishing {
		return
	}
	c.unparsed = c.unparsed[used:]
	// A buffer that held a large command is replaced, to free its memory. A buffer in which a command is still incomplete is
	// not copied at each read.
	if len(c.unparsed) == 0 || used > 0 && cap(c.unparsed) > readBufferSize {
		c.unparsed = bytes.Clone(c.unparsed)
		c.releaseUnparsed(int64(cap(c.unparsed)))
	}
}

// receive executes the complete commands in the received bytes and stores the rest. It reports whether reading may continue.
func (c *connection) receive(received []byte, quota *int) bool {
	if len(c.unparsed) == 0 {
		used := c.executeCommands(received, quota)
		if c.closed || c.finishing {
			return false
		}
		received = received[used:]
	}
	if len(received) == 0 {
		return true
	}
	if len(c.unparsed)+len(received) > resp.MaxCommandBytes+readBufferSize {
		c.failProtocol(errCommandTooLarge.Error())
		return false
	}
	c.unparsed = append(c.unparsed, received...)
	if len(c.unparsed) > readBufferSize {
		c.executeUnparsed(quota) // each complete command gets its reply, even if there is no memory for the rest
		if c.closed || c.finishing {
			return false
		}
	}
	c.chargeUnparsed(quota)
	return !c.closed && !c.finishing
}

// chargeUnparsed reserves memory for the bytes of a partial command. If no memory is left, the command is rejected.
func (c *connection) chargeUnparsed(quota *int) {
	if c.skipper != nil || c.reserveUnparsed() {
		return // a rejected command is dropped in a later turn, with at most one more read buffer behind it
	}
	if whole, err := resp.CommandSize(c.unparsed); err == nil && whole > 0 {
		return // a complete command is executed in a later turn, with at most one more read buffer behind it
	}
	c.rejectPartialCommand(quota)
}

// executeCommands executes the complete commands at the start of b, up to the quota, and returns the number of bytes that
// they used. Their last bytes came with the latest read, as no more is read while a complete command waits. It stops when
// the connection closes, since writing a reply may reveal a broken connection.
func (c *connection) executeCommands(b []byte, quota *int) (used int) {
	for !c.closed && *quota > 0 && !c.atPipelineLimit() && used < len(b) {
		if c.skipper != nil {
			skipped, complete := c.skipRejectedCommand(b[used:])
			used += skipped
			if !complete {
				return used
			}
			*quota--
			continue
		}
		size, err := resp.CommandSize(b[used:])
		if err == nil && size == 0 && len(b)-used > resp.MaxCommandBytes {
			err = errCommandTooLarge
		}
		if err != nil {
			c.failProtocol(err.Error())
			return used
		}
		if size == 0 {
			return used
		}
		*quota--
		c.commandExecuted = true
		raw := bytes.Clone(b[used : used+size]) // a request retains its bytes after the buffer is reused
		used += size
		if c.commandArrivedAt = c.arrivedSince; used == len(b) {
			c.commandArrivedAt = c.lastArrivedSince
		}
		if !c.executeCommand(raw) {
			c.finish()
			return used
		}
	}
	return used
}

// pauseReading stops reading until replies are written. The connection enters a state without a time limit, as the client
// may be waiting for the router.
func (c *connection) pauseReading() {
	c.readPaused = true
	c.awaitReplies()
}

// awaitReplies has a connection whose reading goes on later enter stateAwaitingReplies if replies are due. In its former state it would
// look unused, or between commands.
func (c *connection) awaitReplies() {
	if len(c.pendingReplies) == 0 {
		return
	}
	if c.state == stateNew || c.state == statePartialCommand || c.state == stateIdle {
		c.enterState(stateAwaitingReplies)
	}
}

// scheduleRead schedules a read of the connection in a separate turn.
func (c *connection) scheduleRead() {
	if c.readScheduled || c.closed {
		return
	}
	c.readScheduled = true
	c.server.machine.Post(func() {
		c.readScheduled = false
		c.read()
		c.server.handler.ProcessEvents()
	})
}

// readIfPending reads the bytes that have arrived. The machine may not have reported them yet, since it reports a limited
// number of connections in one turn.
func (c *connection) readIfPending() {
	if !c.socket.HasNothingUnread() {
		c.read()
	}
}
