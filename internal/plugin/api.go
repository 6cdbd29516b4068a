// Package plugin is the contract between the router and the hooks of its operators: at which points a hook is called, what it
// is handed, and what it may decide. It is free of any engine; the engines below it (wasm, script) run hooks in one way each,
// and plugintest checks them all against this contract.
//
// A hook evaluates a request before the router decides anything on it. It never sends, never answers with a value, never
// touches another request, and reaches no network, no file and no clock beyond what it is handed. What it rejects was never
// sent, so a rejection by a hook is as safe to retry as one of the router's own. All that it passes goes on through the
// decision module as if there were no hooks, and the command to a cache goes on unchanged.
//
// The contract has a version, which a hook names. A hook that was built for another one is not loaded.
package plugin

// Version is the version of this contract.
const Version = 1

// Time is a span in microseconds.
type Time = int64

// Point is a moment at which a hook is called.
type Point uint8

const (
	Load        Point = iota // the hook begins: before any other call, once for each instance
	OnRequest                // a request was read and is not yet decided on: the one point with a verdict
	Answered                 // a final answer is about to leave: a notification
	ListChanged              // the list of caches has changed: a notification
	Unload                   // the hook ends: after any other call, unless its worker is killed
	pointCount               // how many points there are
)

// String returns the name of the point in hooks.toml and in what commands print.
func (p Point) String() string {
	if p >= pointCount {
		return "no point"
	}
	return [...]string{"load", "request", "answered", "list", "unload"}[p]
}

// Points is a set of points.
type Points uint8

// Has reports whether p is in the set.
func (s Points) Has(p Point) bool { return s&(1<<p) != 0 }

// With returns the set with p added.
func (s Points) With(p Point) Points { return s | 1<<p }

// Outcome is the kind of a final answer.
type Outcome uint8

const (
	OutcomeServed   Outcome = iota // with a value
	OutcomeRejected                // it never ran, and the client may try again
	OutcomeFailed                  // with an error that promises nothing
	outcomeCount                   // how many outcomes there are
)

// String returns the name that hooks are handed.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "no outcome"
	}
	return [...]string{"served", "refused", "failed"}[o]
}

// Call is one call of a hook: the point and what is known there. Fields that do not belong to a point are zero. The hook
// retains nothing of it.
type Call struct {
	Point Point
	Now   Time // on a monotonic clock with an arbitrary zero; it does not advance during a call

	// OnRequest and Answered.
	Verb   string // such as C.GET
	Class  string // as the settings name it, "" where the client named none
	Tenant string // at Answered, the one that a hook may have set
	Key    string
	Size   int // bytes of the value

	TimeLeft Time   // OnRequest: until the client stops waiting
	Value    []byte // OnRequest: only for a hook whose operator set wants_value

	Outcome Outcome // Answered
	Took    Time    // Answered: since the request was read

	// ListChanged: how many caches there are, and how many of them are serving.
	Caches, ServingCaches int
}

// Decision is what becomes of a request. Its numbers are part of the contract.
type Decision uint8

const (
	Pass      Decision = iota // the request goes on, to the next hook or to the router
	Reject                    // the request is rejected: it was never sent, and the client may try again
	Fail                      // the request fails with a text; it was never sent either, but the answer does not promise that
	decisions                 // how many decisions there are
)

// String returns the decision's name in what commands print and in scripts.
func (s Decision) String() string {
	if s >= decisions {
		return "no verdict"
	}
	return [...]string{"pass", "refuse", "fail"}[s]
}

// Verdict is what a hook returns. After a notification, Decision is Pass, and Tenant and Tags are empty.
type Verdict struct {
	Decision   Decision
	RetryAfter Time     // Reject: how long the client is asked to stay away; 0 for no advice
	Text       string   // Fail
	Tenant     string   // the tenant that the request counts for from here on; "" for no change
	Tags       []string // names of the hook's own for the request, which are counted
	Log        []string // lines for the router's log
}

// Bounds of calls and verdicts, whatever the budget. A verdict beyond them is invalid.
const (
	MaxRetryAfter Time = 60_000_000 // µs
	MaxText            = 256        // bytes of the text of a failure, and of a tenant
	MaxTag             = 64         // bytes of a tag
	MaxTags            = 8          // tags of a verdict
	MaxLogLine         = 512        // bytes of a log line
	MaxLogLines        = 16         // log lines of a call
	MaxString          = 1024       // bytes of a verb, class, tenant or key that a hook is handed
	MaxValue           = 64 << 10   // bytes of a value that a hook is handed
	MaxCode            = 8 << 20    // bytes of a hook's file
)

// Budget is what a hook may use. The engine and its worker enforce it.
type Budget struct {
	Time        Time  // of a call
	LoadTime    Time  // of load, and of unload
	Steps       int64 // of a script, or function calls inside a WebAssembly module, in one call; 0 for no bound
	Depth       int   // of nested function calls in a WebAssembly module; 0 for no bound
	Memory      int64 // bytes of the hook's own data
	LogLines    int   // of the log, in one call: more are dropped, and the last line says so
	LogLineSize int   // bytes of a line: the rest is cut off
}

// DefaultBudget is a budget for a hook that decides by what it is handed alone.
var DefaultBudget = Budget{
	Time:        5_000,
	LoadTime:    1_000_000,
	Steps:       100_000,
	Depth:       128,
	Memory:      16 << 20,
	LogLines:    4,
	LogLineSize: 200,
}

// FailureKind is what went wrong with a hook. Its numbers are part of the frames between router and worker.
type FailureKind uint8

const (
	NotLoadable      FailureKind = iota // its file is not a hook: malformed, too large, without a point, or with unknown imports
	VersionMismatch                     // it was built for another version of the contract
	Crashed                             // it trapped, or raised an error
	BudgetExceeded                      // it used up its time, its steps or its depth, and was interrupted
	MemoryExceeded                      // it used up its memory
	InvalidVerdict                      // what it returned is not a verdict
	failureKindCount                    // how many kinds there are
)

// String returns the kind's wording in logs and in what commands print.
func (k FailureKind) String() string {
	if k >= failureKindCount {
		return "failed"
	}
	return [...]string{"does not load", "other contract", "crashed", "overran its budget", "used up its memory",
		"gave no verdict"}[k]
}

// Failure is the error of an engine. Its text is fit for a log: one line, without control characters.
type Failure struct {
	Kind FailureKind
	Text string
}

// Error implements error.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Text }

// Engine runs hooks of one kind of file. Engines are stateless.
type Engine interface {
	// Name returns "wasm" or "script".
	Name() string
	// FileExtension returns the extension of the engine's files, with the dot.
	FileExtension() string
	// Load checks a hook, compiles it and calls it at the point Load. The error is a *Failure that names the cause.
	// The hook's own code is interrupted after the budget's LoadTime; the engine's compilation, whose input is bounded
	// in size, is not.
	Load(name string, code []byte, b Budget) (Hook, error)
}

// Hook is a hook that is loaded. Its methods are called by one goroutine at a time, except for Interrupt.
type Hook interface {
	// Points returns the points that the hook has.
	Points() Points
	// Call calls the hook and fills v, in place of what it held. The error is a *Failure; then v holds log lines at most,
	// the instance is discarded, and the next Call begins with a new one.
	Call(c *Call, v *Verdict) error
	// Interrupt has the running call end soon with BudgetExceeded, and does nothing between calls. Any goroutine may call it.
	Interrupt()
	// Close releases the hook's resources. It does not call the hook: Unload is a Call.
	Close()
}
