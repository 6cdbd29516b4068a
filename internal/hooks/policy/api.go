// Package policy implements the decisions about operators' hooks: which hook evaluates a request next, which verdict applies
// if a hook returns none, when to kill a worker or suspend a hook, and when a new set of hooks becomes active.
//
// A Policy is a deterministic state machine that receives events and returns actions. It uses no process, socket, clock or
// goroutine: each call passes the present time, and equal sequences of calls return equal actions.
//
// A Policy gives each request that it accepts exactly one verdict unless the caller cancels the request. The verdict comes at
// the latest with the first Tick after the request has waited MaxWaitFraction of its time left, or MaxWait if that is less.
// This holds for any behavior of the hooks and their workers.
package policy

import (
	"errors"
	"log/slog"

	"starlingwinch/internal/plugin"
)

// Time is an instant or a span in microseconds.
type Time = plugin.Time

// FailureMode defines how a request proceeds that a hook could not evaluate.
type FailureMode uint8

const (
	PassOnFailure   FailureMode = iota // the request proceeds, as after the verdict Pass
	RejectOnFailure                    // the request is rejected, with the hook's RetryAfter
)

// Hook is the configuration of one hook.
type Hook struct {
	Name        string
	Classes     []string      // request classes for which the hook is called; empty for all
	Points      plugin.Points // points at which the hook is called, except load and unload; 0 for all points that it has
	OnFailure   FailureMode
	RetryAfter  Time    // sent with a rejection on failure
	Time        Time    // time budget of a call
	LoadTime    Time    // time budget of load, and of unload
	Queue       int     // limit of calls that are queued or in flight
	CPUFraction float64 // fraction of one core that the hook may use over time
}

// Settings describes one set of hooks, in the order in which the router calls them.
type Settings struct {
	Hooks           []Hook
	MaxWaitFraction float64 // limit of a request's wait for all hooks together, as a fraction of its time left
	MaxWait         Time    // limit of the same wait, as a span
}

// Causes for which the Policy kills a worker.
var (
	ErrUnexpectedReply = errors.New("worker sent an unexpected reply")
	ErrLoadedTwice     = errors.New("worker reported its hook as loaded twice")
	ErrLoadTimeout     = errors.New("worker did not load its hook in time")
	ErrCallTimeout     = errors.New("worker killed: call went on beyond its budget")
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	StartWorker    ActionKind = iota // start Worker for the hook with the index Hook of the set Set
	KillWorker                       // kill Worker immediately; later events of Worker are ignored
	SendCall                         // send Call to Worker, under Sequence
	DeliverVerdict                   // deliver Verdict to the request RequestID
	SetTimer                         // call Tick at At; replaces the previous timer
	WriteLog                         // write Level, Message and Attrs to the log
	ReleaseSet                       // release the set Set; no later action refers to it
	FinishClose                      // Close has finished and no worker is left
)

// Action is an instruction to the caller, which must carry out actions in order.
type Action struct {
	Kind      ActionKind
	Worker    int
	Set       int
	Hook      int
	Sequence  uint64
	RequestID int64
	At        Time
	Verdict   plugin.Verdict // DeliverVerdict

	// Fields of WriteLog.
	Level   slog.Level
	Message string
	Attrs   []slog.Attr

	call *call
}

// Call returns the call of a SendCall, or nil if the worker has been killed since. The caller must not retain the call, because
// the Policy reuses calls.
func (a *Action) Call() *plugin.Call {
	if a.call == nil || a.call.sequence != a.Sequence {
		return nil
	}
	return &a.call.data
}

// Value returns the value of the request of a SendCall, for a hook that wants the value. It returns nil after the client has
// disconnected, because the buffer of the value is then reused.
func (a *Action) Value() []byte {
	if a.call == nil || a.call.sequence != a.Sequence || a.call.value == nil {
		return nil
	}
	return a.call.value()
}

// Request is a request that hooks may evaluate.
type Request struct {
	ID    int64 // unique among open requests
	Call  plugin.Call
	Value func() []byte // returns the value of the request; not called after the verdict or the cancellation
}

// Reply is a worker's reply to a call.
type Reply struct {
	Sequence uint64             // of the call
	RunTime  Time               // duration of the call
	Failed   bool               // if set, Kind and Text describe the failure, and Verdict holds only log lines
	Kind     plugin.FailureKind // only if Failed
	Text     string             // only if Failed
	Verdict  *plugin.Verdict
}
