package standin

// A router counts as notified of an answer's content when the answer is written. It also counts as notified of a
// change once it has had no open call for PollInterval, and NotifiedAfter after the list had the change and was
// reachable, regardless of the outcome of its calls.

// Forget drops the record of what a router was notified of, because the router's process has restarted.
func (d *Discovery) Forget(router string) {
	delete(d.notified, router)
	if c := d.callers[router]; c != nil {
		c.lastCall = d.m.Now()
	}
	if d.options.Pushed {
		d.notifyPushed(router)
	}
}

// notifyPushed notifies a router of the whole list, like an agent that pushes the list.
func (d *Discovery) notifyPushed(router string) {
	if d.badEntry != "" {
		return // a malformed list notifies of nothing
	}
	for _, l := range d.entries {
		d.notify(router, l)
	}
}

// notifyAnswered notifies a router of what an answer said: the changes after a version, or the whole list.
func (d *Discovery) notifyAnswered(router string, after int64, whole bool) {
	if d.badEntry != "" {
		return // a malformed list notifies of nothing
	}
	for _, l := range d.entries {
		if whole || l.version > after {
			d.notify(router, l)
		}
	}
}

// notifiedState is the state of a cache that a router was last notified of.
type notifiedState struct {
	serving bool
	since   Time
}

// notify reports to the observer that a router is notified of an entry, if the entry has changed for the router.
func (d *Discovery) notify(router string, l *listEntry) {
	states := d.notified[router]
	if states == nil {
		states = map[string]notifiedState{}
		d.notified[router] = states
	}
	previous, known := states[l.Name]
	if !known && l.Status == Terminated {
		return
	}
	current := notifiedState{l.Status == InService, l.Since}
	states[l.Name] = current
	if l.Since > 0 && previous.since != l.Since {
		d.observer.StartNotified(d.m.Now(), router, l.Name, l.Since)
	}
	if !known || previous.serving != current.serving {
		d.observer.Listed(d.m.Now(), router, l.Name, current.serving)
	}
}

// notifyOverdue notifies a router of the list once it has had no open call for the poll interval.
func (d *Discovery) notifyOverdue(router string) {
	c := d.callers[router]
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if d.options.PollInterval == 0 || d.options.Pushed || c.openCalls > 0 {
		return
	}
	due := c.lastCall + d.options.PollInterval
	if d.m.Now() < due {
		c.timer = d.m.At(due, func() { d.notifyOverdue(router) })
		return
	}
	for _, l := range d.entries {
		d.notify(router, l)
	}
}

// notifyAll notifies each router of the entries that it could have read for NotifiedAfter.
func (d *Discovery) notifyAll() {
	d.notifyTimer = nil
	if d.down || d.silent || d.badEntry != "" {
		return // markReachable schedules it again
	}
	now, next := d.m.Now(), Time(0)
	for _, r := range d.options.Routers {
		since, reached := d.reachable(r)
		if !reached {
			next = earlierOf(next, now+d.options.NotifiedAfter)
			continue
		}
		for _, l := range d.entries {
			due := max(since, l.changedAt) + d.options.NotifiedAfter
			if due <= now {
				d.notify(r, l)
			} else {
				next = earlierOf(next, due)
			}
		}
	}
	if next > 0 {
		d.notifyTimer = d.m.At(next, d.notifyAll)
	}
}

// notifyLostWatches notifies routers whose watches were lost NotifiedAfter ago of the whole list.
func (d *Discovery) notifyLostWatches(routers []string) {
	for _, r := range routers {
		if !d.reachedFor(r, d.options.NotifiedAfter) {
			continue
		}
		for _, l := range d.entries {
			d.notify(r, l)
		}
	}
}

// reachedFor reports whether a router has been able to reach the list for at least span.
func (d *Discovery) reachedFor(router string, span Time) bool {
	since, reached := d.reachable(router)
	return reached && since+span <= d.m.Now()
}

// reachable returns since when a router can reach the list, and whether it can now.
func (d *Discovery) reachable(router string) (since Time, now bool) {
	if d.down || d.silent || d.badEntry != "" {
		return 0, false
	}
	if d.options.Reachable == nil {
		return d.reachableSince, true
	}
	since, now = d.options.Reachable(router)
	return max(since, d.reachableSince), now
}

// earlierOf returns the earlier of two instants; 0 for a means no instant.
func earlierOf(a, b Time) Time {
	if a == 0 || b < a {
		return b
	}
	return a
}

// scheduleNotifyAll sets the timer of notifyAll, unless it is set.
func (d *Discovery) scheduleNotifyAll() {
	if d.options.NotifiedAfter == 0 || d.options.Pushed || d.notifyTimer != nil {
		return
	}
	d.notifyTimer = d.m.At(d.m.Now()+d.options.NotifiedAfter, d.notifyAll)
}

// markReachable records that calls can be answered again.
func (d *Discovery) markReachable() {
	d.reachableSince = d.m.Now()
	d.scheduleNotifyAll()
}
