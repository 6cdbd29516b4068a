// Package books stands between a router's loop and its decision module and holds both to their
// contract, in tests and in service: every Send gets one Outcome, every Probe one Probed, every
// request one final answer, a timer fires once, and nothing is said of what was never told.
//
// What breaks the contract is reported with what led to it, counted and repaired: an event of the
// loop that is a duplicate or concerns nothing known is not handed on, an action of the module that
// makes no sense is not carried out, and what is missing is made up (Overdue).
//
// The books have no opinion on the policy: where a request goes, and whether it may go there again,
// is not theirs to check. They do no I/O, read no clock and start no goroutine. Package rules
// watches the same promises from outside, on the sockets; the books see the one seam.
//
// Things cross: the loop tells events from a queue, so that the module may still ask for things on
// behalf of a client that has left, or a cache that is gone. Only what the other side had been told
// is held against it. Requests are numbered upwards, as the loop does.
package guard

import (
	"slices"

	"starlingwinch/decide"
)

// Module makes the decisions: *decide.Router, or a script in tests. Contract is one itself.
type Module interface {
	Handle(now decide.Time, ev decide.Event) []decide.Action
}

// Counter is a Module that tells its own counts: *decide.Router does.
type Counter interface {
	InFlight(cache string) int // attempts without an outcome at a listed cache
	Open() int                 // requests not answered, or with an attempt out
}

// Kind is a way to break the contract.
type Kind uint8

const (
	// By the loop.
	RequestTwice   Kind = iota // a request that is open already
	OutcomeUnknown             // of an attempt that was never sent
	OutcomeTwice               // of an attempt that had its outcome
	OutcomeMissing             // AttemptDeadline is long past
	StartedUnknown             // of an attempt that is not out
	DepartedWrong              // of a request that was never asked, or a second time
	ProbedUnknown              // no probe of this cache is out
	ProbedMissing              // a probe is long past
	TimerUnset                 // a token that was never set, or has fired

	// By the module.
	SendOver      // for a request that is over or was never asked
	SendUnlisted  // to a cache that is not listed
	AnswerOver    // to a request that is over or was never asked
	AnswerMissing // the deadline is long past
	CancelUnknown // of an attempt that is not out
	ProbeUnlisted // of a cache that is not listed
	CloseUnlisted // likewise
	TimerReused   // a token that is set already
	DropUnset     // of a token that was never set, or has fired

	// By either: the counts differ.
	ModuleCount // attempts out at a cache, by the module's count
	SocketCount // ... and on its sockets
	OpenCount   // requests open, by the module's count
	kinds
)

var kindNames = [kinds]string{"request-twice", "outcome-unknown", "outcome-twice", "outcome-missing", "started-unknown",
	"departed-wrong", "probed-unknown", "probed-missing", "timer-unset", "send-over", "send-unlisted", "answer-over",
	"answer-missing", "cancel-unknown", "probe-unlisted", "close-unlisted", "timer-reused", "drop-unset", "module-count",
	"socket-count", "open-count"}

func (k Kind) String() string { return kindNames[k] }

// Breach is one thing that broke the contract.
type Breach struct {
	Kind    Kind
	At      decide.Time
	Request int64  // 0 where none is concerned
	Cache   string // empty where none is concerned
	Text    string
	History []string // what concerned the request or the cache before, the latest last
}

const (
	slack       = 2_000_000 // microseconds by which an outcome or an answer may be late before it is missing
	mostRepairs = 16        // of the module's Sends, in one call: it may answer each with another wrong one
	mostFree    = 4096      // records kept for the next requests
	closedKept  = 64        // requests lately over whose number of attempts is kept
)

// Contract is a Module around another one. Use New. Its methods belong to the loop's goroutine.
type Contract struct {
	// ReportAll has all breaches reported with their trails, where else the first of each kind is and
	// later ones are only counted: a breach that comes with each request must not cost more than it.
	ReportAll bool

	module   Module
	counter  Counter // nil where the module tells no counts
	report   func(Breach)
	counts   [kinds]int
	now      decide.Time
	requests map[int64]*request
	newest   int64                 // highest number of a request
	caches   map[string]*cache     // listed, or with an attempt or a probe out
	timers   tokens                // set and not fired
	owed     []owed                // outcomes that the module is to get for Sends that were not let out
	repairs  map[decide.Event]bool // what the last Overdue gave out and has not come back
	free     []*request
	closed   [closedKept]closedRequest
	lastOver int // index into closed
	ring     ring
}

// request is one that is open: not answered, or with an attempt out.
type request struct {
	id              int64
	asked, deadline decide.Time
	attempts        []attempt
	out             int  // attempts without an outcome
	over            bool // nothing more is owed
	departed        bool
	told            bool // reported as missing its answer
}

type attempt struct {
	to           *cache
	listing      int // of the cache, when it was sent
	sent, stopAt decide.Time
	ended        decide.Time
	result       decide.Result
	out          bool
	unsent       bool // kept from the loop: only the module believes in it
	streams      bool // its answer has started and may take as long as it takes
	told         bool // reported as missing its outcome
}

// cache is one name. The module forgets a cache when it leaves the list, and attempts that are
// still out there with it; the sockets do not. So both are counted.
type cache struct {
	name    string
	listed  bool
	listing int           // how often it has left the list
	out     int           // attempts out, on the sockets
	ours    int           // ... of this listing, as the module counts them
	probes  []decide.Time // out, by the time of their sending
	told    int           // the first so many are reported as missing
}

// owed is an outcome for an attempt that was never let out.
type owed struct {
	id      int64
	attempt int
}

type closedRequest struct {
	id       int64
	attempts int
}

// New returns books around a module. report is called with breaches, from within the methods.
func NewContract(module Module, report func(Breach)) *Contract {
	b := &Contract{module: module, report: report, requests: map[int64]*request{}, caches: map[string]*cache{},
		repairs: map[decide.Event]bool{}}
	b.counter, _ = module.(Counter)
	return b
}

// Handle checks an event against the books, hands it to the module, and checks and books what the
// module asks for.
func (b *Contract) Handle(now decide.Time, ev decide.Event) []decide.Action {
	b.now = now
	if !b.enter(ev) {
		return nil
	}
	actions := b.allowed(b.module.Handle(now, ev))
	// The danger: a Send that is not let out has no outcome, and the module counts it as out for ever.
	if len(b.owed) > 0 {
		actions = slices.Clone(actions) // they hold until the module's next call
	}
	for i := 0; len(b.owed) > 0 && i < mostRepairs; i++ {
		o := b.owed[0]
		b.owed = b.owed[1:]
		actions = slices.Concat(actions, b.allowed(b.module.Handle(now, b.settle(o))))
	}
	return actions
}

// Count is how many breaches of a kind there were.
func (b *Contract) Count(k Kind) int { return b.counts[k] }

// Breaches is how many there were of all kinds.
func (b *Contract) Breaches() (n int) {
	for _, of := range b.counts {
		n += of
	}
	return n
}

// InFlight is the number of attempts at a cache that the loop owes an outcome for.
func (b *Contract) InFlight(cache string) int {
	if c := b.caches[cache]; c != nil {
		return c.out
	}
	return 0
}

// Open is the number of requests not answered, or with an attempt out.
func (b *Contract) Open() int { return len(b.requests) }

// breach counts and reports one.
func (b *Contract) breach(k Kind, id int64, cache, text string) {
	b.counts[k]++
	if b.report == nil || b.counts[k] > 1 && !b.ReportAll {
		return
	}
	b.report(Breach{Kind: k, At: b.now, Request: id, Cache: cache, Text: text, History: b.trail(id, cache)})
}

// open takes up a request.
func (b *Contract) open(ev *decide.Request) {
	var q *request
	if n := len(b.free); n > 0 {
		q, b.free = b.free[n-1], b.free[:n-1]
		*q = request{attempts: q.attempts[:0]}
	} else {
		q = &request{}
	}
	q.id, q.asked, q.deadline = ev.ID, b.now, ev.Deadline
	b.requests[ev.ID] = q
	b.newest = max(b.newest, ev.ID)
}

// balance lets go of a request once nothing is owed by either side.
func (b *Contract) balance(q *request) {
	if !q.over || q.out > 0 {
		return
	}
	delete(b.requests, q.id)
	b.lastOver = (b.lastOver + 1) % closedKept
	b.closed[b.lastOver] = closedRequest{q.id, len(q.attempts)}
	if len(b.free) < mostFree {
		b.free = append(b.free, q)
	}
}

// name is the record of a cache, made where there is none.
func (b *Contract) name(name string) *cache {
	c := b.caches[name]
	if c == nil {
		c = &cache{name: name}
		b.caches[name] = c
	}
	return c
}

// drop lets go of a cache that is not listed once nothing is out there.
func (b *Contract) drop(c *cache) {
	if !c.listed && c.out == 0 && len(c.probes) == 0 {
		delete(b.caches, c.name)
	}
}

// end books the outcome of an attempt.
func (b *Contract) end(q *request, n int, result decide.Result) {
	a := &q.attempts[n]
	a.out, a.result, a.ended = false, result, b.now
	q.out--
	if a.listing == a.to.listing {
		a.to.ours--
	}
	if !a.unsent {
		a.to.out--
	}
	b.drop(a.to)
}
