// Package decide makes the decisions of one router in front of a fleet of
// cache servers: which cache gets a request, when an attempt is given up or
// repeated, and when a request is refused.
//
// A Router is fed events and returns actions. It performs no I/O, reads no
// clock and starts no goroutines: the time comes in with each event, and equal
// events give equal actions.
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

// MaxSchedulingDelay is for how long a router may stand still between a look at its clock and the write that follows it: the operators'
// terms name the figure.
const MaxSchedulingDelay Time = 150_000

// Semantics says what may happen when a request is carried out twice.
type Semantics uint8

const (
	NonIdempotent   Semantics = iota // must never run twice; also any class not in the settings
	Idempotent                       // may be repeated freely
	IdempotentByKey                  // repeats are dropped inside Scope for IdempotencyWindow
)

// DeduplicationScope names the caches that drop repeats of a keyed request.
type DeduplicationScope uint8

const (
	DeduplicatedInCell     DeduplicationScope = iota // those of the first cache's cell
	DeduplicatedInZone                               // those of its zone
	DeduplicatedEverywhere                           // every cache
)

// Class describes one kind of request.
type Class struct {
	Name               string
	Semantics          Semantics
	DeduplicationScope DeduplicationScope // Keyed only
	IdempotencyWindow  Time               // Keyed only, from the first send that may have run
	LatencyObjective   Time               // full worth is earned up to here
	ClientTimeout      Time               // the client's whole patience, over all its tries
	PriorityWeight     float64            // of an answer within the aim
	LateWeightFraction float64            // share of Worth earned after the aim
}

// Settings is what a router is told once, at its start.
type Settings struct {
	Routers           int    // how many routers share the load
	Zone              string // where this one is; "" where that is not told
	Classes           []Class
	WatchRequired     bool // the list is told only to those that ask
	WeightsFollowLoad bool // Entry.Size is lowered by the load of the moment

	MaxAttempts          int
	AllowHedging         bool    // two attempts of a request may be pending at once
	AllowCancel          bool    // Cancel is allowed
	AllowHealthChecks    bool    // Probe is allowed
	MaxRetryAfter        Time    // longest stay-away a client honours; 0 where it is not passed on
	DrainGrace           Time    // sends to a draining or gone cache must have ceased by then
	SlowStartWindow      Time    // a started cache is warm no later than this
	SlowStartMinCapacity float64 // a started cache can do this share of its work at least; sent a multiple ...
	OverloadWindow       Time    // ... for this long falls over
	PollInterval         Time    // without a watch for this long, the router is deemed told
	HealthCheckCost      float64 // points lost at one probe a request
	ConnectionCost       float64 // points lost at 100 open connections a cache
	DialCost             float64 // points lost at one new connection a request
}

// check names the first field that is out of range.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("decide: Classes is empty")
	}
	type field struct {
		name      string
		v, lo, hi float64
	}
	inf := math.MaxFloat64
	fields := []field{
		{"Routers", float64(s.Routers), 0, inf}, {"MaxAttempts", float64(s.MaxAttempts), 1, inf},
		{"RefuseWait", float64(s.MaxRetryAfter), 0, inf}, {"DrainGrace", float64(s.DrainGrace), 0, inf},
		{"ColdTime", float64(s.SlowStartWindow), 0, inf}, {"ColdShare", s.SlowStartMinCapacity, 0, 1},
		{"TipTime", float64(s.OverloadWindow), 0, inf}, {"AskEvery", float64(s.PollInterval), 0, inf},
		{"ProbePrice", s.HealthCheckCost, 0, inf}, {"ConnPrice", s.ConnectionCost, 0, inf},
		{"DialPrice", s.DialCost, 0, inf},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, field{at + "Aim", float64(c.LatencyObjective), 0, inf},
			field{at + "Limit", float64(c.ClientTimeout), 0, inf},
			field{at + "KeyTTL", float64(c.IdempotencyWindow), 0, inf}, field{at + "Worth", c.PriorityWeight, 0, inf},
			field{at + "LateWorth", c.LateWeightFraction, 0, 1})
	}
	for _, f := range fields {
		if !(f.v >= f.lo && f.v <= f.hi) { // also where it is not a number
			return fmt.Errorf("decide: %s is %v, out of range", f.name, f.v)
		}
	}
	return nil
}

// Status is what the list says of a cache.
type Status uint8

const (
	Serving Status = iota
	Draining
	Removed
)

// Endpoint is one line of the list of caches.
type Endpoint struct {
	ID        string
	Zone      string
	Cell      int
	Weight    float64
	StartedAt Time // last start; 0 is long ago
	Status    Status
}

// Result tells how an attempt or a probe ended.
type Result uint8

const (
	Served         Result = iota
	Errored               // may have run
	Rejected              // proves it never ran
	TimedOut              // may have run, or may still
	ConnectFailed         // proves it never ran
	ConnectionLost        // may have run
	Cancelled             // may have run
	NotSent               // proves it never ran
	NotStored             // proves it never ran
)

// NeverRan reports whether the result proves that the request was not carried out.
func (s Result) NeverRan() bool {
	return s == Rejected || s == ConnectFailed || s == NotSent || s == NotStored
}

// LoadReport is a cache's report on itself. Busy is below 0 where it was not reported.
type LoadReport struct{ Utilization, ErrorRate float64 }

// Event is anything a Router is told: *List, *Request, *Started, *Outcome,
// *Departed, *Timer, *Probed, *PeerMessage, *Fleet or *Pressure.
type Event interface{ event() }

// UpdateKind says what a List holds.
type UpdateKind uint8

const (
	DeltaUpdate  UpdateKind = iota // the changed entries only
	FullUpdate                     // every cache there is
	StaleUpdate                    // every cache, as last known; may be old
	FailedUpdate                   // a call failed or the watch broke; no entries
)

// EndpointList tells of the caches.
type EndpointList struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request asks for one final answer before Deadline.
type Request struct {
	ID                    int64
	Class                 string
	Tenant                string
	Key                   uint64
	HasKey                bool
	Deadline              Time
	FirstRequestedAt      Time // when its client first asked, where this is known to be a retry; 0 where it is not
	Cost                  Time // expected work; 0 where unknown
	Write                 bool // goes on to the origin
	IdempotencyKeyMissing bool // of a keyed class, without a key: no cache drops a repeat
}

// ResponseStarted says that a streamed answer has begun: it belongs to the client now.
type ResponseStarted struct {
	ID      int64
	Attempt int
}

// AttemptResult tells how an attempt ended. Last means nothing more is owed.
type AttemptResult struct {
	ID      int64
	Attempt int
	Result  Result
	Elapsed Time
	Last    bool
	Miss    bool // the cache had to fetch
	Load    LoadReport
}

// ClientGone says that the client has gone: nothing is owed any more.
type ClientGone struct{ ID int64 }

// Timer is the echo of a SetTimer.
type Timer struct{ Token int64 }

// HealthCheckResult tells how a probe ended.
type HealthCheckResult struct {
	Cache   string
	Result  Result
	Elapsed Time
	Load    LoadReport
}

// PeerMessage comes from another router. The policy shares nothing and ignores it.
type PeerMessage struct {
	From int
	Data string
}

// RouterCount says by how many routers what all of them may take together is divided from now on.
type RouterCount struct{ Routers int }

// RetryStorm says that clients retry more than they ask, and what that calls for, until the next one says otherwise.
// Before the first one, and after one with On unset, decisions are as if there were none.
type RetryStorm struct {
	Active              bool
	Outage              bool    // it comes of an outage: caches are away, or have just come back
	RetryBudgetFraction float64 // of the budget of retries and of what it earns, the share that is left
	RetryAfterJitter    Time    // refusals name times that differ by up to so much
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

// Action is anything a Router asks for: Send, Cancel, Refuse, Fail, SetTimer, CancelTimer,
// Probe, CloseIdle, Watch or Log. The caller carries them out in order.
type Action interface{ action() }

// Send starts the next attempt of a request, given up at AttemptDeadline. Where WriteDeadline is not 0, the last byte
// must be on its way before then: later the caches may not remember an attempt that may have run.
type Send struct {
	ID              int64
	Cache           string
	AttemptDeadline Time
	WriteDeadline   Time
}

// Cancel ends the wait on an attempt.
type Cancel struct {
	ID      int64
	Attempt int
}

// Reason is what kept a request from being served, for whoever sums up losses. It changes nothing.
type Reason uint8

const (
	NoReason             Reason = iota
	RetryTooLate                // a client's retry, in a storm, of what can't be served in time any more
	Overloaded                  // caches do not serve in time what they are sent as it is
	EndpointEjected             // its cache is left alone, and no more requests may move
	NoCapacity                  // no cache that it may go to had room in time
	OriginProtected             // a likely miss, and the store had no room for it in time
	RetryBudgetExhausted        // its attempt failed, and the budget of retries is spent
	NoEndpoint                  // there is no cache that it may go to
	DeadlineExceeded            // its deadline came, with an attempt out or without
)

var reasonTexts = [...]string{"", "retry too late", "overloaded", "endpoint ejected", "no capacity", "origin protected",
	"retry budget exhausted", "no endpoint", "deadline exceeded"}

func (w Reason) String() string { return reasonTexts[w] }

// Reject is a final answer: trying again is harmless.
type Reject struct {
	ID         int64
	RetryAfter Time // advice to stay away; 0 for none
	Reason     Reason
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID     int64
	Reason Reason
}

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	Token int64
	At    Time
}

// CancelTimer takes a SetTimer back: its Timer event is not to come any more. Where it comes all the same, it does nothing.
type CancelTimer struct{ Token int64 }

// HealthCheck asks for a health probe of a cache.
type HealthCheck struct{ Cache string }

// CloseIdle closes the router's idle connections to a cache.
type CloseIdle struct{ Cache string }

// Watch subscribes to changes of the list.
type Watch struct{}

// Log adds a line to the log, for the engineer on call.
type Log struct {
	Level   slog.Level
	Message string
	Attrs   []slog.Attr
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
