package lab

import (
	"slices"
	"strconv"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/standin/registry"
)

// What a router can know of a registry is not told by the registry's sockets alone: it may ask either server, be on its
// way from one to the other, or be cut off. knowledge makes out, every tick, what each router must have learned.
//
// A cache is told to take no work once every server that the router can be following shows it so, and has been fit to
// be followed for as long as the way back to it takes. What is told within the time of a poll before a server fails is
// taken back: the router need not have asked in between.
type knowledge struct {
	registries     *registries
	routers        []*routerKnowledge
	outByDiscovery map[string]map[string]bool // by discovery, for each router: caches that take no work
}

// faultState is what a server's word is worth to a router.
type faultState uint8

const (
	healthy     faultState = iota // what it shows is what the router gets
	uncertain                     // nobody can say what the router gets, or when
	unreachable                   // the router gets nothing
	faultStates
)

const (
	// recoveryTime is how long a router may take to follow a server again that has failed: a wait, a call that fails, and
	// one that does not.
	recoveryTime = maxBackoff + 1500*millisecond
	// startTime is how long one that has just started may take.
	startTime = second
	// switchTime is how long one may take to turn to another server.
	switchTime = 2 * second
	// pollTime is how long a router may leave a registry unasked that is well.
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
	requests          int  // requests since it last sent an attempt
	firstRequestAt    Time // the first of those ...
	lastRequestAt     Time // ... and the last
	partitionReported bool // that was told
}

// serverView is how a router and a server stand to each other.
type serverView struct {
	state faultState
	since Time
}

// endpointKnowledge is what a router was told of a cache by the registry.
type endpointKnowledge struct {
	// A cache that the router never read of in this registry is no word of the registry's: shown tells that it stood in
	// the list of a server for as long as the router needs to ask, shownAt since when.
	shown         bool
	shownAt       Time
	notifiedOut   bool
	notifiedOutAt Time
	notifiedStart Time // the start that it was told
	readableStart Time // the start that it can read ...
	readableSince Time // ... since then
	// alwaysUp tells that a sound server has shown it as taking work from the beginning on, and none has told bad news
	// of it.
	alwaysUp bool
}

func newKnowledge(r *registries) *knowledge {
	k := &knowledge{registries: r, outByDiscovery: map[string]map[string]bool{}}
	for _, rt := range r.world.routers {
		k.routers = append(k.routers, &routerKnowledge{router: rt, caches: map[string]*endpointKnowledge{}})
	}
	return k
}

// update brings what the routers know up to date.
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

// started: a process of a router starts, and knows nothing.
func (k *knowledge) routerStarted(now Time, router string) {
	l := k.ofRouter(router)
	*l = routerKnowledge{router: l.router, caches: map[string]*endpointKnowledge{}}
	delete(k.outByDiscovery, router)
	l.servers = make([]serverView, len(k.registries.servers))
	for i := range l.servers {
		l.servers[i] = serverView{healthy, now - recoveryTime + startTime}
	}
}

// updateServers makes out how a router stands to each server.
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

// revokeRecent takes back what the router need not have asked for.
func (k *knowledge) revokeRecent(l *routerKnowledge, now Time) {
	for _, e := range k.registries.registrations {
		if c := l.caches[e.cache.Name()]; c != nil && c.notifiedOut && now-c.notifiedOutAt < pollTime {
			k.setNotifiedOut(l, e.cache.Name(), c, now, false)
		}
	}
}

// settled reports whether a router's ways to a server have had their time.
func (s serverView) settled(now Time) bool {
	switch s.state {
	case healthy:
		return now-s.since >= recoveryTime
	case unreachable:
		return now-s.since >= switchTime
	}
	return false
}

// clusterView is what the servers show of a cache to one router.
type clusterView struct {
	settled     bool // all of the router's ways to them have had their time
	readable    bool // all that it may be following are sound, and there is one
	works       bool // one that it may be following shows the cache as taking work
	up          bool // a sound one does
	reachable   bool // there is a sound one
	reportedOut bool // one of them tells bad news of the cache in so many words
	listed      bool // the cache is in the list of one that it follows
	start       Time // the one that all of them show; 0 for none, or several
}

// viewOf looks at all servers.
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
			continue // the router has turned to another one
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

// updateEndpoint makes out what a router must know, or may have got, of a cache.
func (k *knowledge) updateEndpoint(l *routerKnowledge, e *registration, now Time) {
	name := e.cache.Name()
	c := l.caches[name]
	if c == nil {
		c = &endpointKnowledge{alwaysUp: true}
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
		k.registries.world.observer.Watcher.StartTold(now, l.name, name, c.readableStart)
	}
	switch {
	case v.works && c.notifiedOut:
		k.setNotifiedOut(l, name, c, now, false)
	case !v.works && !c.notifiedOut && c.shown && v.settled && v.readable:
		k.setNotifiedOut(l, name, c, now, true)
	}
}

// setNotifiedOut tells the watcher.
func (k *knowledge) setNotifiedOut(l *routerKnowledge, cache string, c *endpointKnowledge, now Time, out bool) {
	before := c.notifiedOut || k.outByDiscovery[l.name][cache]
	c.notifiedOut, c.notifiedOutAt = out, now
	k.reportChange(l.name, cache, now, before)
}

// discoveryNotified takes in what discovery has told a router.
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

// reportChange hands a change of what a router was told on. One source's bad news is enough.
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
