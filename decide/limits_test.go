package decide

import (
	"fmt"
	"strings"
	"testing"
)

// answer ends an attempt with a result after the given time.
func (b *bench) answer(id int64, attempt int, res Result, last bool) []Action {
	return b.feed(&AttemptResult{ID: id, Attempt: attempt, Result: res, Last: last, Load: LoadReport{Utilization: -1}})
}

func logs(acts []Action) string {
	var s []string
	for _, a := range acts {
		if l, ok := a.(Log); ok {
			s = append(s, l.String())
		}
	}
	return strings.Join(s, "\n")
}

// one returns a fleet of caches with healthy probes off, so that only the data path speaks.
func quietBench(t *testing.T, n int, change func(*Settings)) *bench {
	t.Helper()
	s := settings()
	s.AllowHealthChecks = false
	if change != nil {
		change(&s)
	}
	b := newBench(t, s)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(n)})
	return b
}

// The danger: a crowded cache serves everything late.
func TestLimitHoldsThenSheds(t *testing.T) {
	b := quietBench(t, 1, nil)
	b.r.caches["c00"].cachedKeys[0][7] = true // hits: the origin has no part in it
	sent := 0
	for id := range int64(40) {
		if b.ask(id+1, "read", 7) != nil {
			sent++
		}
	}
	limit := b.r.caches["c00"].limit.value
	if sent == 0 || float64(sent) > limit+1 {
		t.Fatalf("%d sent under a limit of %v", sent, limit)
	}
	acts := b.advance(90 * ms)
	if got := finals(acts); got != 40-sent {
		t.Fatalf("%d of %d held requests shed within the hold", got, 40-sent)
	}
	b.advance(20 * ms)
	if got := b.r.caches["c00"].limit.value; got >= limit {
		t.Fatalf("overdue attempts left the limit at %v", got)
	}
}

// The danger: in overload the fair order makes every held request late.
func TestHeldRequestsGoLatestFirst(t *testing.T) {
	b := quietBench(t, 1, nil)
	id := int64(1)
	for b.ask(id, "read", 7) != nil {
		id++
	}
	b.ask(id+1, "read", 7)
	if s := sends(b.answer(1, 0, Served, true)); len(s) == 0 || s[0].ID != id+1 {
		t.Fatalf("want request %d first, got %v", id+1, s)
	}
}

// The danger: a choked cache stays slow while every router keeps one attempt out.
func TestLimitUnderOneLeavesGaps(t *testing.T) {
	b := quietBench(t, 1, nil)
	c := b.r.caches["c00"]
	c.limit.value = 0.2
	c.cachedKeys[0][7] = true
	if b.ask(1, "read", 7) == nil {
		t.Fatal("an idle cache gets nothing")
	}
	b.answer(1, 0, Served, true)
	c.limit.value = 0.2
	if b.ask(2, "read", 7) != nil {
		t.Fatal("no gap after an attempt")
	}
	b.advance(5 * b.r.shortestTimeout)
	if b.ask(3, "read", 7) == nil {
		t.Fatal("nothing sent after the gap")
	}
}

// The danger: where all caches are slow by themselves, limits fall and nothing is served.
func TestAloneAnAttemptMayTakeItsAim(t *testing.T) {
	b := quietBench(t, 1, nil)
	c := b.r.caches["c00"]
	c.limit.value, c.responsive = b.r.soleAttemptLimit(), false
	b.ask(1, "read", 7)
	b.advance(150 * ms)
	if c.limit.value != b.r.soleAttemptLimit() {
		t.Fatalf("limit cut to %v within the aim", c.limit.value)
	}
	b.advance(60 * ms)
	if c.limit.value >= b.r.soleAttemptLimit() {
		t.Fatal("limit not cut after the aim")
	}
}

// The danger: one key drowns its cache.
func TestHotKeyIsSpread(t *testing.T) {
	b := quietBench(t, 10, nil)
	used := map[string]int{}
	for id := range int64(400) {
		key := uint64(id)
		if id%3 == 0 {
			key = 5
		}
		if s := b.ask(id+1, "read", key); s != nil && key == 5 {
			used[s.Cache]++
		}
		b.settle(id+1, 0)
	}
	if len(used) < 4 {
		t.Fatalf("a third of the traffic went to %v", used)
	}
	b.advance(5 * b.r.keyWindow())
	if n := b.r.replicaCount(5); n != 1 {
		t.Fatalf("still spread over %d when no longer hot", n)
	}
}

// The danger: retries feed the overload that caused them.
func TestRetryBudget(t *testing.T) {
	b := quietBench(t, 8, nil)
	n := 0
	for id := range int64(200) {
		if b.ask(id+1, "read", uint64(id)) != nil {
			if len(sends(b.answer(id+1, 0, Errored, false))) > 0 {
				n++
			}
		}
	}
	if n < maxRetryTokens || n > maxRetryTokens+200*retryTokensPerRequest {
		t.Fatalf("%d retries of 200 failures", n)
	}
}

// The danger: overflowing keys miss wherever they go and crowd the origin.
func TestOverflowTakesFromTheBudget(t *testing.T) {
	b := quietBench(t, 4, nil)
	home := b.ask(1, "read", 42).Cache
	b.settle(1, 0)
	b.r.caches[home].limit.value = 0.2
	b.r.retryBudget.tokens = 5
	if s := b.ask(2, "read", 42); s == nil || s.Cache == home {
		t.Fatalf("no overflow with budget: %v", s)
	}
	b.r.retryBudget.tokens = 0
	for _, c := range b.r.caches {
		c.cachedKeys = [2]map[uint64]bool{{}, {}}
	}
	b.r.origin.limit.value, b.r.origin.inFlight = 9, 5 // over half used: the origin has none to spare
	if s := b.ask(3, "read", 42); s != nil {
		t.Fatalf("overflow without budget: %v", s)
	}
	b.r.origin.inFlight = 0
	if s := b.ask(4, "read", 42); s == nil {
		t.Fatal("no overflow though the origin idles")
	}
}

// The danger: the origin, asked for too much, serves all of it late.
func TestMissesAreLimited(t *testing.T) {
	b := quietBench(t, 4, nil)
	for id := range int64(30) {
		if b.ask(id+1, "read", uint64(id)) != nil {
			b.answer(id+1, 0, Errored, true)
		}
	}
	if b.r.origin.limit.value != 1 {
		t.Fatalf("errors left the limit on misses at %v", b.r.origin.limit.value)
	}
	b.ask(100, "read", 1000)
	if s := b.ask(101, "read", 1001); s != nil {
		t.Fatal("a second likely miss went out")
	}
	for _, c := range b.r.caches {
		c.cachedKeys[0][7] = true
	}
	if s := b.ask(102, "read", 7); s == nil {
		t.Fatal("a likely hit was held for the origin's sake")
	}
	b.feed(&Request{ID: 103, Class: "once", Key: 1003, HasKey: true, Deadline: b.now + 800*ms, Write: true})
	if len(sends(b.acts)) == 0 {
		t.Fatal("a write was held for the limit on misses")
	}
}

// A late likely miss is the origin's fault only where the cache answers its hits in time.
func TestBlame(t *testing.T) {
	for _, prompt := range []bool{true, false} {
		b := quietBench(t, 1, nil)
		c := b.r.caches["c00"]
		c.responsive = prompt
		limit, fetches := c.limit.value, b.r.origin.limit.value
		b.ask(1, "read", 7)
		b.advance(190 * ms)
		if (c.limit.value < limit) == prompt || (b.r.origin.limit.value < fetches) != prompt {
			t.Errorf("prompt %v: limits %v to %v, %v to %v", prompt, limit, c.limit.value, fetches, b.r.origin.limit.value)
		}
	}
}

// The danger: the keys that a cold cache may take can still add up to more than its part.
func TestColdCacheGetsNoMoreThanItsPart(t *testing.T) {
	b := quietBench(t, 5, nil)
	es := fleet(5)
	es[3].StartedAt = b.now
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
	n, key := 0, uint64(0)
	for id := range int64(600) {
		// Every third request is for a key that the second hash admits to the cold cache.
		for key++; id%3 == 0 && (b.r.home(key) != "c03" || unitInterval(mix(mix(key)+1)) >= b.r.settings.SlowStartMinCapacity); key++ {
		}
		if s := b.ask(id+1, "read", key); s != nil && s.Cache == "c03" {
			n++
		}
		b.settle(id+1, 0)
	}
	if n == 0 || n > 600/5/2 {
		t.Fatalf("a cold cache got %d of 600, its full part is 120", n)
	}
}

// The danger: in trouble retries and hot keys are most of what is sent, and push cold caches over.
func TestColdCacheTakesNoRetriesAndNoHotKeys(t *testing.T) {
	b := quietBench(t, 5, nil)
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

func TestSheddingIsLoggedOnce(t *testing.T) {
	b := quietBench(t, 1, nil)
	all := ""
	for id := range int64(1000) {
		b.ask(id+1, "read", 7)
		all += logs(b.advance(10*ms)) + "\n"
	}
	if n := strings.Count(all, "load shedding active=true"); n != 1 {
		t.Fatalf("logged %d times: %s", n, fmt.Sprint(all))
	}
}

// The gate alone, whatever pick offers it.
func TestMaySendGate(t *testing.T) {
	b := quietBench(t, 3, func(s *Settings) { s.AllowHedging = false })
	b.ask(1, "read", 9)
	q, c := b.r.requests[1], b.r.serving[0]
	if b.r.maySend(q, c) {
		t.Error("a second copy where copies are banned")
	}
	q.attempts[0].state = attemptMayHaveRun
	if !b.r.maySend(q, c) {
		t.Error("a retry is not allowed")
	}
	for _, cond := range []Status{Draining, Removed} {
		if c.Status = cond; b.r.maySend(q, c) {
			t.Errorf("sent to a cache in condition %d", cond)
		}
	}
	c.Status = Serving
	q.streaming = true
	if b.r.maySend(q, c) {
		t.Error("sent though the answer streams")
	}
	// An unsafe class keeps off even where its settings speak of keys.
	q = &request{Request: &Request{Deadline: b.now + 1e6}, class: &Class{Semantics: NonIdempotent, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: 1e9},
		attempts: []attempt{{cache: c, sentAt: b.now, state: attemptMayHaveRun}}}
	if b.r.maySend(q, c) || b.r.mayReject(q) {
		t.Error("an unsafe request that may have run was sent again or refused")
	}
}

// The danger: a hung cache takes requests and answers none until its probes have failed.
func TestHedgeAtASilentCacheOnly(t *testing.T) {
	for _, silent := range []bool{true, false} {
		b := quietBench(t, 4, nil)
		s := b.ask(1, "read", 9)
		b.advance(10 * ms)
		if !silent {
			b.r.caches[s.Cache].lastAnswerAt = b.r.now
		}
		got := sends(b.advance(100 * ms))
		if silent != (len(got) == 1) {
			t.Errorf("silent %v: hedged with %v", silent, got)
		}
	}
	for _, change := range []func(*Settings){func(s *Settings) { s.AllowHedging = false }, func(s *Settings) { s.MaxAttempts = 1 }} {
		b := quietBench(t, 4, change)
		b.ask(1, "read", 9)
		if got := sends(b.advance(150 * ms)); len(got) != 0 {
			t.Errorf("hedged where it is banned: %v", got)
		}
	}
	b := quietBench(t, 4, nil)
	b.ask(1, "once", 9)
	if got := sends(b.advance(150 * ms)); len(got) != 0 {
		t.Errorf("an unsafe request was hedged: %v", got)
	}
}

// The danger: an unhealthy home counts as crowded, and its keys are refused for want of budget.
func TestUnhealthyHomeIsNotCrowding(t *testing.T) {
	b := quietBench(t, 4, nil)
	home := b.ask(1, "read", 42).Cache
	b.settle(1, 0)
	c := b.r.caches[home]
	c.health.healthy, c.limit.value, c.sent.updatedAt = false, minConcurrency, b.now
	b.r.retryBudget.tokens, b.r.origin.limit.value, b.r.origin.inFlight = 0, 9, 5
	if s := b.ask(2, "read", 42); s == nil || s.Cache == home {
		t.Fatalf("got %v, want another cache", s)
	}
}

// The danger: with thousands held, trying all of them at each answer takes seconds.
func TestManyHeldAreNotAllTried(t *testing.T) {
	b := quietBench(t, 3, nil)
	for id := range int64(2000) {
		b.ask(id+1, "read", uint64(id))
	}
	for _, c := range b.r.caches {
		c.limit.value = minConcurrency // no room anywhere
	}
	if len(b.r.queue.waiting) < 1000 {
		t.Fatalf("only %d held", len(b.r.queue.waiting))
	}
	allocs := testing.AllocsPerRun(5, b.r.dispatchQueued)
	if allocs > 8*maxDispatchFailures {
		t.Fatalf("one answer looks at too many: %v allocations", allocs)
	}
}

// A cold cache is slow itself, and one that is late with a likely hit is to blame from then on.
func TestBlameOfColdAndLateCaches(t *testing.T) {
	b := quietBench(t, 1, nil)
	c := b.r.caches["c00"]
	c.slowStart.from, c.slowStart.until, c.sent.updatedAt = b.now-9000*ms, b.now+1000*ms, b.now
	key := uint64(1)
	for !b.r.admitsDuringSlowStart(&request{Request: &Request{Key: key}}, c) {
		key++
	}
	fetches := b.r.origin.limit.value
	if b.ask(1, "read", key) == nil {
		t.Fatal("not sent")
	}
	b.advance(190 * ms)
	if b.r.origin.limit.value < fetches {
		t.Error("the origin is blamed for a cold cache")
	}

	b = quietBench(t, 1, nil)
	c = b.r.caches["c00"]
	c.cachedKeys[0][7] = true
	b.ask(1, "read", 7)
	b.advance(150 * ms)
	if c.responsive {
		t.Error("a cache late with a likely hit still counts as prompt")
	}
	b.settle(1, 0)
	b.ask(2, "read", 7)
	b.settle(2, 0)
	if !c.responsive {
		t.Error("a hit in time does not make it prompt again")
	}
}

// The danger: a router of a large fleet learns of a surge from each cache apart.
func TestVerdictsCountInPartForAll(t *testing.T) {
	b := quietBench(t, 12, nil)
	before := b.r.caches["c00"].limit.value
	var to string
	var last int64
	for key := uint64(1); to == "" || to == "c00"; key++ {
		if s := b.ask(int64(key), "once", key); s != nil {
			to = s.Cache
		}
		last = int64(key)
	}
	b.r.caches[to].responsive = false // so that the origin is not blamed
	b.r.blameOverdue(b.r.requests[last], 0)
	other, own := b.r.caches["c00"].limit.value, b.r.caches[to].limit.value
	if before-other <= 0 || other <= own {
		t.Errorf("an overdue write lowers the limit of its cache from %v to %v, of another to %v", before, own, other)
	}
	for range 100 {
		b.r.spreadResult(false)
	}
	if got := b.r.caches["c00"].limit.value; got < b.r.soleAttemptLimit() {
		t.Errorf("the others' verdicts lower a limit to %v, under one attempt of all routers", got)
	}
}

// The danger: in sparing the origin, one router of many refuses mostly what caches have.
func TestOriginIsSparedByExpectedMisses(t *testing.T) {
	sent := func(miss bool) (n int) {
		b := quietBench(t, 8, nil)
		for id := range int64(400) {
			if b.ask(id+1, "read", uint64(id)) != nil {
				b.feed(&AttemptResult{ID: id + 1, Result: Served, Last: true, Miss: miss, Load: LoadReport{Utilization: -1}})
			}
		}
		b.r.origin.limit.value = 2
		for id := range int64(20) {
			if b.ask(id+1000, "read", uint64(id+1000)) != nil {
				n++
			}
		}
		return n
	}
	if hits, misses := sent(false), sent(true); misses != 2 || hits < 10 {
		t.Errorf("under a limit of 2 likely misses %d are sent where all were misses, %d where none was", misses, hits)
	}
}

// The danger: caches that choke do so while a quarter of their attempts is overdue.
func TestLimitFallsWhereAQuarterIsOverdue(t *testing.T) {
	limit := concurrencyLimit{8}
	for i := range 40 {
		limit.adjust(i%4 != 0, toleratedLateRatio)
	}
	if limit.value >= 8 {
		t.Errorf("with a quarter overdue a limit of 8 went to %v", limit.value)
	}
}

// The danger: every router of many keeps a connection to every cache, and their tables fill up.
func TestIdleConnectionsAreClosedWhereKeepingCostsMore(t *testing.T) {
	only := "" // the cache whose closings count
	closed := func(routers int, key func(id int64) uint64, change func(*Settings)) (n int) {
		b := quietBench(t, 20, func(s *Settings) {
			s.Routers, s.ConnectionCost, s.DialCost = routers, .05, .05
			if change != nil {
				change(s)
			}
		})
		for id := range int64(400) {
			b.ask(id+1, "read", key(id))
			b.settle(id+1, 0)
			for _, a := range b.acts {
				if c, ok := a.(CloseIdle); ok && (only == "" || c.Cache == only) {
					n++
				}
			}
		}
		return n
	}
	spread := func(id int64) uint64 { return uint64(id) }
	probe := quietBench(t, 20, nil)
	var same []uint64 // keys of one cache: none hot by itself
	for key := uint64(1); len(same) < 400; key++ {
		if probe.r.home(key) == "c00" {
			same = append(same, key)
		}
	}
	one := func(id int64) uint64 { return same[id%400] }
	if n := closed(3, spread, nil); n > 40 {
		t.Errorf("few routers closed %d of 400", n)
	}
	if n := closed(600, spread, nil); n < 380 {
		t.Errorf("many routers closed only %d of 400", n)
	}
	only = "c00" // some keys go to a second cache until more is known of them
	if n := closed(600, one, func(s *Settings) { s.ConnectionCost = .002 }); n > 60 {
		t.Errorf("closed %d of 400 to the one cache in use", n)
	}
	only = ""
	unpriced := func(s *Settings) { s.ConnectionCost, s.DialCost = 0, 0 }
	if n := closed(3, spread, unpriced); n > 0 {
		t.Errorf("few routers closed %d where neither has a price", n)
	}
	for name, change := range map[string]func(*Settings){"neither": unpriced, "dials": func(s *Settings) { s.ConnectionCost = 0 }} {
		if n := closed(300, spread, change); n < 380 {
			t.Errorf("many routers closed only %d of 400 where %s has a price", n, name)
		}
	}
}

// The danger: a router learns from each cache apart that the links to their zone are cut.
func TestZoneOutOfReach(t *testing.T) {
	b := quietBench(t, 12, func(s *Settings) { s.MaxAttempts = 6 })
	b.r.retryBudget.tokens = 0 // an attempt that met no cache costs none of it
	tries, key := 0, uint64(0)
	for tries < maxFailedConnections { // caches of zone a can't be reached
		key++
		s := b.ask(int64(key), "read", key)
		for n := 0; s != nil && b.r.caches[s.Cache].Zone == "a"; n++ {
			tries++
			if got := sends(b.answer(int64(key), n, ConnectFailed, false)); len(got) == 0 {
				t.Fatal("not sent on after a failed connection")
			} else {
				s = &got[0]
			}
		}
		if tries < maxFailedConnections {
			b.r.zones["a"].failedConnections = tries // hits in zone b do not speak for zone a
		}
		b.settle(int64(key), len(b.r.requests[int64(key)].attempts)-1)
	}
	sentTo := func() (n int) {
		for range 40 {
			key++
			if s := b.ask(int64(key), "read", key); s != nil && b.r.caches[s.Cache].Zone == "a" {
				n++
			}
		}
		return n
	}
	if n := sentTo(); n != 0 {
		t.Errorf("%d of 40 sent to the lost zone", n)
	}
	for _, c := range b.r.caches {
		c.limit.value = 100
	}
	b.r.origin.limit.value = 1e6
	b.advance(b.r.settings.SlowStartWindow/4 + ms)
	if n := sentTo(); n != 1 {
		t.Errorf("%d trials, want one", n)
	}
	for id, q := range b.r.requests {
		for i, a := range q.attempts {
			if a.isOut() && a.cache.Zone == "a" {
				b.settle(id, i)
			}
		}
	}
	if n := sentTo(); n < 10 {
		t.Errorf("%d of 40 sent after the trial was served", n)
	}
}

// The danger: a size that falls with the load moves keys from list to list.
func TestLiveSizesDoNotMoveKeys(t *testing.T) {
	for _, live := range []bool{true, false} {
		b := quietBench(t, 8, func(s *Settings) { s.WeightsFollowLoad = live })
		moved := 0
		for key := range uint64(200) {
			es := fleet(8)
			for i := range es {
				es[i].Weight = 2
			}
			b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
			home := b.r.home(key)
			for i := range es {
				es[i].Weight /= float64(1 + (int(key)+i)%3) // as requests come and go
			}
			b.feed(&EndpointList{Kind: FullUpdate, Endpoints: es})
			if b.r.home(key) != home {
				moved++
			}
		}
		if live && moved > 0 || !live && moved == 0 {
			t.Errorf("live %v: %d of 200 keys moved", live, moved)
		}
	}
}

// home is the id of a key's first rank.
func (r *Router) home(key uint64) string {
	r.rankCaches(key)
	return r.placement.ranked(0).ID
}

// The danger: caches lose a share of what they are sent and serve the rest as quickly as ever. Held for
// crowding, that lowers their limits until nothing is sent. Here each fourth first attempt is never answered.
func TestLostAttemptsAreSentAgain(t *testing.T) {
	b := quietBench(t, 4, nil)
	for _, c := range b.r.caches {
		for key := range uint64(16) {
			c.cachedKeys[0][key], c.cachedKeys[1][key] = true, true
		}
	}
	before := b.r.serving[0].limit.value
	lost, again, refused := 0, 0, 0
	var after func(acts []Action)
	after = func(acts []Action) {
		refused += finals(acts)
		for _, a := range acts {
			switch a := a.(type) {
			case Send: // a second attempt: it is answered
				if a.ID > 200 {
					again++
				}
				after(b.answer(a.ID, len(b.r.requests[a.ID].attempts)-1, Served, true))
			case Cancel:
				after(b.answer(a.ID, a.Attempt, Cancelled, true))
			}
		}
	}
	for id := range int64(400) {
		id++
		s := b.ask(id, "read", uint64(id%15))
		if s == nil {
			t.Fatalf("request %d is not sent", id)
		}
		if id == 200 {
			refused = 0
		}
		after(b.advance(10 * ms))
		switch {
		case id%4 != 0:
			after(b.answer(id, 0, Served, true))
		case id > 200:
			lost++
		}
	}
	after(b.advance(300 * ms))
	if again < lost*9/10 || refused > lost/10 {
		t.Errorf("of %d lost attempts %d were sent again; %d refused", lost, again, refused)
	}
	for _, c := range b.r.serving {
		if c.limit.value < before || c.inFlight > 1 || c.overtaken != 0 { // the last one may still be out
			t.Errorf("%s: limit %v -> %v, %d overtaken of %d out", c.ID, before, c.limit.value, c.overtaken, c.inFlight)
		}
	}
}

// Caches that are gone leave nothing, and what comes late for them does no harm.
func TestCachesThatAreGone(t *testing.T) {
	b := quietBench(t, 3, nil)
	s := b.ask(1, "read", 9)
	for i := range 50 {
		b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: fmt.Sprint("x", i), Zone: "a", Weight: 1}}})
		b.feed(&EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: fmt.Sprint("x", i), Status: Removed}}})
	}
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)[:0]})
	if len(b.r.caches) != 0 {
		t.Errorf("%d caches are kept", len(b.r.caches))
	}
	b.feed(&HealthCheckResult{Cache: s.Cache, Result: Served})
	b.answer(1, 0, Served, true)
	if len(b.r.requests) != 0 {
		t.Errorf("%d requests are kept", len(b.r.requests))
	}
}

// The danger: a cache that fails at once draws on the retry budget and has the origin blamed, until
// misses everywhere are refused to spare it.
func TestCacheThatAnswersErrorsIsPassedOver(t *testing.T) {
	b := quietBench(t, 4, nil)
	bad := b.r.home(9)
	fetches := b.r.origin.limit.value
	for id := range int64(200) {
		id++
		s := b.ask(id, "read", uint64(id))
		for n := 0; s != nil && s.Cache == bad; n++ {
			got := sends(b.answer(id, n, Errored, false))
			if s = nil; len(got) > 0 {
				s = &got[0]
			}
		}
		if s == nil && id > 50 {
			t.Fatalf("request %d was given up", id)
		}
		if s != nil {
			b.answer(id, len(b.r.requests[id].attempts)-1, Served, true)
		}
		b.advance(5 * ms)
	}
	if got := b.r.caches[bad].attemptsSent; got > 60 {
		t.Errorf("%d of 200 requests went to the failing cache", got)
	}
	if b.r.origin.limit.value < fetches/2 {
		t.Errorf("the origin was blamed: %v -> %v", fetches, b.r.origin.limit.value)
	}
	b.advance(10 * b.r.settings.DrainGrace)
	if b.r.answersErrors(b.r.caches[bad]) {
		t.Error("it is never tried again")
	}
}

// A connection that breaks at once costs its cache little: the request tries the same cache again, once and
// uncharged. The danger: elsewhere it misses, and where connections break often the budget runs dry.
func TestBrokenAtOnceTriesItsCacheAgain(t *testing.T) {
	b := quietBench(t, 4, nil)
	b.r.retryBudget.tokens = 0
	first := b.ask(1, "read", 9)
	again := sends(b.answer(1, 0, ConnectionLost, false))
	if len(again) != 1 || again[0].Cache != first.Cache {
		t.Fatalf("sent to %s, then %v", first.Cache, again)
	}
	other := sends(b.answer(1, 1, ConnectionLost, false))
	if len(other) != 1 || other[0].Cache == first.Cache {
		t.Errorf("the third attempt: %v", other)
	}
	b.ask(2, "once", 9)
	if got := sends(b.answer(2, 0, ConnectionLost, false)); len(got) != 0 {
		t.Errorf("an unsafe request that may have run is sent again: %v", got)
	}
}

// The danger: a router that starts with an empty list takes the origin for one that can serve one
// fetch at a time, and refuses most of what comes for seconds.
func TestRouterThatStartsWithoutAListKnowsTheOriginOnceItHasOne(t *testing.T) {
	s := settings()
	s.AllowHealthChecks = false
	b := newBench(t, s)
	b.feed(&EndpointList{Kind: StaleUpdate})
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(8)})
	if want := float64(initialConcurrency*8) / float64(s.Routers); b.r.origin.limit.value != want {
		t.Errorf("%v likely misses may be out, want %v", b.r.origin.limit.value, want)
	}
}
