// Package upstream is the router's side towards the caches: a bounded pool of connections to each cache, the attempts that wait
// for a connection or are out on one, and log lines about caches that serve nothing.
//
// It carries out what it is asked to. It never decides where a request goes, whether it is repeated or when it is given up. It
// guarantees that each attempt has exactly one result; that the result says truly whether the attempt may have run; and that
// not a byte is written for a request that is over, to a cache that takes no new requests, or after the attempt's deadline.
//
// Connections speak the Redis serialization protocol, version 2, with one request at a time: replies come in order, and a
// quick one must not wait for a slow one. All methods and callbacks run in the loop of the machine.
package upstream

import (
	"log/slog"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/timerqueue"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

// Request is what an attempt sends.
type Request interface {
	// Encode appends the command as it goes over the wire. wait is how long the router waits for the reply.
	Encode(b []byte, wait Time) []byte
	// MaySend reports whether an attempt may be written now. The Pool calls it right before the first byte.
	MaySend(now Time) bool
	// WriteStarted is called when the first byte was written, with the time that the cache was told it has. written reports
	// that the last byte was written too; where it was not, WriteCompleted is called when it is.
	WriteStarted(now, wait Time, written bool)
	// WriteCompleted is called when the last byte was written, unless WriteStarted said so.
	WriteCompleted()
	// KeyHash returns a hash of the requested key.
	KeyHash() uint64
	// NonIdempotent reports whether the request must not run twice, so that a reply must not be dropped on a mere suspicion.
	NonIdempotent() bool
}

// Owner receives the results of attempts.
type Owner interface {
	// AttemptEnded is called once for each attempt, with its result and the reply, if there is one. The reply and its value
	// are valid until the call returns. The Owner must not call the Pool before ProcessEvents.
	AttemptEnded(a *Attempt, result decide.Result, reply *resp.Reply)
	// ProcessEvents is called after one or more results, in the same turn, when the state of the Pool is consistent: the
	// Owner may call it from there.
	ProcessEvents()
}

// Options are the bounds of a Pool.
type Options struct {
	Limits       limits.Caches
	Routers      int               // routers that share the connections a cache accepts
	Descriptors  int               // connections to all caches, except idle ones for which LendDescriptors allows more
	DialTimeout  Time              // for a connection to come up
	Keepalive    Time              // a cache closes a connection that was idle for so long
	StalledAfter Time              // an attempt cancelled after so long counts as not answered, for the log alone
	Timers       *timerqueue.Queue // for the deadlines of attempts; nil for a queue of the pool's own
	Logger       *slog.Logger      // nil discards
}
