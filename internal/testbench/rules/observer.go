// Package rules checks the four rules of the router from outside, by what is seen on the sockets of clients, caches and
// discovery, and never by the router's own records. It does no I/O and reads no clock: stand-ins report what they see to
// an Observer, with the time of each event.
//
// The rules, and the file that checks each:
//
//   - Each request gets one final answer, in time, made for that request (answers.go).
//   - No effect takes place twice, and no request is rejected that may have run (execution.go, answers.go).
//   - No new attempt goes to a draining or removed cache after the drain grace (drain.go).
//   - The routers push over neither a cache that warms up nor the store behind the caches (overload.go).
package rules

// Time is an instant or a span in microseconds.
type Time = int64

// Answer is the kind of a final answer.
type Answer uint8

// Kinds of answers.
const (
	Served  Answer = iota // a value or a receipt
	Refused               // -BUSY: trying again does no harm
	Failed                // anything else: promises nothing
	Cut                   // seen by clients only: the connection ended before the value had the length that it announced
)

// String returns the kind in the words of violations and histories.
func (a Answer) String() string { return [...]string{"served", "refused", "failed", "cut off"}[a] }

// Request is one request as its client wrote it.
type Request struct {
	ID       string // new with each try of the client
	Router   string // name of the router that it was written to
	Class    string
	Key      string
	IdemKey  string // idempotency key of a keyed write
	Sent     Time   // when its last byte was written to a connection that the router's machine accepted
	Deadline Time   // when the client stops waiting
	Write    bool
	Forgone  bool // no client waits for its answer, though the connection stays open

	// Ended, where it is not nil, reports whether the router's machine has received the end of the connection.
	Ended func() bool
}

// Attempt is one command as a cache received it.
type Attempt struct {
	ID, Key, IdemKey string
	Class            string
	Router, Cache    string
	Write            bool
	First, Last      Time // arrival of its first and its last byte
	Sent             Time // when the router wrote its first byte, where that is known; else First
}

// Observer receives the events on the sockets, in the order of time.
type Observer interface {
	ClientObserver
	CacheObserver
	DiscoveryObserver
	LoadObserver
	RouterObserver
}

// ClientObserver receives what clients see.
type ClientObserver interface {
	// Asked is called when a client has written a whole request. It is called again with the same id, and the second
	// connection's router, where the close of a connection crossed the request and the client has sent it once more.
	Asked(now Time, request Request)
	// Answered is called with the last byte of an answer; value is what a serving answer holds, without load reports.
	// Bytes past an answer are one more call with the same id.
	Answered(now Time, id string, kind Answer, value string)
	// Left is called when the client has closed the connection, or has given the request up, before an answer. At the
	// deadline or later it excuses nothing, so a client waits for the deadline and the slack before it leaves.
	Left(now Time, id string)
	// Broken is called when the router's side has ended the connection with no byte of an answer, or with part of a line.
	Broken(now Time, id string)
	// Behind is called when, at its deadline, a request waits for those before it on its connection, for which the
	// router has up to until. Answers come in order, so that time does not count.
	Behind(now Time, id string, until Time)
}

// CacheObserver receives what caches see of attempts.
type CacheObserver interface {
	// Began is called when a whole command has arrived at a cache, also one that the cache rejects.
	Began(now Time, attempt Attempt)
	// Bad is called when something arrived that no client sent in this form.
	Bad(now Time, cache, reason string)
	// Ran is called when a cache has carried a request out: a write took effect, or a read's value was made. With
	// repeat set, the cache knew the key of the write and dropped it.
	Ran(now Time, attempt Attempt, repeat bool)
	// Replied is called when the cache has written its whole answer; value is what a serving one holds.
	Replied(now Time, cache, id string, kind Answer, value string)
	// Ended is called when the connection of a running command was closed, by the router or by the cache, also where a
	// cut network hides it from the cache.
	Ended(now Time, cache, id string)
}

// DiscoveryObserver receives what routers are notified of.
type DiscoveryObserver interface {
	// Listed is called when discovery has written to a router whether a cache takes work, or when the time has passed
	// by which a router that polls counts as notified.
	Listed(now Time, router, cache string, takesWork bool)
	// StartNotified is called when discovery has written to a router when a cache last started.
	StartNotified(now Time, router, cache string, start Time)
}

// LoadObserver receives the life and the load of caches and of the store.
type LoadObserver interface {
	// CacheUp is called when a cache's process has started. capacity is the work (µs) a second that it can do once it is
	// warm, startFraction the fraction of that at its start, warmup how long the rise takes; 0 stands for a warm cache.
	CacheUp(now Time, cache string, capacity, startFraction float64, warmup Time)
	// CacheDown is called when a cache's process has ended; overloaded reports that load ended it.
	CacheDown(now Time, cache string, overloaded bool)
	// Offered is called when a cache has been sent so much work, also work that it rejects.
	Offered(now Time, cache, router string, work Time)
	// StoreOffered is called when the store behind the caches was asked for a fetch, by the named cache that is warming
	// up or by another one ("").
	StoreOffered(now Time, work Time, warmingUp string)
	// StoreFell is called when the store has stopped under its load.
	StoreFell(now Time)
}

// RouterObserver receives the life of routers.
type RouterObserver interface {
	// RouterUp is called when a router's process has started.
	RouterUp(now Time, router string)
	// RouterDown is called when a router's process has ended. clean reports that it ended by itself after a signal to
	// do so, or was killed because it had not ended in time: its open requests are lost. Otherwise it was killed, and
	// its open requests are its clients' to retry.
	RouterDown(now Time, router string, clean bool)
	// Usage is called with a router's open descriptors and their limit.
	Usage(now Time, router string, descriptors, limit int)
	// Leftover is called with the number of entries that a router still has once all is quiet.
	Leftover(now Time, router, what string, n int)
}
