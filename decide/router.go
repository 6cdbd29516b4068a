package decide

import "starlingwinch/internal/retry"

// defaultDrainGrace is the drain grace where the settings name none; µs.
const defaultDrainGrace Time = 1_000_000

// Router makes the decisions of one router process. It composes the rules of this package, each of which has
// a file of its own, and is not safe for concurrent use. Use New.
type Router struct {
	settings        Settings
	classes         map[string]*Class
	shortestTimeout Time // shortest response timeout of all classes

	now     Time     // of the event that is handled
	actions []Action // of the event that is handled
	random  randomSource
	timers  timerTable

	caches   map[string]*cache  // listed caches that are not removed, by id
	serving  []*cache           // those of them whose status is Serving, by id
	zones    map[string]*zone   // every zone that the list has named, by name
	requests map[int64]*request // without a final answer, or with an attempt out, by id

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

	attemptsSent int  // attempts ever sent
	lastSendAt   Time // when the latest attempt was sent
}

// New returns a router for the settings. Equal seeds and events give equal actions. The error names the first
// field that is out of range.
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

// Handle takes one event and returns what is to be done, in order. The slice is valid until the next call.
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

// emit adds an action to those of the event that is handled.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// handleTimer does what is due. Timers that were cancelled are ignored.
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

// handleLateAttempt does what is due for an attempt that is still out.
func (r *Router) handleLateAttempt(t timer) {
	a := &t.request.attempts[t.attempt]
	if !a.isOut() {
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
