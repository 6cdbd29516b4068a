package retrystorm

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/rendezvous"
	"starlingwinch/internal/structuredlog"
)

const (
	ms   Time = 1000
	sec  Time = 1000 * ms
	zero Time = 1_000 * sec
)

// scene drives a detector as a router does.
type scene struct {
	t       *testing.T
	s       *Detector
	now     Time
	changes []Change
}

func newScene(t *testing.T, change func(*Config)) *scene {
	c := Default()
	if change != nil {
		change(&c)
	}
	sc := &scene{t: t, s: New(c), now: zero}
	sc.s.Tick(zero)
	return sc
}

// logLine returns the line that a router logs at a change.
func logLine(change Change) string {
	var line string
	logger := structuredlog.New(structuredlog.SinkFunc(func(l string) { line = l }))
	logger.LogAttrs(context.Background(), change.Level(), ChangeMessage, change.Attrs()...)
	return line
}

// run goes on for a while; each is called every step, before the tick.
func (sc *scene) run(d Time, each func()) {
	for end := sc.now + d; sc.now < end; {
		sc.now += Step
		if each != nil {
			each()
		}
		if change, changed := sc.s.Tick(sc.now); changed {
			sc.changes = append(sc.changes, change)
		}
	}
}

func (sc *scene) request(client, key uint64) (Request, Verdict) {
	a := Request{Client: client, Key: key, ClientTimeout: sec}
	return a, sc.s.Requested(sc.now, a)
}

// reject requests something and has it rejected.
func (sc *scene) reject(client, key uint64) Verdict {
	a, verdict := sc.request(client, key)
	sc.s.Unserved(sc.now, a, verdict, sc.now)
	return verdict
}

func (sc *scene) wants(state State) {
	sc.t.Helper()
	if sc.s.State() != state {
		sc.t.Fatalf("state %v, wanted %v; %v", sc.s.State(), state, sc.changes)
	}
}

// storming has so many clients request at each step; all are rejected and retry.
func (sc *scene) storming(clients uint64) func() {
	return func() {
		for c := range clients {
			sc.reject(c, c)
		}
	}
}

// TestRequestedRecognisesRetry checks that retries are recognised with the time of the first request.
func TestRequestedRecognisesRetry(t *testing.T) {
	sc := newScene(t, nil)
	verdict, first := sc.reject(1, 7), sc.now
	if verdict.Retry || verdict.FirstRequestedAt != 0 {
		t.Fatalf("the first try is recognised as %+v", verdict)
	}
	sc.now += 300 * ms
	verdict = sc.reject(1, 7)
	if !verdict.Retry || verdict.FirstRequestedAt/ms != first/ms {
		t.Fatalf("the second try is recognised as %+v, first asked at %d", verdict, first)
	}
	sc.now += 300 * ms
	if _, verdict = sc.request(1, 7); verdict.FirstRequestedAt/ms != first/ms {
		t.Fatalf("the third try is recognised as %+v, first asked at %d", verdict, first)
	}
}

// TestRequestedAfterServedRequestIsNoRetry checks that only requests without a value are remembered.
func TestRequestedAfterServedRequestIsNoRetry(t *testing.T) {
	sc := newScene(t, nil)
	sc.request(1, 7)
	if _, verdict := sc.request(1, 7); verdict.Retry {
		t.Fatal("a request after one that was served passes for a retry")
	}
}

// TestRequestedAfterClientTimeoutIsNoRetry checks that a request is forgotten with its client's timeout.
func TestRequestedAfterClientTimeoutIsNoRetry(t *testing.T) {
	sc := newScene(t, nil)
	sc.reject(1, 7)
	sc.now += sec + ms
	if _, verdict := sc.request(1, 7); verdict.Retry {
		t.Fatal("a request after the client timeout passes for a retry")
	}
}

// TestRejectionAccountsForOneRetry checks that a second request after one rejection is no retry.
func TestRejectionAccountsForOneRetry(t *testing.T) {
	sc := newScene(t, nil)
	sc.reject(1, 7)
	_, one := sc.request(1, 7)
	_, two := sc.request(1, 7)
	if !one.Retry || two.Retry {
		t.Fatalf("%+v, %+v: one refusal came back once", one, two)
	}
}

// TestMarkedRetryCountsWithoutRejection checks that a retry of a request which another router rejected counts.
func TestMarkedRetryCountsWithoutRejection(t *testing.T) {
	sc := newScene(t, nil)
	verdict := sc.s.Requested(sc.now, Request{Client: 1, Key: 7, ClientTimeout: sec, MarkedRetry: true})
	if !verdict.Retry || verdict.FirstRequestedAt != 0 {
		t.Fatalf("recognised as %+v", verdict)
	}
}

// TestRequestedOfOtherClientOrKeyIsNoRetry checks that client and key both have to match.
func TestRequestedOfOtherClientOrKeyIsNoRetry(t *testing.T) {
	sc := newScene(t, nil)
	sc.reject(1, 7)
	for _, other := range [][2]uint64{{2, 7}, {1, 8}, {7, 1}} {
		if _, verdict := sc.request(other[0], other[1]); verdict.Retry {
			t.Errorf("client %d with key %d passes for a retry of client 1 with key 7", other[0], other[1])
		}
	}
}

// TestStormPassesThroughStates checks the states in order, and the bounds in a storm and after it.
func TestStormPassesThroughStates(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(500*ms, sc.storming(50))
	sc.wants(Stormy)
	b := sc.s.Bounds()
	if !b.Active || b.Outage || b.RetryBudgetFraction != Default().RetryBudgetFraction {
		t.Fatalf("bounds in a storm: %+v", b)
	}
	next := uint64(1000)
	calmly := func() {
		for range 5 {
			next++
			sc.request(next, next)
		}
	}
	sc.run(5*sec, calmly)
	sc.wants(Calm)
	if sc.s.Bounds() != calm {
		t.Fatalf("bounds when calm: %+v", sc.s.Bounds())
	}
	var states []string
	for _, change := range sc.changes {
		line := logLine(change)
		c, ok := ParseChange(line)
		if !ok || c.Change != change {
			t.Fatalf("the line is read back as %+v: %s", c, line)
		}
		states = append(states, c.To.String())
	}
	if got := strings.Join(states, " "); got != "rising storm recovering calm" {
		t.Fatalf("states: %s", got)
	}
}

// TestFirstRequestsAreNoStorm checks a large crowd of first requests.
func TestFirstRequestsAreNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	next := uint64(0)
	sc.run(5*sec, func() {
		for range 5000 {
			next++
			sc.request(next, next)
			sc.s.Connected()
		}
	})
	if len(sc.changes) > 0 {
		t.Fatalf("%v", sc.changes)
	}
}

// TestRejectionsWithoutRetriesAreNoStorm checks a crowd that is rejected and does not come back.
func TestRejectionsWithoutRetriesAreNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	next := uint64(0)
	sc.run(5*sec, func() {
		for range 100 {
			next++
			sc.reject(next, next)
		}
	})
	if len(sc.changes) > 0 {
		t.Fatalf("%v", sc.changes)
	}
}

// TestOutageIsReported checks that unreached caches make a storm, and that the bounds say so until its end.
func TestOutageIsReported(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(sec, func() {
		for range 3 {
			sc.s.AttemptEnded(false)
		}
	})
	sc.wants(Stormy)
	if !sc.s.Bounds().Outage {
		t.Fatalf("bounds: %+v", sc.s.Bounds())
	}
	sc.run(sec, func() { sc.s.AttemptEnded(true) })
	if !sc.s.Bounds().Outage {
		t.Fatalf("that the caches have just come back is forgotten: %+v", sc.s.Bounds())
	}
}

// TestRetryBudgetIsRestoredInSteps checks that no step raises the budget by more than a fifth.
func TestRetryBudgetIsRestoredInSteps(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(sec, sc.storming(50))
	next := uint64(1000)
	rose := sc.s.Bounds().RetryBudgetFraction
	for sc.s.State() != Calm {
		sc.run(Step, func() {
			for range 20 {
				next++
				sc.request(next, next)
			}
		})
		now := sc.s.Bounds().RetryBudgetFraction
		if now-rose > 0.2 {
			t.Fatalf("the budget rises from %.2f to %.2f in one step", rose, now)
		}
		rose = now
		if sc.now > zero+20*sec {
			t.Fatal("it never ends")
		}
	}
}

// TestStateDoesNotFlapAtThreshold checks a ratio of retries about that at which a storm rises.
func TestStateDoesNotFlapAtThreshold(t *testing.T) {
	sc := newScene(t, nil)
	rng := rand.New(rand.NewPCG(1, 2))
	next := uint64(0)
	sc.run(30*sec, func() {
		for range 20 {
			next++
			if rng.Float64() < 0.25 { // comes back at once, and is served
				sc.reject(next, next)
			}
			sc.request(next, next)
		}
	})
	if len(sc.changes) > 8 {
		t.Fatalf("%d changes in 30 s: %v", len(sc.changes), sc.changes)
	}
}

// TestRelapseReturnsToStorm checks that a storm which comes back during recovery is one at once.
func TestRelapseReturnsToStorm(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(sec, sc.storming(50))
	next := uint64(1000)
	for sc.s.State() != Recovering {
		sc.run(Step, func() {
			for range 50 {
				next++
				sc.request(next, next)
			}
		})
	}
	sc.run(500*ms, sc.storming(200))
	sc.wants(Stormy)
}

// TestJitterGrowsToMaximum checks that the jitter grows while a storm goes on, up to its maximum.
func TestJitterGrowsToMaximum(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(500*ms, sc.storming(50))
	early := sc.s.Bounds().RetryAfterJitter
	sc.run(10*sec, sc.storming(50))
	if late := sc.s.Bounds().RetryAfterJitter; late <= early || late != Default().MaxRetryAfterJitter.Microseconds() {
		t.Fatalf("waits up to %d at first and %d later", early, late)
	}
}

// TestRequestedMarksAddressOverFairShare checks that one aggressive address is marked, and no other.
func TestRequestedMarksAddressOverFairShare(t *testing.T) {
	sc := newScene(t, nil)
	over := map[uint64]int{}
	sc.run(4*sec, func() {
		sc.storming(1000)()
		for i := range uint64(200) {
			if _, verdict := sc.request(1, 1_000_000+i); verdict.OverFairShare {
				over[1]++
			}
		}
		for c := uint64(2); c < 50; c++ {
			if _, verdict := sc.request(c, 2_000_000+c); verdict.OverFairShare {
				over[c]++
			}
		}
	})
	if over[1] == 0 || len(over) != 1 {
		t.Fatalf("over its share: %v", over)
	}
}

// TestSingleAddressHasNoFairShare checks that a proxy which speaks for all clients is not bounded.
func TestSingleAddressHasNoFairShare(t *testing.T) {
	sc := newScene(t, nil)
	key := uint64(0)
	sc.run(5*sec, func() {
		for range 500 {
			key++
			if sc.reject(1, key%100).OverFairShare {
				t.Fatal("a front layer that speaks for all is bounded as one client")
			}
		}
	})
	sc.wants(Stormy)
}

// TestMemoryIsBounded checks tables after a hundred thousand addresses, and that most are still recognised.
func TestMemoryIsBounded(t *testing.T) {
	s := New(Default())
	for c := range uint64(100_000) {
		a := Request{Client: rendezvous.Mix(c), Key: c, ClientTimeout: sec}
		s.Unserved(zero, a, s.Requested(zero, a), zero)
	}
	most := Default().Remembered/associativity + 1
	if len(s.refusals.sets) > most || len(s.addresses.sets) != addressSets {
		t.Fatalf("%d sets of refusals, %d of addresses", len(s.refusals.sets), len(s.addresses.sets))
	}
	known := 0
	for c := range uint64(100_000) {
		if s.Requested(zero+ms, Request{Client: rendezvous.Mix(c), Key: c, ClientTimeout: sec}).Retry {
			known++
		}
	}
	if known < 50_000 {
		t.Fatalf("%d of 100,000 are known again, with a capacity of %d", known, Default().Remembered)
	}
}

// TestEqualEventsGiveEqualChanges checks that the detector is deterministic.
func TestEqualEventsGiveEqualChanges(t *testing.T) {
	play := func() []Change {
		sc := newScene(t, nil)
		sc.run(2*sec, sc.storming(37))
		sc.run(5*sec, nil)
		return sc.changes
	}
	a, b := play(), play()
	if len(a) == 0 || !slices.Equal(a, b) {
		t.Fatalf("%v\n%v", a, b)
	}
}

// TestSingleRetryingClientIsNoStorm checks that one request counts as a retry once a second.
func TestSingleRetryingClientIsNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	next := uint64(0)
	sc.run(3*sec, func() {
		for range 50 {
			sc.reject(1, 1)
		}
		for range 2 {
			next++
			sc.request(next, next+10)
		}
	})
	if len(sc.changes) > 0 {
		t.Fatalf("%v", sc.changes)
	}
}

// TestFewRetriesAreNoStorm checks the minimum rate of retries.
func TestFewRetriesAreNoStorm(t *testing.T) {
	sc := newScene(t, func(c *Config) { c.MinRetryRate = 50 })
	sc.run(3*sec, sc.storming(2))
	if len(sc.changes) > 0 {
		t.Fatalf("%v", sc.changes)
	}
}

// TestShortRecoveryTimeEnds checks a recovery time of a single step.
func TestShortRecoveryTimeEnds(t *testing.T) {
	sc := newScene(t, func(c *Config) { c.RecoveryTime = 100 * time.Millisecond })
	sc.run(sec, sc.storming(50))
	sc.run(10*sec, nil)
	sc.wants(Calm)
}

func BenchmarkRequested(b *testing.B) {
	s := New(Default())
	b.ReportAllocs()
	for i := range b.N {
		a := Request{Client: rendezvous.Mix(uint64(i % 100_000)), Key: uint64(i % 100_000), ClientTimeout: sec}
		now := zero + Time(i)
		s.Unserved(now, a, s.Requested(now, a), now)
	}
}

// TestLostConnectionsAreNoStorm checks that requests whose connections break come back as first ones, and that rejections after
// that count.
func TestLostConnectionsAreNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	again := false
	sc.run(10*sec, func() {
		for c := range uint64(40) {
			a := Request{Client: c, Key: c, ClientTimeout: sec, MarkedRetry: again}
			if verdict := sc.s.Requested(sc.now, a); verdict.Retry || verdict.FirstRequestedAt != 0 {
				t.Fatalf("what broke off comes back as %+v", verdict)
			}
			if !again {
				sc.s.ConnectionLost(sc.now, a, sc.now)
			}
		}
		again = !again
	})
	sc.wants(Calm)
	sc.run(2*sec, sc.storming(100))
	sc.wants(Stormy)
}
