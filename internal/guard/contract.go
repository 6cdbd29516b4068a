package guard

import (
	"slices"

	"starlingwinch/decide"
)

// Module turns events into actions. *decide.Router implements it, as do Contract and the scripted modules of tests.
type Module interface {
	Handle(now decide.Time, ev decide.Event) []decide.Action
}

// Counter is an optional interface of a Module that counts requests and attempts. Contract.CheckCounts compares these counts with
// the Contract's. *decide.Router implements it.
type Counter interface {
	// InFlight returns the number of attempts at a listed cache that have no result.
	InFlight(cache string) int
	// OpenRequests returns the number of requests that have no final answer or have an attempt in flight.
	OpenRequests() int
}

const (
	// overdueTolerance is the delay, in microseconds, after which a result or an answer counts as missing. It starts at the deadline
	// of the attempt or request, or when a health check is sent.
	overdueTolerance decide.Time = 2_000_000
	// maxRepairsPerCall bounds the repairs that one call of Handle delivers to the module, because the module may react to each
	// repair with another invalid action.
	maxRepairsPerCall = 16
	// maxFreeRequests is the maximum number of trackedRequest records held for reuse.
	maxFreeRequests = 4096
	// maxClosedRequests is the number of closed requests whose attempt counts are stored.
	maxClosedRequests = 64
)

// Contract is a Module that wraps another Module and checks its events and actions. NewContract creates one.
//
// The loop delivers events from a queue, so the module may still act for a client that has disconnected or for a cache that has
// been removed. A side breaches the contract only if it contradicts an event or action that it has already received. Request IDs
// must increase.
type Contract struct {
	// ReportAll enables a report for every breach. Otherwise only the first breach of each kind is reported and later ones are
	// only counted, so that a breach that recurs with every request does not cost more than the request.
	ReportAll bool

	module  Module
	counter Counter // nil if the module does not implement Counter
	report  func(Breach)
	counts  [kindCount]int // breaches, by kind
	now     decide.Time    // time of the current call

	requests      map[int64]*trackedRequest // open requests, by ID
	newestRequest int64                     // highest ID so far
	freeRequests  []*trackedRequest         // records for reuse
	closed        [maxClosedRequests]closedRequest
	lastClosed    int                      // index into closed of the latest entry
	caches        map[string]*trackedCache // caches that are listed or have an attempt or a health check in flight
	timers        timerTokens              // timers that are set and have neither fired nor been cancelled

	pendingResults []pendingResult       // results of withheld attempts, not yet delivered to the module
	repairs        map[decide.Event]bool // events from the latest OverdueEvents that have not been passed to Handle
	events         eventBuffer           // the latest events and actions
}

// pendingResult identifies an attempt whose Send was withheld from the loop and whose result the module has not received.
type pendingResult struct {
	request int64
	attempt int
}

// NewContract returns a Contract that wraps module. The Contract's methods call report synchronously; report may be nil.
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

// Handle checks an event, passes it to the module, and returns the module's valid actions. If it withholds a Send from the loop,
// it delivers the attempt's result to the module itself; otherwise the module would count the attempt as in flight forever.
func (c *Contract) Handle(now decide.Time, ev decide.Event) []decide.Action {
	c.now = now
	if !c.acceptEvent(ev) {
		return nil
	}
	actions := c.acceptActions(c.module.Handle(now, ev))
	if len(c.pendingResults) > 0 {
		actions = slices.Clone(actions) // the module may reuse the slice in its next call
	}
	for i := 0; len(c.pendingResults) > 0 && i < maxRepairsPerCall; i++ {
		next := c.pendingResults[0]
		c.pendingResults = c.pendingResults[1:]
		actions = slices.Concat(actions, c.acceptActions(c.module.Handle(now, c.endWithheldAttempt(next))))
	}
	return actions
}

// InFlight returns the number of attempts at a cache for which the loop has not delivered a result.
func (c *Contract) InFlight(cache string) int {
	if tracked := c.caches[cache]; tracked != nil {
		return tracked.inFlight
	}
	return 0
}

// OpenRequests returns the number of requests that have no final answer or have an attempt in flight.
func (c *Contract) OpenRequests() int { return len(c.requests) }
