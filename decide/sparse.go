package decide

import "math"

// Many routers. Where hundreds share the caches, each sends one of them a request every few seconds: a
// limit on attempts that are out has nothing to learn from, and what one router does all of them do.
// So a router goes by what it needs no second answer for: a cache that kept it waiting is left alone for
// a while, longer each time; few requests may move from their caches for that; what all caches together
// do not serve in time is refused at once; and keys are spread by what is likely of their popularity.

const (
	sparseFrom   = 16   // routers from which it is so: every second one's part of firstLimit is none
	sparsePart   = .03  // as hotPart: the larger the fleet, the less of a cache a key may fill alone
	busyPart     = .125 // ... while the origin has much to do
	usualShare   = .003 // of all requests that the key of one has, before anything is known of it
	usualWeight  = 30   // requests that this counts as
	acceptMost   = 1.2  // attempts for each one that was lately served in time
	fewVerdicts  = 5    // in time, that count beside those of the last moments
	movesMost    = .6   // of requests may go elsewhere since their cache is left alone, where ...
	movesAll     = .9   // ... so many attempts are served in time; fewer with each that is not, and ...
	movesFrom    = .7   // ... from here on down
	movesLeast   = .1   // ... these alone
	movesBurst   = 10
	mostDoubts   = 8
	usedMuch     = 2   // times the mean that a cache is used, from where a connection is kept for the next time
	sparseProbes = .25 // of probeShare: what probes tell, requests have told before
)

// sparse reports whether so many routers share the caches that this one hears too seldom of each.
func (r *Router) sparse() bool { return r.set.Routers > sparseFrom }

// width is over how many caches a key's requests go, of so many that its share of them is fair at each.
// The danger: a router that has just started does not know the hot keys. All of them send each to one
// cache, which is crowded within seconds, and slow for long after.
func (r *Router) width(key uint64) float64 {
	n, asked := float64(r.keys[0][key]+r.keys[1][key]), float64(r.asked[0]+r.asked[1])
	if r.sparse() {
		share := (max(n-1, 0) + usualShare*usualWeight) / (asked + usualWeight)
		part := sparsePart
		if !r.originIdles() {
			part = busyPart // each further cache misses first, and again after each write of the key
		}
		return 1 + share*float64(len(r.ready))/part
	}
	if n < hotLeast {
		return 1
	}
	return 1 + n/asked*float64(len(r.ready))/hotPart
}

// spread is over how many caches a key's requests go: one, unless it is hot.
func (r *Router) spread(key uint64) int {
	if r.sparse() {
		return int(r.width(key) + r.random()) // each router errs; their mean does not
	}
	return int(r.width(key))
}

// verdict takes in whether an attempt was served within the patience.
func (r *Router) verdict(a *attempt, good bool) {
	if !r.sparse() {
		return
	}
	f := math.Exp(-float64(r.now-r.judgedAt) / float64(max(r.set.OverloadWindow, 1)))
	r.judged, r.met, r.judgedAt = r.judged*f+1, r.met*f+float64(b2i(good)), r.now
	c := a.to
	switch {
	case good:
		c.doubts = max(0, c.doubts-1)
	case c.answered <= a.sent || !a.pending: // else it only kept this one waiting
		// The danger: a cache that hangs, or is slowed down by crowding, is told by each router's few
		// answers when it is over. It is left alone for as long as it usually goes unasked, then twice
		// as long and so on: its load falls by half each time, whatever a router's part of it is.
		gap := max(float64(r.now-c.knownAt)/float64(c.uses), float64(r.window())/4)
		gap = min(gap*math.Exp2(float64(c.doubts)), float64(r.set.SlowStartWindow))
		c.aloneUntil = max(c.aloneUntil, r.now+Time(gap))
		c.doubts = min(c.doubts+1, mostDoubts)
	}
}

// admits reports whether one more request may be sent on. The danger: what caches can't serve in time
// still takes their time, and its clients come back: they serve next to nothing long after a burst.
func (r *Router) admits() bool { return !r.sparse() || r.random() < acceptMost*r.inTime() }

// originIsLate holds a likely miss that is out for too long against the origin. Of many routers each
// knows few keys, and most of its likely misses are none: there it is held against it only for as much as
// it is likely, and where the cache has answered since.
func (r *Router) originIsLate(a *attempt) {
	if !r.sparse() {
		adjust(&r.fetches, false, originTolerated)
	} else if a.to.answered > a.sent {
		r.fetches -= step * r.missing
	}
	r.fetches = max(1, r.fetches)
}

// inTime is the share of attempts that were lately served within the patience, at all caches.
func (r *Router) inTime() float64 { return (r.met + fewVerdicts) / (r.judged + fewVerdicts) }

// earnMove is one request's part in the budget of those that may go elsewhere. The danger: what the
// caches left alone do not serve crowds the others, and they go the same way.
func (r *Router) earnMove() {
	share := movesMost * min(1, (r.inTime()-movesFrom)/(movesAll-movesFrom))
	r.moves = min(r.moves+max(movesLeast, share), movesBurst)
}

// far reports whether an answer from a cache's zone, another one than the router's, comes too late as a rule,
// however little there is to do. The danger: connections can't be kept where routers are many, and what each
// takes to come up passes for crowding. Now and then it is tried again: a way may have been long for a while.
func (r *Router) far(q *request, c *cache) bool {
	return r.sparse() && c.Zone != r.set.Zone && c.zone.way >= q.class.patience() && r.now < c.zone.wayTill
}
