package decide

import "starlingwinch/internal/retry"

// listWatch is the state of the watch on the endpoint list.
type listWatch struct {
	received int          // number of lists received, without failed updates
	pacer    *retry.Pacer // spaces out the calls for the list
	// random is a separate stream for the calls, so that the number of calls does not affect other random
	// draws.
	random    randomSource
	nextWatch int64 // timer token of the next call
}

// handleEndpointList applies an endpoint list, or handles the failure of a call for the list.
func (r *Router) handleEndpointList(ev *EndpointList) {
	if ev.Kind == FailedUpdate {
		r.handleFailedUpdate(ev.Rejected)
		return
	}
	if ev.Kind != StaleUpdate {
		r.list.pacer.Answered()
	}
	r.list.received++
	for _, e := range ev.Endpoints {
		r.updateEndpoint(e)
	}
	if ev.Kind != DeltaUpdate {
		r.removeUnlisted()
	}
	r.origin.initialize(len(r.serving), r.settings.Routers)
	if r.list.received == 1 {
		r.start()
	}
	r.startHealthChecks()
}

// start starts the watch, if one is required, and the periodic tasks. It is called with the first list.
func (r *Router) start() {
	if r.settings.WatchRequired {
		r.watchAfter(r.list.pacer.StartDelay(r.list.random.next()))
	}
	r.runAt(r.now, r.rotateCachedKeys)
	r.runAt(r.now, r.rotateKeyCounts)
}

// removeUnlisted removes the caches that are missing from the current list.
func (r *Router) removeUnlisted() {
	for _, c := range r.caches { // any order: the caches are independent
		if c.lastListNumber != r.list.received {
			c.Status = Removed
			r.updatePlacement(c)
		}
	}
}

// handleFailedUpdate calls for the list again, at a rate that discovery can serve to all routers.
func (r *Router) handleFailedUpdate(rejected bool) {
	var failure retry.Failure
	if rejected {
		failure = r.list.pacer.Rejected(r.now, r.list.random.next())
	} else {
		failure = r.list.pacer.Failed(r.now, r.list.random.next())
	}
	if failure.First {
		r.logListLost()
	}
	if failure.Overdue {
		r.logListUnavailable(failure)
	}
	r.watchAfter(failure.Delay)
}

// watchAfter calls for the list after a pause, and replaces a call that is already scheduled.
func (r *Router) watchAfter(pause Time) {
	r.cancelTimers(r.list.nextWatch)
	if pause == 0 {
		r.emit(Watch{})
		return
	}
	r.list.nextWatch = r.schedule(r.now+pause, timer{run: func() { r.emit(Watch{}) }})
}

// updateEndpoint applies one entry of a list.
func (r *Router) updateEndpoint(e Endpoint) {
	c := r.caches[e.ID]
	if c == nil {
		c = r.newCache()
		r.caches[e.ID] = c
	} else if e.StartedAt != c.StartedAt {
		r.processRestarted(c)
	}
	if r.settings.WeightsFollowLoad {
		// Weights that decrease with the load would move keys to other caches, where they miss. The largest
		// weight seen is close to the nominal weight, which is the same for all routers.
		e.Weight = max(e.Weight, c.Weight)
	}
	c.Endpoint = e
	c.zone = r.zoneOf(e.Zone)
	if e.Weight <= 0 {
		c.Weight = defaultWeight
	}
	c.lastListNumber = r.list.received
	r.updatePlacement(c)
	c.slowStart.begin(e.StartedAt, r.now, r.settings.SlowStartWindow)
}

func (r *Router) zoneOf(name string) *zone {
	z := r.zones[name]
	if z == nil {
		z = &zone{}
		r.zones[name] = z
	}
	return z
}
