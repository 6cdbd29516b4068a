// The list of caches, and when it is asked for.

package decide

import (
	"math"
)

func (r *Router) list(ev *EndpointList) {
	if ev.Kind == FailedUpdate {
		r.listFailed()
		return
	}
	if ev.Kind != StaleUpdate {
		r.pacer.Answered()
	}
	r.turnOfList++
	for _, e := range ev.Endpoints {
		r.entry(e)
	}
	for _, c := range r.caches { // any order: each by itself
		if ev.Kind == DeltaUpdate {
			break // what it does not name stays
		}
		if c.namedIn != r.turnOfList {
			c.Status = Removed
			r.place(c)
		}
	}
	if r.fetches == 0 && len(r.ready) > 0 {
		// The danger: a router that starts before it knows a cache holds the origin for one that serves none.
		r.fetches = max(leastFirst, firstLimit*float64(len(r.ready))/float64(max(1, r.set.Routers)))
	}
	if !r.started {
		r.started = true
		r.missing = 1
		if r.set.WatchRequired {
			r.watchAfter(r.pacer.Start(draw(&r.pacing)))
		}
		r.at(r.now, r.forget)
		r.at(r.now, r.turn)
	}
	if r.set.AllowHealthChecks && !r.probing && len(r.ready) > 0 {
		// Routers started together must not probe on one beat.
		r.probing = true
		r.spare = r.random() * float64(len(r.ready))
		r.at(r.now+Time(r.random()*float64(r.set.DrainGrace)), r.probeRound)
	}
}

// listFailed has the list asked for again, at a pace that all routers can keep.
func (r *Router) listFailed() {
	f := r.pacer.Failed(r.now, draw(&r.pacing))
	if f.Lost {
		r.logf("list lost, asking again")
	}
	if f.Overdue {
		r.logf("list unheard for %.1f s after %d calls: discovery is down, or can't take all routers' calls",
			float64(f.For)/1e6, f.Calls)
	}
	r.watchAfter(f.Pause)
}

// watchAfter asks for the list after a pause, and not by any pause before.
func (r *Router) watchAfter(pause Time) {
	r.drop(r.nextWatch)
	if pause == 0 {
		r.do(Watch{})
		return
	}
	r.nextWatch = r.schedule(r.now+pause, timer{f: func() { r.do(Watch{}) }})
}

// window is longer where many routers each see few of a key's requests.
func (r *Router) window() Time {
	return Time(float64(r.set.DrainGrace) * math.Sqrt(max(1, float64(r.set.Routers)/4)))
}

// turn opens a new window of the counts by key.
func (r *Router) turn() {
	r.keys = [2]map[uint64]int{{}, r.keys[0]}
	r.asked = [2]int{0, r.asked[0]}
	if on := r.shed != [2]int{}; on != r.shedding {
		r.shedding = on
		r.logf("load shedding %v: %d refused as caches are full, %d to spare the origin", on, r.shed[0],
			r.shed[1])
	}
	r.shed = [2]int{}
	r.at(r.now+2*r.window(), r.turn)
}

// forget opens a new window of what the caches keep: a cache that warms up by
// refilling keeps its keys for about as long as that takes.
func (r *Router) forget() {
	for _, c := range r.caches { // any order: each by itself
		c.keeps = [2]map[uint64]bool{{}, c.keeps[0]}
	}
	r.at(r.now+max(r.set.SlowStartWindow/4, r.window()), r.forget)
}

func (r *Router) entry(e Endpoint) {
	c := r.caches[e.ID]
	if c == nil {
		c = &cache{healthy: true, prompt: true, keeps: [2]map[uint64]bool{{}, {}}}
		c.limit = max(leastFirst, firstLimit/float64(max(1, r.set.Routers)))
		r.caches[e.ID], c.knownAt = c, r.now
	} else if e.StartedAt != c.StartedAt {
		// The process is a new one: nothing seen of the old one holds.
		c.healthy, c.fails, c.keeps = true, 0, [2]map[uint64]bool{{}, {}}
		c.doubts, c.aloneUntil = 0, 0
		if r.pressure.Outage {
			c.zone.fails, c.limit = 0, leastAway // what was seen lately is an outage, not a crowd
		}
	}
	if r.set.WeightsFollowLoad {
		// The danger: a size that falls with the load moves keys from list to list, and they miss.
		// The largest seen is the nominal one, or close; it is the same for all routers.
		e.Weight = max(e.Weight, c.Weight)
	}
	c.Endpoint = e
	if c.zone = r.zones[e.Zone]; c.zone == nil {
		c.zone = &zone{}
		r.zones[e.Zone] = c.zone
	}
	if e.Weight <= 0 {
		c.Weight = 1
	}
	c.namedIn = r.turnOfList
	r.place(c)
	// The danger: a start that was told wrong, and is corrected, leaves the cache cold.
	if c.coldFrom, c.warmAt = min(e.StartedAt, r.now), 0; e.StartedAt > 0 {
		c.warmAt = c.coldFrom + r.set.SlowStartWindow
	}
}
