package decide

import (
	"math/rand"
	"reflect"
	"testing"
)

// answerGrace is how long after the deadline an answer is still in time; µs.
const answerGrace = 20 * ms

// ruleChecker checks each action of one router against the contract: no second run, no second answer, no request lost,
// none to a cache that drains.
type ruleChecker struct {
	t             *testing.T
	set           Settings
	now           Time
	reqs          map[int64]*checkedRequest
	drainingSince map[string]Time // by cache: since when it is known to drain or be removed
	known         map[string]Endpoint
}

type checkedRequest struct {
	class    Class
	deadline Time
	done     bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	cache   Endpoint
	sent    Time
	pending bool
	result  Result
}

func (w *ruleChecker) check(acts []Action) {
	t := w.t
	t.Helper()
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			q := w.reqs[a.ID]
			if q == nil || q.done {
				t.Fatalf("send for a request that is over: %v", a)
			}
			if w.now >= q.deadline || len(q.attempts) >= w.set.MaxAttempts || a.AttemptDeadline <= w.now {
				t.Fatalf("send after deadline or attempts: %v", a)
			}
			to, ok := w.known[a.Cache]
			if !ok {
				t.Fatalf("send to a cache never listed: %v", a)
			}
			if since, ok := w.drainingSince[a.Cache]; ok && w.now > since+w.set.DrainGrace {
				t.Fatalf("send to a draining or gone cache: %v", a)
			}
			for _, p := range q.attempts {
				if p.pending && !w.set.AllowHedging {
					t.Fatalf("two pending at once: %v", a)
				}
				if q.class.Semantics == Idempotent || !p.pending && p.result.NeverRan() {
					continue
				}
				if q.class.Semantics == NonIdempotent || w.now > p.sent+q.class.IdempotencyWindow ||
					q.class.DeduplicationScope == DeduplicatedInZone && p.cache.Zone != to.Zone || q.class.DeduplicationScope == DeduplicatedInCell && p.cache.Cell != to.Cell {
					t.Fatalf("%s could run twice: %v", q.class.Name, a)
				}
			}
			q.attempts = append(q.attempts, checkedAttempt{cache: to, sent: w.now, pending: true})
		case Reject:
			q := w.reqs[a.ID]
			w.final(a.ID)
			for _, p := range q.attempts {
				free := q.class.Semantics == Idempotent || q.class.Semantics == IdempotentByKey && q.class.DeduplicationScope == DeduplicatedEverywhere
				if !free && (p.pending || !p.result.NeverRan()) {
					t.Fatalf("%s rejected though it may have run", q.class.Name)
				}
			}
		case Fail:
			w.final(a.ID)
		case Cancel:
			if q := w.reqs[a.ID]; q == nil || a.Attempt >= len(q.attempts) || !w.set.AllowCancel {
				t.Fatalf("cancel of an attempt never sent: %v", a)
			}
		case HealthCheck:
			if _, ok := w.known[a.Cache]; !ok || !w.set.AllowHealthChecks {
				t.Fatalf("health check of %v", a)
			}
		}
	}
}

func (w *ruleChecker) final(id int64) {
	w.t.Helper()
	q := w.reqs[id]
	if q == nil || q.done {
		w.t.Fatalf("request %d: a second final answer", id)
	}
	if w.now > q.deadline+answerGrace && len(q.attempts) > 0 {
		w.t.Fatalf("request %d answered late", id)
	}
	q.done = true
}

func randomSettings(rng *rand.Rand) Settings {
	s := settings()
	s.MaxAttempts = 1 + rng.Intn(5)
	s.AllowHedging, s.AllowCancel, s.WatchRequired = rng.Intn(2) == 0, rng.Intn(3) > 0, rng.Intn(2) == 0
	s.AllowHealthChecks = rng.Intn(4) > 0
	if rng.Intn(4) == 0 {
		s.SlowStartWindow, s.SlowStartMinCapacity, s.OverloadWindow, s.PollInterval = 0, 0, 0, 0
	}
	if rng.Intn(2) == 0 {
		return s
	}
	// Another customer's: what is legal, whatever it is.
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

// play feeds a random stream of events drawn from seed and returns all actions.
func play(t *testing.T, seed int64, steps int) []Action { return playNamed(t, seed, steps, "") }

// playNamed is play where each class and tenant has another name, which begins so.
func playNamed(t *testing.T, seed int64, steps int, prefix string) []Action {
	rng := rand.New(rand.NewSource(seed))
	s := randomSettings(rng)
	for i := range s.Classes {
		s.Classes[i].Name = prefix + s.Classes[i].Name
	}
	b := newHarness(t, s)
	w := &ruleChecker{t: t, set: s, reqs: map[int64]*checkedRequest{}, drainingSince: map[string]Time{}, known: map[string]Endpoint{}}
	classes := map[string]Class{}
	for _, c := range s.Classes {
		classes[c.Name] = c
	}
	names := []string{"read", "read", "read", "all", "zone", "cell", "once", "unheard-of"}
	var all []Action
	feed := func(ev Event) {
		w.now = b.now
		acts := b.feed(ev)
		w.check(acts)
		all = append(all, acts...)
	}
	list := func(kind UpdateKind, es []Endpoint) {
		if kind != DeltaUpdate {
			for id := range w.known {
				if _, ok := w.drainingSince[id]; !ok {
					w.drainingSince[id] = b.now
				}
			}
		}
		for _, e := range es {
			if e.Status == Serving {
				delete(w.drainingSince, e.ID)
			} else if _, ok := w.drainingSince[e.ID]; !ok {
				w.drainingSince[e.ID] = b.now
			}
			w.known[e.ID] = e
		}
		feed(&EndpointList{Kind: kind, Endpoints: es})
	}
	list(StaleUpdate, fleet(rng.Intn(8)))
	for id := int64(1); id < int64(steps); id++ {
		end := b.now + Time(rng.Intn(20*ms))
		for {
			k := -1
			for i, tm := range b.timers {
				if tm.At <= end && (k < 0 || tm.At < b.timers[k].At) {
					k = i
				}
			}
			if k < 0 {
				break
			}
			tm := b.timers[k]
			b.timers = append(b.timers[:k], b.timers[k+1:]...)
			b.now = max(b.now, tm.At)
			feed(&Timer{tm.Token})
		}
		b.now = end
		switch x := rng.Intn(100); {
		case x < 50:
			name := prefix + names[rng.Intn(len(names))]
			q := &checkedRequest{class: classes[name], deadline: b.now + Time(rng.Intn(900*ms)) - 20*ms}
			w.reqs[id] = q
			feed(&Request{ID: id, Class: name, Tenant: prefix + []string{"x", "y", ""}[rng.Intn(3)], Key: uint64(rng.Intn(40)),
				HasKey: rng.Intn(9) > 0, Deadline: q.deadline, Cost: Time(rng.Intn(60 * ms))})
		case x < 53:
			gone := id - 1 - int64(rng.Intn(20))
			if q := w.reqs[gone]; q != nil {
				q.done = true
			}
			feed(&ClientGone{ID: gone})
		case x < 58:
			e := fleet(10)[rng.Intn(10)]
			e.Status = Status(rng.Intn(3))
			if rng.Intn(2) == 0 {
				e.Status, e.StartedAt = Serving, b.now-Time(rng.Intn(12000*ms))
			}
			list(DeltaUpdate, []Endpoint{e})
		case x < 59:
			list(UpdateKind(1+rng.Intn(2)), fleet(rng.Intn(10)))
		case x < 60:
			feed(&EndpointList{Kind: FailedUpdate})
		case x < 66:
			feed(&HealthCheckResult{Cache: fleet(10)[rng.Intn(10)].ID, Result: Result(rng.Intn(6)), Load: LoadReport{Utilization: rng.Float64()}})
		default:
			endTry(rng, b, w, id, feed)
		}
	}
	for id, q := range w.reqs {
		if !q.done && b.now > q.deadline+answerGrace {
			t.Fatalf("seed %d: request %d lost", seed, id)
		}
	}
	return all
}

// endTry ends a pending attempt of a recent request.
func endTry(rng *rand.Rand, b *harness, w *ruleChecker, id int64, feed func(Event)) {
	for back := int64(1); back < 60 && back < id; back++ {
		q := w.reqs[id-back]
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
			feed(&AttemptResult{ID: id - back, Attempt: i, Result: res, Elapsed: b.now - q.attempts[i].sent, Last: q.done,
				Load: LoadReport{Utilization: rng.Float64()*2 - 1}})
			return
		}
	}
}

// TestRandomEventsKeepTheRules plays random events and checks each action.
func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range int64(150) {
		play(t, seed, 1500)
	}
}

// TestEqualEventsGiveEqualActions plays the same events twice.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range int64(10) {
		if !reflect.DeepEqual(play(t, seed, 1000), play(t, seed, 1000)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// TestNamesOfClassesAndTenantsChangeNothing checks that no rule depends on what classes and tenants are
// called.
func TestNamesOfClassesAndTenantsChangeNothing(t *testing.T) {
	for seed := range int64(40) {
		if !reflect.DeepEqual(play(t, seed, 800), playNamed(t, seed, 800, "kiln-")) {
			t.Fatalf("seed %d: other names, other actions", seed)
		}
	}
}
