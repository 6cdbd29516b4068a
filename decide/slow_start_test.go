package decide

import (
	"fmt"
	"testing"
)

// simulateSlowStart simulates routers in front of caches that have all just started. Each cache divides its processor
// equally among its attempts. The load is a multiple of the capacity at the start. The function returns the ratio of
// requests served within their latency objective over the first 10 s, and the highest load that a cache was sent within
// any OverloadWindow, as a multiple of its capacity.
func simulateSlowStart(t *testing.T, routers, caches int, load float64) (inTime, maxOverload float64) {
	const (
		tick      = 5 * ms
		work      = 100 * ms // of one core, for each attempt
		objective = 500 * ms
		span      = 10_000 * ms
	)
	s := testSettings()
	s.Routers, s.SlowStartWindow, s.SlowStartMinCapacity, s.OverloadWindow = routers, 23_000*ms, 0.16, 3000*ms
	s.Classes = []Class{{Name: "read", Semantics: Idempotent, LatencyObjective: objective, ClientTimeout: 1200 * ms, PriorityWeight: 2}}
	harnesses := make([]*harness, routers)
	endpoints := fleet(caches)
	for i := range harnesses {
		harnesses[i] = newHarness(t, s)
		for e := range endpoints {
			endpoints[e].StartedAt = harnesses[i].now
		}
		harnesses[i].feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	}
	type job struct {
		router, attempt int
		id              int64
		remaining       float64 // work; µs of one core
	}
	type arrival struct {
		at   Time
		work float64
	}
	running := map[string][]*job{}
	sent := map[string][]arrival{}  // by cache
	requestedAt := map[int64]Time{} // by request
	attempts := map[int64]int{}     // by request
	finished := map[int64]bool{}    // by request
	start := harnesses[0].now
	capacity := func(now Time) float64 { // in cores
		return 6 * min(1, 0.16+0.84*float64(now-start)/float64(s.SlowStartWindow))
	}
	perform := func(router int, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				now := harnesses[router].now
				running[a.Cache] = append(running[a.Cache], &job{router, attempts[a.ID], a.ID, work})
				sent[a.Cache] = append(sent[a.Cache], arrival{now, work})
				attempts[a.ID]++
			case Reject:
				finished[a.ID] = true
			case Fail:
				finished[a.ID] = true
			}
		}
	}
	served, total, id, arrivals := 0, 0, int64(0), 0.0
	for now := start; now < start+span; now += tick {
		for i, h := range harnesses {
			perform(i, h.advance(now-h.now))
		}
		for _, e := range endpoints {
			jobs := running[e.ID]
			workPerJob := min(1, capacity(now)/float64(max(1, len(jobs)))) * tick
			running[e.ID] = nil
			for _, j := range jobs {
				switch j.remaining -= workPerJob; {
				case finished[j.id]:
					harnesses[j.router].feed(&AttemptResult{ID: j.id, Attempt: j.attempt, Result: Cancelled, Final: true})
				case j.remaining > 0:
					running[e.ID] = append(running[e.ID], j)
				default:
					if now-requestedAt[j.id] <= objective {
						served++
					}
					finished[j.id] = true
					perform(j.router, harnesses[j.router].feed(&AttemptResult{ID: j.id, Attempt: j.attempt, Result: Served, Final: true}))
				}
			}
			windowStart := now - s.OverloadWindow
			offered := 0.0
			for _, a := range sent[e.ID] {
				if a.at > windowStart {
					offered += a.work
				}
			}
			maxOverload = max(maxOverload, offered/(capacity(now)*float64(s.OverloadWindow)))
		}
		for arrivals += load * 0.16 * 6 * float64(caches) * tick / work; arrivals >= 1; arrivals-- {
			id++
			total++
			requestedAt[id] = now
			router := int(id) % routers
			perform(router, harnesses[router].feed(&Request{ID: id, Class: "read", Key: mix(uint64(id)) % 5000, HasKey: true,
				Deadline: now + 1200*ms}))
		}
	}
	return float64(served) / float64(total), maxOverload
}

// TestSlowStartServesFleetWithoutWarmCaches checks that a fleet in which every cache has just started, as after a power
// cut, serves most requests in time, and that no cache is sent more than three times its capacity.
func TestSlowStartServesFleetWithoutWarmCaches(t *testing.T) {
	for _, load := range []float64{0.3, 0.55, 2, 10} {
		t.Run(fmt.Sprint("load of ", load, " times the capacity"), func(t *testing.T) {
			inTime, maxOverload := simulateSlowStart(t, 3, 9, load)
			t.Logf("%.2f of requests served in time, at most %.2f times its capacity sent to a cache", inTime, maxOverload)
			if load < 1 && inTime < 0.6 {
				t.Errorf("got %.2f of requests served in time, want at least 0.6", inTime)
			}
			if maxOverload > 3 {
				t.Errorf("a cache was sent %.2f times its capacity, want at most 3", maxOverload)
			}
		})
	}
}

// TestSlowStartTrafficGrows checks that a cache that warms up gets a growing fraction of the traffic of a warm cache.
func TestSlowStartTrafficGrows(t *testing.T) {
	h := newHarness(t, testSettings())
	endpoints := fleet(4)
	endpoints[2].StartedAt = h.now
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	count := func() int {
		n := 0
		for k := range uint64(4000) {
			id := int64(h.now) + int64(k)
			if s := h.request(id, "read", k); s != nil && s.Cache == "c02" {
				n++
			}
			h.serve(id, 0)
		}
		return n
	}
	early := count()
	h.advance(5000 * ms)
	mid := count()
	h.advance(6000 * ms)
	full := count()
	if early == 0 || early > full*3/10 || mid < early*2 || mid > full*7/10 {
		t.Fatalf("got %d requests at the start, %d in the middle and %d at the end of the slow start, want steady growth", early, mid, full)
	}
}

// TestSlowStartBoundsAdmittedKeys checks that a cache that warms up does not get more than its part of the traffic, even
// if a third of the requests are for keys that the slow start admits.
func TestSlowStartBoundsAdmittedKeys(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 5, nil)
	endpoints := fleet(5)
	endpoints[3].StartedAt = h.now
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	n, key := 0, uint64(0)
	for id := range int64(600) {
		// Every third request is for a key that the second hash admits to the cache that warms up.
		for key++; id%3 == 0 && (h.router.preferredCache(key) != "c03" || unitInterval(mix(mix(key)+1)) >= h.router.settings.SlowStartMinCapacity); key++ {
		}
		if s := h.request(id+1, "read", key); s != nil && s.Cache == "c03" {
			n++
		}
		h.serve(id+1, 0)
	}
	if n == 0 || n > 600/5/2 {
		t.Fatalf("a cache that warms up got %d of 600 requests, want 1 to 60, half of the part of a warm cache", n)
	}
}

// TestSlowStartAdmitsNoRetriesAndNoHotKeys checks that a cache that warms up gets no retries and no hot keys. In an
// outage they are most of the traffic and would overload the cache.
func TestSlowStartAdmitsNoRetriesAndNoHotKeys(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 5, nil)
	endpoints := fleet(5)
	endpoints[3].StartedAt = h.now
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: endpoints})
	c := h.router.caches["c03"]
	key := uint64(1)
	for unitInterval(mix(mix(key)+1)) >= h.router.settings.SlowStartMinCapacity {
		key++
	}
	q := &request{Request: &Request{Key: key, Deadline: h.now + 1e6}, class: &Class{}}
	if !h.router.admitsDuringSlowStart(q, c) {
		t.Fatal("a first attempt for an admitted key is refused")
	}
	q.attempts = []attempt{{cache: h.router.caches["c01"], state: attemptNotRun}}
	if h.router.admitsDuringSlowStart(q, c) {
		t.Error("a retry is admitted")
	}
	q.attempts = nil
	h.router.hotKeys.requests[0][key], h.router.hotKeys.total[0] = 30, 100
	if h.router.admitsDuringSlowStart(q, c) {
		t.Error("a hot key is admitted")
	}
}

// TestLowTrafficSlowStartAddsUpToCapacity checks that the attempts of many routers at a cache that warms up
// add up to about its capacity. They would add up to almost nothing if hot keys were refused, as nearly every
// key counts as hot.
func TestLowTrafficSlowStartAddsUpToCapacity(t *testing.T) {
	sent, sentToWarm := 0, 0
	const routers, caches, perRouter = 300, 20, 30
	for n := range routers {
		h := newLowTrafficHarness(t, caches, func(s *Settings) {
			s.SlowStartWindow, s.SlowStartMinCapacity, s.OverloadWindow = 20_000*ms, .16, 3000*ms
		})
		h.router.random = randomSource(uint64(n) * 7919)
		h.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "c03", Zone: "b", Weight: 1, StartedAt: h.now}}})
		for i := range perRouter {
			id := int64(i + 1)
			if s := h.request(id, "read", uint64(n*perRouter+i)*0x9e3779b97f4a7c15); s != nil {
				sent += boolToInt(s.Cache == "c03")
				sentToWarm += boolToInt(s.Cache == "c04")
				h.serve(id, 0)
			}
			h.advance(10 * ms)
		}
	}
	if share := float64(sent) / float64(sentToWarm); share < .08 || share > .3 {
		t.Errorf("a cache with 0.16 of its capacity got %.2f times the requests of a warm cache (%d and %d), want 0.08 to 0.3", share, sent, sentToWarm)
	}
}
