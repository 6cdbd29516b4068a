// Package policy decides what becomes of requests that operators' hooks evaluate: which hook is called next, what counts
// where one gives no verdict, when a worker is ended and a hook suspended, and when a new set of hooks takes over.
//
// A Policy is fed events and returns actions. It has no process, no socket, no clock and no goroutine: the time comes in
// with each call, and equal calls give equal actions.
//
// It promises for each request that it takes: exactly one verdict, no later than the request's MaxWaitFraction of its time
// and the caller's next Tick, whatever the hooks and their workers do.
package policy

import (
	"errors"
	"log/slog"

	"starlingwinch/internal/plugin"
)

// Time is an instant or a span in microseconds.
type Time = plugin.Time

// FailureMode is what counts for a request that a hook could not evaluate.
type FailureMode uint8

const (
	PassOnFailure   FailureMode = iota // the request goes on, as after the verdict Pass
	RejectOnFailure                    // the request is rejected, with the hook's RetryAfter
)

// Hook is an operator's configuration of one hook.
type Hook struct {
	Name        string
	Classes     []string      // the classes of requests that it is called for; empty for all
	Points      plugin.Points // the points that it is called at, load and unload aside; 0 for all that it has
	OnFailure   FailureMode
	RetryAfter  Time    // the advice of a rejection on failure
	Time        Time    // budget of a call
	LoadTime    Time    // budget of load, and of unload
	Queue       int     // limit of calls that are queued or running
	CPUFraction float64 // fraction of one core that it may use over time
}

// Settings are one set of hooks, in the order in which they are called.
type Settings struct {
	Hooks           []Hook
	MaxWaitFraction float64 // limit of a request's wait for all hooks together, as a fraction of its time left
	MaxWait         Time    // limit of the same wait, as a span
}

// Reasons why a worker was ended by the Policy.
var (
	ErrUnexpectedReply = errors.New("worker sent an unexpected reply")
	ErrLoadedTwice     = errors.New("worker reported its hook as loaded twice")
	ErrLoadTimeout     = errors.New("worker did not load its hook in time")
	ErrCallTimeout     = errors.New("worker killed: call went on beyond its budget")
)

// ActionKind is what an action asks its caller for.
type ActionKind uint8

const (
	StartWorker    ActionKind = iota // start Worker for the hook with the index Hook of the set Set
	KillWorker                       // end Worker at once; no event of it is wanted any more
	SendCall                         // send Call to Worker, under Sequence
	DeliverVerdict                   // hand the request RequestID its Verdict
	SetTimer                         // call Tick at At, in place of the timer before
	WriteLog                         // write Level, Message and Attrs to the log
	ReleaseSet                       // forget the set Set: no action refers to it any more
	FinishClose                      // after Close: no worker is left
)

// Action is one thing for the caller to do. Actions are carried out in order.
type Action struct {
	Kind      ActionKind
	Worker    int
	Set       int
	Hook      int
	Sequence  uint64
	RequestID int64
	At        Time
	Verdict   plugin.Verdict // DeliverVerdict

	// WriteLog.
	Level   slog.Level
	Message string
	Attrs   []slog.Attr

	call *call
}

// Call returns what a SendCall hands over; nil where its worker was ended meanwhile. The caller uses it at once and keeps
// nothing of it, as the Policy uses calls again.
func (a *Action) Call() *plugin.Call {
	if a.call == nil || a.call.sequence != a.Sequence {
		return nil
	}
	return &a.call.data
}

// Value returns the value of a SendCall's request, for a hook that wants it; nil once the request's client has left, as its
// buffer is used again.
func (a *Action) Value() []byte {
	if a.call == nil || a.call.sequence != a.Sequence || a.call.value == nil {
		return nil
	}
	return a.call.value()
}

// Request is one that hooks may evaluate.
type Request struct {
	ID    int64 // unique among open requests
	Call  plugin.Call
	Value func() []byte // returns its value; called until the request has its verdict or is cancelled
}

// Reply is a worker's reply to a call.
type Reply struct {
	Sequence uint64             // of the call
	RunTime  Time               // how long the call ran
	Failed   bool               // then Kind and Text hold the failure, and Verdict has log lines alone
	Kind     plugin.FailureKind // Failed
	Text     string             // Failed
	Verdict  *plugin.Verdict
}
