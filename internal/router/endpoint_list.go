package router

import (
	"errors"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
)

// maxEndpointsPerTurn is the number of endpoints of a list that the loop applies in one turn, so that a large list does not delay
// requests.
const maxEndpointsPerTurn = 500

// Publish implements endpointsource.Owner: it applies a change to the merged endpoint list. Removals and drains come first in it.
func (r *Router) Publish(list endpoints.Publish) {
	if r.subset != nil {
		list = r.subset.restrict(list, r.logger)
	}
	r.pendingLists = append(r.pendingLists, list)
	if len(r.pendingLists) == 1 {
		r.applyNextPiece()
	}
}

// applyNextPiece applies the next maxEndpointsPerTurn endpoints of the oldest pending list, and schedules the remaining ones for
// later turns.
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

// applyList applies a list, or a piece of one, to the module and the connection pool.
func (r *Router) applyList(list endpoints.Publish) {
	listedStarts := make([]Time, len(list.Endpoints))
	for i := range list.Endpoints {
		listedStarts[i] = list.Endpoints[i].StartedAt
		r.convertStart(&list.Endpoints[i])
	}
	// The event is queued before the pool ends attempts. Otherwise the module would receive the results of these attempts first
	// and retry at the same cache.
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

// removeEndpoint removes a cache from the list and the pool.
func (r *Router) removeEndpoint(id string) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	delete(r.endpoints, id)
	r.pool.Update(id, e.address, false, true)
}

// updateEndpoint adds a cache to the list, or updates its entry. An update that drains a cache may omit the address.
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

// convertStart converts a cache's start time from the system clock, which the list uses, to the loop's clock. It converts each
// start time only once: if the system clock stepped in between, a second conversion could make a warm cache look newly started,
// or a newly started cache look warm.
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

// age returns the time since a cache's start, which the list gives by another machine's clock.
//
// Two clocks of this machine may agree with the other machine's clock: the current system clock, and the system clock as of the
// start of this process, which the loop's clock continues. Either may be wrong by a clock step. The smaller age counts, so that a
// newly started cache is not mistaken for a warm one if either clock agrees. A negative age counts only if both are negative, and
// then as 0, because no start lies in the future.
func (r *Router) age(start Time) Time {
	bySystemClock, byProcessClock := r.m.Wall()-start, r.m.Now()-start
	smaller, larger := min(bySystemClock, byProcessClock), max(bySystemClock, byProcessClock)
	if smaller >= 0 {
		return smaller
	}
	return max(0, larger)
}

// DiscoveryAnswered implements endpointsource.Owner: it notifies the module that discovery has answered, even without a change.
func (r *Router) DiscoveryAnswered() {
	r.queueEvent(&decide.EndpointList{Kind: decide.DeltaUpdate})
	r.resumeWhenCurrent()
}

// DiscoveryFailed implements endpointsource.Owner: it notifies the module, which decides when to watch again.
func (r *Router) DiscoveryFailed(err error) {
	r.queueEvent(&decide.EndpointList{Kind: decide.FailedUpdate, Rejected: errors.Is(err, discovery.ErrOverloaded)})
}
