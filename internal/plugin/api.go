// Package plugin defines the contract between the router and its operators' hooks: the points at which a hook is called, the
// data that a call passes, and the verdicts that a hook may return. The package depends on no engine. Each engine (wasm,
// script) runs hooks of one kind of file, and plugintest checks every engine against this contract.
//
// A hook evaluates a request before the router makes any decision on the request. A hook can't send requests, answer with a
// value or change another request, and has no access to the network, files or clocks other than the time in its call. A
// rejected request was never sent, so a rejection by a hook is as safe to retry as a rejection by the router. A passed request
// is decided as if there were no hooks, and its command reaches the cache unchanged.
//
// The contract has a version, which each hook declares. A hook that was built for another version is not loaded.
package plugin

// Version is the version of the contract that this package defines.
const Version = 1

// Time is a time or a duration in microseconds.
type Time = int64

// Point is an event for which a hook is called.
type Point uint8

const (
	Load        Point = iota // initialization: before any other call, once for each instance
	OnRequest                // a request was read and is not yet decided; the only point with a verdict
	Answered                 // a final answer is about to be sent: a notification
	ListChanged              // the list of caches changed: a notification
	Unload                   // shutdown: after any other call; omitted where the worker is killed
	pointCount               // the number of points
)

// String returns the name of the point in hooks.toml and in the output of commands.
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

// Outcome classifies a final answer.
type Outcome uint8

const (
	OutcomeServed   Outcome = iota // answered with a value
	OutcomeRejected                // not carried out; the client may retry
	OutcomeFailed                  // answered with an error that does not say whether the request was carried out
	outcomeCount                   // the number of outcomes
)

// String returns the outcome's name in the contract with hooks.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "no outcome"
	}
	return [...]string{"served", "refused", "failed"}[o]
}

// Call holds the arguments of one call of a hook. Fields that do not belong to the point are zero. Hook.Call retains no
// reference to a Call.
type Call struct {
	Point Point
	Now   Time // on a monotonic clock with an arbitrary zero; constant during a call

	// OnRequest and Answered.
	Verb   string // the command, such as C.GET
	Class  string // the class's name in the settings; "" where the client named none
	Tenant string // at Answered, the tenant that a hook set, if any
	Key    string
	Size   int // bytes of the value

	TimeLeft Time   // OnRequest: the time until the client stops waiting
	Value    []byte // OnRequest: set only if the operator set wants_value for the hook

	Outcome Outcome // Answered
	Took    Time    // Answered: the time since the request was read

	// ListChanged: the number of caches in the list, and the number of them that are serving.
	Caches, ServingCaches int
}

// Decision says how a hook disposes of a request. Its numbers are part of the contract.
type Decision uint8

const (
	Pass      Decision = iota // the request continues to the next hook, or to the router after the last one
	Reject                    // the request is rejected: it was never sent, and the client may retry
	Fail                      // the request fails with a text: it was never sent, but the answer does not guarantee that to the client
	decisions                 // the number of decisions
)

// String returns the decision's name in the output of commands and in scripts.
func (s Decision) String() string {
	if s >= decisions {
		return "no verdict"
	}
	return [...]string{"pass", "refuse", "fail"}[s]
}

// Verdict is the result of a call. After a notification, Decision is Pass, and Tenant and Tags are empty.
type Verdict struct {
	Decision   Decision
	RetryAfter Time     // Reject: the delay that the client is asked to wait before a retry; 0 for no advice
	Text       string   // Fail: the text of the answer
	Tenant     string   // the tenant that the request is attributed to after this hook; "" for no change
	Tags       []string // labels that the hook assigns to the request; the router counts requests by tag
	Log        []string // lines for the router's log
}

// Bounds of calls and verdicts, which hold for every budget. A verdict that exceeds them is invalid.
const (
	MaxRetryAfter Time = 60_000_000 // µs
	MaxText            = 256        // bytes of the text of a failure, and of a tenant
	MaxTag             = 64         // bytes of a tag
	MaxTags            = 8          // tags of a verdict
	MaxLogLine         = 512        // bytes of a log line
	MaxLogLines        = 16         // log lines of a call
	MaxString          = 1024       // bytes of a verb, class, tenant or key that is passed to a hook
	MaxValue           = 64 << 10   // bytes of a value that is passed to a hook
	MaxCode            = 8 << 20    // bytes of a hook's file
)

// Budget limits the resources of a hook. The engine and its worker enforce the limits.
type Budget struct {
	Time        Time  // the duration of a call
	LoadTime    Time  // the duration of loading, and of unloading
	Steps       int64 // a script's steps, or function calls inside a WebAssembly module, in one call; 0 for no bound
	Depth       int   // nested function calls in a WebAssembly module; 0 for no bound
	Memory      int64 // bytes of the hook's own data
	LogLines    int   // log lines in one call: further lines are dropped, and the last line reports their number
	LogLineSize int   // bytes of a log line: longer lines are truncated
}

// DefaultBudget is a budget for a hook that decides by the arguments of the call alone.
var DefaultBudget = Budget{
	Time:        5_000,
	LoadTime:    1_000_000,
	Steps:       100_000,
	Depth:       128,
	Memory:      16 << 20,
	LogLines:    4,
	LogLineSize: 200,
}

// FailureKind classifies the failure of a hook. Its numbers are part of the frames between router and worker.
type FailureKind uint8

const (
	NotLoadable      FailureKind = iota // the file is not a hook: malformed, too large, without a point, or with unknown imports
	VersionMismatch                     // the hook was built for another version of the contract
	Crashed                             // the hook trapped or raised an error
	BudgetExceeded                      // the hook exceeded its time, steps or depth, and was interrupted
	MemoryExceeded                      // the hook exceeded its memory
	InvalidVerdict                      // the hook returned an invalid verdict
	failureKindCount                    // the number of kinds
)

// String returns the description of the kind in logs and in the output of commands.
func (k FailureKind) String() string {
	if k >= failureKindCount {
		return "failed"
	}
	return [...]string{"does not load", "other contract", "crashed", "overran its budget", "used up its memory",
		"gave no verdict"}[k]
}

// Failure is the error that an engine returns. Text is safe to log: it is one line without control characters.
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
	// Load validates and compiles a hook and calls it at the point Load. The error is a *Failure with the cause.
	// The hook's code is interrupted after the budget's LoadTime. Compilation by the engine is not interrupted, but the
	// size of its input is bounded.
	Load(name string, code []byte, b Budget) (Hook, error)
}

// Hook is a loaded hook. Only one goroutine at a time may call its methods, except for Interrupt.
type Hook interface {
	// Points returns the points that the hook implements.
	Points() Points
	// Call calls the hook and overwrites v with its verdict. The error is a *Failure; v then holds no more than log lines,
	// the instance is discarded, and the next Call starts a new instance.
	Call(c *Call, v *Verdict) error
	// Interrupt makes the running call fail soon with BudgetExceeded, and has no effect between calls. Any goroutine may
	// call Interrupt.
	Interrupt()
	// Close releases the hook's resources. Close does not call the hook at the point Unload, which takes a Call.
	Close()
}
