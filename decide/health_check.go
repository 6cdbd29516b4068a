package decide

const (
	// maxFailedHealthChecks is the number of consecutive failed health checks that make a cache unhealthy.
	maxFailedHealthChecks = 2
	// healthCheckCostPerRequest is the budget for health checks that each request earns, in points. The
	// number of checks grows with routers times caches, so a round is delayed until requests have paid for
	// it.
	healthCheckCostPerRequest = .01
	// lowTrafficHealthCheckFraction is the fraction of healthCheckCostPerRequest in low traffic per router,
	// where requests detect failures before health checks do.
	lowTrafficHealthCheckFraction = .25
	// maxGracesBetweenRounds is the number of drain graces after which a round starts even if the budget does
	// not cover it.
	maxGracesBetweenRounds = 64
)

// healthChecks is the state of the health check rounds. One round checks every serving cache.
type healthChecks struct {
	started         bool    // the first round is scheduled, because caches are known
	round           int     // number of the current round
	gracesSinceLast int     // drain graces since the last round
	budget          float64 // number of checks that requests have paid for
}

// healthState is the health check state of one cache.
type healthState struct {
	healthy      bool
	failures     int // consecutive failed checks
	pendingRound int // round of the check in flight; 0 if there is none
}

// startHealthChecks schedules the first round once caches are known. Random delays keep routers that start
// together from checking in step.
func (r *Router) startHealthChecks() {
	if !r.settings.AllowHealthChecks || r.healthChecks.started || len(r.serving) == 0 {
		return
	}
	r.healthChecks.started = true
	r.healthChecks.budget = r.random.next() * float64(len(r.serving))
	firstRound := Time(r.random.next() * float64(r.settings.DrainGrace))
	r.runAt(r.now+firstRound, r.beginHealthCheckRound)
}

// earnHealthChecks adds the budget that one request earns.
//
// Low traffic per router: the cost of a check includes that of the dial, because each check opens a
// connection. A request earns only lowTrafficHealthCheckFraction of healthCheckCostPerRequest.
func (r *Router) earnHealthChecks() {
	cost := r.settings.HealthCheckCost
	if r.lowTraffic() {
		cost = (cost + r.settings.DialCost) / lowTrafficHealthCheckFraction
	}
	// The minimum avoids a division by zero if checks cost nothing.
	r.healthChecks.budget += healthCheckCostPerRequest / max(cost, 1e-9)
}

// beginHealthCheckRound checks all serving caches if the budget covers the round. It runs once per drain
// grace.
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

// endHealthCheckRound counts checks without a result as failed. A cache with too many consecutive failures
// becomes unhealthy.
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

// healthCheckTimeout returns the timeout of a health check; µs.
func (r *Router) healthCheckTimeout() Time { return r.settings.DrainGrace / 2 }

// handleHealthCheckResult processes the result of a check whose round has not ended.
//
// Low traffic per router: the connection that the check has opened is closed, because few requests follow
// soon.
func (r *Router) handleHealthCheckResult(ev *HealthCheckResult) {
	c := r.caches[ev.Cache]
	if c == nil || c.health.pendingRound == 0 {
		return
	}
	c.health.pendingRound = 0
	if ev.Result == NotSent {
		return // the result says nothing about the cache
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
