// The decisions of the router. Its interface (settings, events, actions) stands
// in api.go; read that first.
package decide

import (
	"fmt"
	"math"
	"slices"

	"starlingwinch/internal/rendezvous"
	"starlingwinch/internal/retry"
)

// Ratios of the policy. Spans come from the settings.
const (
	threshold       = 2    // consecutive failures that mark a cache
	zoneThreshold   = 3    // consecutive failed connections that mark a zone
	rehashCap       = 4    // picks tried before an unhealthy one is used anyway
	probeShare      = .01  // points a request that probes may cost, before the Interval is stretched
	longestInterval = 64   // ... to so many DrainGraces at most, for a router that is hardly asked
	firstLimit      = 8    // requests out at a cache, over all routers, before anything is known
	leastFirst      = 1    // ... and one router's part of it, at least
	tolerated       = .2   // share of overdue attempts at which a limit stays as it is
	originTolerated = .15  // the same for likely misses: the origin is slow to recover
	originShare     = .65  // of the aim after which a likely miss speaks against the origin
	missWindow      = 64   // likely misses over which the share of true ones fades
	step            = .5   // of an attempt, by which one overdue attempt lowers a limit
	pooled          = .3   // weight of a verdict at all other caches together, for each router
	leastPart       = .002 // of a verdict that is worth a look at all other caches
	fewCaches       = 64   // that are summed up for each request
	leastLimit      = .1   // where the limit stops falling; under 1 it is the share of time in use
	holdShare       = .4   // of the aim that a request may wait for room
	windowPart      = .95  // of the window in which caches drop repeats, in which one is written
	retryShare      = .05  // retries and hedges a request, in the long run
	hotPart         = .5   // of a cache's fair share of requests that one key may take
	hotLeast        = 2    // requests for a key before it can be hot
	admitTries      = 32   // held requests without room that are looked at for one answer
	retryBurst      = 10   // ... and in one burst
	recently        = 48   // attempts over which the shares of late and of lost ones fade
	leastAway       = 1    // attempts of a router at a cache that may be back from an outage, at least
	unhurried       = .25  // share of a cache's answers that are late, where it is not crowded
	coldGrowth      = 2    // attempts for each one served lately, at a cold cache with few warm ones to go by
	lossy           = .08  // share of lost attempts from which they are sent again without limit
)

// cache is what this router knows of one cache server.
type cache struct {
	Entry
	zone              *zone
	warmAt            Time               // cold until then
	coldFrom          Time               // when the process is held to have started
	healthy, prompt   bool               // by its probes; it answered the last likely hit in time
	fails             int                // consecutive failed probes
	pending, hung     int                // attempts out, of finished requests too, and the lost ones of them
	probing           int                // number of the round whose probe is out; 0 for none
	limit             float64            // attempts this router keeps out here at most
	keeps             [2]map[uint64]bool // keys it answered lately, of this window and the one before
	uses              int                // attempts ever sent to it
	doubts            int                // verdicts against it that others have not made up for
	knownAt           Time               // when it was first listed
	aloneUntil        Time               // it is left alone until then
	namedIn           int                // number of the list that named it last
	listed            float64            // its size among the ready ones; 0 where it is not one of them
	lastSend, erredAt Time
	sends             float64 // fading count of attempts, as of lastSend
	serves            float64 // ... of those that it served, as of lastServe
	lastServe         Time
	answered, passed  Time    // when it last answered; when the latest answered in time was sent
	late              float64 // fading share of its answers that came after the patience
	erring            float64 // share of errors among its answers, as of erredAt; it fades with time, too
}

// zone is what this router knows of the way to a zone.
type zone struct {
	fails        int  // failed connections in a row, to any of its caches
	way, wayTill Time // about the least that a hit there takes, and for how long; 0 where none has come
	trialAt      Time // it is taken for cut until then; one request is its half-open trial
}

type attempt struct {
	to          *cache
	sent        Time
	fetch       bool // the cache was not known to keep the key: the origin likely has to serve it
	pending     bool
	stopped     bool // Cancel was asked for
	neverRan    bool
	unmet, lost bool // no connection came about, or it broke at once; later ones have overtaken it
	timers      [3]int64
}

type request struct {
	*Request
	class    *Class
	arrived  Time
	attempts []attempt
	first    [1]attempt // room for the one that most need
	done     bool       // the final answer is given, or nobody waits for it
	held     bool       // waits for room
	spares   bool       // ... at the origin
	streams  bool       // the answer has started
	astray   bool       // its home had no room when it was placed
	why      Why        // what stands in its way
	timers   [2]int64   // its deadline; the end of its hold
}

// Router decides for one instance. Use New.
type Router struct {
	set          Settings
	classes      map[string]*Class
	rng          uint64
	pacing       uint64 // random numbers of calls for the list: other draws stay as they are
	now          Time
	out          []Action
	caches       map[string]*cache // all that are listed
	zones        map[string]*zone
	ready        []*cache // those up, by id
	reqs         map[int64]*request
	timers       map[int64]timer
	token        int64
	round, beats int          // probe rounds; DrainGraces since the last one
	pacer        *retry.Pacer // of calls for the list
	nextWatch    int64        // timer of the next one
	uses         int          // attempts ever sent
	spare        float64      // probes earned by requests and not yet sent
	started      bool
	turnOfList   int                    // number of the present list
	order        rendezvous.Set[*cache] // of the ready ones, for the key being placed
	swap         int                    // rank that stands first in place of the first one
	warm         warmLoad               // of the warm ones, lately
	waiting      []*request             // held for room
	fetching     int                    // attempts out that the origin likely has to serve
	fetches      float64                // ... at most
	missing      float64                // fading share of them that the origin did serve, or failed to
	patience     Time                   // of the class with the shortest
	budget       float64                // of retries
	keys         [2]map[uint64]int      // requests by key, of this window and the one before
	asked        [2]int                 // ... and of all keys
	shed         [2]int                 // refused in this window for want of room: at caches, origin
	shedding     bool
	erring, lost float64 // fading shares of errors among all answers, and of lost attempts
	passed       Time    // when the latest attempt was sent that the origin served in time, at any cache
	pressure     Pressure
	turnedAway   Time    // when a first try was refused last
	judged, met  float64 // fading counts of verdicts on attempts, and of good ones, as of judgedAt
	judgedAt     Time
	moves        float64 // requests that may go elsewhere
	sentAt       Time    // when the latest attempt was sent
}

// New returns a router for the settings. The error names a wrong field.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Router{set: s, rng: seed, pacing: mix(seed), classes: map[string]*Class{}, caches: map[string]*cache{},
		reqs: map[int64]*request{}, timers: map[int64]timer{}, budget: retryBurst,
		keys: [2]map[uint64]int{{}, {}}, zones: map[string]*zone{}}
	for i := range s.Classes {
		c := s.Classes[i]
		r.classes[c.Name] = &c
		if i == 0 || c.patience() < r.patience {
			r.patience = c.patience()
		}
	}
	if r.set.DrainGrace == 0 {
		r.set.DrainGrace = 1e6
	}
	r.pacer = retry.NewPacer(retry.Options{Clients: s.Routers, Grace: r.set.DrainGrace, AskEvery: s.AskEvery})
	return r, nil
}

// Handle takes one event and returns what is to be done, in order. The slice holds until the next call.
func (r *Router) Handle(now Time, ev Event) []Action {
	r.now, r.out = now, r.out[:0]
	switch ev := ev.(type) {
	case *List:
		r.list(ev)
	case *Request:
		r.request(ev)
	case *Outcome:
		r.outcome(ev)
	case *Started:
		if q := r.reqs[ev.ID]; q != nil {
			q.streams = true
		}
	case *Departed:
		if q := r.reqs[ev.ID]; q != nil {
			r.finish(q)
		}
	case *Timer:
		if t, set := r.timers[ev.Token]; set {
			delete(r.timers, ev.Token)
			r.fire(t)
		}
	case *Probed:
		r.probed(ev)
	case *Fleet:
		r.set.Routers = ev.Routers
	case *Pressure:
		r.pressure = *ev
	}
	return r.out
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

func (r *Router) logf(format string, args ...any) { r.do(Log{fmt.Sprintf(format, args...)}) }

func (r *Router) fire(t timer) {
	q := t.q
	switch t.due {
	case duty:
		t.f()
		return
	case deadlinePast:
		q.why = OutOfTime
		r.answer(q)
		return
	case holdOver:
		if q.held && !q.done {
			r.shed[b2i(q.spares)]++
			q.why = [...]Why{NoRoom, SparesStore}[b2i(q.spares)]
			r.unhold(q)
			r.giveUp(q)
		}
		return
	case attemptSlow, attemptSlower:
		if a := &q.attempts[t.n]; t.due == attemptSlow && a.pending { // few come so far
			a.timers[1] = r.schedule(a.sent+q.class.Aim, timer{due: aimPast, n: t.n, q: q})
		}
		r.slow(q, t.n, t.due == attemptSlow)
		return
	}
	a := &q.attempts[t.n]
	switch {
	case !a.pending:
	case t.due == aimPast && !a.lost && r.overtaken(q, a):
		r.lost += (1 - r.lost) / recently
	case t.due == originLate:
		r.originIsLate(a)
	case t.due == cacheLate:
		adjust(&a.to.limit, false, tolerated)
	case t.due == aimPast && r.sparse() && r.set.Cancels && !q.streams && q.class.Effect == Safe:
		// The danger: what is out past its aim keeps a crowded cache crowded, and is worth little by now.
		a.stopped = true
		r.do(Cancel{q.ID, t.n})
	}
}

// The list.

func (r *Router) list(ev *List) {
	if ev.Kind == ListFailed {
		r.listFailed()
		return
	}
	if ev.Kind != ListStale {
		r.pacer.Answered()
	}
	r.turnOfList++
	for _, e := range ev.Entries {
		r.entry(e)
	}
	for _, c := range r.caches { // any order: each by itself
		if ev.Kind == ListChanges {
			break // what it does not name stays
		}
		if c.namedIn != r.turnOfList {
			c.Condition = Removed
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
		if r.set.MustWatch {
			r.watchAfter(r.pacer.Start(draw(&r.pacing)))
		}
		r.at(r.now, r.forget)
		r.at(r.now, r.turn)
		if r.set.Probes {
			// Routers started together must not probe on one beat.
			r.spare = r.random() * float64(len(r.ready))
			r.at(r.now+Time(r.random()*float64(r.set.DrainGrace)), r.probeRound)
		}
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
	r.at(r.now+max(r.set.ColdTime/4, r.window()), r.forget)
}

func (r *Router) entry(e Entry) {
	c := r.caches[e.ID]
	if c == nil {
		c = &cache{healthy: true, prompt: true, keeps: [2]map[uint64]bool{{}, {}}}
		c.limit = max(leastFirst, firstLimit/float64(max(1, r.set.Routers)))
		r.caches[e.ID], c.knownAt = c, r.now
	} else if e.Start != c.Start {
		// The process is a new one: nothing seen of the old one holds.
		c.healthy, c.fails, c.keeps = true, 0, [2]map[uint64]bool{{}, {}}
		c.doubts, c.aloneUntil = 0, 0
		if r.pressure.Away {
			c.zone.fails, c.limit = 0, leastAway // what was seen lately is an outage, not a crowd
		}
	}
	if r.set.LiveSizes {
		// The danger: a size that falls with the load moves keys from list to list, and they miss.
		// The largest seen is the nominal one, or close; it is the same for all routers.
		e.Size = max(e.Size, c.Size)
	}
	c.Entry = e
	if c.zone = r.zones[e.Zone]; c.zone == nil {
		c.zone = &zone{}
		r.zones[e.Zone] = c.zone
	}
	if e.Size <= 0 {
		c.Size = 1
	}
	c.namedIn = r.turnOfList
	r.place(c)
	// The danger: a start that was told wrong, and is corrected, leaves the cache cold.
	if c.coldFrom, c.warmAt = min(e.Start, r.now), 0; e.Start > 0 {
		c.warmAt = c.coldFrom + r.set.ColdTime
	}
}

// Health: the design's mechanism. Interval is the span within which the operators want bad
// news acted upon, or as many of them as it takes this router's requests to pay for a probe of
// each cache. The danger: probes grow with routers times caches, and cost more than they save.

func (r *Router) probeRound() {
	r.at(r.now+r.set.DrainGrace, r.probeRound)
	r.beats++
	if r.spare < float64(len(r.ready)) && r.beats < longestInterval {
		return
	}
	r.spare, r.beats = 0, 0
	r.round++
	n := r.round
	for _, c := range r.ready {
		c.probing = n
		r.do(Probe{c.ID})
	}
	r.at(r.now+r.probeTimeout(), func() {
		for _, c := range r.ready {
			if c.probing == n {
				c.probing = 0
				c.fails++ // a hung cache never answers its probe: the timer counts it
			}
			if c.healthy && c.fails >= threshold {
				r.mark(c, false)
			}
		}
	})
}

func (r *Router) probeTimeout() Time { return r.set.DrainGrace / 2 }

func (r *Router) probed(ev *Probed) {
	c := r.caches[ev.Cache]
	if c == nil || c.probing == 0 {
		return // too late: its round has been judged
	}
	c.probing = 0
	if ev.Result == NotSent {
		return // it tells nothing of the cache
	}
	if r.sparse() {
		r.rest(c) // few routers come back to each cache soon
	}
	if ev.Result != Served {
		c.fails++
		return
	}
	c.fails = 0
	if !c.healthy {
		r.mark(c, true)
	}
}

func (r *Router) mark(c *cache, healthy bool) {
	if c.healthy = healthy; healthy {
		r.logf("%s healthy", c.ID)
	} else {
		r.logf("%s unhealthy after %d failed probes", c.ID, c.fails)
	}
}

// reached notes whether an attempt met the cache. The danger: links to a zone are cut, and a
// router that learns it from each of its caches apart finds out when it is over.
func (r *Router) reached(c *cache, met bool) {
	if met {
		c.zone.fails = 0
		return
	}
	if c.zone.fails++; c.zone.fails == zoneThreshold {
		r.logf("zone %s out of reach", c.Zone)
	}
	c.zone.trialAt = r.now + r.set.ColdTime/4
	if r.pressure.Away {
		c.sends, c.lastSend = max(0, r.recent(c)-1), r.now // what never came is no load
	}
}

// cut reports whether a cache's zone is held to be out of reach.
func (r *Router) cut(c *cache) bool { return c.zone.fails >= zoneThreshold && r.now < c.zone.trialAt }

// Placement: which cache a request goes to. The order of the caches for a key stands in placement.go.

// pick names the cache for the next attempt, or nil. crowded tells that only
// want of room stands in the way.
func (r *Router) pick(q *request) (to *cache, crowded bool) {
	var anyway, alone *cache // the latter left alone, and not for long any more
	home := true             // until a cache has been passed over that the key should go to
	tried := 0
	r.rank(q.Key)
	for i := range r.ready {
		if tried == rehashCap {
			break
		}
		c := r.nth(i)
		if !r.maySend(q, c) || q.triedAt(c) || !r.warmEnough(q, c) {
			continue
		}
		if r.cut(c) || r.far(q, c) { // not counted: a lost zone may hold most of the fleet
			if anyway == nil && r.hasRoom(c) {
				anyway = c
			}
			continue
		}
		tried++
		if r.now < c.aloneUntil {
			// The danger: what some caches do not serve crowds the others, and they go the same way.
			if q.why = LeftAlone; r.moves < 1 && len(q.attempts) == 0 {
				return nil, false
			}
			if alone == nil || c.aloneUntil < alone.aloneUntil {
				alone = c
			}
			continue
		}
		switch {
		case !c.healthy || r.fails(c): // not crowded: its keys have to go elsewhere, whatever the budget
			if anyway == nil && r.hasRoom(c) {
				anyway = c
			}
		case r.fetch(q, c) && float64(r.fetching)*r.missing >= r.fetches:
			// Likely hits of other routers' keys pass. The danger: one router of many knows few
			// keys, and in sparing the origin it refuses mostly what the cache has.
			crowded, q.spares = true, true
		case !r.hasRoom(c):
			crowded = true
		case !crowded || r.mayOverflow(q, c):
			q.astray = !home
			r.moves -= float64(b2i(alone != nil))
			return c, false
		}
		home = home && (!c.healthy || r.fails(c))
	}
	q.astray = false
	if crowded {
		return nil, true
	}
	if anyway == nil && alone != nil && r.moves >= 1 {
		r.moves-- // the danger: all are left alone, and nobody finds out that one serves again
		anyway = alone
	}
	return anyway, false
}

// fails reports whether a cache answers mostly errors, and has done so just now. The danger: one that
// fails at once looks idle and passes its probes, and its errors would be blamed on the origin.
func (r *Router) fails(c *cache) bool { return r.errors(c) > max(.5, 3*r.erring) }

func (r *Router) errors(c *cache) float64 {
	return c.erring * math.Exp(-float64(r.now-c.erredAt)/float64(4*r.set.DrainGrace))
}

// hasRoom reports whether the limit lets one more attempt out. A limit under one
// leaves gaps between attempts. The danger: a cache slowed down by crowding stays slow until it
// has been mostly idle, and one attempt of every router at all times is enough to keep it so.
func (r *Router) hasRoom(c *cache) bool {
	limit := c.limit
	if r.pressure.On && r.now >= r.sentAt+r.set.DrainGrace/4 {
		return true // the danger: all limits are low, nothing is sent, and nobody finds out that they need not be
	}
	if r.pressure.Away {
		// The danger: a cold cache is slow with one attempt, too, and gets none; and nobody finds one that is back.
		limit = max(limit, leastAway)
	}
	if limit >= 1 || c.pending > c.hung {
		return float64(c.pending-c.hung) < limit
	}
	return r.now >= c.lastSend+Time(float64(r.patience)*(1/c.limit-1))
}

// mayOverflow reports whether a request without room at its home may go to another cache: one
// that keeps its key, or any while the origin has room or the budget a token. The danger:
// overflowing keys miss wherever they go and crowd the origin.
func (r *Router) mayOverflow(q *request, c *cache) bool {
	// The danger in a storm: a fetch at each cache that is asked, while the origin can do few.
	return c.knows(q.Key) || r.originIdles() || r.budget >= 1 && !r.pressure.On
}

func (r *Router) originIdles() bool { return float64(r.fetching) < r.fetches/2 }

// knows reports whether the cache has answered for the key lately, so that it likely keeps it.
func (c *cache) knows(key uint64) bool { return c.keeps[0][key] || c.keeps[1][key] }

func (q *request) triedAt(c *cache) bool {
	broke := len(q.attempts) == 1 && q.attempts[0].unmet && !q.attempts[0].neverRan
	return !broke && slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.to == c })
}

// warmEnough keeps a cold cache to its share, whichever way a request comes to
// it. The danger: all routers' work adds up, and a cold cache pushed over stays
// down. A second hash of the key decides, so that routers agree and it fills steadily.
func (r *Router) warmEnough(q *request, c *cache) bool {
	if r.now >= c.warmAt {
		return true
	}
	w := r.warmLoad()
	lack := max(0, 1-2*w.size/w.whole)
	hot := r.width(q.Key) >= 2 && !r.sparse() // where routers are many, nearly all keys go to several caches
	if part := unit(mix(mix(q.Key) + 1)); part >= lack && (len(q.attempts) > 0 || hot || part >= r.warmth(c)) {
		return false // in trouble retries are most of what is sent, and they all look for room
	}
	// Retries and hot keys can still add up: it gets no more than its part of what warm ones get. The
	// danger: after a power cut there are no warm ones, and next to nothing is sent at all. Then what
	// it serves is the measure: work grows with that, and stays under the multiple that pushes it over.
	return r.recent(c) < 1+max(r.warmth(c)*c.Size*w.sent/max(w.size, c.Size), lack*coldGrowth*r.servedBy(c))
}

// warmLoad is what warm caches have been sent lately, and their size beside that of all.
type warmLoad struct {
	at                Time
	sent, size, whole float64
}

// warmLoad sums it up once a millisecond. The danger: with thousands of caches, some of them always
// cold, the sum is most of what a request costs.
func (r *Router) warmLoad() *warmLoad {
	if w := &r.warm; w.whole == 0 || r.now/1000 != w.at/1000 || len(r.ready) <= fewCaches {
		*w = warmLoad{at: r.now}
		for _, c := range r.ready {
			if w.whole += c.Size; r.now >= c.warmAt {
				w.sent, w.size = w.sent+r.recent(c), w.size+c.Size
			}
		}
	}
	return &r.warm
}

// recent is the number of attempts sent to a cache lately, fading within TipTime.
func (r *Router) recent(c *cache) float64 { return c.sends * r.fade(c.lastSend) }

// servedBy is the same of what it has served.
func (r *Router) servedBy(c *cache) float64 { return c.serves * r.fade(c.lastServe) }

// fade is the weight of what was counted at a time.
func (r *Router) fade(then Time) float64 {
	return math.Exp(-float64(r.now-then) / float64(max(r.set.TipTime, 1)))
}

// warmth is the least share of its capacity that a cache can have by now.
func (r *Router) warmth(c *cache) float64 {
	if r.now >= c.warmAt {
		return 1
	}
	age := float64(r.now-c.coldFrom) / float64(r.set.ColdTime)
	return r.set.ColdShare + (1-r.set.ColdShare)*max(0, age)
}

// Rules.

// maySend is the one answer to "may this request be sent (again), to this cache?".
func (r *Router) maySend(q *request, c *cache) bool {
	if q.done || q.streams || r.now >= q.Deadline || len(q.attempts) >= r.set.MaxAttempts ||
		c.Condition != Up { // drains are kept from the moment they are known
		return false
	}
	for _, a := range q.attempts {
		if a.pending && !r.set.Copies {
			return false
		}
		if a.neverRan || q.class.Effect == Safe {
			continue
		}
		// It may have run: its effect must not happen twice.
		if q.class.Effect == Unsafe || !sameGroup(q.class.Scope, a.to, c) || r.now >= q.class.remembers(a.sent) {
			return false
		}
	}
	return true
}

// remembered is until when the caches remember the earlier attempts of a keyed request that may have
// run, those before the n-th; 0 where there is none. The danger: the next one waits for a connection
// and is written when its repeat is no longer dropped.
func (q *request) remembered(n int) (until Time) {
	for _, a := range q.attempts[:n] {
		if t := q.class.remembers(a.sent); q.class.Effect == Keyed && !a.neverRan && (until == 0 || t < until) {
			until = t
		}
	}
	return until
}

// remembers is until when a repeat of what was sent may be written: it takes its way, the clock stands still in a turn, and
// the router may be held up before it writes.
func (c *Class) remembers(sent Time) Time {
	return sent + max(0, min(Time(windowPart*float64(c.KeyTTL)), c.KeyTTL-HeldUp))
}

func sameGroup(s Scope, a, b *cache) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeCell && a.Cell == b.Cell
}

// mayRefuse is the one answer to "may it be refused, or only failed?": a
// refusal tells the client that trying again is harmless.
func (r *Router) mayRefuse(q *request) bool {
	if q.class.Effect == Safe || q.class.Effect == Keyed && q.class.Scope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.neverRan })
}

// Requests.

var unknownClass = Class{Effect: Unsafe}

func (r *Router) request(ev *Request) {
	q := &request{Request: ev, class: r.classes[ev.Class], arrived: r.now}
	if q.class == nil {
		q.class = &unknownClass
	} else if ev.Unkeyed {
		unkeyed := *q.class
		unkeyed.Effect, q.class = Unsafe, &unkeyed
	}
	if r.pressure.On && ev.Since > 0 {
		// The danger: a request that is refused comes back until its client gives up, and what caches can
		// do goes to those that were asked long ago: they are served, and too late. Where all that ask for
		// the first time are served, there is room for them.
		q.arrived = ev.Since
		sending := r.pressure.Away || r.now < r.sentAt+r.set.DrainGrace/10 // else there is room by now
		if r.now >= q.holdUntil() && r.now < r.turnedAway+r.set.DrainGrace/2 && sending && r.mayRefuse(q) {
			q.why = PastUse
			r.refuse(q)
			return
		}
	}
	q.attempts = q.first[:0]
	if !q.HasKey {
		own := *ev
		own.Key, q.Request = mix(uint64(ev.ID)^r.rng), &own
	}
	r.reqs[q.ID] = q
	if r.now < q.Deadline {
		// No request is lost: whatever else happens, this timer gives the final answer.
		q.timers[0] = r.schedule(q.Deadline, timer{due: deadlinePast, q: q})
	}
	r.budget = min(r.budget+retryShare*r.retries(), retryBurst*r.retries())
	price := r.set.ProbePrice
	if r.sparse() {
		// Each probe opens a connection, and each cache hears from all of them.
		price = (price + r.set.DialPrice) / sparseProbes
	}
	r.spare += probeShare / max(price, 1e-9)
	r.keys[0][q.Key]++
	r.asked[0]++
	r.earnMove()
	if !r.admits() {
		q.why = TooMuch
		r.answer(q)
		return
	}
	r.forward(q)
}

// retries is the share of the budget that is left for retries and hedges.
func (r *Router) retries() float64 {
	if r.pressure.On {
		return r.pressure.Retries
	}
	return 1
}

// forward sends a request on, holds it for room, or answers it when neither can be.
func (r *Router) forward(q *request) {
	if r.isRetry(q) && r.budget < 1 {
		q.why = NoRetry
		r.giveUp(q) // the danger: retries feed the overload that caused them
		return
	}
	q.why = NoCache
	c, crowded := r.pick(q)
	switch {
	case c != nil:
		r.send(q, c)
	case crowded && r.now < q.holdUntil():
		r.hold(q)
	default:
		if crowded {
			q.why = [...]Why{NoRoom, SparesStore}[b2i(q.spares)]
		}
		r.giveUp(q)
	}
}

// isRetry reports whether a further attempt adds to what caches are asked for: one that did not
// meet its cache has cost none of them anything.
func (r *Router) isRetry(q *request) bool {
	return len(q.attempts) > 0 && !q.attempts[len(q.attempts)-1].unmet
}

// giveUp answers a request unless an attempt is still out that may do so.
func (r *Router) giveUp(q *request) {
	if !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.pending }) {
		r.answer(q)
	}
}

// holdUntil is when a held request can no longer be served within its aim.
func (q *request) holdUntil() Time {
	return q.arrived + Time(holdShare*float64(min(q.class.Aim, q.Deadline-q.arrived)))
}

// hold keeps a request until a cache has room. The danger it answers: a crowded
// cache serves everything late, and late failures cost most.
func (r *Router) hold(q *request) {
	if !q.held {
		q.held = true
		r.waiting = append(r.waiting, q)
		q.timers[1] = r.schedule(q.holdUntil(), timer{due: holdOver, q: q})
	}
}

func (r *Router) unhold(q *request) {
	q.held = false
	r.drop(q.timers[1])
	if i := slices.Index(r.waiting, q); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// admit sends held requests on when there is room again, the latest first: the danger of
// the fair order is that in overload each one waits until it is too late.
func (r *Router) admit() {
	failed := 0
	for i := len(r.waiting) - 1; i >= 0 && failed < admitTries; i-- {
		q := r.waiting[i]
		if c, _ := r.pick(q); c == nil {
			failed++ // the danger: with thousands held, trying all at each answer takes seconds
		} else {
			r.unhold(q)
			r.send(q, c)
		}
	}
}

func (r *Router) send(q *request, c *cache) {
	if r.isRetry(q) || len(q.attempts) == 0 && q.astray && !r.originIdles() && !c.knows(q.Key) {
		r.budget--
	}
	q.attempts = append(q.attempts, attempt{to: c, sent: r.now, pending: true, fetch: r.fetch(q, c)})
	n := len(q.attempts) - 1
	c.pending++
	c.uses++
	r.uses++
	c.sends = r.recent(c) + 1
	c.lastSend, r.sentAt = r.now, r.now
	r.fetching += b2i(q.attempts[n].fetch)
	if c.zone.fails >= zoneThreshold {
		c.zone.trialAt = r.now + r.set.ColdTime/4 // the trial is one request
	}
	r.do(Send{ID: q.ID, Cache: c.ID, StopAt: q.Deadline, WriteBy: q.remembered(n)})
	q.attempts[n].timers[0] = r.schedule(r.now+q.class.patience(), timer{due: attemptSlow, n: n, q: q})
}

// slow looks after an attempt that is out for longer than the patience.
func (r *Router) slow(q *request, n int, first bool) {
	a := &q.attempts[n]
	if !a.pending || q.done {
		return
	}
	if r.lost > lossy && r.overtaken(q, a) {
		a.lost = true
		a.to.hung++
		r.lost += (1 - r.lost) / recently / 2 // it might have come late
		if !first {
			adjust(&a.to.limit, true, .5) // it was held against the cache
		}
	} else if first {
		r.verdict(a, false)
		r.overdue(q, n)
	}
	if first || a.lost {
		r.hedge(q, n)
	}
	if r.lost > lossy && !a.lost {
		q.attempts[n].timers[0] = r.schedule(r.now+q.class.patience()/4, timer{due: attemptSlower, n: n, q: q})
	}
}

// overtaken reports whether later attempts were answered in time though this one was not. The
// danger: a cache, or the way to it, loses part of what it is sent. Taken for crowding, that lowers
// its limit until hardly anything is sent at all.
func (r *Router) overtaken(q *request, a *attempt) bool {
	return a.to.passed > a.sent && a.to.late < unhurried && (!a.fetch && !q.Write || r.passed > a.sent)
}

// hedge sends a second copy of a request whose attempt is overdue at a cache that has answered
// nothing since. The danger: a cache that hangs takes requests and answers none until two
// rounds of probes have failed. Late answers are no reason: in overload they all are.
func (r *Router) hedge(q *request, n int) {
	if q.done || !r.set.Copies || r.pressure.On {
		return
	}
	a := &q.attempts[n]
	if a.lost {
		r.budget = max(r.budget, 1) // it takes nothing from the cache, which is not crowded either
	} else if a.to.answered > a.sent || r.budget < 1 {
		return
	}
	if c, _ := r.pick(q); c != nil {
		r.send(q, c)
	}
}

// patience is how long an attempt may take before it counts as overdue.
func (c *Class) patience() Time { return max(c.Aim/2, 1) }

// fetch reports whether the origin likely has to serve a read that is sent to the cache.
func (r *Router) fetch(q *request, c *cache) bool { return !q.Write && !c.knows(q.Key) }

// overdue blames a late attempt on the origin if it is a likely miss and the cache answered the
// last likely hit in time, else on the cache. The danger: an origin that is asked for too much serves all of
// it late, writes too, and goes on with work that nobody waits for; a cache likewise.
func (r *Router) overdue(q *request, n int) {
	a := &q.attempts[n]
	c := a.to
	if a.fetch && c.prompt && (r.now >= c.warmAt || r.pressure.Away) {
		// A cold one is slow itself and has few hits.
		a.timers[2] = r.schedule(a.sent+Time(originShare*float64(q.class.Aim)), timer{due: originLate, n: n, q: q})
		return
	}
	c.prompt = false
	if c.limit > r.alone() {
		r.pool(false)
		adjust(&c.limit, false, tolerated)
		return
	}
	// The danger: where all caches are slow by themselves, less load makes none of them faster,
	// and a share of nothing is served. Alone, an attempt may take its whole aim.
	a.timers[2] = r.schedule(a.sent+q.class.Aim, timer{due: cacheLate, n: n, q: q})
}

// rest closes a cache's idle connections where they cost more than they save. The danger: each router
// keeps the one to each cache that a probe has opened, and the caches' tables are full of them.
func (r *Router) rest(c *cache) {
	if c.pending == 0 && r.caches[c.ID] == c && r.closesIdle(c) {
		r.do(CloseIdle{c.ID})
	}
}

// closesIdle reports whether an idle connection to the cache costs more than it saves: a dial,
// when this router comes back. At even shares keeping costs Routers/100 times what dialling
// does, as 100 connections a cache cost ConnPrice; a cache used more than others earns its own
// more often. The danger: every router keeps one to every cache, and the caches' tables are full.
func (r *Router) closesIdle(c *cache) bool {
	again := float64(c.uses-1) / float64(max(1, r.uses)) * float64(len(r.ready))
	if r.sparse() && again < usedMuch {
		return true // the danger: what a cache takes is told nowhere, and priced or not, its table is full
	}
	crowd := float64(r.set.Routers) / 100
	keep := r.set.ConnPrice * crowd
	if crowd > 1 {
		keep *= crowd * crowd // the danger: a table that is full takes a cache more work than dials do
	}
	return keep > r.set.DialPrice*again
}

// alone is the limit at which all routers together keep one attempt out at a cache.
func (r *Router) alone() float64 { return 1 / float64(max(1, r.set.Routers)) }

// adjust moves a limit by the fate of one attempt under it. A limit comes to rest where
// the tolerated share of attempts is overdue: some are long by nature.
func adjust(limit *float64, good bool, tolerated float64) {
	if good {
		*limit += step * tolerated / (1 - tolerated)
	} else {
		*limit = max(leastLimit, *limit-step*min(*limit, 1))
	}
}

// pool lets a verdict on one cache count in part at all that take more than one attempt of all
// routers. The danger: of many routers each sends a cache little, and learns of a surge or of a
// lost zone from each cache apart, when it is over. Of hundreds, it would be all caches for one that hangs.
func (r *Router) pool(good bool) {
	if r.sparse() {
		return
	}
	weight := pooled * float64(r.set.Routers)
	part := weight / (weight + float64(len(r.ready)))
	if part < leastPart {
		return // the danger: with thousands of caches each answer looks at all of them, for a thousandth
	}
	for _, c := range r.ready {
		if limit := c.limit; limit > r.alone() {
			adjust(&limit, good, tolerated)
			c.limit = max(r.alone(), c.limit+part*(limit-c.limit))
		}
	}
}

// answer gives the final answer, once.
func (r *Router) answer(q *request) {
	if q.done || q.streams {
		return
	}
	if r.mayRefuse(q) {
		if q.Since == 0 && len(r.ready) > 0 { // without a cache it says nothing of their room
			r.turnedAway = r.now
		}
		r.refuse(q)
	} else {
		r.do(Fail{ID: q.ID, Why: q.why})
	}
	r.finish(q)
}

// refuse names a time to come back. The danger: those that are refused together come back together.
func (r *Router) refuse(q *request) {
	wait := min(r.set.RefuseWait, q.class.Aim)
	if r.pressure.On {
		span := min(r.pressure.Wait, r.set.RefuseWait-wait/2)
		wait = wait/2 + Time(unit(mix(q.Key^mix(uint64(q.ID))))*float64(span))
	}
	r.do(Refuse{ID: q.ID, Wait: wait, Why: q.why})
}

// finish stops what is still out for a request that is over.
func (r *Router) finish(q *request) {
	q.done = true
	if q.held {
		r.unhold(q)
	}
	r.drop(q.timers[0])
	out := false
	for i := range q.attempts {
		if a := &q.attempts[i]; a.pending {
			out = true
			if r.set.Cancels && !q.streams && !a.stopped {
				a.stopped = true
				r.do(Cancel{q.ID, i})
			}
		}
	}
	if !out {
		delete(r.reqs, q.ID)
	}
}

func (r *Router) outcome(ev *Outcome) {
	q := r.reqs[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.attempts) || !q.attempts[ev.Attempt].pending {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.pending, a.neverRan = false, ev.Result.NeverRan()
	r.drop(a.timers[:]...)
	a.to.pending--
	r.fetching -= b2i(a.fetch)
	a.to.hung -= b2i(a.lost)
	if ev.Result == Served || ev.Result == Errored || ev.Result == Rejected {
		a.to.answered = r.now
		r.reached(a.to, true)
	} else if a.unmet = ev.Result == NoConnection || ev.Result == ConnLost &&
		r.now-a.sent < q.class.patience()/2; ev.Result == NoConnection {
		r.reached(a.to, false)
	}
	r.rest(a.to)
	good := ev.Result == Served && r.now-a.sent < q.class.patience()
	if r.now-a.sent < q.class.patience() && ev.Result != Cancelled && ev.Result != NotSent {
		r.verdict(a, good)
	}
	if ev.Result == Served && !good && r.now-a.sent < q.class.Aim {
		r.met = min(r.met+1, r.judged) // the danger: where work is long beside the aim, all would seem lost
	}
	if ev.Result == Served {
		a.to.late += (float64(b2i(!good)) - a.to.late) / recently
	}
	if good {
		a.to.passed = max(a.to.passed, a.sent)
		if ev.Miss || q.Write {
			r.passed = max(r.passed, a.sent)
		}
		r.lost -= r.lost / recently
	}
	a.to.prompt = a.to.prompt || good && !a.fetch
	if z, took := a.to.zone, r.now-a.sent; ev.Result == Served && !ev.Miss && !q.Write {
		if z.way == 0 {
			z.way = took
		}
		z.way, z.wayTill = min(took, z.way+(took-z.way)/recently), r.now+r.set.ColdTime
	}
	fetched := ev.Result == Served && a.fetch && float64(r.now-a.sent) < originShare*float64(q.class.Aim)
	if failed := ev.Result == Errored; failed || ev.Result == Served {
		a.to.erring, a.to.erredAt = r.errors(a.to)*7/8+float64(b2i(failed))/8, r.now
		r.erring += (float64(b2i(failed)) - r.erring) / 16
	}
	blamed := ev.Result == Errored && !r.fails(a.to)
	if blamed || fetched && float64(r.fetching+1) > r.fetches/2 {
		adjust(&r.fetches, fetched, originTolerated)
		r.fetches = max(1, r.fetches)
	}
	crowd := ev.Result == Rejected || ev.Result == NoConnection && !r.pressure.Away
	if crowd || good && float64(a.to.pending+1) > a.to.limit/2 {
		r.pool(good)
		adjust(&a.to.limit, good, tolerated)
	} else if ev.Result == Served && a.to.limit < r.alone() && r.now-a.sent < q.class.Aim {
		adjust(&a.to.limit, true, tolerated)
	}
	if a.fetch && ev.Miss && !fetched && r.sparse() {
		r.fetches = max(1, r.fetches-step)
	}
	if a.fetch && (ev.Result == Served || blamed) {
		r.missing -= r.missing / missWindow
		if ev.Miss || blamed {
			r.missing += 1.0 / missWindow
		}
	}
	if ev.Result == Served {
		a.to.keeps[0][q.Key] = true
		a.to.serves, a.to.lastServe = r.servedBy(a.to)+1, r.now
	}
	defer r.admit()
	if ev.Last || q.done {
		r.finish(q)
		return
	}
	if r.now >= q.Deadline {
		q.why = OutOfTime
		r.answer(q) // the danger: the time-out at the deadline still owes the answer
		return
	}
	r.forward(q)
}
