package decide

const (
	// maxFailedHealthChecks is the number of failed health checks in a row that make a cache unhealthy.
	maxFailedHealthChecks = 2
	// healthCheckCostPerRequest is what health checks may cost for each request, in points. Checks grow with
	// routers times caches, so a round is delayed until requests have paid for it.
	healthCheckCostPerRequest = .01
	// lowTrafficHealthCheckFraction is the fraction of healthCheckCostPerRequest in low traffic per router,
	// where requests have found out first what checks would.
	lowTrafficHealthCheckFraction = .25
	// maxGracesBetweenRounds is the number of drain graces after which a round begins even if it is not paid
	// for.
	maxGracesBetweenRounds = 64
)

// healthChecks are the rounds of health checks. One round checks every serving cache.
type healthChecks struct {
	started         bool    // the first round is scheduled: caches are known
	round           int     // number of the present round
	gracesSinceLast int     // drain graces since the last round
	budget          float64 // checks that requests have paid for
}

// healthState is what health checks know of one cache.
type healthState struct {
	healthy      bool
	failures     int // failed checks in a row
	pendingRound int // round whose check is out; 0 if none is
}

// startHealthChecks schedules the first round once caches are known. Routers that start together don't check
// in step.
func (r *Router) startHealthChecks() {
	if !r.settings.AllowHealthChecks || r.healthChecks.started || len(r.serving) == 0 {
		return
	}
	r.healthChecks.started = true
	r.healthChecks.budget = r.random.next() * float64(len(r.serving))
	firstRound := Time(r.random.next() * float64(r.settings.DrainGrace))
	r.runAt(r.now+firstRound, r.beginHealthCheckRound)
}

// earnHealthChecks adds what one request pays for.
//
// Low traffic per router: a check opens a connection, which is paid for too.
func (r *Router) earnHealthChecks() {
	cost := r.settings.HealthCheckCost
	if r.lowTraffic() {
		cost = (cost + r.settings.DialCost) / lowTrafficHealthCheckFraction
	}
	r.healthChecks.budget += healthCheckCostPerRequest / max(cost, 1e-9)
}

// beginHealthCheckRound checks all serving caches if the round is paid for. It runs once in each drain grace.
func (r *Router) beginHealthCheckRound() {
	h := &r.healthChecks
	r.runAt(r.now+r.settings.DrainGrace, r.beginHealthCheckRound)
	h.gracesSinceLast++
	if h.budget < float64(len(r.serving)) && h.gracesSinceLast < maxGracesBetweenRounds {
		return
	}
	h.budget, h.gracesSinceLast = 0, 0
	h.round++
	round := h.round
	for _, c := range r.serving {
		c.health.pendingRound = round
		r.emit(HealthCheck{c.ID})
	}
	r.runAt(r.now+r.healthCheckTimeout(), func() { r.endHealthCheckRound(round) })
}

// endHealthCheckRound counts the checks without a result as failed, and marks the caches that failed too
// often.
func (r *Router) endHealthCheckRound(round int) {
	for _, c := range r.serving {
		if c.health.pendingRound == round {
			c.health.pendingRound = 0
			c.health.failures++
		}
		if c.health.healthy && c.health.failures >= maxFailedHealthChecks {
			c.health.healthy = false
			r.logCacheUnhealthy(c)
		}
	}
}

// healthCheckTimeout is how long a health check may take; µs.
func (r *Router) healthCheckTimeout() Time { return r.settings.DrainGrace / 2 }

// handleHealthCheckResult takes in the result of a check whose round has not ended.
//
// Low traffic per router: the connection that the check has opened is closed, as few requests come soon.
func (r *Router) handleHealthCheckResult(ev *HealthCheckResult) {
	c := r.caches[ev.Cache]
	if c == nil || c.health.pendingRound == 0 {
		return
	}
	c.health.pendingRound = 0
	if ev.Result == NotSent {
		return // this says nothing of the cache
	}
	if r.lowTraffic() {
		r.closeIdleConnections(c)
	}
	if ev.Result != Served {
		c.health.failures++
		return
	}
	c.health.failures = 0
	if !c.health.healthy {
		c.health.healthy = true
		r.logCacheHealthy(c)
	}
}
