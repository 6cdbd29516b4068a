package decide

// InFlight returns the number of attempts that are out at a cache by the router's own count, for a comparison
// with what is on the sockets. It is 0 for a cache that is not listed, even while attempts are out there.
func (r *Router) InFlight(cache string) int {
	if c := r.caches[cache]; c != nil {
		return c.inFlight
	}
	return 0
}

// Open returns the number of requests that the router holds: those without a final answer, and those that
// still have an attempt out.
func (r *Router) Open() int { return len(r.requests) }
