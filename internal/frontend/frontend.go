// Package frontend serves the router's clients: it accepts a limited number of connections, parses RESP commands strictly
// and at a limited rate, writes replies in the order of their commands, and drains connections at shutdown.
//
// The reply to a request comes from the Handler. The package guarantees the following:
//
//   - Each command gets one reply, in its place, or none if its client has gone.
//   - A client that stalls, floods or sends malformed commands does not delay other clients.
//   - A connection is closed between requests wherever that is possible.
//
// The package neither chooses the cache for a request nor sends requests to caches. It replies to a valid
// request itself only on a connection that is about to close, and when no buffer memory is left.
//
// Commands use the Redis serialization protocol, version 2. All methods and callbacks run in the machine's event loop.
package frontend

import (
	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/resp"
)

// Time is an instant or a duration in microseconds.
type Time = decide.Time

// Durations, in microseconds.
const (
	// acceptRetryDelay is the delay until the listener accepts connections again after it was paused at the connection limit.
	acceptRetryDelay Time = 10_000
	// commandGrace is the time given to a partial command, and to the first command on a new connection, before a connection
	// that must close is closed.
	commandGrace Time = 100_000
	// retiredRequestWindow is the time for which a retired connection still accepts requests. Later requests are rejected.
	retiredRequestWindow Time = 500_000
	// recentlyUsed is the time for which an idle connection keeps its place while most places are held by connections that have sent
	// no command.
	recentlyUsed Time = 500_000
	// slowCommandTime is the time after its first byte at which a partial command gives its place to a complete request.
	slowCommandTime Time = 500_000
	// excessGrace is the time after which a connection past the limit that has sent no complete command gives its place to another
	// one.
	excessGrace Time = 20_000
	// excessTimeout is the maximum time for which a connection past the limit may wait before it sends the command that is
	// rejected.
	excessTimeout Time = 200_000
)

// Limits on the work of one turn of the event loop, and on buffers.
const (
	// maxCommandsPerTurn limits the commands that one connection executes in one turn, so that other connections get their
	// turn.
	maxCommandsPerTurn = 32
	// maxReadsPerTurn limits the reads of one connection in one turn, as each read may return as little as one byte.
	maxReadsPerTurn = 64
	// maxExcessConnections is the number of connections past the limit that are accepted only to be rejected.
	maxExcessConnections = 16
	// readBufferSize is the maximum number of bytes of one read.
	readBufferSize = 16 << 10
	// maxBatchBytes limits the total size of the replies written in one call, unless a single reply is larger.
	maxBatchBytes = 64 << 10
	// maxDelayedReplyBytes is the maximum size of a reply that is written at the end of its turn, together with other replies
	// of its connection.
	maxDelayedReplyBytes = 1 << 10
	// maxLingerBytes is the maximum number of bytes that are read and dropped after the last reply of a connection.
	maxLingerBytes = 4 * resp.MaxCommandBytes
)

// Handler answers requests. The Server calls its methods from the event loop.
type Handler interface {
	// HandleRequest is called with each request, the slot's Command. arrivedAt is the time at which the request had arrived
	// completely, or an earlier one if that is not known. It may lie long before the call, as reading may lag behind. The handler
	// must call the slot's Answer once.
	HandleRequest(slot *ReplySlot, arrivedAt Time)
	// ClientsGone is called with requests whose replies can no longer be delivered: the client has gone, or, if byRouter is
	// true, the router closed the connection while the client still accepted replies. The handler may still answer these
	// requests.
	ClientsGone(slots []*ReplySlot, byRouter bool)
	// ConnectionClosed is called when a connection has ended, with the reason and the number of its requests that had no
	// reply at that time.
	ConnectionClosed(reason string, unanswered int)
	// RequestRejected is called when the server itself has rejected a request, which the handler therefore never receives.
	// clientID is the client's id of the request; it is empty if the request was not completely read.
	RequestRejected(reason RejectReason, clientID string)
	// ProcessEvents is called in the same turn after one or more calls of the other methods, when the Server's state is
	// consistent. The handler may call the Server from ProcessEvents.
	ProcessEvents()
	// Serving reports whether a cache is available to serve requests.
	Serving() bool
}

// RejectReason is the reason for which the server itself rejects a request.
type RejectReason string

const (
	RejectedConnectionLimit  RejectReason = "connection limit"  // the connection is past the connection limit
	RejectedConnectionEnding RejectReason = "connection ending" // the connection is about to close, and its time window for requests has ended
	RejectedMemory           RejectReason = "buffer memory"     // pending requests and replies use all buffer memory
)

// Options configure a Server.
type Options struct {
	Listen           string         // address to listen on
	Limits           limits.Clients // limits for each connection
	Classes          []decide.Class // classes that requests may name
	MaxConnections   int            // number of connections served; a few more are accepted only to be rejected
	RetryAfter       Time           // retry delay sent with a rejection for lack of connections or memory; 0 for none
	MaxBufferedBytes int64          // limit on the bytes held for commands that have arrived in part, requests without a reply and unwritten replies
	RequestBytes     int64          // bytes held for a request without a reply, besides the bytes of its command
}
