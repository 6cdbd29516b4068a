package frontend

import (
	"errors"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// connection is a client's connection. It implements machine.Handler for its socket.
type connection struct {
	server     *Server
	socket     machine.Conn
	clientHash uint64 // hash of the client's address without the port

	state      connectionState
	stateSince Time // when the connection entered the state or its time in the state restarted
	listed     bool // whether the connection is in its state's list; false once the connection is closed
	prev, next *connection

	unparsed          []byte               // bytes received of an incomplete command
	unparsedCharge    int64                // bytes of the server's budget that are reserved for unparsed
	receivedAt        Time                 // when bytes were last read
	arrivedSince      Time                 // the bytes last read arrived at this time or later
	lastArrivedSince  Time                 // the same for the last of these bytes
	commandArrivedAt  Time                 // the same for the last byte of the command being executed
	skipper           *resp.CommandSkipper // finds the end of a partial command that is rejected; nil without one
	commandSeen       bool                 // set by the first valid request or PING
	requestSeen       bool                 // set by the first request that was passed to the handler
	commandExecuted   bool                 // whether a command was executed since the last update of the state
	consecutiveErrors int                  // invalid commands since the last valid request
	reading           bool                 // whether commands that were read together are being executed
	readPaused        bool                 // whether reading is paused until replies are written, as the connection is at the pipeline limit
	readScheduled     bool                 // whether a read is scheduled for a later turn

	pendingReplies []*ReplySlot // replies due, in the order of their commands
	unsent         []byte       // rest of the last written batch that the socket did not accept
	held           int64        // bytes of the server's budget that are reserved for pendingReplies and unsent
	flushScheduled bool         // whether the connection is in the server's flushQueue

	excess        bool // whether the connection is past the connection limit: its requests are rejected and it is closed
	retired       bool // whether the connection must close as soon as it is between requests
	retiredAt     Time // when the connection was retired
	graceTimerSet bool // whether the timer of startGrace is set
	ending        bool // set by endByRejecting
	finishing     bool // whether nothing more is read and the connection closes after the replies due
	lingeredBytes int  // bytes dropped in stateLingering

	clientStatus clientStatus
	closed       bool
}

// clientStatus tells whether and how the client has ended its connection.
type clientStatus uint8

const (
	clientConnected clientStatus = iota // the client has not ended the connection, as far as the router knows
	clientClosed                        // the client closed the connection, or the connection broke while a reply was written
	clientReset                         // the client reset the connection
)

// Readable reads and executes the commands that have arrived. It implements machine.Handler.
func (c *connection) Readable() {
	c.read()
	c.server.handler.ProcessEvents()
}

// Writable resumes writing replies once the socket accepts bytes again. It implements machine.Handler.
func (c *connection) Writable() {
	c.flush()
	c.server.handler.ProcessEvents()
}

// handleDisconnect closes the connection after the client has ended it. Bytes that the client sent and the server has not
// read are dropped.
func (c *connection) handleDisconnect(cause error) {
	c.clientStatus = clientClosed
	if errors.Is(cause, machine.ErrReset) {
		c.clientStatus = clientReset
	}
	c.close()
}

// finish stops reading and closes the connection after the replies that are due.
func (c *connection) finish() {
	if c.closed {
		return
	}
	c.finishing, c.unparsed = true, nil
	c.releaseUnparsed(0)
	if c.state != stateWriteBlocked {
		c.enterState(stateAwaitingReplies)
		c.flush()
	}
}

// endByRejecting closes the connection as soon as it is between requests, and rejects the requests that arrive until then: the
// client may have sent them together with the command for which the connection ends. After LingerTime nothing more is read.
func (c *connection) endByRejecting() {
	if c.ending {
		return
	}
	c.ending = true
	c.retireAtOnce()
	s := c.server
	s.machine.At(s.machine.Now()+s.options.Limits.LingerTime.Microseconds(), func() {
		c.endReading()
		s.handler.ProcessEvents()
	})
}

// endReading executes the commands that were read, and closes the connection after their replies.
func (c *connection) endReading() {
	if c.closed || c.finishing {
		return
	}
	if quota := len(c.unparsed); quota > 0 {
		c.executeUnparsed(&quota)
	}
	c.finish()
}

// closeIfQuiet closes the connection, which is between requests. If more bytes have arrived, the connection is read first:
// closing it would lose the request in these bytes.
func (c *connection) closeIfQuiet() {
	if c.socket.HasNothingUnread() {
		c.close()
	} else {
		c.scheduleRead()
	}
}

// closeGracefully closes the connection after its last reply. If the client is still sending, closing the socket would reset
// the connection, and the client would lose the reply. The server therefore closes only its sending side at first, and reads
// and drops the bytes that still arrive until a limit of time or bytes is reached. After endByRejecting that time is over, and
// the reset tells the client that its last commands were not read.
func (c *connection) closeGracefully() {
	if c.ending || c.socket.HasNothingUnread() || c.socket.CloseWrite() != nil {
		c.close()
		return
	}
	c.enterState(stateLingering)
	c.linger()
}

// linger reads and drops the bytes that still arrive, up to maxLingerBytes.
func (c *connection) linger() {
	for reads := 0; ; reads++ {
		if reads > maxReadsPerTurn {
			c.scheduleRead()
			return
		}
		n, err := c.socket.Read(c.server.readBuffer)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		c.lingeredBytes += n
		if err != nil || c.lingeredBytes > maxLingerBytes {
			c.close()
			return
		}
	}
}

// closeReason returns the reason for the end of the connection, as logged.
func (c *connection) closeReason() string {
	switch {
	case c.clientStatus == clientReset:
		return "client-reset"
	case c.clientStatus == clientClosed:
		return "client-closed"
	case c.server.closed:
		return "router-stopping"
	case c.excess:
		return "connection-limit"
	case c.retired:
		return "drained"
	}
	return "timeout-" + stateNames[c.state]
}

// close closes the connection, and reports to the handler the requests that the handler has not answered.
func (c *connection) close() {
	if c.closed {
		return
	}
	s := c.server
	c.closed = true
	// A client that does not read cannot receive its replies, so the loss of these replies is not counted as caused by the
	// router.
	byRouter := c.clientStatus == clientConnected && c.state != stateWriteBlocked
	c.leaveState()
	c.socket.Close()
	s.connections--
	unanswered := c.dropReplies()
	c.unparsed, c.unsent = nil, nil
	c.releaseUnparsed(0)
	c.release(c.held)
	s.handler.ConnectionClosed(c.closeReason(), len(unanswered))
	if len(unanswered) > 0 {
		s.handler.ClientsGone(unanswered, byRouter)
	}
	if s.listenerPaused || s.lists[stateExcess].first != nil {
		s.enforceConnectionLimit(nil)
	}
	s.checkDrained()
}

// dropReplies drops the replies that are due. It returns the slots of the requests that the handler has not answered.
func (c *connection) dropReplies() (unanswered []*ReplySlot) {
	for _, slot := range c.pendingReplies {
		if slot.forwarded && !slot.answered {
			unanswered = append(unanswered, slot)
		}
	}
	c.pendingReplies = nil
	return unanswered
}
