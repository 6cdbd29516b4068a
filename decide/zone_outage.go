package decide

const (
	// maxFailedConnections is the number of consecutive failed connections from which a zone counts as
	// unreachable.
	maxFailedConnections = 3
	// zoneTrialsPerSlowStart is the number of trial requests to an unreachable zone per slow-start window.
	zoneTrialsPerSlowStart = 4
)

// zone is the router's state for the path to a zone. If the links to a zone are cut, detection at each cache
// separately would be too late.
type zone struct {
	failedConnections int  // consecutive failed connections, to any cache of the zone
	trialAt           Time // when an unreachable zone receives its next trial request
	latency           zoneLatency
}

// unreachable reports whether the zone currently receives no requests.
func (z *zone) unreachable(now Time) bool { return z.outage() && now < z.trialAt }

func (z *zone) outage() bool { return z.failedConnections >= maxFailedConnections }

// postponeTrial sets the time of the next trial request.
func (r *Router) postponeTrial(z *zone) {
	z.trialAt = r.now + r.settings.SlowStartWindow/zoneTrialsPerSlowStart
}

// connectionSucceeded records that an attempt reached its cache.
func (r *Router) connectionSucceeded(c *cache) { c.zone.failedConnections = 0 }

// connectionFailed records that an attempt did not reach its cache.
func (r *Router) connectionFailed(c *cache) {
	c.zone.failedConnections++
	if c.zone.failedConnections == maxFailedConnections {
		r.logZoneUnreachable(c.Zone)
	}
	r.postponeTrial(c.zone)
	if r.storm.Outage {
		c.sent.decrement(r.now, r.settings.OverloadWindow) // the attempt did not arrive and causes no load
	}
}
