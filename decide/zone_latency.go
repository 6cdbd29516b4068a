package decide

// zoneLatencyWindow is the number of hits over which the latency of a zone rises to longer ones.
const zoneLatencyWindow = 48

// zoneLatency estimates the shortest latency of hits in a zone.
type zoneLatency struct {
	min        Time // falls at once and rises slowly; 0 before the first hit
	validUntil Time // paths may have been long for a while only, so that the zone is tried again then
}

func (l *zoneLatency) observe(latency, now, validity Time) {
	if l.min == 0 {
		l.min = latency
	}
	l.min = min(latency, l.min+(latency-l.min)/zoneLatencyWindow)
	l.validUntil = now + validity
}

// learnZoneLatency takes a served hit into the latency of its zone.
func (r *Router) learnZoneLatency(result *finishedAttempt) {
	if result.result == Served && !result.miss && !result.request.Write {
		result.cache.zone.latency.observe(result.elapsed, r.now, r.settings.SlowStartWindow)
	}
}

// tooDistant reports whether answers from a cache's zone, another one than the router's, are late even when
// the cache has little to do.
//
// Low traffic per router: it is never so otherwise. Connections can't be kept open there, and the time in
// which one to another zone comes up would be taken for overload.
func (r *Router) tooDistant(q *request, c *cache) bool {
	late := c.zone.latency.min >= q.class.responseTimeout() && r.now < c.zone.latency.validUntil
	return r.lowTraffic() && c.Zone != r.settings.Zone && late
}
