package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// Reason is why something may not be done now.
type Reason uint8

// Reasons of a Guard.
const (
	Allowed                   Reason = iota // it may be done
	Answered                                // the request has its final answer
	ClientGone                              // nobody waits for the request any more
	CacheDraining                           // the cache drains, or is not listed any more
	DeadlinePassed                          // the attempt's deadline, or the one by which it must be written, is past
	TooManyAttempts                         // the settings allow no further attempt
	HedgeNotAllowed                         // an earlier attempt is in flight, and the settings allow no second one
	NotIdempotent                           // an earlier attempt may have run, and no cache drops a repeat
	OutsideDeduplicationScope               // an earlier attempt may have run, and this cache would not drop the repeat
	IdempotencyWindowOver                   // an earlier attempt may have run, and caches may have forgotten it
	WaitBeyondDeadline                      // the cache is told that the router waits longer than its client does
	RejectedAfterRun                        // a refusal says that another try does no harm, and an attempt may have run
	ClosedUnanswered                        // the router closes a connection that still waits for an answer
	reasonCount                             // the number of reasons
)

// reasonNames are the names of the reasons in the log.
var reasonNames = [reasonCount]string{"allowed", "answered", "client-gone", "cache-draining", "deadline-passed", "too-many-attempts",
	"hedge-not-allowed", "not-idempotent", "outside-deduplication-scope", "idempotency-window-over", "wait-beyond-deadline",
	"rejected-after-run",
	"closed-unanswered"}

// String returns the name of the reason in the log.
func (r Reason) String() string { return reasonNames[r] }

// Violation is a rule that was broken, as far as this router can see.
type Violation struct {
	Reason   Reason
	At       decide.Time
	Request  int64
	ClientID string // the id that the client gave the request
	Cache    string
	Attempt  int
	Excess   decide.Time // by how much a deadline was exceeded, or how early a connection was closed; 0 for other reasons
}

// String returns the violation as a line of text.
func (v Violation) String() string {
	return fmt.Sprintf("%v, request %d (%.64q), attempt %d at %q, by %d us", v.Reason, v.Request, v.ClientID, v.Attempt, v.Cache,
		v.Excess)
}

// Counts holds the numbers of actions that were prevented, and of violations.
type Counts struct {
	Prevented  [reasonCount]int
	Violations [reasonCount]int
}

// Broken returns the number of violations of all reasons.
func (c *Counts) Broken() (n int) {
	for _, count := range c.Violations {
		n += count
	}
	return n
}
