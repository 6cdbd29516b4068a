package rules

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
)

// step is one event of a random stream.
type step struct {
	at     Time
	report func(o Observer)
}

// faultRate is the rate of faults in a random stream; at 0 the stream breaks no rule.
type faultRate struct {
	faults float64 // fraction of requests that break some rule
}

var (
	drawnClasses = []string{"read", "put", "zoneput", "cellput", "once"}
	drawnCaches  = []string{"a", "b", "c", "a2"}
)

// draw returns a random stream of n requests, one every 5 ms, with retries, rejections, drains and kills.
func draw(seed uint64, n int, rate faultRate) []step {
	rng := rand.New(rand.NewPCG(seed, 1))
	var steps []step
	report := func(at Time, f func(o Observer)) { steps = append(steps, step{at, f}) }
	set := testSettings()
	for i := range n {
		drawRequest(rng, report, set, fmt.Sprintf("q%d", i), Time(i)*5*ms, rate)
	}
	// Caches drain and return within the drain grace, so attempts may still reach them.
	for at := Time(0); at < Time(n)*5*ms; at += 3000 * ms {
		cache := drawnCaches[rng.IntN(len(drawnCaches))]
		report(at, func(o Observer) { o.Listed(at, "r0", cache, false) })
		report(at+900*ms, func(o Observer) { o.Listed(at+900*ms, "r0", cache, true) })
	}
	// Router r1 is killed every 7 s; its open requests break no rule.
	for at := 2000 * ms; at < Time(n)*5*ms; at += 7000 * ms {
		report(at, func(o Observer) { o.RouterDown(at, "r1", false) })
		report(at+100*ms, func(o Observer) { o.RouterUp(at+100*ms, "r1") })
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	return steps
}

// drawRequest adds one random request with up to three attempts, each sent after the end of the previous attempt.
func drawRequest(rng *rand.Rand, report func(Time, func(Observer)), set Settings, id string, at Time, rate faultRate) {
	name := drawnClasses[rng.IntN(len(drawnClasses))]
	class := set.Classes[name]
	router := fmt.Sprintf("r%d", rng.IntN(3))
	ask := Request{ID: id, Router: router, Class: name, Key: "key", IdemKey: "k" + id, Sent: at, Deadline: at + class.ClientTimeout}
	report(at, func(o Observer) { o.Asked(at, ask) })
	faulty := rng.Float64() < rate.faults
	now, mayHaveRun := at, false
	cache := drawnCaches[rng.IntN(len(drawnCaches))]
	answer := func(kind Answer, value string) {
		now += 1 + rng.Int64N(10*ms)
		end := now
		if faulty && rng.IntN(4) == 0 {
			end += class.ClientTimeout // late
		}
		report(end, func(o Observer) { o.Answered(end, id, kind, value) })
		if faulty && rng.IntN(4) == 0 {
			report(end+ms, func(o Observer) { o.Answered(end+ms, id, kind, value) })
		}
	}
	for try := range 3 {
		sent := now + 1 + rng.Int64N(5*ms)
		first := sent + 1 + rng.Int64N(20*ms)
		a := Attempt{ID: id, Key: "key", IdemKey: ask.IdemKey, Class: name, Router: router, Cache: cache,
			Sent: sent, First: first, Last: first}
		now = first + rng.Int64N(150*ms)
		done := now
		report(first, func(o Observer) { o.Began(first, a) })
		value := fmt.Sprintf("%s by %d", id, try)
		switch rng.IntN(5) {
		case 0: // rejected
			report(done, func(o Observer) { o.Replied(done, a.Cache, id, Refused, "") })
		case 1: // failed
			mayHaveRun = true
			report(done, func(o Observer) { o.Replied(done, a.Cache, id, Failed, "") })
		case 2: // abandoned by the router
			mayHaveRun = true
			report(done+10*ms, func(o Observer) { o.Ended(done+10*ms, a.Cache, id) })
		default:
			repeat := mayHaveRun
			report(done, func(o Observer) {
				o.Ran(done, a, repeat)
				o.Replied(done, a.Cache, id, Served, value)
			})
			if faulty && rng.IntN(4) == 0 {
				value = "another's"
			}
			answer(Served, value)
			return
		}
		if mayHaveRun && class.Semantics == NonIdempotent && !faulty {
			break
		}
		if !mayHaveRun || class.Semantics == Idempotent || class.Scope == ScopeAll || faulty {
			cache = drawnCaches[rng.IntN(len(drawnCaches))]
		}
	}
	if rng.IntN(10) == 0 {
		left := now + ms
		report(left, func(o Observer) { o.Left(left, id) })
		return
	}
	c := class
	if mayHaveRun && c.Semantics != Idempotent && c.Scope != ScopeAll && !faulty {
		answer(Failed, "")
		return
	}
	answer(Refused, "")
}

func play(steps []step, w *Watcher, ticks bool) {
	for _, c := range []string{"a", "b", "a2"} {
		w.Place(c, "north", c[:1])
	}
	w.Place("c", "south", "c")
	last := Time(0)
	for _, s := range steps {
		for ; ticks && last < s.at; last += 7 * ms {
			w.Tick(last)
		}
		s.report(w)
		last = s.at
	}
	w.Close(last + 60_000*ms)
}

func TestWatcherAcceptsValidStreams(t *testing.T) {
	for seed := range uint64(20) {
		var got []Violation
		w := New(testSettings(), func(v Violation) { got = append(got, v) })
		play(draw(seed, 3000, faultRate{}), w, false)
		for _, v := range got[:min(len(got), 3)] {
			t.Errorf("seed %d: %v\n%v", seed, v, w.History(v.Request))
		}
		c := w.Counts()
		if c.Asked != 3000 || c.Served+c.Refused+c.Failed+c.Left+c.Excused != c.Asked || c.Served < 1000 || c.Strange > 0 {
			t.Errorf("seed %d: %+v", seed, c)
		}
	}
}

// Verdicts must depend neither on the frequency of Tick nor on the iteration order of maps.
func TestVerdictIsIndependentOfTicks(t *testing.T) {
	steps := draw(7, 3000, faultRate{faults: 0.3})
	run := func(ticks bool) ([]Violation, string) {
		var got []Violation
		w := New(testSettings(), func(v Violation) { got = append(got, v) })
		play(steps, w, ticks)
		return got, fmt.Sprintf("%+v", w.Counts())
	}
	want, counts := run(false)
	if len(want) < 300 {
		t.Fatalf("got %d violations, want at least 300 for a meaningful comparison", len(want))
	}
	for _, ticks := range []bool{false, true} {
		got, c := run(ticks)
		if !slices.Equal(got, want) {
			t.Errorf("ticks %v: got %d violations, want the %d violations of the run without ticks", ticks, len(got), len(want))
		}
		if c != counts {
			t.Errorf("ticks %v: counts\n%s\nwant\n%s", ticks, c, counts)
		}
	}
}

// playRequest reports all events of request number i; requests follow each other every 100 µs.
func playRequest(w *Watcher, i int, id string) {
	at := Time(i) * 100
	ask := Request{ID: id, Router: "r", Class: "read", Key: "key", Sent: at, Deadline: at + 1200*ms}
	a := Attempt{ID: id, Key: "key", Class: "read", Router: "r", Cache: "a", Sent: at, First: at + 1, Last: at + 1}
	w.Asked(at, ask)
	w.Began(at+1, a)
	w.Ran(at+2, a, false)
	w.Replied(at+3, "a", id, Served, id)
	w.Answered(at+4, id, Served, id)
}

func TestWatcherForgetsFinishedRequests(t *testing.T) {
	set := testSettings()
	w := New(set, nil)
	n := 1_000_000
	if testing.Short() {
		n = 200_000
	}
	// A request stays in memory until its deadline and slack have passed, and for the retention after that.
	limit := int((1250*ms + w.retention) / 100)
	for i := range n {
		playRequest(w, i, fmt.Sprintf("q%d", i))
		if len(w.requests) > limit+1 {
			t.Fatalf("%d requests in memory after request %d, want at most %d", len(w.requests), i, limit)
		}
	}
	if c := w.Counts(); c.Served != n || c.Violations() != 0 {
		t.Fatalf("%+v", c)
	}
	w.Tick(Time(n)*100 + 60_000*ms)
	w.Tick(Time(n)*100 + 120_000*ms)
	if len(w.requests) != 0 || len(w.pendingChecks.items) != 0 || w.retired.len() != 0 || len(w.requestsWithViolation) != 0 {
		t.Errorf("left: %d requests, %d checks, %d retired, %d kept",
			len(w.requests), len(w.pendingChecks.items), w.retired.len(), len(w.requestsWithViolation))
	}
	if len(w.caches) != 1 || len(w.routers) != 1 || len(w.classes) != len(set.Classes) {
		t.Errorf("%d caches, %d routers, %d classes", len(w.caches), len(w.routers), len(w.classes))
	}
}

func TestRequestsWithViolationAreBounded(t *testing.T) {
	w := New(testSettings(), nil)
	for i := range 10 * maxRequestsWithViolation {
		w.Asked(Time(i), Request{ID: fmt.Sprintf("q%d", i), Router: "r", Class: fmt.Sprintf("class %d", i), Deadline: Time(i)})
	}
	w.Close(600_000 * ms)
	if len(w.requestsWithViolation) != maxRequestsWithViolation || len(w.requests) != 0 || len(w.classes) > maxClasses+1 {
		t.Errorf("%d kept, %d held, %d classes", len(w.requestsWithViolation), len(w.requests), len(w.classes))
	}
	if w.Counts().Lost != 10*maxRequestsWithViolation || w.History("q0") == nil {
		t.Errorf("%d lost, the first one's history %v", w.Counts().Lost, w.History("q0"))
	}
}

// BenchmarkRequest measures one request with one attempt, which is five events.
func BenchmarkRequest(b *testing.B) {
	w := New(testSettings(), nil)
	ids := make([]string, 1<<18)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		playRequest(w, i, ids[i%len(ids)])
	}
	if w.Counts().Violations() > 0 {
		b.Fatal("a rule is broken")
	}
}
