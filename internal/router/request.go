package router

import (
	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/retrystorm"
)

// duplicateIDReply is the answer to a request whose id, given by its client, is the id of a request that is open or may have run.
const duplicateIDReply = "-ERR the id is that of an open request, or of one that may have run\r\n"

// request is the record of a client's command. It exists from HandleRequest until the request is finished, its attempts have ended
// and the module has received all events about the request.
type request struct {
	id       int64
	clientID string // the id that the client gave the request
	command  *frontend.Command
	slot     *frontend.ReplySlot
	readAt   Time // when the command was read
	deadline Time // of the final answer

	awaitingHooks  bool // the hooks evaluate the request, and the module has not received it
	finished       bool // the final answer was given, or the client has gone
	connectionLost bool // an attempt ended because its connection to a cache was lost

	attempts          []*attempt // all attempts, indexed by number
	attemptsInFlight  int        // attempts without a result
	undeliveredEvents int        // events in Router.pendingEvents that retain the record

	guard        guard.Request
	stormRequest retrystorm.Request // the request in the form that the retry storm detector uses
	stormVerdict retrystorm.Verdict // the detector's verdict on stormRequest

	// Inline storage for objects that nearly every request needs, which saves allocations.
	submitted      decide.Request // the event that the module receives
	firstAttempt   attempt
	inlineAttempts [1]*attempt
}

// completion describes how a request ends: the client's answer, and the outcome to report and log.
type completion struct {
	reply    []byte         // the final answer; nil if the client has gone
	outcome  plugin.Outcome // reported to hooks
	unserved bool           // the retry storm detector counts the request as unserved
	event    eventlog.Event // for the event log; empty to log nothing
	reason   string         // of event
}

// failure ends a request with an answer that makes no promise about whether a cache has run the command.
var failure = completion{reply: []byte(frontend.FailedReply), outcome: plugin.OutcomeFailed}

// clientGone ends a request whose client no longer waits for an answer.
var clientGone = completion{outcome: plugin.OutcomeFailed, unserved: true}

// servedWith returns the completion of a request that is answered with a value.
func servedWith(value []byte) completion {
	return completion{reply: value, outcome: plugin.OutcomeServed}
}

// rejection returns the completion of a request whose answer promises that a retry by the client is safe. If a retry might not be
// safe, rejection returns failure.
func (r *Router) rejection(q *request, retryAfter Time) completion {
	if r.guard.MayReject(&q.guard) != guard.Allowed {
		return failure
	}
	return completion{reply: frontend.AppendBusy(nil, retryAfter), outcome: plugin.OutcomeRejected}
}

// withModuleReason returns the completion of a request that the module rejected or failed, with the event and the module's reason.
// Such a request counts as unserved.
func (c completion) withModuleReason(event eventlog.Event, reason decide.Reason) completion {
	c.unserved = true
	c.event = event
	c.reason = reason.String()
	return c
}

// withReason returns the completion with a reason for the event log. The event is RequestRejected if the answer is a rejection,
// and RequestFailed otherwise.
func (c completion) withReason(reason string) completion {
	c.event, c.reason = eventlog.RequestFailed, reason
	if c.outcome == plugin.OutcomeRejected {
		c.event = eventlog.RequestRejected
	}
	return c
}

// HandleRequest implements frontend.Handler: it admits a client's request and passes it to the hooks or the module.
//
// A request's time counts from its arrival: a request that was read too late is rejected, since its client has given it up and may
// have sent it to another router.
func (r *Router) HandleRequest(slot *frontend.ReplySlot, arrivedAt Time) {
	readAt := r.m.Now()
	clientID := slot.Command.ID()
	if r.cfg.Transport.MaxOpenRequests > 0 && r.openRequests >= r.cfg.Transport.MaxOpenRequests {
		slot.Answer([]byte(frontend.BusyReply))
		r.logNotAccepted(eventlog.RequestRejected, reasonOpenRequests, clientID)
		return
	}
	stormRequest, stormVerdict := r.recordRequest(slot, readAt)
	if stormVerdict.OverFairShare {
		slot.Answer(frontend.AppendBusy(nil, r.jitteredRetryAfter(clientID)))
		r.logNotAccepted(eventlog.RequestRejected, reasonFairShare, clientID)
		return
	}
	if _, isOpen := r.openIDs[clientID]; isOpen || r.recentIDs.contains(clientID, readAt) {
		slot.Answer([]byte(duplicateIDReply))
		r.logNotAccepted(eventlog.RequestFailed, reasonDuplicateID, clientID)
		return
	}
	deadline := r.requestDeadline(slot.Command, arrivedAt)
	if deadline <= readAt {
		slot.Answer([]byte(frontend.BusyReply))
		r.logNotAccepted(eventlog.RequestRejected, reasonReadLate, clientID)
		return
	}
	q := r.openRequest(slot, clientID, readAt, deadline)
	q.stormRequest, q.stormVerdict = stormRequest, stormVerdict
	if !r.consultHooks(q) {
		r.submit(q)
	}
}

// requestDeadline returns the time by which a request must have its final answer.
func (r *Router) requestDeadline(command *frontend.Command, arrivedAt Time) Time {
	if r.maxClientTimeout > 0 { // the settings give no timeout for an unknown class
		command.Timeout = min(command.Timeout, r.maxClientTimeout)
	}
	deadline := arrivedAt + command.Timeout
	if r.drainDeadline > 0 { // the process would end before a later answer
		deadline = min(deadline, r.drainDeadline-drainAnswerMargin)
	}
	return deadline
}

// openRequest creates and registers the record of a request.
func (r *Router) openRequest(slot *frontend.ReplySlot, clientID string, readAt, deadline Time) *request {
	command := slot.Command
	r.lastRequestID++
	q := &request{
		id:       r.lastRequestID,
		clientID: clientID,
		command:  command,
		slot:     slot,
		readAt:   readAt,
		deadline: deadline,
	}
	q.attempts = q.inlineAttempts[:0]
	q.guard = r.guard.NewRequest(q.id, q.clientID, command.Class, command.IdempotencyKeyMissing, q.deadline)
	slot.ID = q.id
	r.openIDs[q.clientID] = struct{}{}
	r.requests[q.id] = q
	r.openRequests++
	return q
}

// submit queues a request for the module.
func (r *Router) submit(q *request) {
	command := q.command
	q.submitted = decide.Request{
		ID:                    q.id,
		Class:                 command.Class,
		Tenant:                command.Tenant,
		Key:                   command.KeyHash,
		HasKey:                true,
		Deadline:              q.deadline,
		FirstRequestedAt:      q.stormVerdict.FirstRequestedAt,
		ExpectedWork:          command.Cost,
		Write:                 command.Write,
		IdempotencyKeyMissing: command.IdempotencyKeyMissing,
	}
	r.queueEvent(&q.submitted)
}

// ClientsGone implements frontend.Handler: it ends the requests of a client that has disconnected or whose connection the router
// has closed.
func (r *Router) ClientsGone(slots []*frontend.ReplySlot, byRouter bool) {
	var gone []*request
	for _, slot := range slots {
		q := r.requests[slot.ID]
		if q == nil || q.finished {
			continue
		}
		if byRouter {
			r.guard.ConnectionClosed(r.m.Now(), &q.guard)
		}
		gone = append(gone, q)
		r.withdraw(q)
	}
	for _, q := range gone { // after all ClientGone events are queued: ending a request may queue results of attempts
		r.finishRequest(q, clientGone)
	}
}

// withdraw cancels a request at the hooks if it waits for their verdict, and otherwise notifies the module that the client has
// gone.
func (r *Router) withdraw(q *request) {
	if q.awaitingHooks {
		r.hooks.Cancel(q.id)
		q.awaitingHooks = false
		return
	}
	r.queueRequestEvent(q, &decide.ClientGone{ID: q.id})
}

// finishRequest ends a request. Every opened request ends here exactly once. Later calls do nothing; they happen because the module
// may decide about a request before it receives the event that the request has ended. finishRequest aborts attempts that are not
// completely written before it sends the answer, because nothing may be sent to a cache for an answered request.
func (r *Router) finishRequest(q *request, c completion) {
	if q.finished {
		return
	}
	if c.event != "" {
		r.logUnserved(q, c.event, c.reason)
	}
	if c.unserved {
		r.recordUnserved(q)
	}
	q.finished = true
	r.openRequests--
	for _, a := range q.attempts {
		if a.Unwritten() {
			a.Abort(decide.Cancelled)
		}
	}
	r.rememberID(q)
	if c.reply != nil {
		r.guard.Answered(r.m.Now(), &q.guard)
		q.slot.Answer(c.reply)
		r.notifyHooksOfAnswer(q, c.outcome)
	}
	r.releaseRequest(q)
}

// releaseRequest deletes the record of a finished request once its attempts have ended and the module has received all events
// about the request.
func (r *Router) releaseRequest(q *request) {
	if q.finished && q.attemptsInFlight == 0 && q.undeliveredEvents == 0 && r.requests[q.id] == q {
		delete(r.requests, q.id)
		delete(r.openIDs, q.clientID)
	}
}
