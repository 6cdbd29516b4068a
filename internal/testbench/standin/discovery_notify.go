package standin

// What routers count as told. An answer tells what it says as it is written. Beside that, a change counts as told to a router
// that has neither waited nor asked for PollInterval, and to every router NotifiedAfter after the list had it and could be reached,
// whatever became of their calls.

// Forget forgets what a router was told: it has started anew, and knows nothing.
func (d *Discovery) Forget(router string) {
	delete(d.notified, router)
	if c := d.callers[router]; c != nil {
		c.lastCall = d.m.Now()
	}
	if d.options.Pushed {
		d.notifyPushed(router)
	}
}

// notifyPushed has an agent get the list.
func (d *Discovery) notifyPushed(router string) {
	if d.badEntry != "" {
		return // what can't be read tells nothing
	}
	for _, l := range d.entries {
		d.notify(router, l)
	}
}

// notifyAnswered reports what an answer has told a router: what is new to it, and in a whole list also what
// is not on it any more.
func (d *Discovery) notifyAnswered(router string, after int64, whole bool) {
	if d.badEntry != "" {
		return // what can't be read tells nothing
	}
	for _, l := range d.entries {
		if whole || l.version > after {
			d.notify(router, l)
		}
	}
}

// notifiedState is what a router was told of a cache.
type notifiedState struct {
	serving bool
	since   Time
}

func (d *Discovery) notify(router string, l *listEntry) {
	told := d.notified[router]
	if told == nil {
		told = map[string]notifiedState{}
		d.notified[router] = told
	}
	was, known := told[l.Name]
	if !known && l.Status == Terminated {
		return
	}
	is := notifiedState{l.Status == InService, l.Since}
	told[l.Name] = is
	if l.Since > 0 && was.since != l.Since {
		d.observer.StartNotified(d.m.Now(), router, l.Name, l.Since)
	}
	if !known || was.serving != is.serving {
		d.observer.Listed(d.m.Now(), router, l.Name, is.serving)
	}
}

// notifyOverdue tells the list to a router that neither waits nor asks, once it should have.
func (d *Discovery) notifyOverdue(router string) {
	c := d.callers[router]
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if d.options.PollInterval == 0 || d.options.Pushed || c.openCalls > 0 {
		return
	}
	if due := c.lastCall + d.options.PollInterval; d.m.Now() < due {
		c.timer = d.m.At(due, func() { d.notifyOverdue(router) })
		return
	}
	for _, l := range d.entries {
		d.notify(router, l)
	}
}

// notifyAll tells each router what the list has had for NotifiedAfter while that router could reach it.
func (d *Discovery) notifyAll() {
	d.notifyTimer = nil
	if d.down || d.silent || d.badEntry != "" {
		return // begun anew with the return
	}
	now, next := d.m.Now(), Time(0)
	for _, r := range d.options.Routers {
		since, reached := d.reachable(r)
		if !reached {
			next = earlierOf(next, now+d.options.NotifiedAfter)
			continue
		}
		for _, l := range d.entries {
			if due := max(since, l.changedAt) + d.options.NotifiedAfter; due <= now {
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

// notifyLostWatches tells routers whose watches fell silent NotifiedAfter ago all that the list has.
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

// reachedFor reports whether a router has had a way to the list for so long.
func (d *Discovery) reachedFor(router string, span Time) bool {
	since, reached := d.reachable(router)
	return reached && since+span <= d.m.Now()
}

// reachable tells since when a router can reach the list, and whether it can now.
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

// earlierOf is the first of two instants, of which 0 is none.
func earlierOf(a, b Time) Time {
	if a == 0 || b < a {
		return b
	}
	return a
}

// scheduleNotifyAll sees to it that what the list has now is told to all in time.
func (d *Discovery) scheduleNotifyAll() {
	if d.options.NotifiedAfter == 0 || d.options.Pushed || d.notifyTimer != nil {
		return
	}
	d.notifyTimer = d.m.At(d.m.Now()+d.options.NotifiedAfter, d.notifyAll)
}

// markReachable notes that calls can be answered again.
func (d *Discovery) markReachable() {
	d.reachableSince = d.m.Now()
	d.scheduleNotifyAll()
}
