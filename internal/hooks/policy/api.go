// Package policy decides what becomes of requests that operators' hooks are asked about: which hook is asked next, what
// counts where one can't answer, when a worker is ended and a hook suspended, and when a new set of hooks takes over.
//
// A Policy is told what happens and gives actions. It has no process, no socket, no clock and no goroutine: the time
// comes in with each call, and equal calls give equal actions.
//
// It promises for each request that it takes: exactly one verdict, no later than the request's part of its time and
// the caller's next Tick, whatever the hooks and their workers do.
package policy

import "starlingwinch/internal/plugin"

// Time is an instant or a span in microseconds.
type Time = plugin.Time

// FailureMode is what counts for a request that a hook could not judge.
type FailureMode uint8

const (
	PassOnFailure FailureMode = iota
	RejectOnFailure
)

// Hook is what an operator says of one hook.
type Hook struct {
	Name        string
	Classes     []string      // it is asked for these alone; empty for all
	Points      plugin.Points // it is asked at these alone, load and unload aside; 0 for all
	OnFailure   FailureMode
	RetryAfter  Time // what a refusal on failure advises
	Time        Time // budget of a call
	LoadTime    Time // budget of load and unload
	Queue       int  // calls that may wait for it or run
	CPUFraction float64
}

// Settings are one set of hooks, in the order in which they are asked.
type Settings struct {
	Hooks           []Hook
	MaxWaitFraction float64 // of a request's time that it waits for all hooks together, at most ...
	MaxWait         Time    // ... and no longer than that
}

// Figures that no operator needs to set.
const (
	maxInFlight       = 16      // calls that a worker has at a time: more would be lost with it, and fewer cost more each
	interruptGrace    = 8_000   // beyond a call's budget, in which the worker itself interrupts it
	maxTimerDelay     = 5_000   // where the caller's Tick is later than this, the machine stood still, and workers too
	startupAllowance  = 5 << 20 // beyond LoadTime, for a process to start and an engine to prepare code
	maxUnloadTime     = 300_000 // of an unload, as a drain has to end
	maxAttempts       = 2       // of a call whose worker was lost while others were before it
	suspensionScore   = 5.0     // of failures, at which a hook is suspended
	probationScore    = 4.0     // after a suspension: the next failure is the last
	successCredit     = 0.02    // that a call which went well takes off
	workerLossPenalty = 2.0     // that a worker which was lost adds; another failure adds 1
	minSuspension     = 1 << 20 // of suspensions, which double ...
	maxSuspension     = 300 << 20
	cpuBurst          = 200_000 // of a hook's part of the core that it may save up; three calls, where they are longer
	logBurst          = 20      // of a hook's lines in the log, and as many a second
	maxTagNames       = 64      // names that are counted for a hook; the others are counted together
)

// ActionKind is what an action asks for.
type ActionKind uint8

const (
	StartWorker    ActionKind = iota // start Worker for the hook number Hook of the set number Set
	KillWorker                       // end Worker at once; nothing is told of it any more
	SendCall                         // send Call to Worker, under Seq
	DeliverVerdict                   // tell the request ID its Verdict
	SetTimer                         // call Tick at At; it replaces the timer before
	WriteLog                         // add Text to the log
	ReleaseSet                       // the set number Set is over: nothing more is asked of it
	FinishClose                      // after Close: no worker is left
)

// Action is one thing to do. Actions are carried out in order.
type Action struct {
	Kind      ActionKind
	Worker    int
	Set       int
	Hook      int
	Sequence  uint64
	RequestID int64
	At        Time
	Text      string
	Verdict   plugin.Verdict // Deliver

	call *call
}

// Call is what an Ask hands over; nil where its worker was ended meanwhile. It is to be used at once.
func (a *Action) Call() *plugin.Call {
	if a.call == nil || a.call.sequence != a.Sequence {
		return nil
	}
	return &a.call.data
}

// Value is the value of an Ask's request, for a hook that wants it.
//
// The danger: a client that has left took its value with it.
func (a *Action) Value() []byte {
	if a.call == nil || a.call.sequence != a.Sequence || a.call.value == nil {
		return nil
	}
	return a.call.value()
}

// Request is one that hooks are asked about.
type Request struct {
	ID    int64 // no other open one has it
	Call  plugin.Call
	Value func() []byte // its value, which may be asked for until it has its verdict or is gone
}

// Reply is what a worker has answered to a call.
type Reply struct {
	Sequence uint64
	RunTime  Time
	Failed   bool
	Kind     plugin.FailureKind
	Text     string
	Verdict  *plugin.Verdict
}
