package lab

import (
	"fmt"
	"slices"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/sim"
)

// observer hands what the stand-ins see to the watcher, and tells a timeline what a person wants to know.
type observer struct {
	*rules.Watcher
	world           *world
	history         []string               // of the request that is followed
	lastTally       rules.Tally            // as the window before has ended
	requestedAt     map[string]Time        // when, by id; nil where no router is stopped
	leftAt          map[string]Time        // when the client left, by id
	connectionEnded map[string]func() bool // whether the router's machine has the end of its connection, by id
}

func newObserver(w *world) *observer {
	e := &observer{Watcher: w.watcher, world: w, leftAt: map[string]Time{}, connectionEnded: map[string]func() bool{}}
	if slices.ContainsFunc(w.script.Faults, func(f script.Fault) bool { return f.Kind == script.Stall }) {
		e.requestedAt = map[string]Time{}
	}
	return e
}

// logTimeline adds a line to the timeline.
func (e *observer) logTimeline(line string) {
	if e.world.options.Timeline != nil {
		e.world.options.Timeline(e.world.now(), line)
	}
}

func (e *observer) logTimelinef(format string, args ...any) {
	if e.world.options.Timeline != nil {
		e.logTimeline(fmt.Sprintf(format, args...))
	}
}

// Listed is told to the watcher once the router can have read it. The danger: what discovery has written into a cut or
// a long way, or to a router whose machine is stopped, would count against a router that can't know.
func (e *observer) Listed(now Time, router, cache string, takesWork bool) {
	e.whenRead(now, router, func(now Time) {
		if r := e.world.registry; r != nil {
			r.knowledge.discoveryNotified(now, router, cache, takesWork)
			return
		}
		e.reportListed(now, router, cache, takesWork)
	})
}

func (e *observer) reportListed(now Time, router, cache string, takesWork bool) {
	if takesWork {
		e.logTimelinef("%s is told that %s takes work", router, cache)
	} else {
		e.logTimelinef("%s is told that %s takes no work", router, cache)
	}
	e.Watcher.Listed(now, router, cache, takesWork)
}

// StartTold likewise.
func (e *observer) StartTold(now Time, router, cache string, start Time) {
	if r := e.world.registry; r != nil && !r.knowledge.usesDiscovery() {
		return
	}
	e.whenRead(now, router, func(now Time) { e.Watcher.StartTold(now, router, cache, start) })
}

// whenRead calls tell when a router can have read what is written to it now.
func (e *observer) whenRead(now Time, router string, tell func(now Time)) {
	way := Time(0)
	if r := e.world.routerNamed(router); r != nil && e.world.faults != nil {
		way = e.world.faults.maxLag(e.world.listZone(), r.zone)
	}
	if way == 0 {
		e.whenReadable(now, router, tell)
		return
	}
	e.world.sim.At(now+way, func() { e.whenReadable(e.world.sim.Now(), router, tell) })
}

func (e *observer) whenReadable(now Time, router string, tell func(now Time)) {
	if at := e.world.readableBy(e.world.routerNamed(router)); at > now {
		e.world.sim.At(min(at, now+cutCheckInterval), func() { e.whenReadable(e.world.sim.Now(), router, tell) })
		return
	}
	tell(now)
}

// cutCheckInterval is how often it is looked at whether a cut has healed.
const cutCheckInterval = 10 * millisecond

// readableBy is when a router can read what discovery writes to it now, or later than now where nobody knows.
func (w *world) readableBy(r *router) Time {
	now := w.sim.Now()
	if r == nil || r.node == nil {
		return now
	}
	at := max(now, r.resumesAt())
	if w.faults != nil && w.faults.partitioned(w.listZone(), r.zone) {
		at = max(at, now+cutCheckInterval)
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
func (e *observer) Began(now Time, a rules.Attempt) {
	if r := e.world.registry; r != nil {
		r.knowledge.attemptSent(a.Router)
	}
	e.Watcher.Began(now, a)
	e.world.hooks.checkAttempt(a)
	e.recordHistory(a.ID)
}

// Asked implements rules.Observer.
func (e *observer) Asked(now Time, a rules.Ask) {
	if e.requestedAt != nil {
		e.requestedAt[a.ID] = now
	}
	if r := e.world.registry; r != nil {
		r.knowledge.requestReceived(a.Router, now)
	}
	e.connectionEnded[a.ID] = a.Ended
	e.Watcher.Asked(now, a)
	e.recordHistory(a.ID)
}

// Answered implements rules.Observer.
func (e *observer) Answered(now Time, id string, kind rules.Answer, value string) {
	delete(e.connectionEnded, id)
	e.Watcher.Answered(now, id, kind, value)
	e.recordHistory(id)
}

// Left implements rules.Observer.
func (e *observer) Left(now Time, id string) {
	e.leftAt[id] = now
	e.Watcher.Left(now, id)
	e.reportDeparture(id)
}

// reportDeparture has the watcher count from when the end of its connection has reached the router's machine. The danger: between zones
// that are cut off from each other, or on a long way, a router reads a request and can't know that its client has left.
func (e *observer) reportDeparture(id string) {
	if ended := e.connectionEnded[id]; ended != nil && !ended() {
		now := e.world.sim.Now()
		e.Watcher.Unseen(id, now+cutCheckInterval)
		e.world.sim.At(now+cutCheckInterval, func() { e.reportDeparture(id) })
		return
	}
	delete(e.connectionEnded, id)
}

// recordHistory keeps the life of the request that is followed: the watcher forgets those that are over.
func (e *observer) recordHistory(id string) {
	if id != "" && id == e.world.options.Follow {
		e.history = e.History(id)
	}
}

// CacheServing implements rules.Observer.
func (e *observer) CacheUp(now Time, cache string, capacity, coldShare float64, coldFor Time) {
	if now > sim.Start {
		e.logTimelinef("cache %s starts", cache)
	}
	e.Watcher.CacheUp(now, cache, capacity, coldShare, coldFor)
}

// CacheDown implements rules.Observer.
func (e *observer) CacheDown(now Time, cache string, fallen bool) {
	if fallen {
		e.logTimelinef("cache %s falls over", cache)
	} else {
		e.logTimelinef("cache %s ends", cache)
	}
	e.Watcher.CacheDown(now, cache, fallen)
	if fallen {
		e.world.falls++
		e.world.sim.At(now, func() { e.world.removeFallenCache(cache) })
	}
}

// removeFallenCache has discovery see that a fallen cache's process runs no more.
func (w *world) removeFallenCache(cache string) {
	for _, p := range w.caches {
		if p.cache.Name() == cache {
			p.removed = true
			w.registry.stopRenewing(p.cache)
		}
	}
	w.fleet.Discovery.Remove(cache)
}

// StoreFell implements rules.Observer.
func (e *observer) StoreFell(now Time) {
	e.world.falls++
	e.logTimeline("the store falls over")
	e.Watcher.StoreFell(now)
}

// RouterUp implements rules.Observer.
func (e *observer) RouterUp(now Time, router string) {
	e.logTimelinef("%s starts", router)
	if r := e.world.registry; r != nil {
		r.knowledge.routerStarted(now, router)
	}
	e.Watcher.RouterUp(now, router)
}

// RouterDown implements rules.Observer.
func (e *observer) RouterDown(now Time, router string, clean bool) {
	e.logTimelinef("%s has ended", router)
	e.Watcher.RouterDown(now, router, clean)
}

// onViolation takes in what the watcher has found.
func (w *world) onViolation(v rules.Violation) {
	if w.excuses(v) {
		w.excused++
		return
	}
	w.reportBroken(brokenFrom(v))
}

func (w *world) reportBroken(b Broken) {
	if len(w.broken) == maxBroken {
		w.moreBroken++
		return
	}
	w.broken = append(w.broken, b)
	w.observer.logTimeline("BROKEN " + b.String())
}

// excuses reports whether a request was lost through no fault of its router: its machine was stopped while the
// request was open, and the router can't know for how long the request had waited by then; or its client
// stood in another zone, from which it was cut off; or the answer could still come, and its client closed the
// connection early on account of another request on it.
func (w *world) excuses(v rules.Violation) bool {
	if v.Rule != rules.Lost && v.Rule != rules.Late {
		return false
	}
	if at, left := w.observer.leftAt[v.Request]; left && v.Rule == rules.Lost && v.At <= at && at < v.At+slack {
		return true
	}
	r := w.routerNamed(v.Router)
	if r == nil {
		return false
	}
	late := Time(0)
	if w.script.Clients.Pipeline > 0 {
		late = w.maxOpenTime() // it may stand behind one that was asked before
	}
	for _, s := range r.stalls {
		if v.At+slack >= s.from && w.observer.requestedAt[v.Request] <= s.to+late {
			return true
		}
	}
	return r.servedOtherZones && w.faults.cutOff(r.zone, v.At)
}

// cutOff reports whether the ways to and from a zone were cut or long during the time in which a request that was lost
// at that instant was open.
func (f *faults) cutOff(zone string, at Time) bool {
	for _, x := range f.world.script.Faults {
		if x.Kind != script.Cut && x.Kind != script.Lag {
			continue
		}
		from, to, _, _ := script.LinkOf(x.Target)
		begin := sim.Start + lead + microseconds(x.At)
		end := sim.Start + lead + microseconds(x.Until(f.world.script.Length))
		if (from == zone || to == zone) && begin <= at+slack && at <= end+f.world.maxOpenTime() {
			return true
		}
	}
	return false
}

// maxOpenTime is how long a request may be open.
func (w *world) maxOpenTime() (most Time) {
	for _, c := range w.classes {
		most = max(most, c.Deadline)
	}
	return most
}
