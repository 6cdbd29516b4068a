package lab

import (
	"slices"
	"strconv"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/standin/registry"
)

// knowledge derives, every tick, what each router must have learned from the registry. The registry's sockets alone do
// not show it: a router may poll either server, be switching from one to the other, or be cut off.
//
// A router counts as notified that a cache takes no work once every server that it can be following shows so, and has
// been healthy for as long as a router needs to return to it. A notification within one poll before a server fails is
// revoked, as the router need not have polled in between.
type knowledge struct {
	registries     *registries
	routers        []*routerKnowledge
	outByDiscovery map[string]map[string]bool // by discovery, for each router: caches that take no work
}

// faultState says how what a server shows relates to what a router gets of it.
type faultState uint8

const (
	healthy     faultState = iota // the router gets what it shows
	uncertain                     // it is unknown what the router gets, or when
	unreachable                   // the router gets nothing
	faultStates
)

const (
	// recoveryTime is how long a router may take to follow a server again that has failed: a backoff, a call that fails,
	// and one that does not.
	recoveryTime = maxBackoff + 1500*millisecond
	// startTime is how long a router that has just started may take.
	startTime = second
	// switchTime is how long a router may take to switch to another server.
	switchTime = 2 * second
	// pollTime is how long a router may wait between two polls of a healthy server.
	pollTime = 600 * millisecond
)

// HidesRegistry reports whether, with a fault of that kind, what a registry holds is not what a router gets of it.
func HidesRegistry(kind string) bool {
	return slices.Contains([]string{script.RegistryStale, script.RegistryDisagree, script.RegistryEmpty}, kind) ||
		faultStateOf(kind) != healthy
}

// routerKnowledge is what is known of one router.
type routerKnowledge struct {
	*router
	servers           []serverView
	caches            map[string]*endpointKnowledge
	requests          int  // requests received since it last sent an attempt
	firstRequestAt    Time // the first of those requests
	lastRequestAt     Time // the last of those requests
	partitionReported bool // the partition was reported
}

// serverView is the state of a server as one router sees it.
type serverView struct {
	state faultState
	since Time // when state last changed
}

// endpointKnowledge is what a router learned of a cache from the registry.
type endpointKnowledge struct {
	// shown is set once the cache was listed by a server for as long as the router needs to poll. The registry says
	// nothing of a cache that the router never read there. shownAt is when it last was not listed.
	shown         bool
	shownAt       Time
	notifiedOut   bool
	notifiedOutAt Time
	notifiedStart Time // the start time that it was last notified of
	readableStart Time // the start time that all servers show it
	readableSince Time // since when it can read readableStart
	// alwaysUp stays set while a healthy server shows the cache as taking work and none has shown it otherwise.
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

// update derives what the running routers know now. It is called every tick.
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

// routerStarted resets what is known of a router whose process starts.
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

// revokeRecent revokes notifications that the router need not have polled yet.
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

// clusterView is what all servers together show of a cache to one router.
type clusterView struct {
	settled     bool // all servers are settled for the router
	readable    bool // all that it may be following are healthy, and there is one
	works       bool // one that it may be following shows the cache as taking work
	up          bool // a healthy one shows it so
	reachable   bool // there is a healthy one
	reportedOut bool // one lists the cache as taking no work
	listed      bool // one that the router follows lists the cache
	start       Time // the start time that all of them show; 0 for none, or several
}

// viewOf combines what all servers show of a cache to a router.
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
			continue // the router has switched to another one
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

// updateEndpoint derives what a router must have learned of a cache, and notifies the watcher of changes.
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

// reportChange tells the watcher of a changed status. A cache counts as out where either source says so.
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
