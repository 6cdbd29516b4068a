package standin

// DiscoveryUsage is how a service that works through calls one after the other has spent its time.
type DiscoveryUsage struct {
	Answering Time // on calls that it has admitted, and on the lines of its answers
	Rejecting Time // on calls that it has rejected
	// Idle is the time without work while a router that had called without an answer was waiting to call again.
	Idle Time

	Admitted int // calls that needed admission and got it
	Rejected int // calls that were rejected because there was too much work
	Failed   int // calls that were refused while the service was down
}

// Usage returns how the service has spent its time since it was made.
func (d *Discovery) Usage() DiscoveryUsage { return d.usage }

// recordIdleTime adds the time without work that a waiting router has left before the call that it makes now.
func (d *Discovery) recordIdleTime(c *caller) {
	if c == nil || c.unansweredSince == 0 {
		return
	}
	idleSince := max(d.busyUntil, d.reachableSince, c.unansweredSince)
	if now := d.m.Now(); now > idleSince {
		d.usage.Idle += now - idleSince
	}
}
