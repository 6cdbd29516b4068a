package router

import (
	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/retrystorm"
)

// duplicateIDReply answers a request whose client gave it the name of one that is open.
const duplicateIDReply = "-ERR the id is that of an open request\r\n"

// request is one command of a client, from HandleRequest until it is finished, its attempts have ended and the module has
// received all events about it.
type request struct {
	id       int64
	clientID string            // its name, as its client gave it
	command  *frontend.Command // the slot's
	slot     *frontend.ReplySlot
	readAt   Time // when the command was read whole
	deadline Time // its final answer is due by then

	awaitingHooks  bool // hooks have it, and the module has not received it
	finished       bool // the final answer is given, or its client has gone
	connectionLost bool // a connection to a cache broke under one of its attempts

	attempts          []*attempt // all of them, by number
	attemptsOut       int        // of these, without a result
	undeliveredEvents int        // events about it in Router.pendingEvents that keep its record

	guard        guard.Request
	stormRequest retrystorm.Request // as the retry storm detector sees it
	stormVerdict retrystorm.Verdict // what the detector said of it

	// Memory for what nearly every request needs.
	submitted      decide.Request // the event that the module receives
	firstAttempt   attempt
	inlineAttempts [1]*attempt
}

// completion says how a request ends: what its client gets, and what is recorded of it.
type completion struct {
	reply    []byte         // the final answer; nil where its client has gone
	outcome  plugin.Outcome // what hooks are told of that answer
	unserved bool           // the retry storm detector counts it as a request that got no value
	event    eventlog.Event // what the event log says; empty for nothing
	reason   string         // of the event
}

// failure ends a request with an answer that promises nothing.
var failure = completion{reply: []byte(frontend.FailedReply), outcome: plugin.OutcomeFailed}

// clientGone ends a request whose client doesn't wait any more.
var clientGone = completion{outcome: plugin.OutcomeFailed, unserved: true}

// servedWith ends a request with a value.
func servedWith(value []byte) completion {
	return completion{reply: value, outcome: plugin.OutcomeServed}
}

// rejection ends a request with an answer that promises that another try does no harm; where it might do harm, with a
// failure.
func (r *Router) rejection(q *request, retryAfter Time) completion {
	if r.guard.MayReject(&q.guard) != guard.Allowed {
		return failure
	}
	return completion{reply: frontend.AppendBusy(nil, retryAfter), outcome: plugin.OutcomeRejected}
}

// because returns the completion of a request that the module gave up, with the event and the module's reason.
func (c completion) because(event eventlog.Event, reason decide.Reason) completion {
	c.unserved = true
	c.event = event
	c.reason = reason.String()
	return c
}

// logged returns the completion with what the event log says of it. What it answers decides between rejected and failed.
func (c completion) logged(reason string) completion {
	c.event, c.reason = eventlog.RequestFailed, reason
	if c.outcome == plugin.OutcomeRejected {
		c.event = eventlog.RequestRejected
	}
	return c
}

// HandleRequest implements frontend.Handler: it takes a request from a client and hands it to the hooks or to the module.
func (r *Router) HandleRequest(slot *frontend.ReplySlot, readAt Time) {
	if r.cfg.Transport.MaxOpenRequests > 0 && r.openRequests >= r.cfg.Transport.MaxOpenRequests {
		slot.Answer([]byte(frontend.BusyReply))
		r.logNotAccepted(eventlog.RequestRejected, reasonOpenRequests, slot.Command.ID())
		return
	}
	stormRequest, stormVerdict := r.recordRequest(slot, readAt)
	if stormVerdict.OverFairShare {
		slot.Answer(frontend.AppendBusy(nil, r.jitteredRetryAfter(slot.Command.ID())))
		r.logNotAccepted(eventlog.RequestRejected, reasonFairShare, slot.Command.ID())
		return
	}
	if _, isOpen := r.openIDs[slot.Command.ID()]; isOpen {
		slot.Answer([]byte(duplicateIDReply))
		r.logNotAccepted(eventlog.RequestFailed, reasonDuplicateID, slot.Command.ID())
		return
	}
	q := r.openRequest(slot, readAt)
	q.stormRequest, q.stormVerdict = stormRequest, stormVerdict
	if !r.consultHooks(q) {
		r.submit(q)
	}
}

// openRequest makes the record of a request.
func (r *Router) openRequest(slot *frontend.ReplySlot, readAt Time) *request {
	command := &slot.Command
	if r.maxClientTimeout > 0 { // a class that is not in the settings has no timeout of its own
		command.Timeout = min(command.Timeout, r.maxClientTimeout)
	}
	r.lastRequestID++
	q := &request{
		id:       r.lastRequestID,
		clientID: command.ID(),
		command:  command,
		slot:     slot,
		readAt:   readAt,
		deadline: readAt + command.Timeout,
	}
	if r.drainDeadline > 0 { // a later answer would be lost with the process
		q.deadline = min(q.deadline, r.drainDeadline-drainAnswerMargin)
	}
	q.attempts = q.inlineAttempts[:0]
	q.guard = r.guard.Open(q.id, q.clientID, command.Class, command.IdempotencyKeyMissing, q.deadline)
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
		Cost:                  command.Cost,
		Write:                 command.Write,
		IdempotencyKeyMissing: command.IdempotencyKeyMissing,
	}
	r.queueEvent(&q.submitted)
}

// ClientsGone implements frontend.Handler: the clients of these requests have gone, or the router has closed their
// connection.
func (r *Router) ClientsGone(slots []*frontend.ReplySlot, byRouter bool) {
	var gone []*request
	for _, slot := range slots {
		q := r.requests[slot.ID]
		if q == nil || q.finished {
			continue
		}
		if byRouter {
			r.guard.Closed(r.m.Now(), &q.guard)
		}
		gone = append(gone, q)
		r.withdraw(q)
	}
	for _, q := range gone { // the module receives all of them before the results of their attempts
		r.finishRequest(q, clientGone)
	}
}

// withdraw takes a request back from the hooks or the module, whichever has it.
func (r *Router) withdraw(q *request) {
	if q.awaitingHooks {
		r.hooks.Cancel(q.id)
		q.awaitingHooks = false
		return
	}
	r.queueRequestEvent(q, &decide.ClientGone{ID: q.id})
}

// finishRequest ends a request. Every request that was opened ends here, once: later calls only log their event, as the
// module may still decide about a request whose end it has not received. Attempts that are not written whole end before
// the answer leaves, as nothing may go out for a request after its answer.
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
	if c.reply != nil {
		r.guard.Answered(r.m.Now(), &q.guard)
		q.slot.Answer(c.reply)
		r.notifyHooksOfAnswer(q, c.outcome)
	}
	r.releaseRequest(q)
}

// releaseRequest drops the record of a finished request once its attempts have ended and the module has received all
// events about it.
func (r *Router) releaseRequest(q *request) {
	if q.finished && q.attemptsOut == 0 && q.undeliveredEvents == 0 && r.requests[q.id] == q {
		delete(r.requests, q.id)
		delete(r.openIDs, q.clientID)
	}
}
