package router

import (
	"context"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
)

// maxRetainedEvents is the largest capacity that pendingEvents retains between two calls of ProcessEvents.
const maxRetainedEvents = 1024

// queueEvent queues an event for the decision module. ProcessEvents delivers it.
func (r *Router) queueEvent(event decide.Event) { r.pendingEvents = append(r.pendingEvents, event) }

// queueRequestEvent queues an event that ends an attempt or a request, and retains the request's record until the module has
// received the event. Without the record, an attempt that the module starts before then would never get a result.
func (r *Router) queueRequestEvent(q *request, event decide.Event) {
	q.undeliveredEvents++
	r.queueEvent(event)
}

// requestEventDelivered records that the module has received an event that queueRequestEvent queued, and releases the request
// if nothing else retains it.
func (r *Router) requestEventDelivered(id int64) {
	if q := r.requests[id]; q != nil {
		q.undeliveredEvents--
		r.releaseRequest(q)
	}
}

// ProcessEvents implements frontend.Handler, upstream.Owner and endpointsource.Owner: it delivers the pending events to the
// module, in order, and carries out the module's actions. Code that queues events calls ProcessEvents in the same turn, once its
// own state is consistent.
func (r *Router) ProcessEvents() {
	if r.dispatching {
		return // the running call also delivers the events that its actions queue
	}
	if r.isStopped() {
		r.pendingEvents = r.pendingEvents[:0]
		return
	}
	if r.frontend != nil {
		r.pool.SetExtraIdleConnections(r.lendableDescriptors - r.frontend.Connections())
	}
	r.dispatching = true
	for i := 0; i < len(r.pendingEvents); i++ { // actions may append events
		event := r.pendingEvents[i]
		r.pendingEvents[i] = nil
		r.deliver(event)
	}
	r.pendingEvents = r.pendingEvents[:0]
	if cap(r.pendingEvents) > maxRetainedEvents {
		r.pendingEvents = nil
	}
	r.dispatching = false
}

// deliver passes one event to the module, carries out the resulting actions, and then runs the steps that require the module to
// have received the event.
func (r *Router) deliver(event decide.Event) {
	for _, action := range r.module.Handle(r.m.Now(), event) {
		r.perform(action)
	}
	switch event := event.(type) {
	case *decide.EndpointList:
		if r.snapshots != nil {
			r.snapshots.restoreListed(event.Endpoints)
		}
		r.publishListVersion(r.sources.Version())
	case *decide.AttemptResult:
		r.requestEventDelivered(event.ID)
	case *decide.ClientGone:
		r.requestEventDelivered(event.ID)
	}
}

// perform carries out one action that the module returned.
func (r *Router) perform(action decide.Action) {
	switch a := action.(type) {
	case decide.Send:
		r.startAttempt(a)
	case decide.Cancel:
		r.cancelAttempt(a)
	case decide.Reject:
		r.rejectRequest(a)
	case decide.Fail:
		r.failRequest(a)
	case decide.SetTimer:
		r.setTimer(a)
	case decide.CancelTimer:
		r.cancelTimer(a.Token)
	case decide.HealthCheck:
		r.startHealthCheck(a.Cache)
	case decide.CloseIdle:
		r.pool.CloseIdle(a.Cache)
	case decide.Watch:
		r.sources.Watch()
	case decide.Log:
		r.logger.LogAttrs(context.Background(), a.Level, a.Message, a.Attrs...)
	}
}

// rejectRequest carries out a Reject action.
func (r *Router) rejectRequest(action decide.Reject) {
	q := r.requests[action.ID]
	if q == nil {
		return
	}
	q.connectionLost = false // the request ends for lack of capacity, even if a connection was lost earlier
	r.finishRequest(q, r.rejection(q, action.RetryAfter).withModuleReason(eventlog.RequestRejected, action.Reason))
}

// failRequest carries out a Fail action.
func (r *Router) failRequest(action decide.Fail) {
	if q := r.requests[action.ID]; q != nil {
		r.finishRequest(q, failure.withModuleReason(eventlog.RequestFailed, action.Reason))
	}
}
