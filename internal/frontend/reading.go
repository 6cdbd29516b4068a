package frontend

import (
	"bytes"
	"errors"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// errCommandTooLarge is sent to clients as it is worded.
var errCommandTooLarge = errors.New("too big a command")

// read executes the commands that have arrived, up to maxCommandsPerTurn in one turn.
func (c *connection) read() {
	// Nothing may be read for now, and only a read would show that the client has gone: without this check its requests would
	// still be sent to caches.
	if err := c.socket.End(); err != nil && !c.closed {
		c.endedBy(err)
		return
	}
	quota := maxCommandsPerTurn
	for reads := 0; c.continueReading(quota, reads); reads++ {
		if len(c.unparsed) > 0 {
			c.executeUnparsed(&quota)
			if c.closed || c.finishing {
				return
			}
			if quota <= 0 || c.atPipelineLimit() {
				continue
			}
		}
		n, err := c.socket.Read(c.server.readBuffer)
		switch {
		case errors.Is(err, machine.ErrWait):
			c.updateState()
			return
		case err != nil:
			c.endedBy(err)
			return
		}
		if !c.receive(c.server.readBuffer[:n], &quota) {
			return
		}
	}
}

// continueReading reports whether read goes on in this turn, after so many reads and with so many commands left to execute.
// Where it does not, continueReading does what follows: it drops what arrives, pauses reading or schedules another turn.
func (c *connection) continueReading(quota, reads int) bool {
	switch {
	case c.closed:
	case c.state == stateLingering:
		c.linger()
	case c.finishing: // it closes after the replies that are due
	case c.atPipelineLimit():
		c.pauseReading()
	case quota <= 0 || reads > maxReadsPerTurn:
		c.scheduleRead()
	default:
		return true
	}
	return false
}

// atPipelineLimit reports whether as many replies are due as may be.
func (c *connection) atPipelineLimit() bool {
	return len(c.pendingReplies) >= c.server.options.Limits.MaxPipelined
}

// executeUnparsed executes the whole commands among the bytes left by an earlier turn.
func (c *connection) executeUnparsed(quota *int) {
	used := c.executeCommands(c.unparsed, quota)
	if c.closed || c.finishing {
		return
	}
	c.unparsed = c.unparsed[used:]
	// A buffer that held a large command is replaced, but one that a command is still arriving in is not copied at each read.
	if len(c.unparsed) == 0 || used > 0 && cap(c.unparsed) > readBufferSize {
		c.unparsed = bytes.Clone(c.unparsed)
	}
}

// receive executes the commands among bytes that have arrived, and keeps the rest. It reports whether the connection may be
// read further.
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
		c.executeUnparsed(quota) // whole commands are due a reply each, whether or not there is memory for the rest
		if c.closed || c.finishing {
			return false
		}
	}
	return c.chargeUnparsed()
}

// chargeUnparsed reserves memory for the bytes of a partial command. Small ones are not counted: there are at most as many as
// connections. It reports false, and closes the connection with a refusal, where there is no memory left.
func (c *connection) chargeUnparsed() bool {
	size := int64(cap(c.unparsed))
	if size <= readBufferSize || size <= c.unparsedCharge {
		return true
	}
	if !c.server.buffered.reserve(size - c.unparsedCharge) {
		if whole, err := resp.CommandSize(c.unparsed); err == nil && whole > 0 {
			return true // it waits for its turn, with no more than another read buffer behind it
		}
		c.replyLocally([]byte(BusyReply))
		c.server.handler.RequestRejected(RejectedMemory, "")
		c.finish()
		return false
	}
	c.unparsedCharge = size
	return true
}

// executeCommands executes the whole commands at the front of b, as far as the quota allows, and returns how many bytes they
// took. It stops when the connection closes, as a reply to one of them may find it broken.
func (c *connection) executeCommands(b []byte, quota *int) (used int) {
	for !c.closed && *quota > 0 && !c.atPipelineLimit() && used < len(b) {
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
		c.commandTaken = true
		raw := bytes.Clone(b[used : used+size]) // a request keeps it after the buffer is used again
		used += size
		if !c.executeCommand(raw) {
			c.finish()
			return used
		}
	}
	return used
}

// pauseReading stops reading until replies leave. The connection enters a state without a time limit, as the client may be
// waiting for the router.
func (c *connection) pauseReading() {
	c.readPaused = true
	if c.state == stateNew || c.state == statePartialCommand || c.state == stateIdle {
		c.enterState(stateAwaitingReplies)
	}
}

// releaseEmpty returns nil for an empty buffer, so that its memory can be freed.
func releaseEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}

// scheduleRead has the connection read in a turn of its own.
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

// readIfPending reads what has arrived, including what the machine has not reported yet: it reports a bounded number of
// connections in a turn.
func (c *connection) readIfPending() {
	if !c.socket.Quiet() {
		c.read()
	}
}
