package decide

const (
	// maxFailedConnections is the number of failed connections in a row from which a zone counts as
	// unreachable.
	maxFailedConnections = 3
	// zoneTrialsPerSlowStart is the number of trial requests to an unreachable zone in a slow-start window.
	zoneTrialsPerSlowStart = 4
)

// zone is what this router knows of the path to a zone. If the links to a zone are cut, a router that had to
// notice it at each cache separately would be too late.
type zone struct {
	failedConnections int  // failed connections in a row, to any cache of the zone
	trialAt           Time // an unreachable zone gets one request as a trial from then on
	latency           zoneLatency
}

// unreachable reports whether the zone gets no requests now.
func (z *zone) unreachable(now Time) bool { return z.outage() && now < z.trialAt }

func (z *zone) outage() bool { return z.failedConnections >= maxFailedConnections }

// postponeTrial sets the time of the next trial.
func (r *Router) postponeTrial(z *zone) {
	z.trialAt = r.now + r.settings.SlowStartWindow/zoneTrialsPerSlowStart
}

// connectionSucceeded notes that an attempt reached its cache.
func (r *Router) connectionSucceeded(c *cache) { c.zone.failedConnections = 0 }

// connectionFailed notes that an attempt did not reach its cache.
func (r *Router) connectionFailed(c *cache) {
	c.zone.failedConnections++
	if c.zone.failedConnections == maxFailedConnections {
		r.logZoneUnreachable(c.Zone)
	}
	r.postponeTrial(c.zone)
	if r.storm.Outage {
		c.sent.decrement(r.now, r.settings.OverloadWindow) // what did not arrive is no load
	}
}
