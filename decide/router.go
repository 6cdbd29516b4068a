package decide

import "starlingwinch/internal/retry"

// defaultDrainGrace is the drain grace if the settings specify none; µs.
const defaultDrainGrace Time = 1_000_000

// Router makes the decisions of one router process. It composes the rules of this package, each of which has
// its own file. A Router is not safe for concurrent use and must be created with New.
type Router struct {
	settings        Settings
	classes         map[string]*Class
	shortestTimeout Time // shortest response timeout of all classes

	now     Time     // of the current event
	actions []Action // of the current event
	random  randomSource
	timers  timerTable

	caches   map[string]*cache  // listed caches that are not removed, by ID
	serving  []*cache           // listed caches whose status is Serving, sorted by ID
	zones    map[string]*zone   // all zones that have appeared in the list, by name
	requests map[int64]*request // requests without a final answer or with an attempt in flight, by ID

	list         listWatch
	placement    keyPlacement
	hotKeys      hotKeys
	queue        requestQueue
	shedding     sheddingReport
	origin       originLimit
	retryBudget  retryBudget
	storm        stormState
	timeliness   timeliness
	failover     failoverBudget
	healthChecks healthChecks
	warmTraffic  warmTraffic
	errorRatio   movingAverage // ratio of errors among the answers of all caches
	lossDetector lossDetector

	attemptsSent int  // attempts sent since the start
	lastSendAt   Time // send time of the latest attempt
}

// New returns a router with the given settings. Equal seeds and events produce equal actions. The error names
// the first field that is out of range.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if s.DrainGrace == 0 {
		s.DrainGrace = defaultDrainGrace
	}
	r := &Router{
		settings:     s,
		classes:      map[string]*Class{},
		random:       randomSource(seed),
		timers:       timerTable{pending: map[int64]timer{}},
		caches:       map[string]*cache{},
		zones:        map[string]*zone{},
		requests:     map[int64]*request{},
		hotKeys:      newHotKeys(),
		origin:       newOriginLimit(),
		retryBudget:  retryBudget{tokens: maxRetryTokens},
		errorRatio:   movingAverage{window: fleetErrorWindow},
		lossDetector: newLossDetector(),
	}
	r.list.random = randomSource(mix(seed))
	r.list.pacer = retry.NewPacer(retry.Options{
		Clients:      s.Routers,
		Grace:        s.DrainGrace,
		PollInterval: s.PollInterval,
	})
	for i, class := range s.Classes {
		r.classes[class.Name] = &class
		if timeout := class.responseTimeout(); i == 0 || timeout < r.shortestTimeout {
			r.shortestTimeout = timeout
		}
	}
	return r, nil
}

// Handle processes one event and returns the resulting actions in order. The slice is valid until the next
// call.
func (r *Router) Handle(now Time, ev Event) []Action {
	r.now, r.actions = now, r.actions[:0]
	switch ev := ev.(type) {
	case *EndpointList:
		r.handleEndpointList(ev)
	case *Request:
		r.handleRequest(ev)
	case *AttemptResult:
		r.handleAttemptResult(ev)
	case *ResponseStarted:
		r.handleResponseStarted(ev)
	case *ClientGone:
		r.handleClientGone(ev)
	case *Timer:
		r.handleTimer(ev)
	case *HealthCheckResult:
		r.handleHealthCheckResult(ev)
	case *RouterCount:
		r.settings.Routers = ev.Routers
	case *RetryStorm:
		r.storm.RetryStorm = *ev
	}
	return r.actions
}

// emit appends an action to the actions of the current event.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// handleTimer runs the handler of a timer. Cancelled timers are ignored.
func (r *Router) handleTimer(ev *Timer) {
	t, pending := r.timers.take(ev.Token)
	if !pending {
		return
	}
	switch t.kind {
	case functionDue:
		t.run()
	case requestDeadlineReached:
		r.handleRequestDeadline(t.request)
	case queueDeadlineReached:
		r.handleQueueDeadline(t.request)
	case attemptOverdue:
		r.handleAttemptOverdue(t.request, t.attempt)
	case attemptStillOverdue:
		r.handleAttemptStillOverdue(t.request, t.attempt)
	default:
		r.handleLateAttempt(t)
	}
}

// handleLateAttempt runs the handler of a timer for an attempt, if the attempt is still in flight.
func (r *Router) handleLateAttempt(t timer) {
	a := &t.request.attempts[t.attempt]
	if !a.inFlight() {
		return
	}
	switch t.kind {
	case objectiveReached:
		r.handleObjectiveReached(t.request, t.attempt)
	case originOverdue:
		r.originOverdue(a)
	case soleAttemptOverdue:
		a.cache.limit.adjust(false, toleratedLateRatio)
	}
}
