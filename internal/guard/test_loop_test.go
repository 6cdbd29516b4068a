package guard

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"starlingwinch/decide"
)

const ms = 1000 // microseconds

// loopFaults selects the ways in which a testLoop breaks the contract.
type loopFaults struct {
	dropsSends        bool // a Send for a finished request without an attempt in flight gets no result
	dropsHealthChecks bool // a HealthCheck of a cache that is not listed gets no result
}

// testLoop is a small event loop around the real decision module, with a simulated clock. Like the router's loop, it carries out
// actions immediately but delivers events from a queue, so that events and actions cross.
type testLoop struct {
	t            *testing.T
	rng          *rand.Rand
	settings     decide.Settings
	module       *decide.Router
	contract     *Contract
	now          decide.Time
	faults       loopFaults
	queuedEvents []decide.Event
	timers       timerHeap
	clients      []*testClient  // indexed by request ID minus 1
	attempts     []*testAttempt // in flight, in the order in which they were sent
	healthChecks []pendingHealthCheck
	listed       [fleetSize]bool
	breaches     []Breach
	// Counts that let a test check that the random events covered these cases.
	sends, served, healthChecksSent, idleCloses, sendsAfterEnd int
}

type testClient struct {
	id              int64
	deadline        decide.Time
	attempts        int
	inFlight        int
	finished        bool
	responseStarted bool
}

type testAttempt struct {
	client          *testClient
	number          int
	cache           string
	deadline        decide.Time
	responseStarted bool
}

type pendingHealthCheck struct {
	cache string
	at    decide.Time
}

const fleetSize = 8

func cacheName(i int) string { return fmt.Sprintf("c%d", i) }

func randomSettings(rng *rand.Rand) decide.Settings {
	settings := decide.Settings{
		Routers: 1 + rng.Intn(3), MaxAttempts: 1 + rng.Intn(4),
		AllowHedging: rng.Intn(2) == 0, AllowCancel: rng.Intn(3) > 0, AllowHealthChecks: rng.Intn(4) > 0, WatchRequired: rng.Intn(2) == 0,
		DrainGrace: pickOne[decide.Time](rng, 100*ms, 1000*ms), SlowStartWindow: 10_000 * ms, SlowStartMinCapacity: .2,
		OverloadWindow: 2000 * ms, PollInterval: 10_000 * ms,
		HealthCheckCost: .001, DialCost: .5,
		Classes: []decide.Class{
			{Name: "read", Semantics: decide.Idempotent, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 2},
			{Name: "zone", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedInZone,
				IdempotencyWindow: 500 * ms, LatencyObjective: 200 * ms,
				ClientTimeout: 800 * ms, PriorityWeight: 3},
			{Name: "once", Semantics: decide.NonIdempotent, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
		},
	}
	if rng.Intn(2) == 0 {
		settings.ConnectionCost = 40 // high enough that the module closes connections after use
	}
	return settings
}

func newTestLoop(t *testing.T, seed int64, faults loopFaults) *testLoop {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	loop := &testLoop{t: t, rng: rng, settings: randomSettings(rng), now: 1_000_000 * ms, faults: faults}
	module, err := decide.New(loop.settings, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	loop.module = module
	loop.contract = NewContract(module, func(b Breach) { loop.breaches = append(loop.breaches, b) })
	loop.contract.ReportAll = true
	return loop
}

func (loop *testLoop) queue(ev decide.Event) { loop.queuedEvents = append(loop.queuedEvents, ev) }

// deliver passes the queued events to the Contract and carries out the actions.
func (loop *testLoop) deliver() {
	for len(loop.queuedEvents) > 0 {
		ev := loop.queuedEvents[0]
		loop.queuedEvents = loop.queuedEvents[1:]
		for _, action := range loop.contract.Handle(loop.now, ev) {
			loop.perform(action)
		}
	}
}

func (loop *testLoop) perform(action decide.Action) {
	switch action := action.(type) {
	case decide.Send:
		loop.performSend(action)
	case decide.Cancel:
		for _, attempt := range loop.attempts {
			if attempt.client.id == action.ID && attempt.number == action.Attempt {
				loop.endAttempt(attempt, pickOne(loop.rng, decide.Cancelled, decide.NotSent))
				break
			}
		}
	case decide.Reject:
		loop.finishRequest(loop.clients[action.ID-1])
	case decide.Fail:
		loop.finishRequest(loop.clients[action.ID-1])
	case decide.SetTimer:
		heap.Push(&loop.timers, action)
	case decide.CancelTimer:
		loop.timers = slices.DeleteFunc(loop.timers, func(timer decide.SetTimer) bool { return timer.Token == action.Token })
		heap.Init(&loop.timers)
		loop.queuedEvents = slices.DeleteFunc(loop.queuedEvents, func(ev decide.Event) bool {
			timer, fired := ev.(*decide.Timer)
			return fired && timer.Token == action.Token
		})
	case decide.HealthCheck:
		loop.performHealthCheck(action)
	case decide.CloseIdle:
		loop.idleCloses++
	}
}

func (loop *testLoop) performSend(action decide.Send) {
	loop.sends++
	client := loop.clients[action.ID-1]
	attempt := &testAttempt{client: client, number: client.attempts, cache: action.Cache, deadline: min(action.AttemptDeadline, client.deadline)}
	client.attempts++
	if client.finished {
		loop.sendsAfterEnd++
		if !loop.faults.dropsSends || client.inFlight > 0 {
			loop.queue(&decide.AttemptResult{ID: client.id, Attempt: attempt.number, Result: decide.NotSent, Final: true})
		}
		return
	}
	if !loop.isListed(action.Cache) {
		loop.queue(&decide.AttemptResult{ID: client.id, Attempt: attempt.number, Result: decide.NotSent})
		return
	}
	client.inFlight++
	loop.attempts = append(loop.attempts, attempt)
}

func (loop *testLoop) performHealthCheck(action decide.HealthCheck) {
	loop.healthChecksSent++
	if loop.isListed(action.Cache) {
		loop.healthChecks = append(loop.healthChecks, pendingHealthCheck{action.Cache, loop.now})
	} else if !loop.faults.dropsHealthChecks {
		loop.queue(&decide.HealthCheckResult{Cache: action.Cache, Result: decide.NotSent})
	}
}

func (loop *testLoop) isListed(cache string) bool {
	var i int
	fmt.Sscanf(cache, "c%d", &i)
	return loop.listed[i]
}

// endAttempt removes an attempt and queues its result.
func (loop *testLoop) endAttempt(attempt *testAttempt, result decide.Result) {
	client := attempt.client
	loop.attempts = slices.DeleteFunc(loop.attempts, func(other *testAttempt) bool { return other == attempt })
	client.inFlight--
	if result == decide.Served {
		loop.served++
		loop.finishRequest(client)
	}
	if attempt.responseStarted {
		client.finished = true
	}
	loop.queue(&decide.AttemptResult{ID: client.id, Attempt: attempt.number, Result: result, Final: client.finished, Miss: loop.rng.Intn(3) == 0})
}

// finishRequest finishes a request at its final answer or when its client disconnects. It ends a random part of the attempts, as if
// they had not been written yet, and each attempt whose response has started.
func (loop *testLoop) finishRequest(client *testClient) {
	if client.finished {
		return
	}
	client.finished = true
	for _, attempt := range slices.Clone(loop.attempts) {
		if attempt.client == client && (attempt.responseStarted || loop.rng.Intn(2) == 0) {
			loop.endAttempt(attempt, decide.NotSent)
		}
	}
}

func (loop *testLoop) disconnect(client *testClient) {
	if !client.finished {
		loop.finishRequest(client)
		loop.queue(&decide.ClientGone{ID: client.id})
	}
}

func (loop *testLoop) startRequest() {
	classes := []string{"read", "read", "read", "zone", "once", "unknown"}
	client := &testClient{id: int64(len(loop.clients) + 1), deadline: loop.now + decide.Time(loop.rng.Intn(900*ms)) - 20*ms}
	loop.clients = append(loop.clients, client)
	loop.queue(&decide.Request{ID: client.id, Class: classes[loop.rng.Intn(len(classes))], Key: uint64(loop.rng.Intn(40)),
		HasKey: loop.rng.Intn(9) > 0, Deadline: client.deadline, Write: loop.rng.Intn(9) == 0})
}

func (loop *testLoop) updateEndpointList() {
	kind := pickOne(loop.rng, decide.DeltaUpdate, decide.DeltaUpdate, decide.FullUpdate, decide.StaleUpdate, decide.FailedUpdate)
	ev := &decide.EndpointList{Kind: kind}
	if kind == decide.FailedUpdate {
		loop.queue(ev)
		return
	}
	for i := range fleetSize {
		if kind == decide.DeltaUpdate && loop.rng.Intn(fleetSize) > 0 {
			continue
		}
		if kind != decide.DeltaUpdate && loop.rng.Intn(4) == 0 {
			loop.listed[i] = false
			continue
		}
		endpoint := decide.Endpoint{ID: cacheName(i), Zone: string(rune('a' + i%2)), Cell: i % 4, Weight: 1,
			Status: pickOne(loop.rng, decide.Serving, decide.Serving, decide.Serving, decide.Draining, decide.Removed)}
		if loop.rng.Intn(4) == 0 {
			endpoint.StartedAt = loop.now - decide.Time(loop.rng.Intn(12_000*ms))
		}
		loop.listed[i] = endpoint.Status != decide.Removed
		ev.Endpoints = append(ev.Endpoints, endpoint)
	}
	loop.queue(ev)
}

// endAttemptOrStartResponse ends a random attempt in flight or starts its response.
func (loop *testLoop) endAttemptOrStartResponse() {
	if len(loop.attempts) == 0 {
		return
	}
	attempt := loop.attempts[loop.rng.Intn(len(loop.attempts))]
	switch {
	case !attempt.client.finished && !attempt.client.responseStarted && loop.rng.Intn(20) == 0:
		attempt.responseStarted, attempt.client.responseStarted = true, true
		loop.queue(&decide.ResponseStarted{ID: attempt.client.id, Attempt: attempt.number})
	case attempt.client.responseStarted && !attempt.responseStarted || loop.rng.Intn(2) == 0:
		loop.endAttempt(attempt, decide.Result(1+loop.rng.Intn(int(decide.NotStored))))
	default:
		loop.endAttempt(attempt, decide.Served)
	}
}

// expireAttemptsAndHealthChecks ends attempts and health checks whose deadlines have passed.
func (loop *testLoop) expireAttemptsAndHealthChecks() {
	for _, attempt := range slices.Clone(loop.attempts) {
		if loop.now >= attempt.deadline && !attempt.responseStarted && slices.Contains(loop.attempts, attempt) {
			loop.endAttempt(attempt, decide.TimedOut)
		}
	}
	for len(loop.healthChecks) > 0 && loop.now >= loop.healthChecks[0].at+500*ms {
		loop.queue(&decide.HealthCheckResult{Cache: loop.healthChecks[0].cache, Result: decide.TimedOut})
		loop.healthChecks = loop.healthChecks[1:]
	}
}

// advance advances the clock and fires the timers that are due.
func (loop *testLoop) advance(duration decide.Time) {
	end := loop.now + duration
	for len(loop.timers) > 0 && loop.timers[0].At <= end {
		timer := heap.Pop(&loop.timers).(decide.SetTimer)
		loop.now = max(loop.now, timer.At)
		loop.expireAttemptsAndHealthChecks()
		loop.queue(&decide.Timer{Token: timer.Token})
		if loop.rng.Intn(3) > 0 { // otherwise further events join the queue before the module receives this one
			loop.deliver()
		}
	}
	loop.now = end
	loop.expireAttemptsAndHealthChecks()
}

// performRandomStep makes one random event.
func (loop *testLoop) performRandomStep() {
	switch choice := loop.rng.Intn(100); {
	case choice < 40:
		loop.startRequest()
	case choice < 46 && len(loop.clients) > 0:
		loop.disconnect(loop.clients[max(0, len(loop.clients)-1-loop.rng.Intn(30))])
	case choice < 50:
		loop.updateEndpointList()
	case choice < 55 && len(loop.healthChecks) > 0:
		loop.queue(&decide.HealthCheckResult{Cache: loop.healthChecks[0].cache, Result: pickOne(loop.rng, decide.Served, decide.TimedOut)})
		loop.healthChecks = loop.healthChecks[1:]
	default:
		loop.endAttemptOrStartResponse()
	}
}

// play makes random events and then ends all open attempts and requests.
func (loop *testLoop) play(steps int) {
	for range steps {
		for range 1 + loop.rng.Intn(4) {
			loop.performRandomStep()
		}
		loop.deliver()
		loop.advance(decide.Time(loop.rng.Intn(20 * ms)))
		if loop.rng.Intn(3) > 0 {
			loop.deliver()
			loop.checkCounts()
		}
	}
	loop.deliver()
	for _, attempt := range slices.Clone(loop.attempts) {
		if attempt.responseStarted {
			loop.endAttempt(attempt, decide.ConnectionLost)
		}
	}
	for range 40 { // longer than any deadline and overdueTolerance
		loop.advance(100 * ms)
		loop.deliver()
		loop.deliverOverdue()
		loop.checkCounts()
	}
}

// deliverOverdue passes the replacements for missing events to the Contract.
func (loop *testLoop) deliverOverdue() {
	for _, ev := range loop.contract.OverdueEvents(loop.now) {
		loop.queue(ev)
	}
	loop.deliver()
}

func (loop *testLoop) checkCounts() {
	loop.contract.CheckCounts(loop.now, func(cache string) int {
		n := 0
		for _, attempt := range loop.attempts {
			if attempt.cache == cache {
				n++
			}
		}
		return n
	})
}

func pickOne[T any](rng *rand.Rand, of ...T) T { return of[rng.Intn(len(of))] }

// timerHeap orders timers by time, and timers with the same time by token.
type timerHeap []decide.SetTimer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].At, h[j].At), cmp.Compare(h[i].Token, h[j].Token)) < 0
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(decide.SetTimer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
