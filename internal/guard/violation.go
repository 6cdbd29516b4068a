package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// Reason states why a Guard does not allow an action, or Allowed.
type Reason uint8

// Reasons that a Guard gives.
const (
	Allowed                   Reason = iota // the action is allowed
	Answered                                // the request already has its final answer
	ClientGone                              // no client waits for the answer any more
	CacheDraining                           // the cache is draining or is no longer listed
	DeadlinePassed                          // the attempt's deadline or its write deadline has passed
	TooManyAttempts                         // the request has used Settings.MaxAttempts attempts
	HedgeNotAllowed                         // an earlier attempt is in flight, and the settings disable hedging
	NotIdempotent                           // an earlier attempt may have run, and no cache discards a repeat
	OutsideDeduplicationScope               // an earlier attempt may have run, and this cache does not discard its repeat
	IdempotencyWindowOver                   // an earlier attempt may have run, and caches may have discarded its idempotency key
	WaitBeyondDeadline                      // the remaining time sent to the cache ends after the client's deadline
	RejectedAfterRun                        // a rejection tells the client that a retry is safe, but an attempt may have run
	ClosedUnanswered                        // the router closed a connection whose client still waits for an answer
	reasonCount                             // number of reasons
)

// reasonNames are the names of the reasons in logs.
var reasonNames = [reasonCount]string{"allowed", "answered", "client-gone", "cache-draining", "deadline-passed", "too-many-attempts",
	"hedge-not-allowed", "not-idempotent", "outside-deduplication-scope", "idempotency-window-over", "wait-beyond-deadline",
	"rejected-after-run",
	"closed-unanswered"}

// String returns the name of the reason in logs.
func (r Reason) String() string { return reasonNames[r] }

// Violation describes one violation of a rule, as observed by this router.
type Violation struct {
	Reason   Reason
	At       decide.Time
	Request  int64
	ClientID string // ID that the client assigned to the request
	Cache    string
	Attempt  int
	Excess   decide.Time // time past the deadline, or time from closing the connection to the deadline; 0 for other reasons
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%v, request %d (%.64q), attempt %d at %q, by %d us", v.Reason, v.Request, v.ClientID, v.Attempt, v.Cache,
		v.Excess)
}

// Counts holds the numbers of prevented actions and of violations, by reason.
type Counts struct {
	Prevented  [reasonCount]int
	Violations [reasonCount]int
}

// TotalViolations returns the total number of violations.
func (c *Counts) TotalViolations() (n int) {
	for _, count := range c.Violations {
		n += count
	}
	return n
}
