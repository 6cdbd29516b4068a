// Package frontend is the router's side towards clients: the listener, a bounded number of connections, strict reading of RESP
// commands at a bounded rate, replies in the order of their commands, and the drain at shutdown.
//
// The reply to a request comes from the Handler. The package guarantees that each command gets one reply, in its place, or
// none once its client has gone; that a client that stalls, floods or sends malformed commands does not delay the others; and
// that a connection is closed between requests wherever that is possible. It never decides where a request goes, never sends
// it to a cache, and never replies to a request by itself, except to refuse one that comes on a connection about to be closed, and
// where no memory is left.
//
// Commands follow the Redis serialization protocol, version 2. All methods and callbacks run in the loop of the machine.
package frontend

import (
	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/resp"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

// Times, in microseconds.
const (
	// acceptRetryDelay is until connections are accepted again after the listener was paused at the connection limit.
	acceptRetryDelay Time = 10_000
	// commandGrace is for a command that has begun, or is about to on a new connection, when its connection is to be closed.
	commandGrace Time = 100_000
	// retiredRequestWindow is for how long requests on a retired connection are still taken. Later ones are refused.
	retiredRequestWindow Time = 500_000
	// excessTimeout is how long a connection past the limit may wait before it sends the command that is refused.
	excessTimeout Time = 200_000
)

// Bounds of the work of one turn of the loop, and of buffers.
const (
	// maxCommandsPerTurn bounds the commands of one connection in one turn, so that others have theirs.
	maxCommandsPerTurn = 32
	// maxReadsPerTurn bounds the reads of one connection in one turn: each may bring as little as a byte.
	maxReadsPerTurn = 64
	// maxExcessConnections is the number of connections past the limit that are accepted to be refused.
	maxExcessConnections = 16
	// readBufferSize is the number of bytes that one read takes at most.
	readBufferSize = 16 << 10
	// maxBatchBytes bounds the replies that are written in one call, unless one alone is larger.
	maxBatchBytes = 64 << 10
	// maxDelayedReplyBytes bounds a reply that is written at the end of its turn, together with others of its connection.
	maxDelayedReplyBytes = 1 << 10
	// maxLingerBytes is the number of bytes that are read and dropped after the last reply of a connection.
	maxLingerBytes = 4 * resp.MaxCommandBytes
)

// Handler answers requests. The Server calls it from the loop.
type Handler interface {
	// HandleRequest is called with each request, the slot's Command, which was read whole at the given time. The handler
	// calls the slot's Answer once.
	HandleRequest(slot *ReplySlot, read Time)
	// ClientsGone is called with requests whose replies nobody waits for any more: the client has gone, or, with byRouter,
	// its connection was closed from this side while it still took replies. The handler may still answer them.
	ClientsGone(slots []*ReplySlot, byRouter bool)
	// ConnectionClosed is called when a connection has ended, with the reason and the number of its requests that had no
	// reply then.
	ConnectionClosed(reason string, unanswered int)
	// RequestRejected is called when the server has refused a request itself, with the reason and the client's name of the request;
	// no name where it was not read whole. The handler never gets that request.
	RequestRejected(reason RejectReason, clientID string)
	// ProcessEvents is called after one or more of the other calls, in the same turn, when the state of the Server is
	// consistent: the handler may call it from there.
	ProcessEvents()
	// Serving reports whether there is a cache that takes requests.
	Serving() bool
}

// RejectReason is why the server refuses a request itself.
type RejectReason string

const (
	RejectedConnectionLimit  RejectReason = "connection limit"  // its connection is one more than there may be
	RejectedConnectionEnding RejectReason = "connection ending" // its connection is to be closed, and the time for requests on it is over
	RejectedMemory           RejectReason = "buffer memory"     // requests and replies that wait have taken all memory for them
)

// Options are the bounds of a Server.
type Options struct {
	Listen           string         // address to listen on
	Limits           limits.Clients // bounds for each connection
	Classes          []decide.Class // classes that a request may name
	MaxConnections   int            // connections that are served; a few more are accepted only to be refused
	RetryAfter       Time           // sent with a refusal for lack of connections or memory; 0 for none
	MaxBufferedBytes int64          // bytes of requests without a reply and of replies not yet written
}
