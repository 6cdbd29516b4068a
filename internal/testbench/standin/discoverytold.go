package standin

// What routers count as told. An answer tells what it says as it is written. Beside that, a change counts as told to a router
// that has neither waited nor asked for PollInterval, and to every router ToldAfter after the list had it and could be reached,
// whatever became of their calls.

// Forget forgets what a router was told: it has started anew, and knows nothing.
func (d *Discovery) Forget(router string) {
	delete(d.told, router)
	if c := d.callers[router]; c != nil {
		c.last = d.m.Now()
	}
	if d.o.Pushed {
		d.push(router)
	}
}

// push has an agent get the list.
func (d *Discovery) push(router string) {
	if d.bad != "" {
		return // what can't be read tells nothing
	}
	for _, l := range d.lines {
		d.tell(router, l)
	}
}

// listed reports what an answer has told a router: what is new to it, and in a whole list also what
// is not on it any more.
func (d *Discovery) listed(router string, after int64, whole bool) {
	if d.bad != "" {
		return // what can't be read tells nothing
	}
	for _, l := range d.lines {
		if whole || l.version > after {
			d.tell(router, l)
		}
	}
}

// said is what a router was told of a cache.
type said struct {
	works bool
	since Time
}

func (d *Discovery) tell(router string, l *line) {
	told := d.told[router]
	if told == nil {
		told = map[string]said{}
		d.told[router] = told
	}
	was, known := told[l.Name]
	if !known && l.Status == Terminated {
		return
	}
	is := said{l.Status == InService, l.Since}
	told[l.Name] = is
	if l.Since > 0 && was.since != l.Since {
		d.obs.StartNotified(d.m.Now(), router, l.Name, l.Since)
	}
	if !known || was.works != is.works {
		d.obs.Listed(d.m.Now(), router, l.Name, is.works)
	}
}

// overdue tells the list to a router that neither waits nor asks, once it should have.
func (d *Discovery) overdue(router string) {
	c := d.callers[router]
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if d.o.AskEvery == 0 || d.o.Pushed || c.waiting > 0 {
		return
	}
	if due := c.last + d.o.AskEvery; d.m.Now() < due {
		c.timer = d.m.At(due, func() { d.overdue(router) })
		return
	}
	for _, l := range d.lines {
		d.tell(router, l)
	}
}

// tellAll tells each router what the list has had for ToldAfter while that router could reach it.
func (d *Discovery) tellAll() {
	d.toldTimer = nil
	if d.down || d.silent || d.bad != "" {
		return // begun anew with the return
	}
	now, next := d.m.Now(), Time(0)
	for _, r := range d.o.Routers {
		since, reached := d.reachable(r)
		if !reached {
			next = earlier(next, now+d.o.ToldAfter)
			continue
		}
		for _, l := range d.lines {
			if due := max(since, l.changed) + d.o.ToldAfter; due <= now {
				d.tell(r, l)
			} else {
				next = earlier(next, due)
			}
		}
	}
	if next > 0 {
		d.toldTimer = d.m.At(next, d.tellAll)
	}
}

// tellLost tells routers whose watches fell silent ToldAfter ago all that the list has.
func (d *Discovery) tellLost(routers []string) {
	for _, r := range routers {
		if !d.reachedFor(r, d.o.ToldAfter) {
			continue
		}
		for _, l := range d.lines {
			d.tell(r, l)
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
	if d.down || d.silent || d.bad != "" {
		return 0, false
	}
	if d.o.Reachable == nil {
		return d.reachableSince, true
	}
	since, now = d.o.Reachable(router)
	return max(since, d.reachableSince), now
}

// earlier is the first of two instants, of which 0 is none.
func earlier(a, b Time) Time {
	if a == 0 || b < a {
		return b
	}
	return a
}

// tellLater sees to it that what the list has now is told to all in time.
func (d *Discovery) tellLater() {
	if d.o.ToldAfter == 0 || d.o.Pushed || d.toldTimer != nil {
		return
	}
	d.toldTimer = d.m.At(d.m.Now()+d.o.ToldAfter, d.tellAll)
}

// returned notes that calls can be answered again.
func (d *Discovery) returned() {
	d.reachableSince = d.m.Now()
	d.tellLater()
}
