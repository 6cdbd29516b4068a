package frontend

import "starlingwinch/internal/machine"

// state is what a client is doing. The clients in one state stand in the order in which they came into it, so
// that the one that is overdue first stands first, and no client needs a timer of its own.
type state uint8

const (
	fresh   state = iota // has not sent a byte yet
	partial              // a command has begun and is not whole
	idle                 // between commands, nothing is due
	busy                 // answers are due
	stuck                // does not read its answers
	surplus              // one too many: it is turned away as soon as it asks
	closing              // was told why it is closed, and has time to read that
	states
)

var stateNames = [states]string{"fresh", "partial", "idle", "busy", "stuck", "surplus", "closing"}

// list holds clients in the order in which they came into a state.
type list struct{ first, last *client }

func (l *list) add(c *client) {
	if c.prev, c.next = l.last, nil; l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *list) remove(c *client) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.prev, c.next = nil, nil
}

// unretired is the first client that is not to be closed already.
func (l *list) unretired() *client {
	c := l.first
	for c != nil && c.retired {
		c = c.next
	}
	return c
}

// enter puts a client into a state, from now on.
func (c *client) enter(s state) {
	if c.listed {
		c.front.lists[c.state].remove(c)
	}
	c.state, c.listed, c.since = s, true, c.front.m.Now()
	c.front.lists[s].add(c)
	c.front.watch(s)
}

func (c *client) leave() {
	if c.listed {
		c.front.lists[c.state].remove(c)
		c.listed = false
	}
}

// allowed is how long a client may be in a state; 0 is for ever.
func (f *Server) allowed(s state) Time {
	b := &f.o.Limits
	switch s {
	case fresh, partial:
		return b.CommandTime.Microseconds()
	case idle:
		if f.crowded() {
			return b.CrowdedIdleTime.Microseconds()
		}
		return b.IdleTime.Microseconds()
	case stuck:
		return b.WriteTime.Microseconds()
	case surplus:
		return surplusTime
	case closing:
		return b.LingerTime.Microseconds()
	}
	return 0
}

// watch sees to it that the alarm rings in time for a state's first client.
func (f *Server) watch(s state) {
	c, most := f.lists[s].first, f.allowed(s)
	if c == nil || most == 0 {
		return
	}
	if due := c.since + most; f.alarm == nil || due < f.alarmAt {
		f.stopAlarm()
		f.alarmAt, f.alarm = due, f.m.At(due, f.ring)
	}
}

func (f *Server) stopAlarm() {
	if f.alarm != nil {
		f.alarm.Stop()
		f.alarm = machine.Timer(nil)
	}
}

// ring closes clients that are overdue. The danger: a client that stops in a command, says nothing
// at all, or does not read, keeps its connection for good.
func (f *Server) ring() {
	f.alarm = nil
	now := f.m.Now()
	for s := range f.lists {
		most := f.allowed(state(s))
		if most == 0 {
			continue
		}
		for c := f.lists[s].first; c != nil && c.since+most <= now; c = f.lists[s].first {
			c.overdue()
		}
		f.watch(state(s))
	}
	f.room(nil)
	f.desk.ProcessEvents()
}

// overdue ends a client's time in its state; it is in another one afterwards, or closed. What has come and was not read
// is read first: the turn may have taken long.
func (c *client) overdue() {
	s, since := c.state, c.since
	if s != stuck && s != closing {
		if c.look(); c.closed || c.state != s || c.since != since {
			return
		}
		if c.more { // more has come than one turn takes
			c.enter(s)
			return
		}
	}
	if s == partial {
		c.refuse("the command does not go on")
		return
	}
	c.close()
}
