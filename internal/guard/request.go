package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// Reason is why something may not be done now; each is one of the operators' rules, or a part of one.
type Reason uint8

const (
	Allowed                   Reason = iota
	Answered                         // the request has its final answer
	ClientGone                       // nobody waits for it any more
	CacheDraining                    // the cache drains, or is not listed any more
	DeadlinePassed                   // the attempt's own time, or the one by which it has to be written, is over
	TooManyAttempts                  // the settings allow no further one
	HedgeNotAllowed                  // an earlier attempt is out, and the settings allow no second copy
	EffectMayRepeat                  // an earlier attempt may have run, and nobody drops a repeat
	OutsideDeduplicationScope        // ... and this cache is not among those that drop it
	IdempotencyWindowOver            // ... and they have forgotten it by now
	DeadlineExceeded                 // the cache is told that the router waits longer than its client does
	RejectedAfterRun                 // a refusal promises that another try does no harm
	ClosedUnanswered                 // the router closes a connection that still waits for an answer
	reasons
)

var reasonNames = [reasons]string{"allowed", "answered", "client-left", "cache-leaving", "time-over", "too-many-attempts",
	"second-copy", "effect-may-repeat", "outside-group", "window-over", "deadline-exceeded", "refused-after-run",
	"closed-unanswered"}

func (r Reason) String() string { return reasonNames[r] }

// Violation is a rule that was broken, as far as this router can see.
type Violation struct {
	Reason  Reason
	At      decide.Time
	Request int64
	Name    string // as the client named the request
	Cache   string
	Attempt int
	Excess  decide.Time // by how much, where the rule has a measure
}

func (v Violation) String() string {
	return fmt.Sprintf("%v, request %d (%.64q), attempt %d at %q, by %d us", v.Reason, v.Request, v.Name, v.Attempt, v.Cache,
		v.Excess)
}

// Counts are of what was prevented and of what was broken, by reason.
type Counts struct {
	Prevented  [reasons]int
	Violations [reasons]int
}

// Broken is the number of violations of all reasons.
func (c *Counts) Broken() (n int) {
	for _, of := range c.Violations {
		n += of
	}
	return n
}

// Guard decides whether something may be sent, repeated, refused or closed now, and is told what was done: what it would not
// have allowed is counted and reported as a violation. It does no I/O, and belongs to the loop's goroutine.
type Guard struct {
	classes     map[string]*decide.Class
	maxAttempts int
	copies      bool
	counts      Counts
	// ObserveOnly has repeats and refusals that are not allowed counted and let through: it is there for tests that plant a
	// defect, which the guard would prevent.
	ObserveOnly bool
	report      func(Violation)
}

// NewGuard is a guard for the settings. report is called with each violation.
func NewGuard(set *decide.Settings, report func(Violation)) *Guard {
	g := &Guard{classes: map[string]*decide.Class{}, maxAttempts: set.MaxAttempts, copies: set.AllowHedging, report: report}
	for i := range set.Classes {
		g.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	return g
}

// Counts are those so far.
func (g *Guard) Counts() Counts { return g.counts }

// Request is what the guard keeps of one request. It is part of the loop's own record.
type Request struct {
	ID       int64
	Name     string
	Deadline decide.Time

	class    *decide.Class // nil for one that the settings do not name: it is held to be unsafe
	unkeyed  bool
	answered bool
	attempts []attemptRecord
	room     [1]attemptRecord
}

// attemptRecord is an attempt that has begun to be written.
type attemptRecord struct {
	number   int
	to       Cache
	wroteAt  decide.Time // its first byte
	whole    bool        // its last byte is written: it may run from then on
	over     bool
	neverRan bool
}

// Cache is one that an attempt goes to.
type Cache struct {
	Name string
	Zone string
	Cell int
}

// Open begins the record of a request. unkeyed says that its class wants a key and it has none.
func (g *Guard) Open(id int64, name, class string, unkeyed bool, deadline decide.Time) Request {
	return Request{ID: id, Name: name, Deadline: deadline, class: g.classes[class], unkeyed: unkeyed}
}

// WriteCheck is what is known of an attempt in the moment before its first byte.
type WriteCheck struct {
	Now           decide.Time
	Deadline      decide.Time // it is given up then
	WriteDeadline decide.Time // it has to be written by then; 0 for no such bound
	CacheServing  bool        // the list says that the cache takes work
}

// MayWrite decides what no request need be known for: it holds for probes too.
func (l WriteCheck) MayWrite() Reason {
	switch {
	case !l.CacheServing:
		return CacheDraining
	case l.Now >= l.Deadline, l.WriteDeadline > 0 && l.Now >= l.WriteDeadline:
		return DeadlinePassed
	}
	return Allowed
}

// MaySend decides whether an attempt of a request may be written to a cache now. clientLeft says what the client's
// connection tells. What it does not allow is counted as prevented.
func (g *Guard) MaySend(now decide.Time, q *Request, to Cache, clientLeft bool) Reason {
	reason := Allowed
	switch {
	case q.answered:
		reason = Answered
	case clientLeft:
		reason = ClientGone
	default:
		reason = g.mayRepeat(now, q, to)
	}
	if reason == Allowed {
		return Allowed
	}
	g.counts.Prevented[reason]++
	if g.ObserveOnly && reason != Answered && reason != ClientGone {
		return Allowed
	}
	return reason
}

// mayRepeat decides whether an attempt may follow those that have begun.
func (g *Guard) mayRepeat(now decide.Time, q *Request, to Cache) Reason {
	if len(q.attempts) >= g.maxAttempts {
		return TooManyAttempts
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.over && !g.copies {
			return HedgeNotAllowed
		}
		if a.neverRan || !a.whole {
			continue
		}
		if reason := q.mayRunAgain(now, a, to); reason != Allowed {
			return reason
		}
	}
	return Allowed
}

// mayRunAgain decides by the request's effect, an earlier attempt of which may have run.
func (q *Request) mayRunAgain(now decide.Time, a *attemptRecord, to Cache) Reason {
	switch {
	case q.class == nil || q.unkeyed:
		return EffectMayRepeat
	case q.class.Semantics == decide.Idempotent:
		return Allowed
	case q.class.Semantics == decide.NonIdempotent:
		return EffectMayRepeat
	case !sameGroup(q.class.DeduplicationScope, a.to, to):
		return OutsideDeduplicationScope
	case now >= a.wroteAt+q.class.IdempotencyWindow:
		return IdempotencyWindowOver
	}
	return Allowed
}

func sameGroup(scope decide.DeduplicationScope, a, b Cache) bool {
	switch scope {
	case decide.DeduplicatedInZone:
		return a.Zone == b.Zone
	case decide.DeduplicatedInCell:
		return a.Cell == b.Cell
	}
	return true
}

// WriteStarted is told that the first byte of an attempt was written, and what its cache was told of the time it has.
func (g *Guard) WriteStarted(now decide.Time, q *Request, number int, to Cache, wait decide.Time, whole bool) {
	reason, by := Allowed, decide.Time(0)
	if q.answered {
		reason = Answered
	} else if reason = g.mayRepeat(now, q, to); reason == Allowed && now+wait > q.Deadline {
		reason, by = DeadlineExceeded, now+wait-q.Deadline
	}
	g.hold(reason, Violation{At: now, Request: q.ID, Name: q.Name, Cache: to.Name, Attempt: number, Excess: by})
	if q.attempts == nil {
		q.attempts = q.room[:0]
	}
	q.attempts = append(q.attempts, attemptRecord{number: number, to: to, wroteAt: now, whole: whole})
}

// WriteCompleted is told that the last byte of an attempt was written.
func (q *Request) WriteCompleted(number int) {
	if a := q.attempt(number); a != nil {
		a.whole = true
	}
}

// AttemptEnded is told how an attempt ended.
func (q *Request) AttemptEnded(number int, result decide.Result) {
	if a := q.attempt(number); a != nil {
		a.over, a.neverRan = true, result.NeverRan()
	}
}

func (q *Request) attempt(number int) *attemptRecord {
	for i := range q.attempts {
		if q.attempts[i].number == number {
			return &q.attempts[i]
		}
	}
	return nil
}

// MayReject decides whether a request may be refused, which promises that another try does no harm, or only failed.
func (g *Guard) MayReject(q *Request) Reason {
	if q.class != nil && !q.unkeyed {
		if e := q.class.Semantics; e == decide.Idempotent || e == decide.IdempotentByKey && q.class.DeduplicationScope == decide.DeduplicatedEverywhere {
			return Allowed
		}
	}
	for i := range q.attempts {
		if a := &q.attempts[i]; a.whole && !a.neverRan {
			g.counts.Prevented[RejectedAfterRun]++
			if g.ObserveOnly {
				return Allowed
			}
			return RejectedAfterRun
		}
	}
	return Allowed
}

// Answered is told of a final answer; at most one is allowed.
func (g *Guard) Answered(now decide.Time, q *Request) {
	if q.answered {
		g.hold(Answered, Violation{At: now, Request: q.ID, Name: q.Name})
	}
	q.answered = true
}

// Closed is told that the router itself has closed the connection of a client that still waits for this answer.
func (g *Guard) Closed(now decide.Time, q *Request) {
	g.hold(ClosedUnanswered, Violation{At: now, Request: q.ID, Name: q.Name, Excess: max(0, q.Deadline-now)})
}

// hold counts and reports a violation.
func (g *Guard) hold(reason Reason, v Violation) {
	if reason == Allowed {
		return
	}
	v.Reason = reason
	g.counts.Violations[reason]++
	if g.report != nil {
		g.report(v)
	}
}
