package router

import (
	"errors"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
)

// maxEndpointsPerTurn is how many endpoints of a list the loop applies in one turn, so that a large list does not hold up
// requests.
const maxEndpointsPerTurn = 500

// Publish implements endpointsource.Owner: it applies what has changed in the merged endpoint list, removals and drains
// first.
func (r *Router) Publish(list endpoints.Publish) {
	if r.subset != nil {
		list = r.subset.restrict(list, r.logger)
	}
	r.pendingLists = append(r.pendingLists, list)
	if len(r.pendingLists) == 1 {
		r.applyNextPiece()
	}
}

// applyNextPiece applies the next piece of the oldest pending list, and leaves the rest to later turns.
func (r *Router) applyNextPiece() {
	list := &r.pendingLists[0]
	piece := *list
	if len(list.Endpoints) > maxEndpointsPerTurn {
		piece.Endpoints = list.Endpoints[:maxEndpointsPerTurn:maxEndpointsPerTurn]
		piece.Addresses = list.Addresses[:maxEndpointsPerTurn:maxEndpointsPerTurn]
		list.Endpoints = list.Endpoints[maxEndpointsPerTurn:]
		list.Addresses = list.Addresses[maxEndpointsPerTurn:]
		list.Kind = decide.DeltaUpdate
	} else {
		r.pendingLists = r.pendingLists[1:]
	}
	if len(r.pendingLists) > 0 {
		r.m.Post(func() {
			r.applyNextPiece()
			r.ProcessEvents()
		})
	} else {
		r.pendingLists = nil
	}
	r.applyList(piece)
}

// applyList hands a list, or a piece of one, to the module and to the pool.
func (r *Router) applyList(list endpoints.Publish) {
	listedStarts := make([]Time, len(list.Endpoints))
	for i := range list.Endpoints {
		listedStarts[i] = list.Endpoints[i].StartedAt
		r.convertStart(&list.Endpoints[i])
	}
	// The event is queued before the pool ends attempts: the module would otherwise receive their results first, and send
	// them to the same cache again.
	r.queueEvent(&decide.EndpointList{Kind: list.Kind, Endpoints: list.Endpoints})
	wasServing := r.hasServingEndpoint()
	for i, entry := range list.Endpoints {
		if entry.Status == decide.Removed {
			r.removeEndpoint(entry.ID)
		} else {
			r.updateEndpoint(entry, listedStarts[i], list.Addresses[i])
		}
	}
	r.notifyHooksOfList()
	if wasServing && !r.hasServingEndpoint() {
		r.logger.Warn("no serving endpoint left", "listed", len(r.endpoints))
	}
}

// removeEndpoint takes a cache out of the list.
func (r *Router) removeEndpoint(id string) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	delete(r.endpoints, id)
	r.pool.Update(id, e.address, false, true)
}

// updateEndpoint adds a cache to the list, or changes it there. A drain may come without an address.
func (r *Router) updateEndpoint(entry decide.Endpoint, listedStart Time, address string) {
	e := r.endpoints[entry.ID]
	if e == nil {
		e = &listedEndpoint{}
		r.endpoints[entry.ID] = e
	}
	if address != "" {
		e.address = address
	}
	if listedStart != e.listedStart {
		r.pool.CacheRestarted(entry.ID)
	}
	e.entry, e.listedStart = entry, listedStart
	r.pool.Update(entry.ID, e.address, entry.Status == decide.Serving, false)
}

// convertStart puts the start of a cache, which the list gives by the system's clock, on the loop's clock. It converts each
// start once: when the system's clock steps, a start that is converted again would make a warm cache look as if it had just
// started, or the other way round.
func (r *Router) convertStart(entry *decide.Endpoint) {
	listedStart := entry.StartedAt
	if listedStart <= 0 {
		return
	}
	if e := r.endpoints[entry.ID]; e != nil && e.listedStart == listedStart {
		entry.StartedAt = e.entry.StartedAt
		return
	}
	entry.StartedAt = max(1, r.m.Now()-r.age(listedStart))
}

// age returns how long ago something started that the list dates by another machine's clock.
//
// Two clocks of this machine may agree with that one: the system's as it is now, and the system's as it was when this process
// began. Either may be wrong by a step. The smaller age counts, so that a cache that has just started is never taken for a
// warm one, unless it is negative: nothing has started in the future.
func (r *Router) age(start Time) Time {
	bySystemClock, byProcessClock := r.m.Wall()-start, r.m.Now()-start
	smaller, larger := min(bySystemClock, byProcessClock), max(bySystemClock, byProcessClock)
	if smaller >= 0 {
		return smaller
	}
	return max(0, larger)
}

// DiscoveryAnswered implements endpointsource.Owner: the module learns that discovery answers also where nothing has
// changed.
func (r *Router) DiscoveryAnswered() {
	r.queueEvent(&decide.EndpointList{Kind: decide.DeltaUpdate})
	r.resumeWhenCurrent()
}

// DiscoveryFailed implements endpointsource.Owner: the module says when to watch again.
func (r *Router) DiscoveryFailed(err error) {
	r.queueEvent(&decide.EndpointList{Kind: decide.FailedUpdate, Rejected: errors.Is(err, discovery.ErrOverloaded)})
}
