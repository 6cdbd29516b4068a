// Package plugin is the contract between the router and the hooks of its operators: at which points a hook is
// asked, what it is given, and what it may say. It is free of any engine; the engines below it (wasm, script) run
// hooks in one way each, and plugintest holds both to this page.
//
// A hook judges a request before the router decides anything of it. It never sends, never answers with a value,
// never touches another request, and reaches no network, no file and no clock beyond what it is handed. What it
// refuses was never sent, so a refusal of a hook is as true as one of the router's own. All that it passes goes on
// through the decision module as if there were no hooks, and the command to a cache goes on unchanged.
//
// The contract has a version, which a hook names. A hook that was built for another one is not loaded.
package plugin

// Version is the version of this contract.
const Version = 1

// Time is a span in microseconds.
type Time = int64

// Point is a moment at which a hook is asked.
type Point uint8

const (
	Load        Point = iota // the hook begins: before anything else, once for each instance
	OnRequest                // a request has come and is not yet decided: the one point with a verdict
	Answered                 // a final answer is about to leave: look only
	ListChanged              // the list of caches has changed: look only
	Unload                   // the hook ends: after all else, unless it is killed
	pointCount
)

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

// With is the set and p.
func (s Points) With(p Point) Points { return s | 1<<p }

// Outcome is the kind of a final answer.
type Outcome uint8

const (
	OutcomeServed Outcome = iota
	OutcomeRejected
	OutcomeFailed
	outcomeCount
)

func (o Outcome) String() string {
	if o >= outcomeCount {
		return "no outcome"
	}
	return [...]string{"served", "refused", "failed"}[o]
}

// Call is one question to a hook: the point and what is known there. Fields that a point does not name are zero.
// The hook keeps nothing of it.
type Call struct {
	Point Point
	Now   Time // on a clock that never steps, with any zero; it stands still while a call lasts

	// OnRequest and Answered.
	Verb   string // C.GET
	Class  string // as the settings name it, "" where the client named none
	Tenant string // with Answered: as a hook may have named it anew
	Key    string
	Size   int // bytes of the value

	TimeLeft Time   // OnRequest: until the client stops waiting
	Value    []byte // OnRequest: only for a hook whose operator set wants_value

	Outcome Outcome // Answered
	Took    Time    // Answered: from the request's coming

	// ListChanged: how many caches there are, and how many of them take new work.
	Caches, ServingCaches int
}

// Decision is what becomes of a request.
type Decision uint8

const (
	Pass   Decision = iota // it goes on, to the next hook or to the router
	Reject                 // it never went out and never will; trying again is harmless
	Fail                   // it ends with a text; it never went out either, but the client is not told so
	decisions
)

func (s Decision) String() string {
	if s >= decisions {
		return "no verdict"
	}
	return [...]string{"pass", "refuse", "fail"}[s]
}

// Verdict is what a hook says. At points that only look, Say is Pass, and Tenant and Tags are empty.
type Verdict struct {
	Decision   Decision
	RetryAfter Time     // Refuse: the client is asked to stay away so long; 0 for no advice
	Text       string   // Fail
	Tenant     string   // the request counts as this tenant's from here on; "" for no change
	Tags       []string // names of the hook's own, which show in logs and counts
	Log        []string // lines for the router's log
}

// Bounds of a verdict, whatever the budget: beyond them it is none.
const (
	MaxRetryAfter Time = 60_000_000
	MaxText            = 256 // bytes of a text, and of a tenant
	MaxTag             = 64
	MaxTags            = 8
	MaxLogLine         = 512
	MaxLogLines        = 16
	MaxString          = 1024     // bytes of a verb, class, tenant or key that a hook is handed
	MaxValue           = 64 << 10 // of a value
	MaxCode            = 8 << 20  // of a hook's file
)

// Budget is what a hook may use.
type Budget struct {
	Time        Time  // a call, from its beginning
	LoadTime    Time  // load and unload, each
	Steps       int64 // of a script, or calls of functions inside a WebAssembly module, in one call; 0 for no bound
	Depth       int   // calls within calls
	Memory      int64 // bytes that the hook's own data may take
	LogLines    int   // of the log, in one call: more are dropped, and the last line says so
	LogLineSize int   // bytes of a line: the rest is cut off
}

// DefaultBudget is a budget for a hook that judges by what it is handed.
var DefaultBudget = Budget{
	Time:        5_000,
	LoadTime:    1_000_000,
	Steps:       100_000,
	Depth:       128,
	Memory:      16 << 20,
	LogLines:    4,
	LogLineSize: 200,
}

// FailureKind says what went wrong with a hook.
type FailureKind uint8

const (
	NotLoadable     FailureKind = iota // its file is no hook: malformed, too large, without a point, asking for what there is not
	VersionMismatch                    // it was built for another version of the contract
	Crashed                            // it trapped, or raised an error
	BudgetExceeded                     // it used up its time, its steps or its depth, and was interrupted
	MemoryExceeded                     // it used up its memory
	InvalidVerdict                     // what it gave back is no verdict
	failureKindCount
)

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

func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Text }

// Engine runs hooks of one kind of file.
type Engine interface {
	// Name is "wasm" or "script"; Ending is that of its files, with the dot.
	Name() string
	FileExtension() string
	// Load checks a hook, prepares it and asks it at the point Load. The error is a *Failure that names the cause.
	// The hook's own code is interrupted after the budget's LoadTime; what the engine needs to prepare code of a
	// bounded size is not.
	Load(name string, code []byte, b Budget) (Hook, error)
}

// Hook is a hook that is loaded. But for Interrupt, its methods are called one after the other.
type Hook interface {
	// Points are those at which the hook wants to be asked.
	Points() Points
	// Call asks it, and fills v, which is empty before. The error is a *Failure; then v holds log lines at most, the
	// instance is thrown away, and the next Call begins with a new one.
	Call(c *Call, v *Verdict) error
	// Interrupt has the call that runs end soon with Overran, and does nothing between calls. Any goroutine may
	// call it.
	Interrupt()
	// Close gives everything back. It asks the hook nothing: Unload is a Call.
	Close()
}
