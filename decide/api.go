// Package decide makes the decisions of one router in front of a fleet of cache servers: which cache receives
// a request, when an attempt is abandoned or retried, and when a request is rejected.
//
// A Router consumes events and returns actions. It performs no I/O, reads no clock and starts no goroutines.
// Each event carries the current time, and equal sequences of events produce equal actions.
//
// Each rule has its own file with its constants, its state and its methods; router.go composes the rules.
package decide

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strings"
)

// Time is an instant or a duration in microseconds. The zero of the clock is arbitrary.
type Time = int64

// MaxSchedulingDelay is the longest time, in µs, that a router may be suspended between reading its clock and
// the write that follows.
const MaxSchedulingDelay Time = 150_000

// Semantics says whether a request may be executed more than once.
type Semantics uint8

const (
	// NonIdempotent requests must never run twice. Requests of a class that is missing from the settings
	// count as non-idempotent.
	NonIdempotent Semantics = iota
	// Idempotent requests may be repeated freely.
	Idempotent
	// IdempotentByKey requests carry an idempotency key. The caches in the DeduplicationScope drop a repeat
	// that arrives within the IdempotencyWindow.
	IdempotentByKey
)

// DeduplicationScope is the set of caches that drop repeats of a request with an idempotency key.
type DeduplicationScope uint8

const (
	// DeduplicatedInCell is the caches in the cell of the first attempt.
	DeduplicatedInCell DeduplicationScope = iota
	// DeduplicatedInZone is the caches in the zone of the first attempt.
	DeduplicatedInZone
	// DeduplicatedEverywhere is all caches.
	DeduplicatedEverywhere
)

// Class describes one kind of request.
type Class struct {
	Name      string
	Semantics Semantics
	// DeduplicationScope applies to IdempotentByKey only.
	DeduplicationScope DeduplicationScope
	// IdempotencyWindow applies to IdempotentByKey only. It is how long caches drop repeats, counted from the
	// first attempt that may have run; µs.
	IdempotencyWindow Time
	// LatencyObjective is the longest latency at which an answer earns the full PriorityWeight; µs.
	LatencyObjective Time
	// ClientTimeout is how long the client waits in total, including its own retries; µs.
	ClientTimeout Time
	// PriorityWeight is the value of an answer within the latency objective; points.
	PriorityWeight float64
	// LateWeightFraction is the fraction of PriorityWeight that an answer after the latency objective earns.
	LateWeightFraction float64
}

// Settings configure a router and are passed to New once.
type Settings struct {
	// Routers is the number of routers that share the load.
	Routers int
	// Zone is the zone of this router; "" if the zone is unknown.
	Zone string
	// Classes lists all kinds of requests. At least one is required.
	Classes []Class
	// WatchRequired is set if the endpoint list arrives only after a Watch action.
	WatchRequired bool
	// WeightsFollowLoad is set if Endpoint.Weight decreases with the current load of the cache.
	WeightsFollowLoad bool

	// MaxAttempts is the maximum number of attempts of a request, at least 1.
	MaxAttempts int
	// AllowHedging permits two attempts of a request to be in flight at once.
	AllowHedging bool
	// AllowCancel permits the Cancel action.
	AllowCancel bool
	// AllowHealthChecks permits the HealthCheck action.
	AllowHealthChecks bool
	// MaxRetryAfter is the longest Reject.RetryAfter that clients honour; µs. 0 means that RetryAfter does
	// not reach the clients.
	MaxRetryAfter Time
	// DrainGrace is the time, after the router counts as notified that a cache drains or is removed, from
	// which no new attempt to that cache may start; µs. Attempts that have started may continue. 0 selects one
	// second.
	DrainGrace Time
	// SlowStartWindow is the time in which a newly started cache warms up; µs.
	SlowStartWindow Time
	// SlowStartMinCapacity is the fraction of its capacity that a cache has when it starts.
	SlowStartMinCapacity float64
	// OverloadWindow is the time after which a cache fails if it receives a multiple of its capacity; µs.
	OverloadWindow Time
	// PollInterval is the time after which a router without a watch counts as notified of a change to the
	// endpoint list; µs.
	PollInterval Time
	// HealthCheckCost is the cost of one health check per request; points.
	HealthCheckCost float64
	// ConnectionCost is the cost of 100 open connections per cache; points.
	ConnectionCost float64
	// DialCost is the cost of one new connection per request; points.
	DialCost float64
}

// ErrNoClasses is the error that New returns for settings without a class.
var ErrNoClasses = errors.New("decide: Classes is empty")

// FieldError is the error that New returns for the first field of Settings that is out of range.
type FieldError struct {
	Field string // such as "Classes[0].LatencyObjective"
	Value float64
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	return fmt.Sprintf("decide: %s is %v, out of range", e.Field, e.Value)
}

// settingsField is a field of Settings with its permitted range.
type settingsField struct {
	name            string
	value, min, max float64
}

// check returns an error that names the first field that is out of range.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return ErrNoClasses
	}
	fields := []settingsField{
		{"Routers", float64(s.Routers), 0, math.MaxFloat64},
		{"MaxAttempts", float64(s.MaxAttempts), 1, math.MaxFloat64},
		{"MaxRetryAfter", float64(s.MaxRetryAfter), 0, math.MaxFloat64},
		{"DrainGrace", float64(s.DrainGrace), 0, math.MaxFloat64},
		{"SlowStartWindow", float64(s.SlowStartWindow), 0, math.MaxFloat64},
		{"SlowStartMinCapacity", s.SlowStartMinCapacity, 0, 1},
		{"OverloadWindow", float64(s.OverloadWindow), 0, math.MaxFloat64},
		{"PollInterval", float64(s.PollInterval), 0, math.MaxFloat64},
		{"HealthCheckCost", s.HealthCheckCost, 0, math.MaxFloat64},
		{"ConnectionCost", s.ConnectionCost, 0, math.MaxFloat64},
		{"DialCost", s.DialCost, 0, math.MaxFloat64},
	}
	for i, c := range s.Classes {
		class := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields,
			settingsField{class + "LatencyObjective", float64(c.LatencyObjective), 0, math.MaxFloat64},
			settingsField{class + "ClientTimeout", float64(c.ClientTimeout), 0, math.MaxFloat64},
			settingsField{class + "IdempotencyWindow", float64(c.IdempotencyWindow), 0, math.MaxFloat64},
			settingsField{class + "PriorityWeight", c.PriorityWeight, 0, math.MaxFloat64},
			settingsField{class + "LateWeightFraction", c.LateWeightFraction, 0, 1},
		)
	}
	for _, f := range fields {
		inRange := f.value >= f.min && f.value <= f.max // false for NaN
		if !inRange {
			return &FieldError{Field: f.name, Value: f.value}
		}
	}
	return nil
}

// Status is the state of a cache in the endpoint list.
type Status uint8

const (
	// Serving caches accept requests.
	Serving Status = iota
	// Draining caches finish their pending requests and accept no new ones.
	Draining
	// Removed caches no longer exist.
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID   string // unique in the list
	Zone string // data centre
	Cell int    // the caches of a cell drop one another's repeats
	// Weight is the capacity relative to other caches; 0 or less counts as 1.
	Weight    float64
	StartedAt Time // when its process started; 0 if that is long ago
	Status    Status
}

// Result is the outcome of an attempt or a health check.
type Result uint8

const (
	// Served attempts were answered as requested.
	Served Result = iota
	// Errored attempts were answered with an error and may have run.
	Errored
	// Rejected attempts were refused by the cache and have not run.
	Rejected
	// TimedOut attempts received no answer in time and may have run or may still be running.
	TimedOut
	// ConnectFailed attempts could not establish a connection and have not run.
	ConnectFailed
	// ConnectionLost attempts lost their connection before the answer arrived, and may have run.
	ConnectionLost
	// Cancelled attempts were ended by Cancel and may have run.
	Cancelled
	// NotSent attempts were never written, because of a fault on the router's own machine, and have not run.
	NotSent
	// NotStored attempts were answered by the cache as not stored and have not run.
	NotStored
)

// NeverRan reports whether the result proves that the request was not executed.
func (r Result) NeverRan() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == NotStored
}

// LoadReport is the load that a cache reports about itself.
type LoadReport struct {
	Utilization float64 // fraction of its capacity in use; below 0 if it was not reported
	ErrorRate   float64 // fraction of errors among its answers
}

// UnknownLoad is the load report of results that did not come from a cache.
var UnknownLoad = LoadReport{Utilization: -1}

// Event is an input of a Router: *EndpointList, *Request, *ResponseStarted, *AttemptResult, *ClientGone,
// *Timer, *HealthCheckResult, *PeerMessage, *RouterCount or *RetryStorm.
type Event interface{ event() }

// UpdateKind is the kind of content of an EndpointList.
type UpdateKind uint8

const (
	// DeltaUpdate contains only the endpoints that changed.
	DeltaUpdate UpdateKind = iota
	// FullUpdate contains all endpoints.
	FullUpdate
	// StaleUpdate contains all endpoints as last known, possibly out of date.
	StaleUpdate
	// FailedUpdate contains no endpoints: a call for the list failed, or the watch broke.
	FailedUpdate
)

// EndpointList is an update of the list of caches.
type EndpointList struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	// Rejected is set on a FailedUpdate if discovery answered the call but is down or overloaded. If it is
	// unset, discovery did not answer, or the cause is unknown.
	Rejected bool
}

// Request is a client's request. It receives one final answer (a result with Final set, Reject or Fail) by its
// deadline.
type Request struct {
	ID       int64  // unique among the requests of this router
	Class    string // name of a Class
	Tenant   string // the tenant that sent the request; no rule depends on it
	Key      uint64 // hash of the key
	HasKey   bool   // if unset, any cache may serve the request
	Deadline Time   // latest time of the final answer
	// FirstRequestedAt is when the client first made the request, if the request is known to be a retry; 0
	// otherwise.
	FirstRequestedAt Time
	ExpectedWork     Time // expected work; µs, 0 if unknown
	Write            bool // the cache passes the request to the origin
	// IdempotencyKeyMissing is set for a request of an IdempotentByKey class that carries no key. No cache
	// drops a repeat of such a request.
	IdempotencyKeyMissing bool
}

// ResponseStarted reports that the answer has started to reach the client. The request can then no longer be
// sent again or answered in any other way.
type ResponseStarted struct {
	ID      int64 // of the request
	Attempt int   // number of the attempt, from 0
}

// AttemptResult is the outcome of an attempt. Every Send receives one, including cancelled attempts.
type AttemptResult struct {
	ID      int64 // of the request
	Attempt int   // number of the attempt, from 0
	Result  Result
	Elapsed Time // since the attempt was sent; µs
	Final   bool // the client has received its final answer
	Miss    bool // the cache had to fetch from the origin
	Load    LoadReport
}

// ClientGone reports that the client of a request has disconnected and no answer is due any more.
type ClientGone struct{ ID int64 }

// Timer reports that a timer has fired.
type Timer struct{ Token int64 }

// HealthCheckResult is the outcome of a health check.
type HealthCheckResult struct {
	Cache   string // ID of the cache
	Result  Result
	Elapsed Time // since the health check was sent; µs
	Load    LoadReport
}

// PeerMessage comes from another router. It is ignored, because routers share no state.
type PeerMessage struct {
	From int
	Data string
}

// RouterCount changes Settings.Routers.
type RouterCount struct{ Routers int }

// RetryStorm reports whether the load consists of clients' retries, and limits these retries while it does. A
// report holds until the next one. Before the first report, and after a report that is not Active, the rules
// for retry storms have no effect.
type RetryStorm struct {
	Active bool
	// Outage is set if the cause is an outage: caches are down or have just recovered.
	Outage bool
	// RetryBudgetFraction is the fraction of the retry budget, and of its earnings, that remains available.
	RetryBudgetFraction float64
	// RetryAfterJitter is the range over which Reject.RetryAfter varies between requests; µs.
	RetryAfterJitter Time
}

func (*EndpointList) event()      {}
func (*Request) event()           {}
func (*ResponseStarted) event()   {}
func (*AttemptResult) event()     {}
func (*ClientGone) event()        {}
func (*Timer) event()             {}
func (*HealthCheckResult) event() {}
func (*PeerMessage) event()       {}
func (*RouterCount) event()       {}
func (*RetryStorm) event()        {}

// Action is an output of a Router: Send, Cancel, Reject, Fail, SetTimer, CancelTimer, HealthCheck, CloseIdle,
// Watch or Log. The caller executes the actions in order.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0 in the order of the Sends.
type Send struct {
	ID    int64  // of the request
	Cache string // ID of the cache
	// AttemptDeadline is when the attempt times out.
	AttemptDeadline Time
	// WriteDeadline is the latest time for writing the last byte; 0 means no limit. After it, the caches may
	// have forgotten an earlier attempt that may have run.
	WriteDeadline Time
}

// Cancel stops waiting for an attempt. The AttemptResult of the attempt still follows.
type Cancel struct {
	ID      int64 // of the request
	Attempt int   // number of the attempt, from 0
}

// Reason is why a request was not served, for reports on lost requests.
type Reason uint8

const (
	// NoReason means that nothing has prevented the request from being served.
	NoReason Reason = iota
	// RetryTooLate means that the request is a client's retry during a retry storm and can no longer be
	// served within its latency objective.
	RetryTooLate
	// Overloaded means that the caches do not serve their current load in time.
	Overloaded
	// EndpointEjected means that the cache of the request's key is ejected and the failover budget is
	// exhausted.
	EndpointEjected
	// NoCapacity means that no eligible cache had capacity in time.
	NoCapacity
	// OriginProtected means that the request is a likely miss and the origin limit was reached.
	OriginProtected
	// RetryBudgetExhausted means that an attempt failed and the retry budget has no token for a retry.
	RetryBudgetExhausted
	// NoEndpoint means that there is no eligible cache.
	NoEndpoint
	// DeadlineExceeded means that the request's deadline has passed.
	DeadlineExceeded
)

var reasonTexts = [...]string{
	NoReason:             "",
	RetryTooLate:         "retry too late",
	Overloaded:           "overloaded",
	EndpointEjected:      "endpoint ejected",
	NoCapacity:           "no capacity",
	OriginProtected:      "origin protected",
	RetryBudgetExhausted: "retry budget exhausted",
	NoEndpoint:           "no endpoint",
	DeadlineExceeded:     "deadline exceeded",
}

// String returns the text of the reason that appears in the log.
func (r Reason) String() string { return reasonTexts[r] }

// Reject is a final answer. It guarantees to the client that a retry is safe.
type Reject struct {
	ID         int64 // of the request
	RetryAfter Time  // how long the client should wait before it retries; µs, 0 for no advice
	Reason     Reason
}

// Fail is a final answer that gives no guarantee about a retry.
type Fail struct {
	ID     int64 // of the request
	Reason Reason
}

// SetTimer requests a Timer event with the token at or after the given instant.
type SetTimer struct {
	Token int64 // never reused
	At    Time
}

// CancelTimer revokes a SetTimer. A Timer event that still arrives is ignored.
type CancelTimer struct{ Token int64 }

// HealthCheck probes a cache. Its HealthCheckResult is ignored after half of the drain grace.
type HealthCheck struct{ Cache string }

// CloseIdle closes the router's idle connections to a cache.
type CloseIdle struct{ Cache string }

// Watch subscribes to changes of the endpoint list.
type Watch struct{}

// Log writes a line to the log.
type Log struct {
	Level   slog.Level
	Message string      // constant text
	Attrs   []slog.Attr // variable values
}

// String returns the message, followed by the attributes as key=value.
func (l Log) String() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, attr := range l.Attrs {
		fmt.Fprintf(&text, " %s", attr)
	}
	return text.String()
}

func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (CancelTimer) action() {}
func (HealthCheck) action() {}
func (CloseIdle) action()   {}
func (Watch) action()       {}
func (Log) action()         {}
