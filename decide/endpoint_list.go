package decide

import "starlingwinch/internal/retry"

// listWatch is the watch of the endpoint list.
type listWatch struct {
	received int          // lists received, failed updates not counted
	pacer    *retry.Pacer // of calls for the list
	// random is a stream of its own for the calls, so that other draws don't depend on how many calls there
	// are.
	random    randomSource
	nextWatch int64 // timer of the next call
}

// handleEndpointList takes in a list, or that a call for it failed.
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

// start begins what goes on for the life of the router. It is called with the first list.
func (r *Router) start() {
	if r.settings.WatchRequired {
		r.watchAfter(r.list.pacer.Start(r.list.random.next()))
	}
	r.runAt(r.now, r.rotateCachedKeys)
	r.runAt(r.now, r.rotateKeyCounts)
}

// removeUnlisted removes the caches that the present list leaves out.
func (r *Router) removeUnlisted() {
	for _, c := range r.caches { // any order: each by itself
		if c.listedBy != r.list.received {
			c.Status = Removed
			r.updatePlacement(c)
		}
	}
}

// handleFailedUpdate calls for the list again, at a pace that discovery can serve to all routers.
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
	r.watchAfter(failure.Pause)
}

// watchAfter calls for the list after a pause, in place of a call that is scheduled.
func (r *Router) watchAfter(pause Time) {
	r.cancelTimers(r.list.nextWatch)
	if pause == 0 {
		r.emit(Watch{})
		return
	}
	r.list.nextWatch = r.schedule(r.now+pause, timer{run: func() { r.emit(Watch{}) }})
}

// updateEndpoint takes over one entry of a list.
func (r *Router) updateEndpoint(e Endpoint) {
	c := r.caches[e.ID]
	if c == nil {
		c = r.newCache()
		r.caches[e.ID] = c
	} else if e.StartedAt != c.StartedAt {
		r.processRestarted(c)
	}
	if r.settings.WeightsFollowLoad {
		// A weight that falls with the load would move keys, and they would miss. The largest one seen is
		// about the nominal one, which is the same for all routers.
		e.Weight = max(e.Weight, c.Weight)
	}
	c.Endpoint = e
	c.zone = r.zoneOf(e.Zone)
	if e.Weight <= 0 {
		c.Weight = defaultWeight
	}
	c.listedBy = r.list.received
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
