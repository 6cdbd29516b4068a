// Package decide makes the decisions of one router in front of a fleet of cache
// servers: which cache gets a request, when an attempt is given up or repeated, and
// when a request is rejected.
//
// A Router is fed events and returns actions. It performs no I/O, reads no clock and
// starts no goroutines: the time comes in with each event, and equal events give equal
// actions.
//
// Each rule has a file of its own with its constants, its state and its methods;
// router.go composes them.
package decide

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strings"
)

// Time is an instant or a span in microseconds. The zero of the clock is arbitrary.
type Time = int64

// MaxSchedulingDelay is for how long a router may stand still between reading its clock
// and the write that follows; µs.
const MaxSchedulingDelay Time = 150_000

// Semantics says what may happen when a request is carried out twice.
type Semantics uint8

const (
	// NonIdempotent requests must never run twice. Requests of a class that is not in the
	// settings are taken for such.
	NonIdempotent Semantics = iota
	// Idempotent requests may be repeated freely.
	Idempotent
	// IdempotentByKey requests are dropped by the caches of the DeduplicationScope when
	// they are repeated within the IdempotencyWindow.
	IdempotentByKey
)

// DeduplicationScope names the caches that drop repeats of a request with an
// idempotency key.
type DeduplicationScope uint8

const (
	// DeduplicatedInCell means the caches in the cell of the first attempt.
	DeduplicatedInCell DeduplicationScope = iota
	// DeduplicatedInZone means the caches in the zone of the first attempt.
	DeduplicatedInZone
	// DeduplicatedEverywhere means all caches.
	DeduplicatedEverywhere
)

// Class describes one kind of request.
type Class struct {
	Name      string
	Semantics Semantics
	// DeduplicationScope is for IdempotentByKey only.
	DeduplicationScope DeduplicationScope
	// IdempotencyWindow is for IdempotentByKey only: for how long caches drop repeats, from
	// the first attempt that may have run; µs.
	IdempotencyWindow Time
	// LatencyObjective is the latency up to which an answer earns the full weight; µs.
	LatencyObjective Time
	// ClientTimeout is how long the client waits, over all its tries; µs.
	ClientTimeout Time
	// PriorityWeight is what an answer within the latency objective earns; points.
	PriorityWeight float64
	// LateWeightFraction is the fraction of PriorityWeight that a later answer earns.
	LateWeightFraction float64
}

// Settings are given to a router once, at its start.
type Settings struct {
	// Routers is the number of routers that share the load.
	Routers int
	// Zone is where this router is; "" if it is not known.
	Zone string
	// Classes are all kinds of requests; at least one.
	Classes []Class
	// WatchRequired is set if the endpoint list is sent only after a Watch.
	WatchRequired bool
	// WeightsFollowLoad is set if Endpoint.Weight falls with the load of the moment.
	WeightsFollowLoad bool

	// MaxAttempts is the number of attempts of a request, at least 1.
	MaxAttempts int
	// AllowHedging allows two attempts of a request to be out at once.
	AllowHedging bool
	// AllowCancel allows Cancel.
	AllowCancel bool
	// AllowHealthChecks allows HealthCheck.
	AllowHealthChecks bool
	// MaxRetryAfter is the longest Reject.RetryAfter that clients honour; µs, 0 if it does
	// not reach them.
	MaxRetryAfter Time
	// DrainGrace is the time after which attempts to a draining or removed cache must have
	// ceased; µs, 0 for a second.
	DrainGrace Time
	// SlowStartWindow is the time in which a started cache warms up; µs.
	SlowStartWindow Time
	// SlowStartMinCapacity is the fraction of its capacity that a cache starts with.
	SlowStartMinCapacity float64
	// OverloadWindow is the time after which a cache falls over that is sent a multiple of
	// its capacity; µs.
	OverloadWindow Time
	// PollInterval is the time after which a router without a watch counts as notified of
	// changes to the list; µs.
	PollInterval Time
	// HealthCheckCost is the cost of one health check a request; points.
	HealthCheckCost float64
	// ConnectionCost is the cost of 100 open connections a cache; points.
	ConnectionCost float64
	// DialCost is the cost of one new connection a request; points.
	DialCost float64
}

// ErrNoClasses is New's error for settings without a class.
var ErrNoClasses = errors.New("decide: Classes is empty")

// FieldError is New's error for the first field of Settings that is out of range.
type FieldError struct {
	Field string // such as "Classes[0].LatencyObjective"
	Value float64
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("decide: %s is %v, out of range", e.Field, e.Value)
}

// settingsField is a field of Settings with the range that check holds it to.
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

// Status is what the endpoint list says of a cache.
type Status uint8

const (
	// Serving caches take requests.
	Serving Status = iota
	// Draining caches finish what they have and take nothing new.
	Draining
	// Removed caches are gone.
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID   string // unique in the list
	Zone string // data centre
	Cell int    // caches of one cell drop repeats together
	// Weight is the capacity relative to other caches; 0 or less counts as 1.
	Weight    float64
	StartedAt Time // start of its process; 0 if that is long ago
	Status    Status
}

// Result is how an attempt or a health check ended.
type Result uint8

const (
	// Served attempts were answered as requested.
	Served Result = iota
	// Errored attempts were answered with an error; they may have run.
	Errored
	// Rejected attempts were turned down by the cache; they have not run.
	Rejected
	// TimedOut attempts had no answer in time; they may have run, or may still run.
	TimedOut
	// ConnectFailed attempts found no connection; they have not run.
	ConnectFailed
	// ConnectionLost attempts lost their connection before the answer; they may have run.
	ConnectionLost
	// Cancelled attempts were ended by Cancel; they may have run.
	Cancelled
	// NotSent attempts were never written, for reasons of this machine; they have not run.
	NotSent
	// NotStored attempts were answered so by the cache; they have not run.
	NotStored
)

// NeverRan reports whether the result proves that the request was not carried out.
func (s Result) NeverRan() bool {
	return s == Rejected || s == ConnectFailed || s == NotSent || s == NotStored
}

// LoadReport is what a cache says of its own load.
type LoadReport struct {
	Utilization float64 // fraction of its capacity in use; below 0 if it was not reported
	ErrorRate   float64 // fraction of errors among its answers
}

// UnknownLoad is the load report of results that no cache sent.
var UnknownLoad = LoadReport{Utilization: -1}

// Event is what a Router is fed: *EndpointList, *Request, *ResponseStarted,
// *AttemptResult, *ClientGone, *Timer, *HealthCheckResult, *PeerMessage, *RouterCount or
// *RetryStorm.
type Event interface{ event() }

// UpdateKind says what an EndpointList holds.
type UpdateKind uint8

const (
	// DeltaUpdate holds only the endpoints that changed.
	DeltaUpdate UpdateKind = iota
	// FullUpdate holds every endpoint there is.
	FullUpdate
	// StaleUpdate holds every endpoint as last known, which may be out of date.
	StaleUpdate
	// FailedUpdate holds no endpoints: a call for the list failed, or the watch broke.
	FailedUpdate
)

// EndpointList is an update of the list of caches.
type EndpointList struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	// Rejected says of a FailedUpdate that discovery answered the call, but is down or has too much to do. Otherwise there
	// was no answer, or it is not known.
	Rejected bool
}

// Request is a client's request. It gets one final answer (a result with Last set, Reject
// or Fail) by its deadline.
type Request struct {
	ID       int64  // unique among the requests of this router
	Class    string // name of a Class
	Tenant   string // for whom it is; no rule depends on it
	Key      uint64 // hash of the key
	HasKey   bool   // otherwise it may go to any cache
	Deadline Time   // when it wants its final answer, at the latest
	// FirstRequestedAt is when its client first made the request, if this is known to be a
	// retry; 0 if it is not.
	FirstRequestedAt Time
	Cost             Time // expected work; µs, 0 if it is not known
	Write            bool // it goes on to the origin
	// IdempotencyKeyMissing is set for a request of an IdempotentByKey class without a key:
	// no cache drops a repeat.
	IdempotencyKeyMissing bool
}

// ResponseStarted says that the answer has begun to reach the client. The request can't
// be sent again or answered otherwise from then on.
type ResponseStarted struct {
	ID      int64 // of the request
	Attempt int   // number of the attempt, from 0
}

// AttemptResult is the end of an attempt. Each Send gets one, cancelled ones too.
type AttemptResult struct {
	ID      int64 // of the request
	Attempt int   // number of the attempt, from 0
	Result  Result
	Elapsed Time // since the attempt was sent; µs
	Last    bool // the client has its final answer
	Miss    bool // the cache had to fetch from the origin
	Load    LoadReport
}

// ClientGone says that the client of a request has gone: no answer is due any more.
type ClientGone struct{ ID int64 }

// Timer says that a timer has fired.
type Timer struct{ Token int64 }

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Cache   string // id
	Result  Result
	Elapsed Time // since the health check was sent; µs
	Load    LoadReport
}

// PeerMessage comes from another router. It is ignored: the rules share nothing.
type PeerMessage struct {
	From int
	Data string
}

// RouterCount changes Settings.Routers.
type RouterCount struct{ Routers int }

// RetryStorm says whether the load is made of clients' retries, and bounds them while it
// is. It holds until the next one. Before the first one, and after one that is not
// Active, the rules for retry storms change nothing.
type RetryStorm struct {
	Active bool
	// Outage is set if the cause is an outage: caches are away, or have just come back.
	Outage bool
	// RetryBudgetFraction is the fraction of the retry budget, and of what it earns, that
	// is left.
	RetryBudgetFraction float64
	// RetryAfterJitter is by how much Reject.RetryAfter differs between requests; µs.
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

// Action is what a Router wants done: Send, Cancel, Reject, Fail, SetTimer, CancelTimer,
// HealthCheck, CloseIdle, Watch or Log. The caller carries actions out in order.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0 in this order.
type Send struct {
	ID    int64  // of the request
	Cache string // id
	// AttemptDeadline is when the attempt is given up.
	AttemptDeadline Time
	// WriteDeadline is when the last byte must have been written, 0 for no limit: later the
	// caches may not remember an earlier attempt that may have run.
	WriteDeadline Time
}

// Cancel ends the wait on an attempt. Its AttemptResult is still due.
type Cancel struct {
	ID      int64 // of the request
	Attempt int   // number of the attempt, from 0
}

// Reason is what kept a request from being served, for reports on lost requests.
type Reason uint8

const (
	// NoReason is that of requests that nothing has kept from being served.
	NoReason Reason = iota
	// RetryTooLate is a client's retry, during a retry storm, that can't be served within
	// its latency objective any more.
	RetryTooLate
	// Overloaded means that the caches don't serve in time what they are sent.
	Overloaded
	// EndpointEjected means that the cache of its key is ejected, and the failover budget
	// is exhausted.
	EndpointEjected
	// NoCapacity means that no cache that it may be sent to had capacity in time.
	NoCapacity
	// OriginProtected means that it is a likely miss and the origin limit was reached.
	OriginProtected
	// RetryBudgetExhausted means that its attempt failed and there is no token for a retry.
	RetryBudgetExhausted
	// NoEndpoint means that there is no cache that it may be sent to.
	NoEndpoint
	// WaitBeyondDeadline means that its deadline has come.
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

// String returns the text of the reason in the log.
func (w Reason) String() string { return reasonTexts[w] }

// Reject is a final answer which promises that another try does no harm.
type Reject struct {
	ID         int64 // of the request
	RetryAfter Time  // how long the client is asked to stay away; µs, 0 for no advice
	Reason     Reason
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID     int64 // of the request
	Reason Reason
}

// SetTimer wants a Timer event with the token at or after an instant.
type SetTimer struct {
	Token int64 // used once
	At    Time
}

// CancelTimer takes a SetTimer back. If its Timer event comes all the same, it is ignored.
type CancelTimer struct{ Token int64 }

// HealthCheck wants a cache probed. Its HealthCheckResult is ignored after half of the
// drain grace.
type HealthCheck struct{ Cache string }

// CloseIdle closes the router's idle connections to a cache.
type CloseIdle struct{ Cache string }

// Watch subscribes to changes of the endpoint list.
type Watch struct{}

// Log adds a line to the log.
type Log struct {
	Level   slog.Level
	Message string      // a constant text
	Attrs   []slog.Attr // the values
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
