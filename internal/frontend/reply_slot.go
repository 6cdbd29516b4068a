package frontend

import "bytes"

// maxUncountedReplyBytes is the size of replies that are queued even where no memory is left. There are at most as many of
// them as commands may be pipelined.
const maxUncountedReplyBytes = 64

// ReplySlot is the place of one command's reply among those of its connection.
type ReplySlot struct {
	ID                int64   // for the Handler's use
	FirstOnConnection bool    // its request is the first on its connection
	Command           Command // the request; empty for a command that does not go to the Handler

	connection *connection
	charged    int64  // bytes of the server's budget reserved for the command and its reply
	reply      []byte // nil until the command is answered
	answered   bool   // set by Answer
	dequeued   bool   // its reply is written, or is part of the connection's unsent bytes
	forwarded  bool   // the command went to the Handler, which answers it
}

// Answer fills the slot. It is called once; for a client that has gone it does nothing. The reply may be changed after the
// call: nearly always it has been written by then, and it is copied only where it has not.
func (slot *ReplySlot) Answer(reply []byte) {
	c := slot.connection
	if slot.answered || c.closed {
		return
	}
	s := c.server
	if !s.buffered.reserve(int64(len(reply))) {
		// Small replies are queued all the same: a refusal says that another try does no harm, and a client that gets no PONG
		// takes the router for dead.
		if len(reply) > maxUncountedReplyBytes {
			reply = []byte(FailedReply)
		}
		s.buffered.used += int64(len(reply))
	}
	slot.charged += int64(len(reply))
	slot.reply, slot.answered = reply, true
	switch {
	case len(c.unsent) > 0: // it waits until the client reads
	case len(c.pendingReplies) > 1 && len(reply) <= maxDelayedReplyBytes:
		s.scheduleFlush(c)
	default:
		c.flush()
	}
	if !slot.dequeued && !c.closed {
		slot.reply = bytes.Clone(reply)
	}
}

// ConnectionBroken reports whether the client's connection has ended by a reset.
func (slot *ReplySlot) ConnectionBroken() bool { return slot.connection.clientEnd == clientReset }

// ClientGone reports whether the client has gone, even where the Handler has not been called with that yet.
func (slot *ReplySlot) ClientGone() bool {
	return slot.connection.closed || slot.connection.socket.End() != nil
}

// ClientAddressHash returns a hash of the address that the request came from, without its port.
func (slot *ReplySlot) ClientAddressHash() uint64 { return slot.connection.clientHash }
