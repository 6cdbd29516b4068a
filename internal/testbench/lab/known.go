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
	r       *registries
	routers []*learner
	ended   map[string]map[string]bool // by discovery, for each router: caches that take no work
}

// faultState is what a server's word is worth to a router.
type faultState uint8

const (
	sound faultState = iota // what it shows is what the router gets
	blind                   // nobody can say what the router gets, or when
	dead                    // the router gets nothing
	faultStates
)

const (
	// afterFault is how long a router may take to follow a server again that has failed: a wait, a call that fails, and
	// one that does not.
	afterFault = backoffMost + 1500*millisecond
	// afterStart is how long one that has just started may take.
	afterStart = second
	// afterEnd is how long one may take to turn to another server.
	afterEnd = 2 * second
	// pollTime is how long a router may leave a registry unasked that is well.
	pollTime = 600 * millisecond
)

// HidesRegistry reports whether, with a fault of that kind, what a registry holds is not what a router gets of it.
func HidesRegistry(kind string) bool {
	return slices.Contains([]string{script.RegistryStale, script.RegistryDisagree, script.RegistryEmpty}, kind) ||
		worthOf(kind) != sound
}

// learner is what is known of one router.
type learner struct {
	*router
	servers []following
	caches  map[string]*lesson
	asked   int  // requests since it last sent an attempt
	askedAt Time // the first of those ...
	lastAsk Time // ... and the last
	idle    bool // that was told
}

// following is how a router and a server stand to each other.
type following struct {
	state faultState
	since Time
}

// lesson is what a router was told of a cache by the registry.
type lesson struct {
	// A cache that the router never read of in this registry is no word of the registry's: shown tells that it stood in
	// the list of a server for as long as the router needs to ask, shownAt since when.
	shown   bool
	shownAt Time
	out     bool
	outAt   Time
	stated  Time // the start that it was told
	start   Time // the start that it can read ...
	since   Time // ... since then
	// steady tells that a sound server has shown it as taking work from the beginning on, and none has told bad news
	// of it.
	steady bool
}

func newKnowledge(r *registries) *knowledge {
	k := &knowledge{r: r, ended: map[string]map[string]bool{}}
	for _, rt := range r.w.routers {
		k.routers = append(k.routers, &learner{router: rt, caches: map[string]*lesson{}})
	}
	return k
}

// look brings what the routers know up to date.
func (k *knowledge) look(now Time) {
	for _, l := range k.routers {
		if l.node == nil {
			continue
		}
		k.follow(l, now)
		for _, e := range k.r.enrolled {
			k.learn(l, e, now)
		}
		k.deserted(l, now)
	}
}

// started: a process of a router starts, and knows nothing.
func (k *knowledge) started(now Time, router string) {
	l := k.learner(router)
	*l = learner{router: l.router, caches: map[string]*lesson{}}
	delete(k.ended, router)
	l.servers = make([]following, len(k.r.servers))
	for i := range l.servers {
		l.servers[i] = following{sound, now - afterFault + afterStart}
	}
}

// follow makes out how a router stands to each server.
func (k *knowledge) follow(l *learner, now Time) {
	for i, p := range k.r.servers {
		is := sound
		f := k.r.w.faults
		switch {
		case l.resumes() > now, f.lag(l.zone, p.zone) > 0, f.lag(p.zone, l.zone) > 0, p.wrong[blind] > 0:
			is = blind
		case f.apart(l.zone, p.zone), p.wrong[dead] > 0:
			is = dead
		}
		s := &l.servers[i]
		if is == s.state {
			continue
		}
		if s.state == sound {
			k.unlearn(l, now)
		}
		*s = following{is, now}
	}
}

// unlearn takes back what the router need not have asked for.
func (k *knowledge) unlearn(l *learner, now Time) {
	for _, e := range k.r.enrolled {
		if c := l.caches[e.cache.Name()]; c != nil && c.out && now-c.outAt < pollTime {
			k.tell(l, e.cache.Name(), c, now, false)
		}
	}
}

// settled reports whether a router's ways to a server have had their time.
func (s following) settled(now Time) bool {
	switch s.state {
	case sound:
		return now-s.since >= afterFault
	case dead:
		return now-s.since >= afterEnd
	}
	return false
}

// sight is what the servers show of a cache to one router.
type sight struct {
	settled  bool // all of the router's ways to them have had their time
	readable bool // all that it may be following are sound, and there is one
	works    bool // one that it may be following shows the cache as taking work
	up       bool // a sound one does
	followed bool // there is a sound one
	told     bool // one of them tells bad news of the cache in so many words
	stands   bool // the cache is in the list of one that it follows
	start    Time // the one that all of them show; 0 for none, or several
}

// sightOf looks at all servers.
func (k *knowledge) sightOf(l *learner, cache string, now Time) sight {
	v := sight{settled: true, readable: true, start: -1}
	lost := false
	for i, p := range k.r.servers {
		s := l.servers[i]
		in, listed := p.Shows(cache)
		works, sound := listed && in.Status == registry.Up, s.state == sound
		v.settled = v.settled && s.settled(now)
		v.up = v.up || sound && works
		v.followed = v.followed || sound
		v.told = v.told || listed && !works
		if s.state == dead && s.settled(now) {
			continue // the router has turned to another one
		}
		v.stands = v.stands || listed && sound && s.settled(now)
		v.works = v.works || works
		v.readable = v.readable && sound
		lost = lost || p.lost
		start := Time(0)
		if ms, err := strconv.ParseInt(in.Metadata["start"], 10, 64); err == nil {
			start = ms * millisecond
		}
		if v.start >= 0 && v.start != start {
			start = 0
		}
		v.start = start
	}
	v.readable = v.readable && v.followed
	if lost || !v.readable || !v.settled {
		v.start = 0
	}
	return v
}

// learn makes out what a router must know, or may have got, of a cache.
func (k *knowledge) learn(l *learner, e *enrolment, now Time) {
	name := e.cache.Name()
	c := l.caches[name]
	if c == nil {
		c = &lesson{steady: true}
		l.caches[name] = c
	}
	v := k.sightOf(l, name, now)
	if !v.stands {
		c.shownAt = now
	}
	c.shown = c.shown || now-c.shownAt >= pollTime
	c.steady = c.steady && !v.told && (v.up || !v.followed)
	if v.start != c.start {
		c.start, c.since = v.start, now
	}
	if c.start > c.stated && now-c.since >= pollTime {
		c.stated = c.start
		k.r.w.eyes.Watcher.StartNotified(now, l.name, name, c.start)
	}
	switch {
	case v.works && c.out:
		k.tell(l, name, c, now, false)
	case !v.works && !c.out && c.shown && v.settled && v.readable:
		k.tell(l, name, c, now, true)
	}
}

// tell tells the watcher.
func (k *knowledge) tell(l *learner, cache string, c *lesson, now Time, out bool) {
	before := c.out || k.ended[l.name][cache]
	c.out, c.outAt = out, now
	k.pass(l.name, cache, now, before)
}

// byDiscovery takes in what discovery has told a router.
func (k *knowledge) byDiscovery(now Time, router, cache string, takesWork bool) {
	if !k.asksDiscovery() {
		return
	}
	if k.ended[router] == nil {
		k.ended[router] = map[string]bool{}
	}
	before := k.out(router, cache)
	k.ended[router][cache] = !takesWork
	k.pass(router, cache, now, before)
}

func (k *knowledge) asksDiscovery() bool {
	return slices.Contains(k.r.w.s.Registry.Sources(), "discovery")
}

func (k *knowledge) out(router, cache string) bool {
	c := k.learner(router).caches[cache]
	return c != nil && c.out || k.ended[router][cache]
}

// pass hands a change of what a router was told on. One source's bad news is enough.
func (k *knowledge) pass(router, cache string, now Time, before bool) {
	if after := k.out(router, cache); after != before {
		k.r.w.eyes.listed(now, router, cache, !after)
	}
}

func (k *knowledge) learner(router string) *learner {
	for _, l := range k.routers {
		if l.name == router {
			return l
		}
	}
	return nil
}
