package decide

// zoneLatencyWindow is the number of hits over which the latency of a zone rises towards longer latencies.
const zoneLatencyWindow = 48

// zoneLatency estimates the shortest latency of hits in a zone.
type zoneLatency struct {
	min        Time // decreases at once and increases slowly; 0 before the first hit
	validUntil Time // the zone is then tried again, as its latency may have been temporary
}

func (l *zoneLatency) observe(latency, now, validity Time) {
	if l.min == 0 {
		l.min = latency
	}
	l.min = min(latency, l.min+(latency-l.min)/zoneLatencyWindow)
	l.validUntil = now + validity
}

// recordZoneLatency updates the latency of a zone with a served hit.
func (r *Router) recordZoneLatency(result *finishedAttempt) {
	if result.result == Served && !result.miss && !result.request.Write {
		result.cache.zone.latency.observe(result.elapsed, r.now, r.settings.SlowStartWindow)
	}
}

// tooDistant reports whether the cache is in a zone other than the router's whose answers are late even under
// low load.
//
// Low traffic per router: tooDistant is always false in other modes. In this mode connections cannot be kept
// open, and the time to establish a connection to another zone would count as overload.
func (r *Router) tooDistant(q *request, c *cache) bool {
	late := c.zone.latency.min >= q.class.responseTimeout() && r.now < c.zone.latency.validUntil
	return r.lowTraffic() && c.Zone != r.settings.Zone && late
}
