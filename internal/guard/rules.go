package guard

import (
	"slices"

	"starlingwinch/decide"
)

// Guard decides whether the loop may send or repeat an attempt or reject a request now. The loop also notifies the Guard of each
// action after it has carried the action out; the Guard counts and reports an action that breaks a rule as a violation.
type Guard struct {
	// ObserveOnly makes the Guard count forbidden repeats and rejections as prevented but allow them. Tests set it when they plant
	// a defect that the Guard would otherwise prevent.
	ObserveOnly bool

	classes        map[string]*decide.Class
	maxAttempts    int
	hedgingAllowed bool
	counts         Counts
	report         func(Violation)
}

// NewGuard returns a Guard for the settings. The Guard calls report with each violation; report may be nil.
func NewGuard(settings *decide.Settings, report func(Violation)) *Guard {
	g := &Guard{
		classes:        map[string]*decide.Class{},
		maxAttempts:    settings.MaxAttempts,
		hedgingAllowed: settings.AllowHedging,
		report:         report,
	}
	for i := range settings.Classes {
		g.classes[settings.Classes[i].Name] = &settings.Classes[i]
	}
	return g
}

// Counts returns the numbers of prevented actions and of violations since the Guard was created.
func (g *Guard) Counts() Counts { return g.counts }

// Request is the Guard's record of one request. The loop embeds it in its own record of the request.
type Request struct {
	ID       int64
	ClientID string      // ID that the client assigned to the request
	Deadline decide.Time // the client's deadline

	class                 *decide.Class // nil if the settings do not name the class; the request then counts as not idempotent
	idempotencyKeyMissing bool
	answered              bool              // the request has its final answer
	attempts              []writtenAttempt  // in the order of their first bytes
	firstAttempt          [1]writtenAttempt // storage for attempts without an allocation: most requests have one attempt
}

// writtenAttempt is an attempt with at least one byte written.
type writtenAttempt struct {
	number    int
	cache     Cache
	startedAt decide.Time // when the first byte was written
	completed bool        // the last byte is written, so the cache may run the attempt
	ended     bool        // the attempt has its result
	neverRan  bool        // the result proves that the attempt did not run
}

// Cache identifies the cache of an attempt and its place in the fleet.
type Cache struct {
	Name string
	Zone string
	Cell int
}

// NewRequest returns the record of a new request. idempotencyKeyMissing reports that the request's class requires an idempotency
// key and the request has none.
func (g *Guard) NewRequest(id int64, clientID, class string, idempotencyKeyMissing bool, deadline decide.Time) Request {
	return Request{
		ID:                    id,
		ClientID:              clientID,
		Deadline:              deadline,
		class:                 g.classes[class],
		idempotencyKeyMissing: idempotencyKeyMissing,
	}
}

// WriteCheck is the state of an attempt immediately before its first byte is written.
type WriteCheck struct {
	Now           decide.Time
	Deadline      decide.Time // when the attempt is aborted
	WriteDeadline decide.Time // the attempt must be written before this time; 0 if there is no such limit
	CacheServing  bool        // the endpoint list has the cache as serving
}

// MayWrite applies the rules that do not depend on the request, and so apply to health checks too.
func (check WriteCheck) MayWrite() Reason {
	switch {
	case !check.CacheServing:
		return CacheDraining
	case check.Now >= check.Deadline:
		return DeadlinePassed
	case check.WriteDeadline > 0 && check.Now >= check.WriteDeadline:
		return DeadlinePassed
	}
	return Allowed
}

// MaySend decides whether an attempt of a request may be written to a cache now, and counts a forbidden attempt as prevented.
// clientGone reports that the client no longer waits for the answer.
func (g *Guard) MaySend(now decide.Time, request *Request, cache Cache, clientGone bool) Reason {
	reason := Allowed
	switch {
	case request.answered:
		reason = Answered
	case clientGone:
		reason = ClientGone
	default:
		reason = g.mayAttempt(now, request, cache)
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

// mayAttempt decides whether another attempt may follow the attempts written so far.
func (g *Guard) mayAttempt(now decide.Time, request *Request, cache Cache) Reason {
	if len(request.attempts) >= g.maxAttempts {
		return TooManyAttempts
	}
	for i := range request.attempts {
		earlier := &request.attempts[i]
		if !earlier.ended && !g.hedgingAllowed {
			return HedgeNotAllowed
		}
		if !earlier.mayHaveRun() {
			continue
		}
		if reason := request.mayRunAgain(now, earlier, cache); reason != Allowed {
			return reason
		}
	}
	return Allowed
}

// MayFinish decides whether the rest of an attempt, of which some bytes are written, may be written now, and counts a forbidden one as
// prevented. Until its last byte the attempt can't run, so that other attempts may have been sent and run in the meantime.
func (g *Guard) MayFinish(now decide.Time, request *Request, number int) Reason {
	reason := request.mayFinish(now, number)
	if reason == Allowed {
		return Allowed
	}
	g.counts.Prevented[reason]++
	if g.ObserveOnly && reason != Answered {
		return Allowed
	}
	return reason
}

// mayFinish is MayFinish without the counts. The router may be suspended for MaxSchedulingDelay before it writes.
func (request *Request) mayFinish(now decide.Time, number int) Reason {
	unfinished := request.attempt(number)
	if request.answered || unfinished == nil {
		return Answered
	}
	for i := range request.attempts {
		other := &request.attempts[i]
		if other.number == number || !other.mayHaveRun() {
			continue
		}
		if reason := request.mayRunAgain(now+decide.MaxSchedulingDelay, other, unfinished.cache); reason != Allowed {
			return reason
		}
	}
	return Allowed
}

// RepeatWindow returns the time for which caches drop repeats of the request, counted from an attempt that may have run, less the
// time for which the router may be suspended. It reports false if the rules do not limit repeats by time.
func (request *Request) RepeatWindow() (decide.Time, bool) {
	class := request.class
	if class == nil || class.Semantics != decide.IdempotentByKey || request.idempotencyKeyMissing {
		return 0, false
	}
	return max(0, class.IdempotencyWindow-decide.MaxSchedulingDelay), true
}

// FirstStart returns the time at which the first byte of the first attempt was written. There must be one.
func (request *Request) FirstStart() decide.Time { return request.attempts[0].startedAt }

// mayHaveRun reports whether the cache may have run the attempt or may still run it.
func (a *writtenAttempt) mayHaveRun() bool { return a.completed && !a.neverRan }

// MayHaveRun reports whether a cache may have run the request, or may still run it.
func (request *Request) MayHaveRun() bool {
	return slices.ContainsFunc(request.attempts, func(a writtenAttempt) bool { return a.mayHaveRun() })
}

// mayRunAgain decides by the request's semantics whether the request may run at cache after an earlier attempt that may have run.
func (request *Request) mayRunAgain(now decide.Time, earlier *writtenAttempt, cache Cache) Reason {
	class := request.class
	switch {
	case class == nil || request.idempotencyKeyMissing:
		return NotIdempotent
	case class.Semantics == decide.Idempotent:
		return Allowed
	case class.Semantics == decide.NonIdempotent:
		return NotIdempotent
	case !sameDeduplicationScope(class.DeduplicationScope, earlier.cache, cache):
		return OutsideDeduplicationScope
	case now >= earlier.startedAt+class.IdempotencyWindow:
		return IdempotencyWindowOver
	}
	return Allowed
}

// sameDeduplicationScope reports whether each of two caches discards repeats of requests that the other has run. The decision
// module has its own version of this rule. The Guard checks that version, so it does not share the code.
func sameDeduplicationScope(scope decide.DeduplicationScope, a, b Cache) bool {
	switch scope {
	case decide.DeduplicatedInZone:
		return a.Zone == b.Zone
	case decide.DeduplicatedInCell:
		return a.Cell == b.Cell
	}
	return true
}

// WriteStarted records that the first byte of an attempt was written. wait is the remaining time that the router sent to the cache
// with the attempt. completed reports that the last byte was written too.
func (g *Guard) WriteStarted(now decide.Time, request *Request, number int, cache Cache, wait decide.Time, completed bool) {
	violation := Violation{At: now, Request: request.ID, ClientID: request.ClientID, Cache: cache.Name, Attempt: number}
	reason := Answered
	if !request.answered {
		reason = g.mayAttempt(now, request, cache)
	}
	if excess := now + wait - request.Deadline; reason == Allowed && excess > 0 {
		reason, violation.Excess = WaitBeyondDeadline, excess
	}
	g.recordViolation(reason, violation)
	if request.attempts == nil {
		request.attempts = request.firstAttempt[:0]
	}
	request.attempts = append(request.attempts, writtenAttempt{
		number:    number,
		cache:     cache,
		startedAt: now,
		completed: completed,
	})
}

// WriteCompleted records that the last byte of an attempt was written. It is not needed if WriteStarted reported completed.
func (request *Request) WriteCompleted(number int) {
	if attempt := request.attempt(number); attempt != nil {
		attempt.completed = true
	}
}

// AttemptEnded records the result of an attempt.
func (request *Request) AttemptEnded(number int, result decide.Result) {
	if attempt := request.attempt(number); attempt != nil {
		attempt.ended, attempt.neverRan = true, result.NeverRan()
	}
}

// attempt returns the attempt with a number, or nil if no byte of that attempt was written.
func (request *Request) attempt(number int) *writtenAttempt {
	for i := range request.attempts {
		if request.attempts[i].number == number {
			return &request.attempts[i]
		}
	}
	return nil
}

// MayReject decides whether the router may reject a request, which tells the client that a retry is safe. If it may not, the
// router must fail the request instead.
func (g *Guard) MayReject(request *Request) Reason {
	if request.retrySafeAnywhere() {
		return Allowed
	}
	for i := range request.attempts {
		if !request.attempts[i].mayHaveRun() {
			continue
		}
		g.counts.Prevented[RejectedAfterRun]++
		if g.ObserveOnly {
			return Allowed
		}
		return RejectedAfterRun
	}
	return Allowed
}

// retrySafeAnywhere reports whether a retry is safe at any cache, even after attempts that have run.
func (request *Request) retrySafeAnywhere() bool {
	class := request.class
	if class == nil || request.idempotencyKeyMissing {
		return false
	}
	switch class.Semantics {
	case decide.Idempotent:
		return true
	case decide.IdempotentByKey:
		return class.DeduplicationScope == decide.DeduplicatedEverywhere
	}
	return false
}

// Answered records a final answer. A second final answer to the same request is a violation.
func (g *Guard) Answered(now decide.Time, request *Request) {
	if request.answered {
		g.recordViolation(Answered, Violation{At: now, Request: request.ID, ClientID: request.ClientID})
	}
	request.answered = true
}

// ConnectionClosed records that the router closed the connection of a client that still waits for the answer to this request.
func (g *Guard) ConnectionClosed(now decide.Time, request *Request) {
	g.recordViolation(ClosedUnanswered, Violation{
		At:       now,
		Request:  request.ID,
		ClientID: request.ClientID,
		Excess:   max(0, request.Deadline-now),
	})
}

// recordViolation counts and reports a violation unless its reason is Allowed.
func (g *Guard) recordViolation(reason Reason, violation Violation) {
	if reason == Allowed {
		return
	}
	violation.Reason = reason
	g.counts.Violations[reason]++
	if g.report != nil {
		g.report(violation)
	}
}
