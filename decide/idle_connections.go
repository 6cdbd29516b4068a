package decide

const (
	// connectionsPerCost is the number of open connections at a cache to which ConnectionCost refers.
	connectionsPerCost = 100
	// frequentUse is the multiple of the mean use from which a cache's connection stays open in low traffic
	// per router.
	frequentUse = 2
)

// closeIdleConnections closes the idle connections to a cache if they cost more than they save.
func (r *Router) closeIdleConnections(c *cache) {
	if c.inFlight == 0 && r.caches[c.ID] == c && r.idleConnectionCostsMore(c) {
		r.emit(CloseIdle{c.ID})
	}
}

// idleConnectionCostsMore reports whether an idle connection to the cache costs more than the dial that it
// saves. Every router keeps one connection, so that an idle connection costs Routers/100 times
// ConnectionCost. A cache that is used more than others saves more dials. When the connections fill the
// connection table of the cache, they cause the cache more work than dials do, and the cost rises with the
// cube of the table's use.
//
// Low traffic per router: the connection is closed unless the cache is used frequently, regardless of the
// costs, because the connection table of a cache is limited even if connections have no cost.
func (r *Router) idleConnectionCostsMore(c *cache) bool {
	relativeUse := float64(c.attemptsSent-1) / float64(max(1, r.attemptsSent)) * float64(len(r.serving))
	if r.lowTraffic() && relativeUse < frequentUse {
		return true
	}
	tableUse := float64(r.settings.Routers) / connectionsPerCost
	cost := r.settings.ConnectionCost * tableUse
	if tableUse > 1 {
		cost *= tableUse * tableUse
	}
	return cost > r.settings.DialCost*relativeUse
}
