package decide

import (
	"fmt"
	"testing"
)

// playSlowStart plays routers before caches that have all just started, each a processor shared by its requests. It
// returns the ratio of requests served within their latency objective over the first 10 s, and the maximum that a cache
// was sent over any span of OverloadWindow, as a multiple of its capacity.
func playSlowStart(t *testing.T, routers, caches int, load float64) (inTime, worst float64) {
	const (
		tick      = 5 * ms
		work      = 100 * ms // of one core, for each request
		objective = 500 * ms
		span      = 10_000 * ms
	)
	s := settings()
	s.Routers, s.SlowStartWindow, s.SlowStartMinCapacity, s.OverloadWindow = routers, 23_000*ms, 0.16, 3000*ms
	s.Classes = []Class{{Name: "read", Semantics: Idempotent, LatencyObjective: objective, ClientTimeout: 1200 * ms, PriorityWeight: 2}}
	harnesses := make([]*harness, routers)
	entries := fleet(caches)
	for i := range harnesses {
		harnesses[i] = newHarness(t, s)
		for e := range entries {
			entries[e].StartedAt = harnesses[i].now
		}
		harnesses[i].feed(&EndpointList{Kind: FullUpdate, Endpoints: entries})
	}
	type job struct {
		router, attempt int
		id              int64
		left            float64
	}
	type arrival struct {
		at   Time
		work float64
	}
	held := map[string][]*job{}
	sent := map[string][]arrival{}
	asked := map[int64]Time{}
	tries := map[int64]int{}
	over := map[int64]bool{}
	begin := harnesses[0].now
	capacity := func(now Time) float64 { // cores
		return 6 * min(1, 0.16+0.84*float64(now-begin)/float64(s.SlowStartWindow))
	}
	perform := func(router int, acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				now := harnesses[router].now
				held[a.Cache] = append(held[a.Cache], &job{router, tries[a.ID], a.ID, work})
				sent[a.Cache] = append(sent[a.Cache], arrival{now, work})
				tries[a.ID]++
			case Reject:
				over[a.ID] = true
			case Fail:
				over[a.ID] = true
			}
		}
	}
	served, total, id, due := 0, 0, int64(0), 0.0
	for now := begin; now < begin+span; now += tick {
		for i, b := range harnesses {
			perform(i, b.advance(now-b.now))
		}
		for _, e := range entries {
			jobs := held[e.ID]
			each := min(1, capacity(now)/float64(max(1, len(jobs)))) * tick
			held[e.ID] = nil
			for _, j := range jobs {
				switch j.left -= each; {
				case over[j.id]:
					harnesses[j.router].feed(&AttemptResult{ID: j.id, Attempt: j.attempt, Result: Cancelled, Last: true})
				case j.left > 0:
					held[e.ID] = append(held[e.ID], j)
				default:
					if now-asked[j.id] <= objective {
						served++
					}
					over[j.id] = true
					perform(j.router, harnesses[j.router].feed(&AttemptResult{ID: j.id, Attempt: j.attempt, Result: Served, Last: true}))
				}
			}
			from := now - s.OverloadWindow
			offered := 0.0
			for _, a := range sent[e.ID] {
				if a.at > from {
					offered += a.work
				}
			}
			worst = max(worst, offered/(capacity(now)*float64(s.OverloadWindow)))
		}
		for due += load * 0.16 * 6 * float64(caches) * tick / work; due >= 1; due-- {
			id++
			total++
			asked[id] = now
			router := int(id) % routers
			perform(router, harnesses[router].feed(&Request{ID: id, Class: "read", Key: mix(uint64(id)) % 5000, HasKey: true,
				Deadline: now + 1200*ms}))
		}
	}
	return float64(served) / float64(total), worst
}

// TestSlowStartServesFleetWithoutWarmCaches checks that a fleet of which every cache has just started, as
// after a power cut, serves most requests in time, and that no cache is pushed over its capacity.
func TestSlowStartServesFleetWithoutWarmCaches(t *testing.T) {
	for _, load := range []float64{0.3, 0.55, 2, 10} {
		t.Run(fmt.Sprint("at ", load, " of what they can do"), func(t *testing.T) {
			inTime, worst := playSlowStart(t, 3, 9, load)
			t.Logf("%.2f served in time, at most %.2f of its capacity sent to a cache", inTime, worst)
			if load < 1 && inTime < 0.6 {
				t.Errorf("%.2f of requests served in time", inTime)
			}
			if worst > 3 {
				t.Errorf("a cache was sent %.2f times what it can do", worst)
			}
		})
	}
}

// TestSlowStartTrafficGrows checks that a cache that warms up gets a growing part of its traffic.
func TestSlowStartTrafficGrows(t *testing.T) {
	b := newHarness(t, settings())
	es := fleet(4)
	es[2].StartedAt = b.now
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	count := func() int {
		n := 0
		for k := range uint64(4000) {
			id := int64(b.now) + int64(k)
			if s := b.request(id, "read", k); s != nil && s.Cache == "c02" {
				n++
			}
			b.serve(id, 0)
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

// TestSlowStartBoundsAdmittedKeys checks that keys that a cache may get while it warms up don't add up to
// more than its part.
func TestSlowStartBoundsAdmittedKeys(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 5, nil)
	es := fleet(5)
	es[3].StartedAt = b.now
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	n, key := 0, uint64(0)
	for id := range int64(600) {
		// Every third request is for a key that the second hash admits to the cache that warms up.
		for key++; id%3 == 0 && (b.r.home(key) != "c03" || unitInterval(mix(mix(key)+1)) >= b.r.settings.SlowStartMinCapacity); key++ {
		}
		if s := b.request(id+1, "read", key); s != nil && s.Cache == "c03" {
			n++
		}
		b.serve(id+1, 0)
	}
	if n == 0 || n > 600/5/2 {
		t.Fatalf("a cache that warms up got %d of 600, its full part is 120", n)
	}
}

// TestSlowStartAdmitsNoRetriesAndNoHotKeys checks that retries and hot keys, most of the traffic in an
// outage, can't push over a cache that warms up.
func TestSlowStartAdmitsNoRetriesAndNoHotKeys(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 5, nil)
	es := fleet(5)
	es[3].StartedAt = b.now
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	c := b.r.caches["c03"]
	key := uint64(1)
	for unitInterval(mix(mix(key)+1)) >= b.r.settings.SlowStartMinCapacity {
		key++
	}
	q := &request{Request: &Request{Key: key, Deadline: b.now + 1e6}, class: &Class{}}
	if !b.r.admitsDuringSlowStart(q, c) {
		t.Fatal("a first attempt is kept off")
	}
	q.attempts = []attempt{{cache: b.r.caches["c01"], state: attemptNotRun}}
	if b.r.admitsDuringSlowStart(q, c) {
		t.Error("a retry is let in")
	}
	q.attempts = nil
	b.r.hotKeys.requests[0][key], b.r.hotKeys.total[0] = 30, 100
	if b.r.admitsDuringSlowStart(q, c) {
		t.Error("a hot key is let in")
	}
}

// TestLowTrafficSlowStartAddsUpToCapacity checks that what many routers send a cache that warms up is
// neither next to nothing, as nearly every key counts as hot, nor more than it can do.
func TestLowTrafficSlowStartAddsUpToCapacity(t *testing.T) {
	sent, warm := 0, 0
	const routers, caches, perRouter = 300, 20, 30
	for n := range routers {
		b := newLowTrafficHarness(t, caches, func(s *Settings) {
			s.SlowStartWindow, s.SlowStartMinCapacity, s.OverloadWindow = 20_000*ms, .16, 3000*ms
		})
		b.r.random = randomSource(uint64(n) * 7919)
		b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c03", Zone: "b", Weight: 1, StartedAt: b.now}}})
		for i := range perRouter {
			id := int64(i + 1)
			if s := b.request(id, "read", uint64(n*perRouter+i)*0x9e3779b97f4a7c15); s != nil {
				sent += boolToInt(s.Cache == "c03")
				warm += boolToInt(s.Cache == "c04")
				b.serve(id, 0)
			}
			b.advance(10 * ms)
		}
	}
	if share := float64(sent) / float64(warm); share < .08 || share > .3 {
		t.Errorf("a cache that warms up that can do 0.16 of its work got %.2f of what a warm one did (%d and %d)", share, sent, warm)
	}
}
