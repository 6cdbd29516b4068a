// The decisions of the router. Its interface (settings, events, actions) stands
// in api.go; read that first.
package decide

import (
	"fmt"

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
	Endpoint
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
	why      Reason     // what stands in its way
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
	probing      bool                   // rounds of probes have begun: caches are known
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
	pressure     RetryStorm
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
	r.pacer = retry.NewPacer(retry.Options{
		Clients:      s.Routers,
		Grace:        r.set.DrainGrace,
		PollInterval: s.PollInterval,
	})
	return r, nil
}

// Handle takes one event and returns what is to be done, in order. The slice holds until the next call.
func (r *Router) Handle(now Time, ev Event) []Action {
	r.now, r.out = now, r.out[:0]
	switch ev := ev.(type) {
	case *EndpointList:
		r.list(ev)
	case *Request:
		r.request(ev)
	case *AttemptResult:
		r.outcome(ev)
	case *ResponseStarted:
		if q := r.reqs[ev.ID]; q != nil {
			q.streams = true
		}
	case *ClientGone:
		if q := r.reqs[ev.ID]; q != nil {
			r.finish(q)
		}
	case *Timer:
		if t, set := r.timers[ev.Token]; set {
			delete(r.timers, ev.Token)
			r.fire(t)
		}
	case *HealthCheckResult:
		r.probed(ev)
	case *RouterCount:
		r.set.Routers = ev.Routers
	case *RetryStorm:
		r.pressure = *ev
	}
	return r.out
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

func (r *Router) logf(format string, args ...any) { r.do(Log{Message: fmt.Sprintf(format, args...)}) }

func (r *Router) fire(t timer) {
	q := t.q
	switch t.due {
	case duty:
		t.f()
		return
	case deadlinePast:
		q.why = DeadlineExceeded
		r.answer(q)
		return
	case holdOver:
		if q.held && !q.done {
			r.shed[b2i(q.spares)]++
			q.why = [...]Reason{NoCapacity, OriginProtected}[b2i(q.spares)]
			r.unhold(q)
			r.giveUp(q)
		}
		return
	case attemptSlow, attemptSlower:
		if a := &q.attempts[t.n]; t.due == attemptSlow && a.pending { // few come so far
			a.timers[1] = r.schedule(a.sent+q.class.LatencyObjective, timer{due: aimPast, n: t.n, q: q})
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
	case t.due == aimPast && r.sparse() && r.set.AllowCancel && !q.streams && q.class.Semantics == Idempotent:
		// The danger: what is out past its aim keeps a crowded cache crowded, and is worth little by now.
		a.stopped = true
		r.do(Cancel{q.ID, t.n})
	}
}
