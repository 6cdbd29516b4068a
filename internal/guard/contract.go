package guard

import (
	"slices"

	"starlingwinch/decide"
)

// Module makes the decisions: *decide.Router, or a script in tests. Contract is one itself.
type Module interface {
	Handle(now decide.Time, ev decide.Event) []decide.Action
}

// Counter is a Module with counts of its own, with which the Contract's are compared: *decide.Router is one.
type Counter interface {
	// InFlight returns the number of attempts without a result at a listed cache.
	InFlight(cache string) int
	// Open returns the number of requests that are not answered, or have an attempt in flight.
	Open() int
}

const (
	// lateTolerance is by how much a result or an answer may be late before it counts as missing, in microseconds.
	lateTolerance decide.Time = 2_000_000
	// maxRepairsPerCall bounds the module's calls that one call of Handle makes: the module may react to each repair with
	// another action that makes no sense.
	maxRepairsPerCall = 16
	// maxFreeRequests is the number of records that are kept for later requests.
	maxFreeRequests = 4096
	// maxClosedRequests is the number of closed requests of which the number of attempts is kept.
	maxClosedRequests = 64
)

// Contract is a Module around another one. Use NewContract.
//
// The loop hands over events from a queue, so that the module may still act on behalf of a client that has left or a cache that
// is removed: only what a side had been told counts against it. Requests must have increasing numbers.
type Contract struct {
	// ReportAll has all breaches reported. Otherwise the first of each kind is, and later ones are counted: a breach that
	// comes with each request must not cost more than the request.
	ReportAll bool

	module  Module
	counter Counter // nil where the module has no counts
	report  func(Breach)
	counts  [kindCount]int // breaches, by kind
	now     decide.Time    // of the call that is handled

	requests      map[int64]*trackedRequest // open ones
	newestRequest int64                     // highest number so far
	freeRequests  []*trackedRequest         // records for later requests
	closed        [maxClosedRequests]closedRequest
	lastClosed    int                      // index into closed
	caches        map[string]*trackedCache // listed, or with an attempt or a health check in flight
	timers        timerTokens              // set, and neither fired nor cancelled

	pendingResults []pendingResult       // results that the module still has to get for withheld attempts
	repairs        map[decide.Event]bool // events of the last Overdue that were not handed to Handle yet
	events         eventBuffer           // the latest events and actions
}

// pendingResult is the result of an attempt that was withheld from the loop.
type pendingResult struct {
	request int64
	attempt int
}

// NewContract returns a Contract around a module. It calls report with breaches, from within its methods.
func NewContract(module Module, report func(Breach)) *Contract {
	c := &Contract{
		module:   module,
		report:   report,
		requests: map[int64]*trackedRequest{},
		caches:   map[string]*trackedCache{},
		repairs:  map[decide.Event]bool{},
	}
	c.counter, _ = module.(Counter)
	return c
}

// Handle checks an event, hands it to the module, and returns those of the module's actions that make sense. A Send that is
// withheld from the loop gets its result here: the module would count its attempt as in flight for ever.
func (c *Contract) Handle(now decide.Time, ev decide.Event) []decide.Action {
	c.now = now
	if !c.acceptEvent(ev) {
		return nil
	}
	actions := c.acceptActions(c.module.Handle(now, ev))
	if len(c.pendingResults) > 0 {
		actions = slices.Clone(actions) // the module may use them again in its next call
	}
	for i := 0; len(c.pendingResults) > 0 && i < maxRepairsPerCall; i++ {
		next := c.pendingResults[0]
		c.pendingResults = c.pendingResults[1:]
		actions = slices.Concat(actions, c.acceptActions(c.module.Handle(now, c.endWithheld(next))))
	}
	return actions
}

// InFlight returns the number of attempts at a cache that the loop owes a result for.
func (c *Contract) InFlight(cache string) int {
	if tracked := c.caches[cache]; tracked != nil {
		return tracked.inFlight
	}
	return 0
}

// Open returns the number of requests that are not answered, or have an attempt in flight.
func (c *Contract) Open() int { return len(c.requests) }
