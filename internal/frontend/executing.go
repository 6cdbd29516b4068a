package frontend

import (
	"bytes"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/resp"
)

// Replies and error texts that are sent to clients.
const (
	loadingReply          = "-LOADING no caches are known yet\r\n"
	pongReply             = "+PONG\r\n"
	okReply               = "+OK\r\n"
	httpErrorText         = "ERR Protocol error: this is no HTTP server"
	errorPrefix           = "ERR "
	protocolErrorPrefix   = "ERR Protocol error: "
	unknownCommandText    = "unknown command"
	arrayRequiredText     = "an array is wanted"
	incompleteCommandText = "the command does not go on"
)

// executeCommand executes one complete command. It reports whether the connection stays open.
func (c *connection) executeCommand(raw []byte) bool {
	s := c.server
	args, _, err := resp.AppendCommand(s.args[:0], raw)
	if err != nil || len(args) == 0 {
		return true // unreachable: CommandSize has accepted the command
	}
	s.args = nil // executing the command may end another connection, which executes commands itself
	staysOpen := c.execute(args, raw)
	clear(args) // the reused slice must not keep the command's memory alive
	s.args = args
	return staysOpen
}

// execute executes the command with these arguments. It reports whether the connection stays open.
func (c *connection) execute(args [][]byte, raw []byte) bool {
	verb := args[0]
	switch {
	case bytes.EqualFold(verb, getVerb), bytes.EqualFold(verb, setVerb):
		c.acceptRequest(args, raw)
		return true
	case bytes.EqualFold(verb, pingVerb):
		c.ping(args)
		return true
	case bytes.EqualFold(verb, quitVerb):
		c.replyLocally([]byte(okReply))
		c.endByRejecting()
		return true
	}
	// A web page can make a browser send a POST request to this address. Without this check, the lines of its header would be
	// rejected as invalid commands, and a command in its body would be executed.
	if raw[0] != '*' && looksLikeHTTP(args) {
		c.replyLocally(redcon.AppendError(nil, httpErrorText))
		return false
	}
	c.rejectCommand(unknownCommandText)
	return true
}

// ping answers PING, which load balancers and clients use to check whether the router can serve.
func (c *connection) ping(args [][]byte) {
	c.commandSeen = true
	switch {
	case !c.server.handler.Serving():
		c.replyLocally([]byte(loadingReply))
	case len(args) > 1:
		c.replyLocally(redcon.AppendBulk(nil, args[1]))
	default:
		c.replyLocally([]byte(pongReply))
	}
}

// acceptRequest passes a request to the handler or rejects it.
func (c *connection) acceptRequest(args [][]byte, raw []byte) {
	s := c.server
	if raw[0] != '*' {
		c.rejectCommand(arrayRequiredText)
		return
	}
	request := &requestSlot{}
	command := &request.command
	if err := command.Parse(args, s.options.Classes); err != nil {
		c.rejectCommand(err.Error())
		return
	}
	size := int64(len(raw)) + command.copiedBytes() + s.options.RequestBytes
	c.consecutiveErrors, c.commandSeen = 0, true
	if c.excess && !c.retired && !c.takePlace() {
		c.retireAtOnce()
	}
	if reason := c.rejectReason(size); reason != "" {
		c.replyLocally(AppendBusy(nil, s.options.RetryAfter))
		s.handler.RequestRejected(reason, command.ID())
		return
	}
	slot := &request.ReplySlot
	*slot = ReplySlot{connection: c, Command: command, charged: size, forwarded: true, FirstOnConnection: !c.requestSeen}
	c.requestSeen = true
	c.pendingReplies = append(c.pendingReplies, slot)
	s.handler.HandleRequest(slot, c.commandArrivedAt)
}

// rejectReason returns the reason for rejecting a request of the given size. It returns an empty reason, and reserves the
// bytes, if the request is accepted.
func (c *connection) rejectReason(size int64) RejectReason {
	switch {
	case c.retiredWindowExpired() && c.excess:
		return RejectedConnectionLimit
	case c.retiredWindowExpired():
		return RejectedConnectionEnding
	case !c.reserveRequest(size):
		return RejectedMemory
	}
	return ""
}

// retireAtOnce retires the connection without a time window for requests: all later requests are rejected.
func (c *connection) retireAtOnce() {
	c.retired, c.retiredAt = true, c.server.machine.Now()-retiredRequestWindow-1
}

// retiredWindowExpired reports whether the connection is retired and its time window for requests has ended. Requests after
// that are rejected: a client that always has a request in flight would otherwise keep the connection open until the end of
// the drain, and lose the requests in flight at that time.
func (c *connection) retiredWindowExpired() bool {
	return c.retired && c.server.machine.Now() > c.retiredAt+retiredRequestWindow
}

// rejectCommand replies to an invalid command with an error. After MaxConsecutiveErrors invalid commands without a valid
// request among them, the connection ends.
func (c *connection) rejectCommand(text string) {
	c.replyLocally(redcon.AppendError(nil, errorPrefix+text))
	c.consecutiveErrors++
	if c.consecutiveErrors >= c.server.options.Limits.MaxConsecutiveErrors {
		c.endByRejecting()
	}
}

// failProtocol replies with a protocol error to bytes that are not a command or to a command that stays incomplete, and
// closes the connection.
func (c *connection) failProtocol(text string) {
	c.replyLocally(redcon.AppendError(nil, protocolErrorPrefix+text))
	c.finish()
}

// replyLocally queues the reply to a command that is not passed to the handler.
func (c *connection) replyLocally(reply []byte) {
	slot := &ReplySlot{connection: c, charged: slotBytes}
	c.charge(slotBytes)
	c.pendingReplies = append(c.pendingReplies, slot)
	slot.Answer(reply)
}
