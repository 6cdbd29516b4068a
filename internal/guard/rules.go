package guard

import "starlingwinch/decide"

// Guard decides whether something may be sent, repeated, refused or closed now. It is also told what was done: what it would not
// have allowed is counted and reported as a violation.
type Guard struct {
	// ObserveOnly has repeats and refusals that are not allowed counted and let through. It is there for tests that plant a
	// defect, which the guard would prevent.
	ObserveOnly bool

	classes        map[string]*decide.Class
	maxAttempts    int
	hedgingAllowed bool
	counts         Counts
	report         func(Violation)
}

// NewGuard returns a Guard for the settings. It calls report with each violation.
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

// Counts returns the counts so far.
func (g *Guard) Counts() Counts { return g.counts }

// Request is what a Guard keeps of one request. It is part of the loop's own record.
type Request struct {
	ID       int64
	ClientID string      // the id that the client gave it
	Deadline decide.Time // of the client

	class                 *decide.Class // nil for one that the settings do not name: it is held to be not idempotent
	idempotencyKeyMissing bool
	answered              bool              // it has its final answer
	attempts              []writtenAttempt  // in the order in which they were written
	firstAttempt          [1]writtenAttempt // space for attempts, as most requests have one
}

// writtenAttempt is an attempt of which at least a byte was written.
type writtenAttempt struct {
	number    int
	cache     Cache
	startedAt decide.Time // when its first byte was written
	completed bool        // its last byte is written: it may run from then on
	over      bool        // it has its result
	neverRan  bool        // its result proves that it did not run
}

// Cache is what a Guard needs to know of the cache that an attempt goes to.
type Cache struct {
	Name string
	Zone string
	Cell int
}

// Open begins the record of a request. idempotencyKeyMissing says that its class requires a key and it has none.
func (g *Guard) Open(id int64, name, class string, idempotencyKeyMissing bool, deadline decide.Time) Request {
	return Request{
		ID:                    id,
		ClientID:              name,
		Deadline:              deadline,
		class:                 g.classes[class],
		idempotencyKeyMissing: idempotencyKeyMissing,
	}
}

// WriteCheck is what is known of an attempt in the moment before its first byte.
type WriteCheck struct {
	Now           decide.Time
	Deadline      decide.Time // when the attempt is given up
	WriteDeadline decide.Time // it must be written before then; 0 for no such bound
	CacheServing  bool        // the list says that the cache takes requests
}

// MayWrite decides what does not depend on the request: it holds for health checks too.
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

// MaySend decides whether an attempt of a request may be written to a cache now. clientGone is what the client's connection
// shows. What is not allowed is counted as prevented.
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

// mayAttempt decides whether an attempt may follow those that were written.
func (g *Guard) mayAttempt(now decide.Time, request *Request, cache Cache) Reason {
	if len(request.attempts) >= g.maxAttempts {
		return TooManyAttempts
	}
	for i := range request.attempts {
		earlier := &request.attempts[i]
		if !earlier.over && !g.hedgingAllowed {
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

// mayHaveRun reports whether the cache may have carried the attempt out, or may still do so.
func (a *writtenAttempt) mayHaveRun() bool { return a.completed && !a.neverRan }

// mayRunAgain decides by the request's semantics whether it may run at a cache after an earlier attempt that may have run.
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

// sameDeduplicationScope reports whether two caches drop each other's repeats. The decision module has a rule of its own for
// that: the guard checks it, and so does not share its code.
func sameDeduplicationScope(scope decide.DeduplicationScope, a, b Cache) bool {
	switch scope {
	case decide.DeduplicatedInZone:
		return a.Zone == b.Zone
	case decide.DeduplicatedInCell:
		return a.Cell == b.Cell
	}
	return true
}

// WriteStarted is called when the first byte of an attempt was written, with the time that its cache was told it has. completed
// says that the last byte was written too.
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

// WriteCompleted is called when the last byte of an attempt was written, unless WriteStarted said so.
func (request *Request) WriteCompleted(number int) {
	if attempt := request.attempt(number); attempt != nil {
		attempt.completed = true
	}
}

// AttemptEnded is called with the result of an attempt.
func (request *Request) AttemptEnded(number int, result decide.Result) {
	if attempt := request.attempt(number); attempt != nil {
		attempt.over, attempt.neverRan = true, result.NeverRan()
	}
}

// attempt returns the attempt with a number, or nil where none of its bytes was written.
func (request *Request) attempt(number int) *writtenAttempt {
	for i := range request.attempts {
		if request.attempts[i].number == number {
			return &request.attempts[i]
		}
	}
	return nil
}

// MayReject decides whether a request may be refused, which says that another try does no harm, or only failed.
func (g *Guard) MayReject(request *Request) Reason {
	if request.mayAlwaysRepeat() {
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

// mayAlwaysRepeat reports whether the client may try again at any cache, whatever has run.
func (request *Request) mayAlwaysRepeat() bool {
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

// Answered is called with each final answer. At most one is allowed.
func (g *Guard) Answered(now decide.Time, request *Request) {
	if request.answered {
		g.recordViolation(Answered, Violation{At: now, Request: request.ID, ClientID: request.ClientID})
	}
	request.answered = true
}

// Closed is called when the router itself has closed the connection of a client that still waits for this answer.
func (g *Guard) Closed(now decide.Time, request *Request) {
	g.recordViolation(ClosedUnanswered, Violation{
		At:       now,
		Request:  request.ID,
		ClientID: request.ClientID,
		Excess:   max(0, request.Deadline-now),
	})
}

// recordViolation counts and reports a violation, unless its reason is Allowed.
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
