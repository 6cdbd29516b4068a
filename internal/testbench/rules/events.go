// Package rules watches the four rules from outside: by what is on the sockets of clients, caches
// and discovery, and never by a router's own books. It does no I/O and reads no clock; the
// stand-ins report what they see to an Observer, with the time in it.
//
// The rules are those of the operators: one final answer for each request, in time, made for that
// request; no effect twice, and no refusal where it may have run; nothing new to a cache that drains
// or is gone after the grace; no cold cache and no store pushed over by the routers.
package rules

// Time is an instant or a span in microseconds.
type Time = int64

// Answer is the kind of a final answer.
type Answer uint8

const (
	Served  Answer = iota // a value or a receipt
	Refused               // -BUSY: trying again is harmless
	Failed                // anything else: promises nothing
	Cut                   // a client only: a value whose connection ended before it was whole, as its length told
)

func (a Answer) String() string { return [...]string{"served", "refused", "failed", "cut off"}[a] }

// Request is one request as its client wrote it.
type Request struct {
	ID       string // new with every try
	Router   string // name of the router it was written to
	Class    string
	Key      string
	IdemKey  string // k, of a keyed write
	Sent     Time   // when its last byte was written to a connection that the router's machine accepted
	Deadline Time   // when the client stops waiting
	Write    bool
	Forgone  bool // nobody waits for its answer, though the connection stays open

	// Ended, where it is not nil, tells whether the router's machine has the end of its connection by now.
	Ended func() bool
}

// Attempt is one command as a cache got it.
type Attempt struct {
	ID, Key, IdemKey string
	Class            string
	Router, Cache    string
	Write            bool
	First, Last      Time // arrival of its first and its last byte
	Sent             Time // when the router wrote its first byte, where that is known; else First
}

// Observer is told of what happens on the sockets. Calls come in the order of time.
type Observer interface {
	// Asked: a client has written a request whole. The same id is told again, with the second
	// connection's router, where the close of a connection crossed the request and the client has sent it
	// once more. Answered: the last byte of its answer has come; value is what a serving answer holds,
	// without load reports; bytes past an answer are one more Answered of the same id. Left: the client has
	// closed the connection, or has given the request up, before an answer; at the deadline or later it
	// excuses nothing, so a client waits for the deadline and the slack before it goes. Broken: the
	// router, or its end, has ended the connection with no byte of an answer, or with part of a line. Behind:
	// at its deadline a request waits for those before it on its connection, for which the router has up
	// to until; answers come in order, and that time does not count.
	Asked(now Time, a Request)
	Answered(now Time, id string, kind Answer, value string)
	Left(now Time, id string)
	Broken(now Time, id string)
	Behind(now Time, id string, until Time)

	// Began: a command has come whole at a cache, also one that it turns away. Bad: something came
	// that no client sent in this form. Ran: a cache has carried a request out (a write's effect took
	// place, or a read's value was made); repeat tells that the cache knew the key of the write and dropped
	// it. Replied: the cache has written its answer whole, value being what a serving one holds. Ended:
	// the connection of a running command was closed, by the router or by the cache, also where a cut
	// network hides it from the cache.
	Began(now Time, a Attempt)
	Bad(now Time, cache, why string)
	Ran(now Time, a Attempt, repeat bool)
	Replied(now Time, cache, id string, kind Answer, value string)
	Ended(now Time, cache, id string)

	// Listed: discovery has written to a router what it says of a cache (or, for a list that must be
	// asked for, the time has passed by which it counts as told).
	Listed(now Time, router, cache string, takesWork bool)
	// StartNotified: discovery has written to a router when a cache last started.
	StartNotified(now Time, router, cache string, start Time)

	// CacheServing: a cache's process has started, with the work it can do a second when warm (in µs of
	// work), the share of that it starts with, and how long it takes to be warm; coldFor 0 stands for a
	// warm one. CacheDown: it has ended, fallen tells that load pushed it over. Offered: the cache has been
	// sent work of so many µs, also work that it turns away. StoreOffered: the central store was asked for
	// a fetch, by the cold cache that is named or by another one (""), and StoreFell: it has stopped under its load.
	CacheUp(now Time, cache string, capacity, coldShare float64, coldFor Time)
	CacheDown(now Time, cache string, fallen bool)
	Offered(now Time, cache, router string, work Time)
	StoreOffered(now Time, work Time, cold string)
	StoreFell(now Time)

	// RouterUp and RouterDown: a router's process has started, or has ended. clean tells that it ended by
	// itself after a signal to do so, or was killed as it had not ended in time: what it held is lost. Else
	// it was killed, and what it held is its clients' to retry.
	RouterUp(now Time, router string)
	RouterDown(now Time, router string, clean bool)
	// Usage: a router's descriptors and, once all is quiet, what is left in its maps. most is the limit.
	Usage(now Time, router string, descriptors, most int)
	Leftover(now Time, router, what string, n int)
}
