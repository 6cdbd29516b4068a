package router

// Timing of the periodic check, in microseconds.
const (
	sweepInterval = 1_000_000 // between two checks
	maxSweepDelay = 100_000   // a check with a longer delay cannot tell whether an event is overdue
)

// scheduleSweep sets the timer for the next periodic check.
func (r *Router) scheduleSweep() {
	r.sweepDue = r.m.Now() + sweepInterval
	r.sweepTimer = r.m.At(r.sweepDue, r.sweep)
}

// sweep performs the periodic work, once per sweepInterval while the router serves or drains: it closes idle connections, updates
// the router count, logs the event counters, and checks the contract.
func (r *Router) sweep() {
	r.pool.Sweep()
	r.updateRouterCount() // a hold time may have expired
	if now := r.m.Now(); now-r.countersWrittenAt >= r.cfg.Events.Counters.Microseconds() {
		r.countersWrittenAt = now
		r.events.WriteCounters()
	}
	r.ProcessEvents()
	// After a pause of the loop, work that was due during the pause is handled after this check, so that its events would wrongly
	// look overdue.
	if r.m.Now()-r.sweepDue <= maxSweepDelay {
		r.repairContract()
		r.ProcessEvents()
	}
	r.scheduleSweep()
}
