package lab

import (
	"fmt"
	"slices"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/sim"
)

// eyes hands what the stand-ins see to the watcher, and tells a timeline what a person wants to know.
type eyes struct {
	*rules.Watcher
	w       *world
	history []string               // of the request that is followed
	last    rules.Tally            // as the window before has ended
	asked   map[string]Time        // when, by id; nil where no router is stopped
	left    map[string]Time        // when the client left, by id
	ended   map[string]func() bool // whether the router's machine has the end of its connection, by id
}

func newEyes(w *world) *eyes {
	e := &eyes{Watcher: w.watcher, w: w, left: map[string]Time{}, ended: map[string]func() bool{}}
	if slices.ContainsFunc(w.s.Faults, func(f script.Fault) bool { return f.Kind == script.Stall }) {
		e.asked = map[string]Time{}
	}
	return e
}

// say adds a line to the timeline.
func (e *eyes) say(line string) {
	if e.w.o.Timeline != nil {
		e.w.o.Timeline(e.w.now(), line)
	}
}

func (e *eyes) sayf(format string, args ...any) {
	if e.w.o.Timeline != nil {
		e.say(fmt.Sprintf(format, args...))
	}
}

// Listed is told to the watcher once the router can have read it. The danger: what discovery has written into a cut or
// a long way, or to a router whose machine is stopped, would count against a router that can't know.
func (e *eyes) Listed(now Time, router, cache string, takesWork bool) {
	e.onceRead(now, router, func(now Time) {
		if r := e.w.registry; r != nil {
			r.known.byDiscovery(now, router, cache, takesWork)
			return
		}
		e.listed(now, router, cache, takesWork)
	})
}

func (e *eyes) listed(now Time, router, cache string, takesWork bool) {
	if takesWork {
		e.sayf("%s is told that %s takes work", router, cache)
	} else {
		e.sayf("%s is told that %s takes no work", router, cache)
	}
	e.Watcher.Listed(now, router, cache, takesWork)
}

// StartNotified likewise.
func (e *eyes) StartNotified(now Time, router, cache string, start Time) {
	if r := e.w.registry; r != nil && !r.known.asksDiscovery() {
		return
	}
	e.onceRead(now, router, func(now Time) { e.Watcher.StartNotified(now, router, cache, start) })
}

// onceRead calls tell when a router can have read what is written to it now.
func (e *eyes) onceRead(now Time, router string, tell func(now Time)) {
	way := Time(0)
	if r := e.w.routerNamed(router); r != nil && e.w.faults != nil {
		way = e.w.faults.lag(e.w.listZone(), r.zone)
	}
	if way == 0 {
		e.readable(now, router, tell)
		return
	}
	e.w.sim.At(now+way, func() { e.readable(e.w.sim.Now(), router, tell) })
}

func (e *eyes) readable(now Time, router string, tell func(now Time)) {
	if at := e.w.readableBy(e.w.routerNamed(router)); at > now {
		e.w.sim.At(min(at, now+pollCut), func() { e.readable(e.w.sim.Now(), router, tell) })
		return
	}
	tell(now)
}

// pollCut is how often it is looked at whether a cut has healed.
const pollCut = 10 * millisecond

// readableBy is when a router can read what discovery writes to it now, or later than now where nobody knows.
func (w *world) readableBy(r *router) Time {
	now := w.sim.Now()
	if r == nil || r.node == nil {
		return now
	}
	at := max(now, r.resumes())
	if w.faults != nil && w.faults.apart(w.listZone(), r.zone) {
		at = max(at, now+pollCut)
	}
	return at
}

func (w *world) routerNamed(name string) *router {
	for _, r := range w.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

// Began implements rules.Observer.
func (e *eyes) Began(now Time, a rules.Attempt) {
	if r := e.w.registry; r != nil {
		r.known.sends(a.Router)
	}
	e.Watcher.Began(now, a)
	e.w.hooked.began(a)
	e.follow(a.ID)
}

// Asked implements rules.Observer.
func (e *eyes) Asked(now Time, a rules.Request) {
	if e.asked != nil {
		e.asked[a.ID] = now
	}
	if r := e.w.registry; r != nil {
		r.known.asks(a.Router, now)
	}
	e.ended[a.ID] = a.Ended
	e.Watcher.Asked(now, a)
	e.follow(a.ID)
}

// Answered implements rules.Observer.
func (e *eyes) Answered(now Time, id string, kind rules.Answer, value string) {
	delete(e.ended, id)
	e.Watcher.Answered(now, id, kind, value)
	e.follow(id)
}

// Left implements rules.Observer.
func (e *eyes) Left(now Time, id string) {
	e.left[id] = now
	e.Watcher.Left(now, id)
	e.departs(id)
}

// departs has the watcher count from when the end of its connection has reached the router's machine. The danger: between zones
// that are cut off from each other, or on a long way, a router reads a request and can't know that its client has left.
func (e *eyes) departs(id string) {
	if ended := e.ended[id]; ended != nil && !ended() {
		now := e.w.sim.Now()
		e.Watcher.Unseen(id, now+pollCut)
		e.w.sim.At(now+pollCut, func() { e.departs(id) })
		return
	}
	delete(e.ended, id)
}

// follow keeps the life of the request that is followed: the watcher forgets those that are over.
func (e *eyes) follow(id string) {
	if id != "" && id == e.w.o.Follow {
		e.history = e.History(id)
	}
}

// CacheServing implements rules.Observer.
func (e *eyes) CacheUp(now Time, cache string, capacity, coldShare float64, coldFor Time) {
	if now > sim.Start {
		e.sayf("cache %s starts", cache)
	}
	e.Watcher.CacheUp(now, cache, capacity, coldShare, coldFor)
}

// CacheDown implements rules.Observer.
func (e *eyes) CacheDown(now Time, cache string, fallen bool) {
	if fallen {
		e.sayf("cache %s falls over", cache)
	} else {
		e.sayf("cache %s ends", cache)
	}
	e.Watcher.CacheDown(now, cache, fallen)
	if fallen {
		e.w.falls++
		e.w.sim.At(now, func() { e.w.fell(cache) })
	}
}

// fell has discovery see that a fallen cache's process runs no more.
func (w *world) fell(cache string) {
	for _, p := range w.caches {
		if p.cache.Name() == cache {
			p.gone = true
			w.registry.died(p.cache)
		}
	}
	w.fleet.Discovery.Remove(cache)
}

// StoreFell implements rules.Observer.
func (e *eyes) StoreFell(now Time) {
	e.w.falls++
	e.say("the store falls over")
	e.Watcher.StoreFell(now)
}

// RouterUp implements rules.Observer.
func (e *eyes) RouterUp(now Time, router string) {
	e.sayf("%s starts", router)
	if r := e.w.registry; r != nil {
		r.known.started(now, router)
	}
	e.Watcher.RouterUp(now, router)
}

// RouterDown implements rules.Observer.
func (e *eyes) RouterDown(now Time, router string, clean bool) {
	e.sayf("%s has ended", router)
	e.Watcher.RouterDown(now, router, clean)
}

// violated takes in what the watcher has found.
func (w *world) violated(v rules.Violation) {
	if w.excuses(v) {
		w.excused++
		return
	}
	w.breaks(broken(v))
}

func (w *world) breaks(b Broken) {
	if len(w.broken) == mostBroken {
		w.more++
		return
	}
	w.broken = append(w.broken, b)
	w.eyes.say("BROKEN " + b.String())
}

// excuses reports whether a request was lost through no fault of its router: its machine was stopped while the
// request was open, and the router can't know for how long the request had waited by then; or its client
// stood in another zone, from which it was cut off; or the answer could still come, and its client closed the
// connection early on account of another request on it.
func (w *world) excuses(v rules.Violation) bool {
	if v.Rule != rules.Lost && v.Rule != rules.Late {
		return false
	}
	if at, left := w.eyes.left[v.Request]; left && v.Rule == rules.Lost && v.At <= at && at < v.At+slack {
		return true
	}
	r := w.routerNamed(v.Router)
	if r == nil {
		return false
	}
	late := Time(0)
	if w.s.Clients.Pipeline > 0 {
		late = w.longestOpen() // it may stand behind one that was asked before
	}
	for _, s := range r.stalled {
		if v.At+slack >= s.from && w.eyes.asked[v.Request] <= s.to+late {
			return true
		}
	}
	return r.abroad && w.faults.cutOff(r.zone, v.At)
}

// cutOff reports whether the ways to and from a zone were cut or long during the time in which a request that was lost
// at that instant was open.
func (f *faults) cutOff(zone string, at Time) bool {
	for _, x := range f.w.s.Faults {
		if x.Kind != script.Cut && x.Kind != script.Lag {
			continue
		}
		from, to, _, _ := script.LinkOf(x.Target)
		begin := sim.Start + lead + microseconds(x.At)
		end := sim.Start + lead + microseconds(x.Until(f.w.s.Length))
		if (from == zone || to == zone) && begin <= at+slack && at <= end+f.w.longestOpen() {
			return true
		}
	}
	return false
}

// longestOpen is how long a request may be open.
func (w *world) longestOpen() (most Time) {
	for _, c := range w.classes {
		most = max(most, c.ClientTimeout)
	}
	return most
}
