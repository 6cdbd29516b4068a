package standin

// DiscoveryUsage is the time spent by a service that processes calls one at a time, and the counts of its calls.
type DiscoveryUsage struct {
	Answering Time // on admitted calls and on the lines of the answers
	Rejecting Time // on rejected calls
	// Idle is the time without work during which a router whose call got no answer waited to call again.
	Idle Time

	Admitted int // calls that needed admission and were admitted
	Rejected int // calls rejected because of overload
	Failed   int // calls refused while the service was down
}

// Usage returns the time spent and the counts of calls since the service was created.
func (d *Discovery) Usage() DiscoveryUsage { return d.usage }

// recordIdleTime adds the service's idle time between a router's last unanswered call and its present call.
func (d *Discovery) recordIdleTime(c *caller) {
	if c == nil || c.unansweredSince == 0 {
		return
	}
	idleSince := max(d.busyUntil, d.reachableSince, c.unansweredSince)
	if now := d.m.Now(); now > idleSince {
		d.usage.Idle += now - idleSince
	}
}
