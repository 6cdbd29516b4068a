package decide

const (
	// connectionsPerCost is the number of open connections at a cache that ConnectionCost is the price of.
	connectionsPerCost = 100
	// frequentUse is how many times the mean use a cache has from where its connection is kept open in low
	// traffic per router.
	frequentUse = 2
)

// closeIdleConnections closes the idle connections to a cache where they cost more than they save.
func (r *Router) closeIdleConnections(c *cache) {
	if c.inFlight == 0 && r.caches[c.ID] == c && r.idleConnectionCostsMore(c) {
		r.emit(CloseIdle{c.ID})
	}
}

// idleConnectionCostsMore reports whether an idle connection to the cache costs more than the dial that it
// saves. Every router keeps one, so that it costs Routers/100 times ConnectionCost. A cache that is used more
// than others saves more dials. Where the connections fill the table of the cache, they take it more work
// than dials do, and the cost rises with the cube.
//
// Low traffic per router: the connection is closed unless the cache is used much, whatever the costs, as a
// cache's table is limited even where connections have no price.
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
