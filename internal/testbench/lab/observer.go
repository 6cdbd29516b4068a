package lab

import (
	"fmt"
	"slices"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/sim"
)

// observer forwards the observations of the stand-ins to the watcher, and writes the timeline.
type observer struct {
	*rules.Watcher
	world           *world
	history         []string               // of the request that Options.Follow names
	lastTally       rules.Tally            // at the end of the previous window
	requestedAt     map[string]Time        // time of each request, by id; nil if no fault stalls a router
	leftAt          map[string]Time        // time at which the client left, by request id
	connectionEnded map[string]func() bool // whether the router's machine has received the end of the connection, by request id
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

// Listed implements rules.Observer. The watcher is notified once the router can have read the update: an update that discovery
// has written to a cut or slow link, or to a router whose machine is stopped, must not count against the router.
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

// StartNotified implements rules.Observer. The watcher is notified once the router can have read the start time.
func (e *observer) StartNotified(now Time, router, cache string, start Time) {
	if r := e.world.registry; r != nil && !r.knowledge.usesDiscovery() {
		return
	}
	e.whenRead(now, router, func(now Time) { e.Watcher.StartNotified(now, router, cache, start) })
}

// whenRead calls notify once a router can have read data that is written to it now.
func (e *observer) whenRead(now Time, router string, notify func(now Time)) {
	latency := Time(0)
	if r := e.world.routerNamed(router); r != nil && e.world.faults != nil {
		latency = e.world.faults.maxLag(e.world.listZone(), r.zone)
	}
	if latency == 0 {
		e.whenReadable(now, router, notify)
		return
	}
	e.world.sim.At(now+latency, func() { e.whenReadable(e.world.sim.Now(), router, notify) })
}

func (e *observer) whenReadable(now Time, router string, notify func(now Time)) {
	if at := e.world.readableBy(e.world.routerNamed(router)); at > now {
		e.world.sim.At(min(at, now+cutCheckInterval), func() { e.whenReadable(e.world.sim.Now(), router, notify) })
		return
	}
	notify(now)
}

// cutCheckInterval is the interval of checks whether a cut has healed.
const cutCheckInterval = 10 * millisecond

// readableBy returns the time at which a router can read data that discovery writes now. While the link is cut, the end of
// the cut is unknown, and readableBy returns the time of the next check.
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
func (e *observer) Asked(now Time, a rules.Request) {
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

// reportDeparture postpones the watcher's count until the end of a client's connection has reached the router's machine. On
// a cut or slow link, a router may read a request while it can't know that the client has left.
func (e *observer) reportDeparture(id string) {
	if ended := e.connectionEnded[id]; ended != nil && !ended() {
		now := e.world.sim.Now()
		e.Watcher.Unseen(id, now+cutCheckInterval)
		e.world.sim.At(now+cutCheckInterval, func() { e.reportDeparture(id) })
		return
	}
	delete(e.connectionEnded, id)
}

// recordHistory saves the history of the request that Options.Follow names, as the watcher deletes completed requests.
func (e *observer) recordHistory(id string) {
	if id != "" && id == e.world.options.Follow {
		e.history = e.History(id)
	}
}

// CacheUp implements rules.Observer.
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
		e.world.overloadCollapses++
		e.world.sim.At(now, func() { e.world.removeCollapsedCache(cache) })
	}
}

// removeCollapsedCache removes a cache that collapsed under overload from the endpoint list, and lets its registry lease expire.
func (w *world) removeCollapsedCache(cache string) {
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
	e.world.overloadCollapses++
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

// onViolation records a violation that the watcher has found, unless it is excused.
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

// excuses reports whether a request was lost through no fault of its router. There are three such cases: the router's machine
// was stopped while the request was open, so that the router can't know how long the request had waited; the client was in
// another zone, and the link between the zones was cut or slow; or the client closed the connection early because of another
// request on the connection.
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
		late = w.maxOpenTime() // the request may be queued behind an earlier request of the pipeline
	}
	for _, s := range r.stalls {
		if v.At+slack >= s.from && w.observer.requestedAt[v.Request] <= s.to+late {
			return true
		}
	}
	return r.servedOtherZones && w.faults.cutOff(r.zone, v.At)
}

// cutOff reports whether a link to or from a zone was cut or slow while a request that was lost at the given instant was
// open.
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

// maxOpenTime returns the maximum time for which a request may be open, which is the longest client timeout of all classes.
func (w *world) maxOpenTime() (most Time) {
	for _, c := range w.classes {
		most = max(most, c.ClientTimeout)
	}
	return most
}
