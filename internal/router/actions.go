package router

import (
	"context"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
)

// maxRetainedEvents bounds the capacity of pendingEvents that is retained between two calls of ProcessEvents.
const maxRetainedEvents = 1024

// queueEvent queues an event for the module. ProcessEvents delivers it.
func (r *Router) queueEvent(event decide.Event) { r.pendingEvents = append(r.pendingEvents, event) }

// queueRequestEvent queues an event that ends an attempt or a request, and keeps the request's record until the module has
// received it. Otherwise the module could ask for one more attempt in between, whose result would never come.
func (r *Router) queueRequestEvent(q *request, event decide.Event) {
	q.undeliveredEvents++
	r.queueEvent(event)
}

// requestEventDelivered notes that the module has received an event of queueRequestEvent.
func (r *Router) requestEventDelivered(id int64) {
	if q := r.requests[id]; q != nil {
		q.undeliveredEvents--
		r.releaseRequest(q)
	}
}

// ProcessEvents delivers the pending events to the module, in order, and carries out its actions. Whoever queues events calls
// it in the same turn, once its own state is consistent. It implements the method of this name of frontend.Handler,
// upstream.Owner and endpointsource.Owner.
func (r *Router) ProcessEvents() {
	if r.dispatching {
		return // the call that is under way delivers what its actions have queued
	}
	if r.isStopped() {
		r.pendingEvents = r.pendingEvents[:0]
		return
	}
	if r.frontend != nil {
		r.pool.LendDescriptors(r.lendableDescriptors - r.frontend.Connections())
	}
	r.dispatching = true
	for i := 0; i < len(r.pendingEvents); i++ { // actions append to it
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

// deliver hands the module one event, carries out its actions, and does what follows from the module's knowing of it.
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

// perform carries out one action of the module.
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

// rejectRequest carries out a Reject.
func (r *Router) rejectRequest(action decide.Reject) {
	q := r.requests[action.ID]
	if q == nil {
		return
	}
	q.connectionLost = false // it ends for want of capacity, whatever broke before
	r.finishRequest(q, r.rejection(q, action.RetryAfter).because(eventlog.RequestRejected, action.Reason))
}

// failRequest carries out a Fail.
func (r *Router) failRequest(action decide.Fail) {
	if q := r.requests[action.ID]; q != nil {
		r.finishRequest(q, failure.because(eventlog.RequestFailed, action.Reason))
	}
}
