package frontend

import (
	"errors"

	"starlingwinch/internal/machine"
)

// connection is one connection of a client. It is the machine's handler of its socket.
type connection struct {
	server     *Server
	socket     machine.Conn
	clientHash uint64 // of the client's address without its port

	state      connectionState
	stateSince Time // when it entered the state, or began its time there anew
	listed     bool // it is in its state's list; unset once it is closed
	prev, next *connection

	unparsed          []byte // bytes that have arrived of a command that is not whole
	unparsedCharge    int64  // bytes of the server's budget reserved for unparsed; 0 while it is small
	commandSeen       bool   // set by the first valid request or PING
	requestSeen       bool   // set by the first request that went to the handler
	commandTaken      bool   // a command was executed since the state was last updated
	consecutiveErrors int    // invalid commands since the last valid request
	readPaused        bool   // nothing is read until replies leave: as many as allowed are due
	readScheduled     bool   // the rest of what has arrived is read in a later turn

	pendingReplies []*ReplySlot // replies due, in the order of their commands
	unsent         []byte       // the part of the replies written last that the socket did not take
	flushScheduled bool         // its replies are written at the end of this turn

	excess        bool // past the connection limit: its first request is refused and it is closed
	retired       bool // to be closed as soon as it is between requests
	retiredAt     Time // when it was retired
	graceRunning  bool // the timer of startGrace is set
	finishing     bool // nothing more is read, and it is closed after the replies that are due
	lingeredBytes int  // bytes dropped in stateLingering

	clientEnd clientEnd
	closed    bool
}

// clientEnd is how the client has ended its connection.
type clientEnd uint8

const (
	clientPresent clientEnd = iota // it has not, as far as is known
	clientEnded                    // by closing it, or the connection broke while a reply was written
	clientReset                    // by a reset
)

// Readable executes the commands that have arrived. The machine calls it.
func (c *connection) Readable() {
	c.read()
	c.server.handler.ProcessEvents()
}

// Writable continues to write replies. The machine calls it when the socket takes bytes again.
func (c *connection) Writable() {
	c.flush()
	c.server.handler.ProcessEvents()
}

// endedBy closes the connection after the client has ended it. What it has sent unread is dropped.
func (c *connection) endedBy(cause error) {
	c.clientEnd = clientEnded
	if errors.Is(cause, machine.ErrReset) {
		c.clientEnd = clientReset
	}
	c.close()
}

// finish has the connection closed after the replies that are due. Nothing more is read.
func (c *connection) finish() {
	if c.closed {
		return
	}
	c.finishing, c.unparsed = true, nil
	if c.state != stateWriteBlocked {
		c.enterState(stateAwaitingReplies)
		c.flush()
	}
}

// closeIfQuiet closes a connection between requests. One that has sent more meanwhile is read first: closed, it would lose
// that request.
func (c *connection) closeIfQuiet() {
	if c.socket.Quiet() {
		c.close()
	} else {
		c.scheduleRead()
	}
}

// closeGracefully closes the connection after its last reply. Where the client is still sending, a close would reset the
// connection and with it drop the reply, so its bytes are read and dropped for a while.
func (c *connection) closeGracefully() {
	if c.socket.Quiet() || c.socket.CloseWrite() != nil {
		c.close()
		return
	}
	c.enterState(stateLingering)
	c.linger()
}

// linger reads and drops what still arrives, up to maxLingerBytes.
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

// closeReason returns why the connection ends, for the log.
func (c *connection) closeReason() string {
	switch {
	case c.clientEnd == clientReset:
		return "client-reset"
	case c.clientEnd == clientEnded:
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

// close ends the connection, and reports the requests without a reply to the handler.
func (c *connection) close() {
	if c.closed {
		return
	}
	s := c.server
	c.closed = true
	// A client that does not read can't be given its replies: losing them is not the router's doing.
	byRouter := c.clientEnd == clientPresent && c.state != stateWriteBlocked
	c.leaveState()
	c.socket.Close()
	s.connections--
	s.buffered.release(c.unparsedCharge + int64(len(c.unsent)))
	unanswered := c.dropReplies()
	c.unparsed, c.unsent = nil, nil
	s.handler.ConnectionClosed(c.closeReason(), len(unanswered))
	if len(unanswered) > 0 {
		s.handler.ClientsGone(unanswered, byRouter)
	}
	if s.listenerPaused || s.lists[stateExcess].first != nil {
		s.enforceConnectionLimit(nil)
	}
	s.checkDrained()
}

// dropReplies drops the replies that are due, and returns the slots that the handler has not answered.
func (c *connection) dropReplies() (unanswered []*ReplySlot) {
	for _, slot := range c.pendingReplies {
		c.server.buffered.release(slot.charged)
		if slot.forwarded && !slot.answered {
			unanswered = append(unanswered, slot)
		}
	}
	c.pendingReplies = nil
	return unanswered
}
