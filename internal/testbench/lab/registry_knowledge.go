package lab

import (
	"slices"
	"strconv"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/standin/registry"
)

// knowledge derives, every tick, the endpoint states that each router must have learned from the registry. The traffic on the
// registry's sockets is not enough: a router may poll either server, be switching from one to the other, or be cut off.
//
// A router counts as notified that a cache takes no work once every server that the router may be following shows this state
// and has been healthy for as long as a router needs to return to a server. A notification within one poll interval before a
// server fails is revoked, as the router need not have polled in between.
type knowledge struct {
	registries     *registries
	routers        []*routerKnowledge
	outByDiscovery map[string]map[string]bool // by discovery, for each router: caches that take no work
}

// faultState describes whether a router receives the data that a server holds.
type faultState uint8

const (
	healthy     faultState = iota // the router receives the server's data
	uncertain                     // it is unknown which data the router receives, or when
	unreachable                   // the router receives nothing
	faultStates
)

const (
	// recoveryTime is the maximum time until a router follows a recovered server again: one backoff, one call that fails,
	// and one call that succeeds.
	recoveryTime = maxBackoff + 1500*millisecond
	// startTime is the maximum time until a router that has just started follows a server.
	startTime = second
	// switchTime is the maximum time until a router has switched to another server.
	switchTime = 2 * second
	// pollTime is the maximum time between two polls of a healthy server.
	pollTime = 600 * millisecond
)

// HidesRegistry reports whether a fault of that kind makes the data that a router receives differ from the registry's data.
func HidesRegistry(kind string) bool {
	return slices.Contains([]string{script.RegistryStale, script.RegistryDisagree, script.RegistryEmpty}, kind) ||
		faultStateOf(kind) != healthy
}

// routerKnowledge is the derived knowledge of one router.
type routerKnowledge struct {
	*router
	servers           []serverView
	caches            map[string]*endpointKnowledge
	requests          int  // requests received since it last sent an attempt
	firstRequestAt    Time // the first of those requests
	lastRequestAt     Time // the last of those requests
	partitionReported bool // whether a violation of the rule Partitioned was reported
}

// serverView is the state of a server as one router sees it.
type serverView struct {
	state faultState
	since Time // when state last changed
}

// endpointKnowledge is a router's knowledge of one cache from the registry.
type endpointKnowledge struct {
	// shown is set once a server has listed the cache for at least pollTime. A cache that the router never read in the
	// registry does not count as out because of the registry. shownAt is the last time at which the cache was not listed.
	shown         bool
	shownAt       Time
	notifiedOut   bool
	notifiedOutAt Time
	notifiedStart Time // the start time of which the router was last notified
	readableStart Time // the start time that all servers show to the router
	readableSince Time // since when the router can read readableStart
	// alwaysUp stays set while a healthy server shows the cache as taking work and no server has shown it otherwise.
	alwaysUp     bool
	firstShownAt Time // since when alwaysUp is derived
}

func newKnowledge(r *registries) *knowledge {
	k := &knowledge{registries: r, outByDiscovery: map[string]map[string]bool{}}
	for _, rt := range r.world.routers {
		k.routers = append(k.routers, &routerKnowledge{router: rt, caches: map[string]*endpointKnowledge{}})
	}
	return k
}

// update derives the current knowledge of the running routers. It is called every tick.
func (k *knowledge) update(now Time) {
	for _, l := range k.routers {
		if l.node == nil {
			continue
		}
		k.updateServers(l, now)
		for _, e := range k.registries.registrations {
			k.updateEndpoint(l, e, now)
		}
		k.checkPartitioned(l, now)
	}
}

// routerStarted resets the knowledge of a router whose process starts.
func (k *knowledge) routerStarted(now Time, router string) {
	l := k.ofRouter(router)
	*l = routerKnowledge{router: l.router, caches: map[string]*endpointKnowledge{}}
	delete(k.outByDiscovery, router)
	l.servers = make([]serverView, len(k.registries.servers))
	for i := range l.servers {
		l.servers[i] = serverView{healthy, now - recoveryTime + startTime}
	}
}

// updateServers derives the state of each server as a router sees it.
func (k *knowledge) updateServers(l *routerKnowledge, now Time) {
	for i, p := range k.registries.servers {
		is := healthy
		f := k.registries.world.faults
		switch {
		case l.resumesAt() > now, f.maxLag(l.zone, p.zone) > 0, f.maxLag(p.zone, l.zone) > 0, p.activeFaults[uncertain] > 0:
			is = uncertain
		case f.partitioned(l.zone, p.zone), p.activeFaults[unreachable] > 0:
			is = unreachable
		}
		s := &l.servers[i]
		if is == s.state {
			continue
		}
		if s.state == healthy {
			k.revokeRecent(l, now)
		}
		*s = serverView{is, now}
	}
}

// revokeRecent revokes notifications so recent that the router need not have polled the change yet.
func (k *knowledge) revokeRecent(l *routerKnowledge, now Time) {
	for _, e := range k.registries.registrations {
		if c := l.caches[e.cache.Name()]; c != nil && c.notifiedOut && now-c.notifiedOutAt < pollTime {
			k.setNotifiedOut(l, e.cache.Name(), c, now, false)
		}
	}
}

// settled reports whether a router has had the time to follow a server, or to switch away from it.
func (s serverView) settled(now Time) bool {
	switch s.state {
	case healthy:
		return now-s.since >= recoveryTime
	case unreachable:
		return now-s.since >= switchTime
	}
	return false
}

// clusterView is the combined state of a cache that all servers show to one router.
type clusterView struct {
	settled     bool // all servers are settled for the router
	readable    bool // all servers that the router may be following are healthy, and there is at least one
	works       bool // a server that the router may be following shows the cache as taking work
	up          bool // a healthy server shows the cache as taking work
	reachable   bool // at least one server is healthy
	reportedOut bool // a server lists the cache as taking no work
	listed      bool // a server that the router follows lists the cache
	start       Time // the start time that all these servers show; 0 if there is none, or if they differ
}

// viewOf combines the states of a cache that all servers show to a router.
func (k *knowledge) viewOf(l *routerKnowledge, cache string, now Time) clusterView {
	v := clusterView{settled: true, readable: true, start: -1}
	lost := false
	for i, p := range k.registries.servers {
		s := l.servers[i]
		in, listed := p.Shows(cache)
		works, sound := listed && in.Status == registry.Up, s.state == healthy
		v.settled = v.settled && s.settled(now)
		v.up = v.up || sound && works
		v.reachable = v.reachable || sound
		v.reportedOut = v.reportedOut || listed && !works
		if s.state == unreachable && s.settled(now) {
			continue // the router has switched to another server
		}
		v.listed = v.listed || listed && sound && s.settled(now)
		v.works = v.works || works
		v.readable = v.readable && sound
		lost = lost || p.startChangeLost
		start := Time(0)
		if ms, err := strconv.ParseInt(in.Metadata["start"], 10, 64); err == nil {
			start = ms * millisecond
		}
		if v.start >= 0 && v.start != start {
			start = 0
		}
		v.start = start
	}
	v.readable = v.readable && v.reachable
	if lost || !v.readable || !v.settled {
		v.start = 0
	}
	return v
}

// updateEndpoint derives the state of a cache that a router must have learned, and notifies the watcher of changes.
func (k *knowledge) updateEndpoint(l *routerKnowledge, e *registration, now Time) {
	name := e.cache.Name()
	c := l.caches[name]
	if c == nil {
		c = &endpointKnowledge{alwaysUp: true, firstShownAt: now}
		l.caches[name] = c
	}
	v := k.viewOf(l, name, now)
	if !v.listed {
		c.shownAt = now
	}
	c.shown = c.shown || now-c.shownAt >= pollTime
	c.alwaysUp = c.alwaysUp && !v.reportedOut && (v.up || !v.reachable)
	if v.start != c.readableStart {
		c.readableStart, c.readableSince = v.start, now
	}
	if c.readableStart > c.notifiedStart && now-c.readableSince >= pollTime {
		c.notifiedStart = c.readableStart
		k.registries.world.observer.Watcher.StartNotified(now, l.name, name, c.readableStart)
	}
	switch {
	case v.works && c.notifiedOut:
		k.setNotifiedOut(l, name, c, now, false)
	case !v.works && !c.notifiedOut && c.shown && v.settled && v.readable:
		k.setNotifiedOut(l, name, c, now, true)
	}
}

// setNotifiedOut records whether the router counts as notified that a cache takes no work.
func (k *knowledge) setNotifiedOut(l *routerKnowledge, cache string, c *endpointKnowledge, now Time, out bool) {
	before := c.notifiedOut || k.outByDiscovery[l.name][cache]
	c.notifiedOut, c.notifiedOutAt = out, now
	k.reportChange(l.name, cache, now, before)
}

// discoveryNotified records a status that a router has read from discovery.
func (k *knowledge) discoveryNotified(now Time, router, cache string, takesWork bool) {
	if !k.usesDiscovery() {
		return
	}
	if k.outByDiscovery[router] == nil {
		k.outByDiscovery[router] = map[string]bool{}
	}
	before := k.countsAsOut(router, cache)
	k.outByDiscovery[router][cache] = !takesWork
	k.reportChange(router, cache, now, before)
}

func (k *knowledge) usesDiscovery() bool {
	return slices.Contains(k.registries.world.script.Registry.Sources(), "discovery")
}

func (k *knowledge) countsAsOut(router, cache string) bool {
	c := k.ofRouter(router).caches[cache]
	return c != nil && c.notifiedOut || k.outByDiscovery[router][cache]
}

// reportChange notifies the watcher of a changed status. A cache counts as out if the registry or discovery shows it as out.
func (k *knowledge) reportChange(router, cache string, now Time, before bool) {
	if after := k.countsAsOut(router, cache); after != before {
		k.registries.world.observer.reportListed(now, router, cache, !after)
	}
}

func (k *knowledge) ofRouter(router string) *routerKnowledge {
	for _, l := range k.routers {
		if l.name == router {
			return l
		}
	}
	return nil
}
