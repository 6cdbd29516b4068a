package frontend

import "bytes"

// maxUncountedReplyBytes is the maximum size of replies that are queued even if no memory is left. Their number is limited
// by the pipeline limit of each connection.
const maxUncountedReplyBytes = 64

// ReplySlot is the place of one command's reply in the order of replies of its connection.
type ReplySlot struct {
	ID                int64    // reserved for the Handler
	FirstOnConnection bool     // whether the request is the first on its connection
	Command           *Command // the request; nil for a command that is not passed to the Handler

	connection *connection
	charged    int64  // bytes of the server's budget that are reserved for the command and its reply
	reply      []byte // nil until the command is answered
	answered   bool   // set by Answer
	dequeued   bool   // whether the reply is written or part of the connection's unsent bytes
	forwarded  bool   // whether the command was passed to the Handler, which answers it
}

// requestSlot is the slot of a request, with the request in the same allocation.
type requestSlot struct {
	ReplySlot
	command Command
}

// Answer fills the slot with the reply. It must be called once, and does nothing if the client has gone. The caller may
// modify reply after the call: Answer usually writes the reply at once, and copies it otherwise.
func (slot *ReplySlot) Answer(reply []byte) {
	c := slot.connection
	if slot.answered || c.closed {
		return
	}
	if released := c.server.options.RequestBytes - requestSlotBytes; slot.forwarded && released > 0 {
		c.release(released) // of the records that the handler held; the slot and the command stay until the reply is written
		slot.charged -= released
	}
	s := c.server
	if !c.reserveReply(slot, int64(len(reply))) {
		// Small replies are queued without memory left. A rejection tells the client that a retry does no harm, and a client
		// that receives no PONG considers the router dead.
		if len(reply) > maxUncountedReplyBytes {
			reply = []byte(FailedReply)
		}
		c.charge(int64(len(reply)))
	}
	slot.charged += int64(len(reply))
	slot.reply, slot.answered = reply, true
	switch {
	case len(c.unsent) > 0: // the reply is written after the unsent bytes
	case len(c.pendingReplies) > 1 && len(reply) <= maxDelayedReplyBytes:
		s.scheduleFlush(c)
	default:
		c.flush()
	}
	if !slot.dequeued && !c.closed {
		slot.reply = bytes.Clone(reply)
	}
}

// ConnectionBroken reports whether the client reset the connection.
func (slot *ReplySlot) ConnectionBroken() bool { return slot.connection.clientStatus == clientReset }

// ClientGone reports whether the client has gone, even if Handler.ClientsGone has not been called yet.
func (slot *ReplySlot) ClientGone() bool {
	return slot.connection.closed || slot.connection.socket.EndError() != nil
}

// ClientAddressHash returns a hash of the IP address from which the request came, without the port.
func (slot *ReplySlot) ClientAddressHash() uint64 { return slot.connection.clientHash }
