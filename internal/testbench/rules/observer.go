// Package rules checks the four rules of the router from outside. It uses only events observed on the sockets of clients,
// caches and discovery, never the router's own records. It does no I/O and reads no clock: stand-ins report each event with its
// time to an Observer.
//
// The rules, and the file that checks each:
//
//   - Each request gets one final answer, in time, made for that request (answers.go).
//   - No effect takes place twice, and no request is rejected that may have run (execution.go, answers.go).
//   - No new attempt goes to a draining or removed cache after the drain grace (drain.go).
//   - The routers overload neither a cache that is warming up nor the store behind the caches (overload.go).
package rules

// Time is an instant or a span in microseconds.
type Time = int64

// Answer is the kind of a final answer.
type Answer uint8

// Kinds of answers.
const (
	Served  Answer = iota // a value or a receipt
	Refused               // -BUSY: a retry is safe
	Failed                // any other answer: the request may or may not have run
	Cut                   // reported by clients only: the connection ended before the value reached its announced length
)

// String returns the kind as violations and histories print it.
func (a Answer) String() string { return [...]string{"served", "refused", "failed", "cut off"}[a] }

// Request is one request as its client wrote it.
type Request struct {
	ID       string // unique: each try of the client has a new ID
	Router   string // name of the router that received the request
	Class    string
	Key      string
	IdemKey  string // idempotency key of a keyed write
	Sent     Time   // instant at which the last byte was written to a connection that the router's machine accepted
	Deadline Time   // instant at which the client stops waiting
	Write    bool
	Forgone  bool // no client waits for the answer, although the connection stays open

	// Ended, if not nil, reports whether the router's machine has received the end of the connection.
	Ended func() bool
}

// Attempt is one command as a cache received it.
type Attempt struct {
	ID, Key, IdemKey string
	Class            string
	Router, Cache    string
	Write            bool
	First, Last      Time // arrival of the first and the last byte
	Sent             Time // instant at which the router wrote the first byte, if known; otherwise First
}

// Observer receives the events on the sockets in chronological order.
type Observer interface {
	ClientObserver
	CacheObserver
	DiscoveryObserver
	LoadObserver
	RouterObserver
}

// ClientObserver receives the events that clients observe.
type ClientObserver interface {
	// Asked is called when a client has written a whole request. Asked is called again, with the same id and the router of
	// the second connection, if the close of a connection crossed the request and the client resent the request.
	Asked(now Time, request Request)
	// Answered is called at the last byte of an answer; value is the value of a served answer, without load reports.
	// Bytes past an answer are reported as another call with the same id.
	Answered(now Time, id string, kind Answer, value string)
	// Left is called when the client closed the connection or abandoned the request before an answer. At the deadline or
	// later, Left does not excuse a missing answer, so a client waits for the deadline and the slack before it leaves.
	Left(now Time, id string)
	// Broken is called when the router's side ended the connection before any byte of an answer, or within a line.
	Broken(now Time, id string)
	// Behind is called when, at its deadline, a request still waits for earlier requests on its connection, which the router
	// may answer up to until. Answers on a connection come in order, so this waiting time does not count.
	Behind(now Time, id string, until Time)
}

// CacheObserver receives the events of attempts that caches observe.
type CacheObserver interface {
	// Began is called when a whole command has arrived at a cache, even if the cache rejects the command.
	Began(now Time, attempt Attempt)
	// Bad is called when a cache received bytes that no client sent in this form.
	Bad(now Time, cache, reason string)
	// Ran is called when a cache has executed a request: a write took effect, or the value of a read was computed. If repeat
	// is set, the cache recognized the idempotency key of the write and dropped the write.
	Ran(now Time, attempt Attempt, repeat bool)
	// Replied is called when the cache has written its whole answer; value is the value of a served answer.
	Replied(now Time, cache, id string, kind Answer, value string)
	// Ended is called when the router or the cache closed the connection of a running command, even if a network partition
	// hides the close from the cache.
	Ended(now Time, cache, id string)
}

// DiscoveryObserver receives the notices that discovery sends to routers.
type DiscoveryObserver interface {
	// Listed is called when discovery has written to a router whether a cache takes work, or at the instant from which a
	// polling router counts as notified.
	Listed(now Time, router, cache string, takesWork bool)
	// StartNotified is called when discovery has written the time of a cache's last start to a router.
	StartNotified(now Time, router, cache string, start Time)
}

// LoadObserver receives the starts, the ends and the load of caches and of the store.
type LoadObserver interface {
	// CacheUp is called when a cache's process has started. capacity is the work (µs) per second that a warm cache can do,
	// startFraction is the fraction of the capacity at the start, and warmup is the duration of the rise to the full
	// capacity; a warmup of 0 means that the cache is warm.
	CacheUp(now Time, cache string, capacity, startFraction float64, warmup Time)
	// CacheDown is called when a cache's process has ended; overloaded reports that the process ended because of overload.
	CacheDown(now Time, cache string, overloaded bool)
	// Offered is called when work was sent to a cache, including work that the cache rejects.
	Offered(now Time, cache, router string, work Time)
	// StoreOffered is called when a cache fetched from the store behind the caches. warmingUp names the cache if it is
	// warming up, and is "" otherwise.
	StoreOffered(now Time, work Time, warmingUp string)
	// StoreFell is called when the store has crashed under its load.
	StoreFell(now Time)
}

// RouterObserver receives the starts, the ends and the resource usage of routers.
type RouterObserver interface {
	// RouterUp is called when a router's process has started.
	RouterUp(now Time, router string)
	// RouterDown is called when a router's process has ended. clean reports that the process exited after a signal to
	// stop, or was killed because it had not exited in time: its open requests count as lost. Otherwise the process was
	// killed, and clients must retry its open requests.
	RouterDown(now Time, router string, clean bool)
	// Usage is called with the number of a router's open file descriptors and their limit.
	Usage(now Time, router string, descriptors, limit int)
	// Leftover is called with the number of entries that a router still holds once no request is open.
	Leftover(now Time, router, what string, n int)
}
