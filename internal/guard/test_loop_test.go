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

const ms = 1000

// loopFaults are the ways in which a testLoop can break the contract.
type loopFaults struct {
	dropsSends        bool // a Send for a request that is closed gets no result
	dropsHealthChecks bool // a HealthCheck of a removed cache gets no result
}

// testLoop is a small loop around the real module, on a clock of its own. Like the loop of the router, it acts at once and
// hands over events from a queue, so that events and actions cross.
type testLoop struct {
	t            *testing.T
	rng          *rand.Rand
	set          decide.Settings
	module       *decide.Router
	contract     *Contract
	now          decide.Time
	faults       loopFaults
	backlog      []decide.Event
	timers       timerHeap
	clients      []*client // by the number of the request, less 1
	attempts     []*sent   // in flight, in the order of their sending
	healthChecks []pendingHealthCheck
	listed       [fleetSize]bool
	breaches     []Breach
	// what has happened, so that a test can check that it tested something
	sends, served, probed, closed, sentAfterEnd int
}

type client struct {
	id       int64
	deadline decide.Time
	attempts int
	out      int
	over     bool
	streams  bool
}

type sent struct {
	client *client
	n      int
	cache  string
	stopAt decide.Time
	begun  bool // its response has started
}

type pendingHealthCheck struct {
	cache string
	at    decide.Time
}

const fleetSize = 8

func cacheName(i int) string { return fmt.Sprintf("c%d", i) }

func randomSettings(rng *rand.Rand) decide.Settings {
	s := decide.Settings{
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
		s.ConnectionCost = 40 // connections are closed after use
	}
	return s
}

func newTestLoop(t *testing.T, seed int64, d loopFaults) *testLoop {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	w := &testLoop{t: t, rng: rng, set: randomSettings(rng), now: 1_000_000 * ms, faults: d}
	m, err := decide.New(w.set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	w.module = m
	w.contract = NewContract(m, func(b Breach) { w.breaches = append(w.breaches, b) })
	w.contract.ReportAll = true
	return w
}

func (w *testLoop) queue(ev decide.Event) { w.backlog = append(w.backlog, ev) }

// deliver hands over the queued events and carries out the actions.
func (w *testLoop) deliver() {
	for len(w.backlog) > 0 {
		ev := w.backlog[0]
		w.backlog = w.backlog[1:]
		for _, a := range w.contract.Handle(w.now, ev) {
			w.perform(a)
		}
	}
}

func (w *testLoop) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		w.send(a)
	case decide.Cancel:
		for _, s := range w.attempts {
			if s.client.id == a.ID && s.n == a.Attempt {
				w.end(s, pickOne(w.rng, decide.Cancelled, decide.NotSent))
				break
			}
		}
	case decide.Reject:
		w.finish(w.clients[a.ID-1])
	case decide.Fail:
		w.finish(w.clients[a.ID-1])
	case decide.SetTimer:
		heap.Push(&w.timers, a)
	case decide.CancelTimer:
		w.timers = slices.DeleteFunc(w.timers, func(t decide.SetTimer) bool { return t.Token == a.Token })
		heap.Init(&w.timers)
		w.backlog = slices.DeleteFunc(w.backlog, func(ev decide.Event) bool {
			t, fired := ev.(*decide.Timer)
			return fired && t.Token == a.Token
		})
	case decide.HealthCheck:
		w.healthCheck(a)
	case decide.CloseIdle:
		w.closed++
	}
}

func (w *testLoop) send(a decide.Send) {
	w.sends++
	c := w.clients[a.ID-1]
	s := &sent{client: c, n: c.attempts, cache: a.Cache, stopAt: min(a.AttemptDeadline, c.deadline)}
	c.attempts++
	if c.over {
		w.sentAfterEnd++
		if !w.faults.dropsSends || c.out > 0 {
			w.queue(&decide.AttemptResult{ID: c.id, Attempt: s.n, Result: decide.NotSent, Last: true})
		}
		return
	}
	if !w.lists(a.Cache) {
		w.queue(&decide.AttemptResult{ID: c.id, Attempt: s.n, Result: decide.NotSent})
		return
	}
	c.out++
	w.attempts = append(w.attempts, s)
}

func (w *testLoop) healthCheck(a decide.HealthCheck) {
	w.probed++
	if w.lists(a.Cache) {
		w.healthChecks = append(w.healthChecks, pendingHealthCheck{a.Cache, w.now})
	} else if !w.faults.dropsHealthChecks {
		w.queue(&decide.HealthCheckResult{Cache: a.Cache, Result: decide.NotSent})
	}
}

func (w *testLoop) lists(cache string) bool {
	var i int
	fmt.Sscanf(cache, "c%d", &i)
	return w.listed[i]
}

// end gives an attempt its result.
func (w *testLoop) end(s *sent, result decide.Result) {
	c := s.client
	w.attempts = slices.DeleteFunc(w.attempts, func(o *sent) bool { return o == s })
	c.out--
	if result == decide.Served {
		w.served++
		w.finish(c)
	}
	if s.begun {
		c.over = true
	}
	w.queue(&decide.AttemptResult{ID: c.id, Attempt: s.n, Result: result, Last: c.over, Miss: w.rng.Intn(3) == 0})
}

// finish is called with the final answer, or when the client leaves. Some attempts were not written yet and end now.
func (w *testLoop) finish(c *client) {
	if c.over {
		return
	}
	c.over = true
	for _, s := range slices.Clone(w.attempts) {
		if s.client == c && (s.begun || w.rng.Intn(2) == 0) {
			w.end(s, decide.NotSent)
		}
	}
}

func (w *testLoop) leave(c *client) {
	if !c.over {
		w.finish(c)
		w.queue(&decide.ClientGone{ID: c.id})
	}
}

func (w *testLoop) request() {
	names := []string{"read", "read", "read", "zone", "once", "unknown"}
	c := &client{id: int64(len(w.clients) + 1), deadline: w.now + decide.Time(w.rng.Intn(900*ms)) - 20*ms}
	w.clients = append(w.clients, c)
	w.queue(&decide.Request{ID: c.id, Class: names[w.rng.Intn(len(names))], Key: uint64(w.rng.Intn(40)),
		HasKey: w.rng.Intn(9) > 0, Deadline: c.deadline, Write: w.rng.Intn(9) == 0})
}

func (w *testLoop) list() {
	kind := pickOne(w.rng, decide.DeltaUpdate, decide.DeltaUpdate, decide.FullUpdate, decide.StaleUpdate, decide.FailedUpdate)
	ev := &decide.EndpointList{Kind: kind}
	if kind == decide.FailedUpdate {
		w.queue(ev)
		return
	}
	for i := range fleetSize {
		if kind == decide.DeltaUpdate && w.rng.Intn(fleetSize) > 0 {
			continue
		}
		if kind != decide.DeltaUpdate && w.rng.Intn(4) == 0 {
			w.listed[i] = false
			continue
		}
		e := decide.Endpoint{ID: cacheName(i), Zone: string(rune('a' + i%2)), Cell: i % 4, Weight: 1,
			Status: pickOne(w.rng, decide.Serving, decide.Serving, decide.Serving, decide.Draining, decide.Removed)}
		if w.rng.Intn(4) == 0 {
			e.StartedAt = w.now - decide.Time(w.rng.Intn(12_000*ms))
		}
		w.listed[i] = e.Status != decide.Removed
		ev.Endpoints = append(ev.Endpoints, e)
	}
	w.queue(ev)
}

// reply ends an attempt in flight, or starts its response.
func (w *testLoop) reply() {
	if len(w.attempts) == 0 {
		return
	}
	s := w.attempts[w.rng.Intn(len(w.attempts))]
	switch {
	case !s.client.over && !s.client.streams && w.rng.Intn(20) == 0:
		s.begun, s.client.streams = true, true
		w.queue(&decide.ResponseStarted{ID: s.client.id, Attempt: s.n})
	case s.client.streams && !s.begun || w.rng.Intn(2) == 0:
		w.end(s, decide.Result(1+w.rng.Intn(int(decide.NotStored))))
	default:
		w.end(s, decide.Served)
	}
}

// expire ends attempts and health checks at their deadlines.
func (w *testLoop) expire() {
	for _, s := range slices.Clone(w.attempts) {
		if w.now >= s.stopAt && !s.begun && slices.Contains(w.attempts, s) {
			w.end(s, decide.TimedOut)
		}
	}
	for len(w.healthChecks) > 0 && w.now >= w.healthChecks[0].at+500*ms {
		w.queue(&decide.HealthCheckResult{Cache: w.healthChecks[0].cache, Result: decide.TimedOut})
		w.healthChecks = w.healthChecks[1:]
	}
}

// advance moves the clock, and fires the timers that are due.
func (w *testLoop) advance(d decide.Time) {
	end := w.now + d
	for len(w.timers) > 0 && w.timers[0].At <= end {
		tm := heap.Pop(&w.timers).(decide.SetTimer)
		w.now = max(w.now, tm.At)
		w.expire()
		w.queue(&decide.Timer{Token: tm.Token})
		if w.rng.Intn(3) > 0 { // else more events are queued before the module gets this one
			w.deliver()
		}
	}
	w.now = end
	w.expire()
}

// step makes one random event.
func (w *testLoop) step() {
	switch x := w.rng.Intn(100); {
	case x < 40:
		w.request()
	case x < 46 && len(w.clients) > 0:
		w.leave(w.clients[max(0, len(w.clients)-1-w.rng.Intn(30))])
	case x < 50:
		w.list()
	case x < 55 && len(w.healthChecks) > 0:
		w.queue(&decide.HealthCheckResult{Cache: w.healthChecks[0].cache, Result: pickOne(w.rng, decide.Served, decide.TimedOut)})
		w.healthChecks = w.healthChecks[1:]
	default:
		w.reply()
	}
}

// play makes random events, and then ends all that is open.
func (w *testLoop) play(steps int) {
	for range steps {
		for range 1 + w.rng.Intn(4) {
			w.step()
		}
		w.deliver()
		w.advance(decide.Time(w.rng.Intn(20 * ms)))
		if w.rng.Intn(3) > 0 {
			w.deliver()
			w.check()
		}
	}
	w.deliver()
	for _, s := range slices.Clone(w.attempts) {
		if s.begun {
			w.end(s, decide.ConnectionLost)
		}
	}
	for range 40 { // longer than any deadline and lateTolerance
		w.advance(100 * ms)
		w.deliver()
		w.repair()
		w.check()
	}
}

// repair takes the events in place of missing ones, long after, and hands them over.
func (w *testLoop) repair() {
	for _, ev := range w.contract.Overdue(w.now) {
		w.queue(ev)
	}
	w.deliver()
}

func (w *testLoop) check() {
	w.contract.Check(w.now, func(cache string) int {
		n := 0
		for _, s := range w.attempts {
			if s.cache == cache {
				n++
			}
		}
		return n
	})
}

func pickOne[T any](rng *rand.Rand, of ...T) T { return of[rng.Intn(len(of))] }

// timerHeap orders timers by time, and by token at one time.
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
