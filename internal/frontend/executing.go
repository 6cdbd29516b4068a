package frontend

import (
	"bytes"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/resp"
)

// Replies and texts of errors, as clients receive them.
const (
	loadingReply          = "-LOADING no caches are known yet\r\n"
	pongReply             = "+PONG\r\n"
	okReply               = "+OK\r\n"
	httpErrorText         = "ERR Protocol error: this is no HTTP server"
	errorPrefix           = "ERR "
	protocolErrorPrefix   = "ERR Protocol error: "
	unknownCommandText    = "unknown command"
	arrayWantedText       = "an array is wanted"
	incompleteCommandText = "the command does not go on"
)

// executeCommand executes one command. It reports whether the connection stays open.
func (c *connection) executeCommand(raw []byte) bool {
	s := c.server
	args, _, err := resp.AppendCommand(s.args[:0], raw)
	if err != nil || len(args) == 0 {
		return true // impossible: its size was found
	}
	s.args = args
	staysOpen := c.execute(args, raw)
	clear(args) // the scratch space must not hold on to the command
	return staysOpen
}

// execute executes the command with these arguments. It reports whether the connection stays open.
func (c *connection) execute(args [][]byte, raw []byte) bool {
	verb := args[0]
	switch {
	case bytes.EqualFold(verb, getVerb), bytes.EqualFold(verb, setVerb):
		return c.acceptRequest(args, raw)
	case bytes.EqualFold(verb, pingVerb):
		c.ping(args)
		return true
	case bytes.EqualFold(verb, quitVerb):
		c.replyLocally([]byte(okReply))
		return false
	}
	// A web page can make a browser post to this address: its header would be skipped as invalid commands, and a command in
	// the body executed.
	if raw[0] != '*' && looksLikeHTTP(args) {
		c.replyLocally(redcon.AppendError(nil, httpErrorText))
		return false
	}
	return c.rejectCommand(unknownCommandText)
}

// ping answers PING, by which load balancers and clients check whether the router can serve.
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

// acceptRequest hands a request to the handler, or refuses it. It reports whether the connection stays open.
func (c *connection) acceptRequest(args [][]byte, raw []byte) bool {
	s := c.server
	if raw[0] != '*' {
		return c.rejectCommand(arrayWantedText)
	}
	slot := &ReplySlot{connection: c, charged: int64(len(raw)), forwarded: true, FirstOnConnection: !c.requestSeen}
	if err := slot.Command.Parse(args, s.options.Classes); err != nil {
		return c.rejectCommand(err.Error())
	}
	c.consecutiveErrors, c.commandSeen = 0, true
	if c.excess && !c.retired {
		// Its window for requests is over at once: this one and those behind it are refused.
		c.retired, c.retiredAt = true, s.machine.Now()-retiredRequestWindow-1
	}
	if reason := c.rejectReason(int64(len(raw))); reason != "" {
		c.replyLocally(AppendBusy(nil, s.options.RetryAfter))
		s.handler.RequestRejected(reason, slot.Command.ID())
		return true
	}
	c.requestSeen = true
	c.pendingReplies = append(c.pendingReplies, slot)
	s.handler.HandleRequest(slot, s.machine.Now())
	return true
}

// rejectReason is why a request of so many bytes is refused; empty where its bytes were reserved.
func (c *connection) rejectReason(size int64) RejectReason {
	switch {
	case c.retiredWindowOver() && c.excess:
		return RejectedConnectionLimit
	case c.retiredWindowOver():
		return RejectedConnectionEnding
	case !c.server.buffered.reserve(size):
		return RejectedMemory
	}
	return ""
}

// retiredWindowOver reports whether requests on this connection are refused because it is to be closed. A client that always
// has a request out would otherwise keep it open to the end of the drain, and lose what is out then.
func (c *connection) retiredWindowOver() bool {
	return c.retired && c.server.machine.Now() > c.retiredAt+retiredRequestWindow
}

// rejectCommand replies to an invalid command. It reports whether the connection stays open: one that sends too many in a row
// is closed.
func (c *connection) rejectCommand(text string) bool {
	c.replyLocally(redcon.AppendError(nil, errorPrefix+text))
	c.consecutiveErrors++
	return c.consecutiveErrors < c.server.options.Limits.MaxConsecutiveErrors
}

// failProtocol replies to bytes that are no command, or to a command that does not end, and closes the connection.
func (c *connection) failProtocol(text string) {
	c.replyLocally(redcon.AppendError(nil, protocolErrorPrefix+text))
	c.finish()
}

// replyLocally queues a reply to a command that does not go to the handler.
func (c *connection) replyLocally(reply []byte) {
	slot := &ReplySlot{connection: c}
	c.pendingReplies = append(c.pendingReplies, slot)
	slot.Answer(reply)
}
