package decide

// What a Router says of its own counts, for whoever compares them with what is on the sockets. It
// changes nothing and decides nothing.

// InFlight is the number of attempts that are out at a cache by the router's own count: those
// that have had no Outcome. It is 0 for a cache that is not listed, also while attempts are out there.
func (r *Router) InFlight(cache string) int {
	if c := r.caches[cache]; c != nil {
		return c.pending
	}
	return 0
}

// Open is the number of requests that the router holds: those without a final answer, and those
// over that still have an attempt out.
func (r *Router) Open() int { return len(r.reqs) }
