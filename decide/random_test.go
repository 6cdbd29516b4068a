package decide

import (
	"math/rand"
	"reflect"
	"testing"
)

// answerGrace is the time after the deadline within which a final answer is not yet late; µs.
const answerGrace = 20 * ms

// contractChecker checks each action of one router against the contract: a request that must not run twice is not sent or
// rejected after it may have run, each request gets one final answer in time, and a draining cache gets no requests.
type contractChecker struct {
	t             *testing.T
	settings      Settings
	now           Time
	requests      map[int64]*checkedRequest
	drainingSince map[string]Time     // by cache: when the router was notified that the cache drains or is removed
	known         map[string]Endpoint // every cache that was ever listed, by id
}

// checkedRequest is a request as the checker records it.
type checkedRequest struct {
	class    Class
	deadline Time
	done     bool // it has its final answer or needs none
	attempts []checkedAttempt
}

// checkedAttempt is an attempt as the checker records it.
type checkedAttempt struct {
	cache   Endpoint
	sent    Time
	pending bool
	result  Result
}

// check fails the test if an action breaks the contract.
func (checker *contractChecker) check(actions []Action) {
	t := checker.t
	t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			q := checker.requests[a.ID]
			if q == nil || q.done {
				t.Fatalf("send of a request that was never received or has its final answer: %v", a)
			}
			if checker.now >= q.deadline || len(q.attempts) >= checker.settings.MaxAttempts || a.AttemptDeadline <= checker.now {
				t.Fatalf("send after the request's deadline, with an attempt deadline in the past or beyond MaxAttempts: %v", a)
			}
			to, ok := checker.known[a.Cache]
			if !ok {
				t.Fatalf("send to a cache that was never listed: %v", a)
			}
			if since, ok := checker.drainingSince[a.Cache]; ok && checker.now > since+checker.settings.DrainGrace {
				t.Fatalf("send to a draining or removed cache after the drain grace: %v", a)
			}
			for _, p := range q.attempts {
				if p.pending && !checker.settings.AllowHedging {
					t.Fatalf("second attempt in flight without AllowHedging: %v", a)
				}
				if q.class.Semantics == Idempotent || !p.pending && p.result.NeverRan() {
					continue
				}
				if q.class.Semantics == NonIdempotent || checker.now > p.sent+q.class.IdempotencyWindow ||
					q.class.DeduplicationScope == DeduplicatedInZone && p.cache.Zone != to.Zone ||
					q.class.DeduplicationScope == DeduplicatedInCell && p.cache.Cell != to.Cell {
					t.Fatalf("request of class %s could run twice: %v", q.class.Name, a)
				}
			}
			q.attempts = append(q.attempts, checkedAttempt{cache: to, sent: checker.now, pending: true})
		case Reject:
			q := checker.requests[a.ID]
			checker.final(a.ID)
			for _, p := range q.attempts {
				mayRunTwice := q.class.Semantics == Idempotent || q.class.Semantics == IdempotentByKey && q.class.DeduplicationScope == DeduplicatedEverywhere
				if !mayRunTwice && (p.pending || !p.result.NeverRan()) {
					t.Fatalf("request of class %s rejected after an attempt that may have run", q.class.Name)
				}
			}
		case Fail:
			checker.final(a.ID)
		case Cancel:
			if q := checker.requests[a.ID]; q == nil || a.Attempt >= len(q.attempts) || !checker.settings.AllowCancel {
				t.Fatalf("cancel of an attempt that was never sent, or without AllowCancel: %v", a)
			}
		case HealthCheck:
			if _, ok := checker.known[a.Cache]; !ok || !checker.settings.AllowHealthChecks {
				t.Fatalf("health check of a cache that was never listed, or without AllowHealthChecks: %v", a)
			}
		}
	}
}

// final records the final answer of a request and fails the test if it is late or a second one.
func (checker *contractChecker) final(id int64) {
	checker.t.Helper()
	q := checker.requests[id]
	if q == nil || q.done {
		checker.t.Fatalf("request %d: final answer to a request that was never received or already has one", id)
	}
	if checker.now > q.deadline+answerGrace && len(q.attempts) > 0 {
		checker.t.Fatalf("request %d: late final answer", id)
	}
	q.done = true
}

// randomSettings returns random valid settings.
func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.MaxAttempts = 1 + rng.Intn(5)
	s.AllowHedging, s.AllowCancel, s.WatchRequired = rng.Intn(2) == 0, rng.Intn(3) > 0, rng.Intn(2) == 0
	s.AllowHealthChecks = rng.Intn(4) > 0
	if rng.Intn(4) == 0 {
		s.SlowStartWindow, s.SlowStartMinCapacity, s.OverloadWindow, s.PollInterval = 0, 0, 0, 0
	}
	if rng.Intn(2) == 0 {
		return s
	}
	// Any other valid settings.
	s.Routers = []int{0, 1, 3, maxRoutersWithUsualTraffic, maxRoutersWithUsualTraffic + 1, 100, 300}[rng.Intn(7)]
	s.DrainGrace = Time(100+rng.Intn(2000)) * ms
	s.HealthCheckCost, s.ConnectionCost, s.DialCost = rng.Float64()/10, rng.Float64()/10, rng.Float64()/10
	s.MaxRetryAfter, s.WeightsFollowLoad = Time(rng.Intn(2000))*ms, rng.Intn(3) == 0
	if s.PollInterval > 0 {
		s.PollInterval = Time(100+rng.Intn(60_000)) * ms
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Semantics, c.DeduplicationScope = Semantics(rng.Intn(3)), DeduplicationScope(rng.Intn(3))
		c.IdempotencyWindow, c.LatencyObjective = Time(rng.Intn(1500))*ms, Time(rng.Intn(400))*ms
		c.ClientTimeout = c.LatencyObjective + Time(rng.Intn(3000))*ms
	}
	return s
}

// runRandomEvents feeds random events drawn from the seed to a router, checks each action and returns all of them.
func runRandomEvents(t *testing.T, seed int64, steps int) []Action {
	return runRandomEventsWithPrefix(t, seed, steps, "")
}

// runRandomEventsWithPrefix is runRandomEvents with a prefix to the names of all classes and tenants.
func runRandomEventsWithPrefix(t *testing.T, seed int64, steps int, prefix string) []Action {
	rng := rand.New(rand.NewSource(seed))
	s := randomSettings(rng)
	for i := range s.Classes {
		s.Classes[i].Name = prefix + s.Classes[i].Name
	}
	h := newHarness(t, s)
	checker := &contractChecker{t: t, settings: s, requests: map[int64]*checkedRequest{}, drainingSince: map[string]Time{}, known: map[string]Endpoint{}}
	classes := map[string]Class{}
	for _, c := range s.Classes {
		classes[c.Name] = c
	}
	classNames := []string{"read", "read", "read", "all", "zone", "cell", "once", "unknown"}
	var all []Action
	feed := func(ev Event) {
		checker.now = h.now
		actions := h.feed(ev)
		checker.check(actions)
		all = append(all, actions...)
	}
	list := func(kind UpdateKind, endpoints []Endpoint) {
		if kind != DeltaUpdate {
			for id := range checker.known {
				if _, ok := checker.drainingSince[id]; !ok {
					checker.drainingSince[id] = h.now
				}
			}
		}
		for _, e := range endpoints {
			if e.Status == Serving {
				delete(checker.drainingSince, e.ID)
			} else if _, ok := checker.drainingSince[e.ID]; !ok {
				checker.drainingSince[e.ID] = h.now
			}
			checker.known[e.ID] = e
		}
		feed(&EndpointList{Kind: kind, Endpoints: endpoints})
	}
	list(StaleUpdate, fleet(rng.Intn(8)))
	for id := int64(1); id < int64(steps); id++ {
		end := h.now + Time(rng.Intn(20*ms))
		for {
			k := -1
			for i, tm := range h.timers {
				if tm.At <= end && (k < 0 || tm.At < h.timers[k].At) {
					k = i
				}
			}
			if k < 0 {
				break
			}
			tm := h.timers[k]
			h.timers = append(h.timers[:k], h.timers[k+1:]...)
			h.now = max(h.now, tm.At)
			feed(&Timer{tm.Token})
		}
		h.now = end
		switch x := rng.Intn(100); {
		case x < 50:
			name := prefix + classNames[rng.Intn(len(classNames))]
			q := &checkedRequest{class: classes[name], deadline: h.now + Time(rng.Intn(900*ms)) - 20*ms}
			checker.requests[id] = q
			feed(&Request{ID: id, Class: name, Tenant: prefix + []string{"x", "y", ""}[rng.Intn(3)], Key: uint64(rng.Intn(40)),
				HasKey: rng.Intn(9) > 0, Deadline: q.deadline, ExpectedWork: Time(rng.Intn(60 * ms))})
		case x < 53:
			gone := id - 1 - int64(rng.Intn(20))
			if q := checker.requests[gone]; q != nil {
				q.done = true
			}
			feed(&ClientGone{ID: gone})
		case x < 58:
			e := fleet(10)[rng.Intn(10)]
			e.Status = Status(rng.Intn(3))
			if rng.Intn(2) == 0 {
				e.Status, e.StartedAt = Serving, h.now-Time(rng.Intn(12000*ms))
			}
			list(DeltaUpdate, []Endpoint{e})
		case x < 59:
			list(UpdateKind(1+rng.Intn(2)), fleet(rng.Intn(10)))
		case x < 60:
			feed(&EndpointList{Kind: FailedUpdate})
		case x < 66:
			feed(&HealthCheckResult{Cache: fleet(10)[rng.Intn(10)].ID, Result: Result(rng.Intn(6)), Load: LoadReport{Utilization: rng.Float64()}})
		default:
			endRandomAttempt(rng, h, checker, id, feed)
		}
	}
	for id, q := range checker.requests {
		if !q.done && h.now > q.deadline+answerGrace {
			t.Fatalf("seed %d: request %d has no final answer after its deadline", seed, id)
		}
	}
	return all
}

// endRandomAttempt ends a pending attempt of a recent request with a random result.
func endRandomAttempt(rng *rand.Rand, h *harness, checker *contractChecker, id int64, feed func(Event)) {
	for back := int64(1); back < 60 && back < id; back++ {
		q := checker.requests[id-back]
		if q == nil {
			continue
		}
		for i := range q.attempts {
			if !q.attempts[i].pending || rng.Intn(3) == 0 {
				continue
			}
			res := Result(rng.Intn(int(NotStored) + 1))
			if rng.Intn(2) == 0 {
				res = Served
			}
			q.attempts[i].pending, q.attempts[i].result = false, res
			q.done = q.done || res == Served
			feed(&AttemptResult{ID: id - back, Attempt: i, Result: res, Elapsed: h.now - q.attempts[i].sent, Final: q.done,
				Load: LoadReport{Utilization: rng.Float64()*2 - 1}})
			return
		}
	}
}

// TestRandomEventsKeepTheRules checks each action of routers that get random events against the contract.
func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range int64(150) {
		runRandomEvents(t, seed, 1500)
	}
}

// TestEqualEventsGiveEqualActions checks that two routers with equal seeds and events return equal actions.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range int64(10) {
		if !reflect.DeepEqual(runRandomEvents(t, seed, 1000), runRandomEvents(t, seed, 1000)) {
			t.Fatalf("seed %d: two runs with the same events returned different actions", seed)
		}
	}
}

// TestNamesOfClassesAndTenantsChangeNothing checks that no rule depends on the names of classes and tenants.
func TestNamesOfClassesAndTenantsChangeNothing(t *testing.T) {
	for seed := range int64(40) {
		if !reflect.DeepEqual(runRandomEvents(t, seed, 800), runRandomEventsWithPrefix(t, seed, 800, "other-")) {
			t.Fatalf("seed %d: other names of classes and tenants changed the actions", seed)
		}
	}
}
