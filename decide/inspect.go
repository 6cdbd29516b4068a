package decide

// InFlight returns the router's own count of attempts in flight at a cache, for comparison with the state of
// the sockets. It returns 0 for a cache that is not listed, even if attempts are still in flight there.
func (r *Router) InFlight(cache string) int {
	if c := r.caches[cache]; c != nil {
		return c.inFlight
	}
	return 0
}

// OpenRequests returns the number of requests that the router tracks: requests without a final answer, and requests
// that still have an attempt in flight.
func (r *Router) OpenRequests() int { return len(r.requests) }
