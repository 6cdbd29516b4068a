package router

// Bounds of the periodic check, in microseconds.
const (
	sweepInterval = 1_000_000 // between two checks
	maxSweepDelay = 100_000   // a check that comes later than that proves nothing about what is overdue
)

// scheduleSweep sets the timer for the next periodic check.
func (r *Router) scheduleSweep() {
	r.sweepDue = r.m.Now() + sweepInterval
	r.sweepTimer = r.m.At(r.sweepDue, r.sweep)
}

// sweep does, once in sweepInterval while the router serves or drains, what no event calls for: it closes idle
// connections, brings the router count up to date, logs the event counters, and checks the contract.
func (r *Router) sweep() {
	r.pool.Sweep()
	r.updateRouterCount() // its hold time may be over
	if now := r.m.Now(); now-r.countersWrittenAt >= r.cfg.Events.Counters.Microseconds() {
		r.countersWrittenAt = now
		r.events.WriteCounters()
	}
	r.ProcessEvents()
	// After a pause of the loop, what was due meanwhile is handled after this check, and only seems to be overdue.
	if r.m.Now()-r.sweepDue <= maxSweepDelay {
		r.repairContract()
		r.ProcessEvents()
	}
	r.scheduleSweep()
}
