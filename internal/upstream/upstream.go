// Package upstream manages the router's connections to the caches: a bounded pool of connections to each cache, the attempts
// that wait for a connection or are in flight on one, and the log lines about unavailable caches.
//
// The package does not choose caches, retry requests or decide when to give up a request; its callers do. It guarantees that
// each attempt has exactly one result, that the result correctly reports whether the attempt may have run, and that no byte is
// written for a request that is over, to a cache that takes no new requests, or after the attempt's deadline.
//
// Connections use version 2 of the Redis serialization protocol and carry one request at a time: replies arrive in order, and a
// fast reply must not wait for a slow one. All methods and callbacks run in the machine's event loop.
package upstream

import (
	"log/slog"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/timerqueue"
)

// Time is an instant or a duration in microseconds.
type Time = decide.Time

// Request is the request that an attempt sends to a cache.
type Request interface {
	// Encode appends the command in wire format. wait is how long the router waits for the reply.
	Encode(b []byte, wait Time) []byte
	// MaySend reports whether an attempt may be written now. The Pool calls it immediately before it writes the first byte.
	MaySend(now Time) bool
	// WriteStarted is called when the first byte was written. wait is the time limit that the command gives the cache. written
	// reports whether the last byte was written too; if not, WriteCompleted is called once the last byte is written.
	WriteStarted(now, wait Time, written bool)
	// MayFinish reports whether the rest of an attempt that is written in part may be written now. The Pool calls it immediately
	// before each further write.
	MayFinish(now Time) bool
	// WriteCompleted is called when the last byte was written, unless WriteStarted already reported it.
	WriteCompleted()
	// KeyHash returns a hash of the requested key.
	KeyHash() uint64
	// Idempotent reports whether the request may run any number of times. The Pool writes other requests only to connections
	// on which no duplicate of an earlier reply can arrive any more.
	Idempotent() bool
}

// Owner receives the results of attempts.
type Owner interface {
	// AttemptEnded is called once for each attempt, with its result and the reply, if there is one. The reply and its value
	// are valid only until the call returns. The Owner must not call the Pool again before ProcessEvents is called.
	AttemptEnded(a *Attempt, result decide.Result, reply *resp.Reply)
	// ProcessEvents is called after one or more results, in the same turn, once the Pool's state is consistent, so that the
	// Owner may call the Pool's methods.
	ProcessEvents()
}

// Options configures a Pool.
type Options struct {
	Limits       limits.Caches
	Routers      int               // number of routers that share the connections a cache accepts
	Descriptors  int               // maximum number of connections to all caches; SetExtraIdleConnections allows additional idle ones
	DialTimeout  Time              // time limit for establishing a connection
	Keepalive    Time              // idle time after which a cache closes a connection
	StalledAfter Time              // for log lines only, an attempt cancelled after this time counts as timed out
	Timers       *timerqueue.Queue // timers for the deadlines of attempts; if nil, the Pool creates a queue
	Logger       *slog.Logger      // if nil, log lines are discarded
}
