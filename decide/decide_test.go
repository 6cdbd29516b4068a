package decide

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const ms = 1000

func settings() Settings {
	return Settings{
		Routers: 2, MaxAttempts: 3, AllowHedging: true, AllowCancel: true, AllowHealthChecks: true,
		DrainGrace: 1000 * ms, SlowStartWindow: 10000 * ms, SlowStartMinCapacity: 0.2,
		OverloadWindow: 2000 * ms, PollInterval: 10000 * ms, HealthCheckCost: 0.01, MaxRetryAfter: 1000 * ms,
		Classes: []Class{
			{Name: "read", Semantics: Idempotent, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 2},
			{Name: "all", Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: 500 * ms, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
			{Name: "zone", Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedInZone, IdempotencyWindow: 500 * ms, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
			{Name: "cell", Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedInCell, IdempotencyWindow: 500 * ms, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
			{Name: "once", Semantics: NonIdempotent, LatencyObjective: 200 * ms, ClientTimeout: 800 * ms, PriorityWeight: 3},
		},
	}
}

// bench drives one router and keeps its timers.
type bench struct {
	t      *testing.T
	r      *Router
	now    Time
	timers []SetTimer
	acts   []Action // of the last step
}

func newBench(t *testing.T, s Settings) *bench {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{t: t, r: r, now: 1e9}
}

func (b *bench) feed(ev Event) []Action {
	b.acts = b.r.Handle(b.now, ev)
	for _, a := range b.acts {
		switch a := a.(type) {
		case SetTimer:
			b.timers = append(b.timers, a)
		case CancelTimer:
			at := slices.IndexFunc(b.timers, func(t SetTimer) bool { return t.Token == a.Token })
			if at < 0 {
				b.t.Fatalf("timer %d is dropped and was not set", a.Token)
			}
			b.timers = slices.Delete(b.timers, at, at+1)
		}
	}
	return b.acts
}

// advance fires the timers due until the clock has moved on by d.
func (b *bench) advance(d Time) []Action {
	var all []Action
	end := b.now + d
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
		all = append(all, b.feed(&Timer{tm.Token})...)
	}
	b.now = end
	return all
}

func fleet(n int) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{ID: fmt.Sprintf("c%02d", i), Zone: string(rune('a' + i%2)), Cell: i % 4, Weight: 1})
	}
	return es
}

func sends(acts []Action) []Send {
	var s []Send
	for _, a := range acts {
		if x, ok := a.(Send); ok {
			s = append(s, x)
		}
	}
	return s
}

func probes(acts []Action) []string {
	var s []string
	for _, a := range acts {
		if x, ok := a.(HealthCheck); ok {
			s = append(s, x.Cache)
		}
	}
	return s
}

func finals(acts []Action) int {
	n := 0
	for _, a := range acts {
		switch a.(type) {
		case Reject, Fail:
			n++
		}
	}
	return n
}

func (b *bench) ask(id int64, class string, key uint64) *Send {
	s := sends(b.feed(&Request{ID: id, Class: class, Key: key, HasKey: true, Deadline: b.now + 800*ms}))
	if len(s) == 0 {
		return nil
	}
	return &s[0]
}

// settle ends an attempt well so that it leaves nothing behind.
func (b *bench) settle(id int64, attempt int) {
	b.feed(&AttemptResult{ID: id, Attempt: attempt, Result: Served, Elapsed: 1, Last: true, Load: LoadReport{Utilization: -1}})
}

// rounds plays probe rounds in which the named cache gives res, or stays silent
// where res is nil; all others answer.
func (b *bench) rounds(n int, bad string, res *Result) {
	for played := 0; played < n; {
		acts := b.advance(1 * ms)
		ps := probes(acts)
		if len(ps) == 0 {
			continue
		}
		for _, id := range ps {
			switch {
			case id != bad:
				b.feed(&HealthCheckResult{Cache: id, Result: Served, Load: LoadReport{Utilization: -1}})
			case res != nil:
				b.feed(&HealthCheckResult{Cache: id, Result: *res, Load: LoadReport{Utilization: -1}})
			}
		}
		played++
		b.advance(b.r.healthCheckTimeout() + ms)
	}
}

func result(r Result) *Result { return &r }

func TestMarkAtThresholdAndRecover(t *testing.T) {
	for _, res := range []*Result{nil, result(ConnectFailed), result(Errored), result(Rejected), result(TimedOut)} {
		b := newBench(t, settings())
		b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(4)})
		b.rounds(maxFailedHealthChecks-1, "c01", res)
		if !b.r.caches["c01"].health.healthy {
			t.Fatalf("%v: marked after %d failures", res, maxFailedHealthChecks-1)
		}
		b.rounds(1, "c01", res)
		if b.r.caches["c01"].health.healthy {
			t.Fatalf("%v: not marked after %d failures", res, maxFailedHealthChecks)
		}
		b.rounds(1, "", nil)
		if c := b.r.caches["c01"]; !c.health.healthy || c.health.failures != 0 {
			t.Fatalf("%v: not healthy after a success", res)
		}
	}
}

// A probe that was never sent, as this machine could open no connection, tells nothing of its cache.
func TestProbeThatWasNotSentIsNoFailure(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(4)})
	b.rounds(maxFailedHealthChecks+1, "c01", result(NotSent))
	if c := b.r.caches["c01"]; !c.health.healthy || c.health.failures != 0 {
		t.Errorf("healthy %v after %d failures", c.health.healthy, c.health.failures)
	}
}

// A count that reaches the maxFailedHealthChecks within a round is judged when it completes.
func TestJudgedWhenRoundCompletes(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(3)})
	b.rounds(maxFailedHealthChecks-1, "c01", result(Errored))
	for len(probes(b.advance(1*ms))) == 0 {
	}
	b.feed(&HealthCheckResult{Cache: "c01", Result: Errored})
	if !b.r.caches["c01"].health.healthy {
		t.Fatal("marked before the round completed")
	}
	b.advance(b.r.healthCheckTimeout() + ms)
	if b.r.caches["c01"].health.healthy {
		t.Fatal("not marked when the round completed")
	}
}

// The danger: probes grow with routers times caches, requests a router do not.
func TestProbesArePaidByRequests(t *testing.T) {
	count := func(caches, requests int) (rounds float64) {
		b := newBench(t, settings())
		b.feed(&EndpointList{Endpoints: fleet(caches)})
		for id := range int64(requests) {
			b.ask(id+1, "read", uint64(id))
			b.settle(id+1, 0)
			rounds += float64(len(probes(b.advance(128*b.r.settings.DrainGrace/Time(requests))))) / float64(caches)
		}
		return rounds
	}
	often, thin, idle := count(5, 1280), count(50, 1280), count(5, 1)
	if often < 125 || often > 129 {
		t.Errorf("%v rounds in 128 graces with requests enough, want one each", often)
	}
	if thin < 20 || thin > 30 {
		t.Errorf("%v rounds of 50 probes with 1280 requests, want about one for 50 requests", thin)
	}
	if idle < 1 || idle > 3 {
		t.Errorf("%v rounds of an idle router, want one in %d graces", idle, maxGracesBetweenRounds)
	}
}

func TestPlacementAgreesInAnyOrder(t *testing.T) {
	es := fleet(9)
	back := append([]Endpoint(nil), es...)
	rand.New(rand.NewSource(1)).Shuffle(len(back), func(i, j int) { back[i], back[j] = back[j], back[i] })
	a, b := newBench(t, settings()), newBench(t, settings())
	a.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	for _, e := range back {
		b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
	}
	for k := range uint64(300) {
		x, y := a.ask(int64(k), "read", k), b.ask(int64(k), "read", k)
		if x == nil || y == nil || x.Cache != y.Cache {
			t.Fatalf("key %d: %v and %v", k, x, y)
		}
		a.settle(int64(k), 0)
		b.settle(int64(k), 0)
	}
}

func TestUnhealthySkippedThenUsedAnyway(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(6)})
	b.r.hotKeys.total[1] = 1000 // so that the key is not a hot one
	home := b.ask(1, "read", 42).Cache
	b.settle(1, 0)
	b.r.caches[home].health.healthy = false
	if s := b.ask(2, "read", 42); s == nil || s.Cache == home {
		t.Fatalf("unhealthy cache not skipped: %v", s)
	}
	b.settle(2, 0)
	for _, c := range b.r.caches {
		c.health.healthy = false
	}
	if s := b.ask(3, "read", 42); s == nil || s.Cache != home {
		t.Fatalf("with all unhealthy the first pick is used anyway: %v", s)
	}
}

// What each class may do after each outcome.
func TestEffectTable(t *testing.T) {
	for _, class := range []string{"read", "all", "zone", "cell", "once", "unheard-of"} {
		for res := Errored; res <= NotStored; res++ {
			b := newBench(t, settings())
			b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(8)})
			first := b.ask(1, class, 5)
			q := b.r.requests[1]
			if first == nil {
				t.Fatal("not sent")
			}
			q.attempts[0].end(res)
			from := b.r.caches[first.Cache]
			for _, c := range b.r.serving {
				var want bool
				switch {
				case res.NeverRan() || class == "read" || class == "all":
					want = true
				case class == "zone":
					want = c.Zone == from.Zone
				case class == "cell":
					want = c.Cell == from.Cell
				}
				if got := b.r.maySend(q, c); got != want {
					t.Errorf("%s after %d: maySend to another = %v, want %v", class, res, got, want)
				}
			}
			wantRefuse := res.NeverRan() || class == "read" || class == "all"
			if got := b.r.mayReject(q); got != wantRefuse {
				t.Errorf("%s after %d: mayRefuse = %v, want %v", class, res, got, wantRefuse)
			}
			b.now += 501 * ms
			b.r.now = b.now
			if class == "all" && !res.NeverRan() && b.r.maySend(q, from) {
				t.Errorf("keyed request sent again after its repeats are forgotten")
			}
		}
	}
}

func TestDrainKept(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(2)})
	b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c00", Status: Draining}}})
	b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c01", Status: Removed}}})
	b.advance(1001 * ms)
	if s := b.ask(1, "read", 1); s != nil {
		t.Fatalf("sent to %s after the grace", s.Cache)
	}
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(1)})
	if s := b.ask(2, "read", 1); s == nil || s.Cache != "c00" {
		t.Fatalf("a cache listed up again is not used: %v", s)
	}
}

// The danger: a cold cache is given its full share and falls over.
func TestColdShareGrows(t *testing.T) {
	b := newBench(t, settings())
	es := fleet(4)
	es[2].StartedAt = b.now
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	count := func() int {
		n := 0
		for k := range uint64(4000) {
			id := int64(b.now) + int64(k)
			if s := b.ask(id, "read", k); s != nil && s.Cache == "c02" {
				n++
			}
			b.settle(id, 0)
		}
		return n
	}
	early := count()
	b.advance(5000 * ms)
	mid := count()
	b.advance(6000 * ms)
	full := count()
	if early == 0 || early > full*3/10 || mid < early*2 || mid > full*7/10 {
		t.Fatalf("share over the warm-up: %d, %d, %d", early, mid, full)
	}
}

func TestNoUsableCache(t *testing.T) {
	b := newBench(t, settings())
	if b.feed(&Request{ID: 1, Class: "once", Deadline: b.now + 100*ms}); finals(b.acts)+finals(b.advance(time1)) != 1 {
		t.Fatal("before any list: want one final answer")
	}
	b.feed(&EndpointList{Kind: FullUpdate})
	if b.feed(&Request{ID: 2, Class: "read", Deadline: b.now + 100*ms}); finals(b.acts)+finals(b.advance(time1)) != 1 {
		t.Fatal("empty fleet: want one final answer")
	}
}

const time1 = 1000 * ms

func TestDeadlinePast(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	b.feed(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: b.now - 1})
	if finals(b.acts) != 1 || len(sends(b.acts)) != 0 {
		t.Fatalf("want one final answer and nothing sent, got %v", b.acts)
	}
}

// The danger: the time-out at the deadline is not the final answer.
func TestTimeoutAtDeadlineStillOwesAnswer(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	b.ask(1, "once", 1)
	b.now += 800 * ms
	b.feed(&AttemptResult{ID: 1, Result: TimedOut})
	if finals(b.acts) != 1 || !slices.Contains(b.acts, Action(Fail{ID: 1, Reason: DeadlineExceeded})) {
		t.Fatalf("got %v", b.acts)
	}
	if acts := b.advance(time1); finals(acts) != 0 {
		t.Fatalf("answered twice: %v", acts)
	}
}

func TestUnknownEventsIgnored(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	for _, ev := range []Event{&AttemptResult{ID: 9}, &AttemptResult{ID: 9, Attempt: -1}, &ClientGone{ID: 9}, &Timer{Token: 99999},
		&HealthCheckResult{Cache: "nobody"}, &ResponseStarted{ID: 9}, &PeerMessage{From: 3, Data: "x"}} {
		if acts := b.feed(ev); len(acts) != 0 {
			t.Errorf("%T: %v", ev, acts)
		}
	}
}

func TestMissingKeyIsPlaced(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	used := map[string]bool{}
	for id := range int64(60) {
		s := sends(b.feed(&Request{ID: id + 1, Class: "read", Deadline: b.now + 800*ms}))
		if len(s) != 1 || s[0].ID != id+1 {
			t.Fatalf("got %v", b.acts)
		}
		used[s[0].Cache] = true
		b.settle(id+1, 0)
	}
	if len(used) != 3 {
		t.Fatalf("keyless requests reach %v", used)
	}
}

func TestListAskedAgainWithSpreadWaits(t *testing.T) {
	s := settings()
	s.WatchRequired = true
	watches := func(seed uint64) []Time {
		r, _ := New(s, seed)
		b := &bench{t: t, r: r, now: 1e9}
		b.feed(&EndpointList{Kind: StaleUpdate, Endpoints: fleet(2)})
		untilWatch := func() Time {
			start := b.now
			for {
				for _, a := range b.advance(1 * ms) {
					if a == (Watch{}) {
						return b.now - start
					}
				}
			}
		}
		at := []Time{untilWatch()} // the first call; the others are made after it has failed
		for range 5 {
			b.feed(&EndpointList{Kind: FailedUpdate})
			at = append(at, untilWatch())
		}
		return at
	}
	x, y := watches(1), watches(2)
	if reflect.DeepEqual(x, y) {
		t.Fatal("two routers wait alike")
	}
	for _, pauses := range [][]Time{x, y} {
		if pauses[0] > 501*ms {
			t.Errorf("the first call comes after %d us, past half of the grace", pauses[0])
		}
		for i, pause := range pauses[1:] {
			// The first call of each was never answered: none of its pauses is that after a watch that worked.
			if pause < 666*ms || pause > 1335*ms {
				t.Errorf("pause %d is %d us, want a third around a sixth of six seconds", i, pause)
			}
		}
	}
}

func TestWrongSettings(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"ColdTime":    func(s *Settings) { s.SlowStartWindow = -1 },
		"DrainGrace":  func(s *Settings) { s.DrainGrace = -1 },
		"Classes":     func(s *Settings) { s.Classes = nil },
		"Classes[1]":  func(s *Settings) { s.Classes[1].LatencyObjective = -5 },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"Routers":     func(s *Settings) { s.Routers = -1 },
		"ColdShare":   func(s *Settings) { s.SlowStartMinCapacity = 1.5 },
		"ProbePrice":  func(s *Settings) { s.HealthCheckCost = math.NaN() },
		"ConnPrice":   func(s *Settings) { s.ConnectionCost = math.Inf(1) },
		"DialPrice":   func(s *Settings) { s.DialCost = -0.1 },
		"LateWorth":   func(s *Settings) { s.Classes[2].LateWeightFraction = 2 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// TestNothingIsHeldAfterARequest: its timers are taken back when it is over. The danger: at 15,000 requests a second
// the timers of those that are long answered hold some 26,000 of them.
func TestNothingIsHeldAfterARequest(t *testing.T) {
	s := settings()
	s.AllowHealthChecks = false
	b := newBench(t, s)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	before := len(b.timers)
	for id := range int64(8) {
		b.ask(id+1, "read", uint64(id))
	}
	if len(b.timers) <= before {
		t.Fatal("no request has set a timer")
	}
	for id := range int64(8) {
		b.settle(id+1, 0)
	}
	if got := len(b.timers); got != before || len(b.r.timers.pending) != before {
		t.Errorf("%d timers are set (%d in the module), %d before", got, len(b.r.timers.pending), before)
	}
}
