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
	ms        Time = 1000
	sec       Time = 1000 * ms
	startTime Time = 1_000 * sec
)

// harness calls a detector as a router does, with a simulated time.
type harness struct {
	t        *testing.T
	detector *Detector
	now      Time
	changes  []Change // all state changes
}

func newHarness(t *testing.T, configure func(*Config)) *harness {
	c := Default()
	if configure != nil {
		configure(&c)
	}
	h := &harness{t: t, detector: New(c), now: startTime}
	h.detector.Tick(startTime)
	return h
}

// logLine returns the line that a router logs for a state change.
func logLine(change Change) string {
	var line string
	logger := structuredlog.New(structuredlog.SinkFunc(func(l string) { line = l }))
	logger.LogAttrs(context.Background(), change.Level(), ChangeMessage, change.Attrs()...)
	return line
}

// run advances the time by a duration and calls Tick at each step. If beforeTick is not nil, run calls it before each Tick.
func (h *harness) run(d Time, beforeTick func()) {
	for end := h.now + d; h.now < end; {
		h.now += Step
		if beforeTick != nil {
			beforeTick()
		}
		if change, changed := h.detector.Tick(h.now); changed {
			h.changes = append(h.changes, change)
		}
	}
}

// request makes a request that is served, unless the caller passes it to RecordUnserved.
func (h *harness) request(client, key uint64) (Request, Verdict) {
	r := Request{Client: client, Key: key, ClientTimeout: sec}
	return r, h.detector.RecordRequest(h.now, r)
}

// reject makes a request that is rejected.
func (h *harness) reject(client, key uint64) Verdict {
	r, verdict := h.request(client, key)
	h.detector.RecordUnserved(h.now, r, verdict, h.now)
	return verdict
}

func (h *harness) wantState(state State) {
	h.t.Helper()
	if h.detector.State() != state {
		h.t.Fatalf("got state %v, want %v; changes: %v", h.detector.State(), state, h.changes)
	}
}

// retryingClients returns a function for run in which each client makes a request that is rejected. In later steps, the
// requests are retries.
func (h *harness) retryingClients(clients uint64) func() {
	return func() {
		for c := range clients {
			h.reject(c, c)
		}
	}
}

// TestRequestedRecognisesRetry checks that retries are recognised, with the time of the first request.
func TestRequestedRecognisesRetry(t *testing.T) {
	h := newHarness(t, nil)
	verdict, first := h.reject(1, 7), h.now
	if verdict.Retry || verdict.FirstRequestedAt != 0 {
		t.Fatalf("first request: got %+v, want no retry", verdict)
	}
	h.now += 300 * ms
	verdict = h.reject(1, 7)
	if !verdict.Retry || verdict.FirstRequestedAt/ms != first/ms {
		t.Fatalf("second request: got %+v, want a retry of the request at %d", verdict, first)
	}
	h.now += 300 * ms
	if _, verdict = h.request(1, 7); verdict.FirstRequestedAt/ms != first/ms {
		t.Fatalf("third request: got %+v, want a retry of the request at %d", verdict, first)
	}
}

// TestRequestedAfterServedRequestIsNoRetry checks that a repeated request is no retry if the first request was served.
func TestRequestedAfterServedRequestIsNoRetry(t *testing.T) {
	h := newHarness(t, nil)
	h.request(1, 7)
	if _, verdict := h.request(1, 7); verdict.Retry {
		t.Fatal("request after a served request: got a retry, want none")
	}
}

// TestRequestedAfterClientTimeoutIsNoRetry checks that an unserved request expires after the client timeout.
func TestRequestedAfterClientTimeoutIsNoRetry(t *testing.T) {
	h := newHarness(t, nil)
	h.reject(1, 7)
	h.now += sec + ms
	if _, verdict := h.request(1, 7); verdict.Retry {
		t.Fatal("request after the client timeout: got a retry, want none")
	}
}

// TestRejectionAccountsForOneRetry checks that only the first of two requests after one rejection is a retry.
func TestRejectionAccountsForOneRetry(t *testing.T) {
	h := newHarness(t, nil)
	h.reject(1, 7)
	_, first := h.request(1, 7)
	_, second := h.request(1, 7)
	if !first.Retry || second.Retry {
		t.Fatalf("after one rejection: got %+v and %+v, want a retry and no retry", first, second)
	}
}

// TestMarkedRetryCountsWithoutRejection checks that a marked retry counts as a retry if another router rejected the request.
func TestMarkedRetryCountsWithoutRejection(t *testing.T) {
	h := newHarness(t, nil)
	verdict := h.detector.RecordRequest(h.now, Request{Client: 1, Key: 7, ClientTimeout: sec, MarkedRetry: true})
	if !verdict.Retry || verdict.FirstRequestedAt != 0 {
		t.Fatalf("got %+v, want a retry without a time of the first request", verdict)
	}
}

// TestRequestedOfOtherClientOrKeyIsNoRetry checks that a retry must match both the client and the key.
func TestRequestedOfOtherClientOrKeyIsNoRetry(t *testing.T) {
	h := newHarness(t, nil)
	h.reject(1, 7)
	for _, other := range [][2]uint64{{2, 7}, {1, 8}, {7, 1}} {
		if _, verdict := h.request(other[0], other[1]); verdict.Retry {
			t.Errorf("client %d with key %d: got a retry of client 1 with key 7, want none", other[0], other[1])
		}
	}
}

// TestStormPassesThroughStates checks the order of the states, and the bounds during and after a storm.
func TestStormPassesThroughStates(t *testing.T) {
	h := newHarness(t, nil)
	h.run(500*ms, h.retryingClients(50))
	h.wantState(Storm)
	b := h.detector.Bounds()
	if !b.Active || b.Outage || b.RetryBudgetFraction != Default().RetryBudgetFraction {
		t.Fatalf("bounds in a storm: got %+v, want the default budget fraction and no outage", b)
	}
	next := uint64(1000)
	firstRequests := func() {
		for range 5 {
			next++
			h.request(next, next)
		}
	}
	h.run(5*sec, firstRequests)
	h.wantState(Calm)
	if h.detector.Bounds() != calmBounds {
		t.Fatalf("bounds after the storm: got %+v, want %+v", h.detector.Bounds(), calmBounds)
	}
	var states []string
	for _, change := range h.changes {
		line := logLine(change)
		c, ok := ParseChange(line)
		if !ok || c.Change != change {
			t.Fatalf("line %s: got %+v, want %+v", line, c, change)
		}
		states = append(states, c.To.String())
	}
	if got := strings.Join(states, " "); got != "rising storm recovering calm" {
		t.Fatalf("got states %s, want rising storm recovering calm", got)
	}
}

// TestFirstRequestsAreNoStorm checks a high rate of first requests on new connections.
func TestFirstRequestsAreNoStorm(t *testing.T) {
	h := newHarness(t, nil)
	next := uint64(0)
	h.run(5*sec, func() {
		for range 5000 {
			next++
			h.request(next, next)
			h.detector.Connected()
		}
	})
	if len(h.changes) > 0 {
		t.Fatalf("got state changes %v, want none", h.changes)
	}
}

// TestRejectionsWithoutRetriesAreNoStorm checks a high rate of rejected requests without retries.
func TestRejectionsWithoutRetriesAreNoStorm(t *testing.T) {
	h := newHarness(t, nil)
	next := uint64(0)
	h.run(5*sec, func() {
		for range 100 {
			next++
			h.reject(next, next)
		}
	})
	if len(h.changes) > 0 {
		t.Fatalf("got state changes %v, want none", h.changes)
	}
}

// TestOutageIsReported checks that unreached caches cause a storm, and that the bounds report an outage until the storm ends.
func TestOutageIsReported(t *testing.T) {
	h := newHarness(t, nil)
	h.run(sec, func() {
		for range 3 {
			h.detector.AttemptEnded(false)
		}
	})
	h.wantState(Storm)
	if !h.detector.Bounds().Outage {
		t.Fatalf("bounds in the outage: got %+v, want an outage", h.detector.Bounds())
	}
	h.run(sec, func() { h.detector.AttemptEnded(true) })
	if !h.detector.Bounds().Outage {
		t.Fatalf("bounds just after the outage: got %+v, want an outage", h.detector.Bounds())
	}
}

// TestRetryBudgetIsRestoredInSteps checks that no step raises the retry budget by more than a fifth.
func TestRetryBudgetIsRestoredInSteps(t *testing.T) {
	h := newHarness(t, nil)
	h.run(sec, h.retryingClients(50))
	next := uint64(1000)
	previous := h.detector.Bounds().RetryBudgetFraction
	for h.detector.State() != Calm {
		h.run(Step, func() {
			for range 20 {
				next++
				h.request(next, next)
			}
		})
		now := h.detector.Bounds().RetryBudgetFraction
		if now-previous > 0.2 {
			t.Fatalf("one step raised the budget from %.2f to %.2f, want 0.2 at most", previous, now)
		}
		previous = now
		if h.now > startTime+20*sec {
			t.Fatal("the storm did not end within 20 s")
		}
	}
}

// TestStateDoesNotFlapAtThreshold checks a ratio of retries close to the threshold of a storm.
func TestStateDoesNotFlapAtThreshold(t *testing.T) {
	h := newHarness(t, nil)
	rng := rand.New(rand.NewPCG(1, 2))
	next := uint64(0)
	h.run(30*sec, func() {
		for range 20 {
			next++
			if rng.Float64() < 0.25 { // the retry follows at once and is served
				h.reject(next, next)
			}
			h.request(next, next)
		}
	})
	if len(h.changes) > 8 {
		t.Fatalf("got %d state changes in 30 s, want 8 at most: %v", len(h.changes), h.changes)
	}
}

// TestRelapseReturnsToStorm checks that retries during recovery return the detector to Storm within 500 ms.
func TestRelapseReturnsToStorm(t *testing.T) {
	h := newHarness(t, nil)
	h.run(sec, h.retryingClients(50))
	next := uint64(1000)
	for h.detector.State() != Recovering {
		h.run(Step, func() {
			for range 50 {
				next++
				h.request(next, next)
			}
		})
	}
	h.run(500*ms, h.retryingClients(200))
	h.wantState(Storm)
}

// TestJitterGrowsToMaximum checks that the jitter grows during a long storm, up to its maximum.
func TestJitterGrowsToMaximum(t *testing.T) {
	h := newHarness(t, nil)
	h.run(500*ms, h.retryingClients(50))
	early := h.detector.Bounds().RetryAfterJitter
	h.run(10*sec, h.retryingClients(50))
	if late := h.detector.Bounds().RetryAfterJitter; late <= early || late != Default().MaxRetryAfterJitter.Microseconds() {
		t.Fatalf("got a jitter of %d at first and %d later, want it to grow to the maximum", early, late)
	}
}

// TestRequestedMarksAddressOverFairShare checks that only the aggressive one of many addresses is marked.
func TestRequestedMarksAddressOverFairShare(t *testing.T) {
	h := newHarness(t, nil)
	over := map[uint64]int{}
	h.run(4*sec, func() {
		h.retryingClients(1000)()
		for i := range uint64(200) {
			if _, verdict := h.request(1, 1_000_000+i); verdict.OverFairShare {
				over[1]++
			}
		}
		for c := uint64(2); c < 50; c++ {
			if _, verdict := h.request(c, 2_000_000+c); verdict.OverFairShare {
				over[c]++
			}
		}
	})
	if over[1] == 0 || len(over) != 1 {
		t.Fatalf("got requests over the fair share by address %v, want them of address 1 only", over)
	}
}

// TestSingleAddressHasNoFairShare checks that a proxy in front of all clients is not limited as a single client.
func TestSingleAddressHasNoFairShare(t *testing.T) {
	h := newHarness(t, nil)
	key := uint64(0)
	h.run(5*sec, func() {
		for range 500 {
			key++
			if h.reject(1, key%100).OverFairShare {
				t.Fatal("the only address is over its fair share, want no limit")
			}
		}
	})
	h.wantState(Storm)
}

// TestMemoryIsBounded checks the size of the tables after a hundred thousand addresses, and that most retries are recognised.
func TestMemoryIsBounded(t *testing.T) {
	s := New(Default())
	for c := range uint64(100_000) {
		a := Request{Client: rendezvous.Mix(c), Key: c, ClientTimeout: sec}
		s.RecordUnserved(startTime, a, s.RecordRequest(startTime, a), startTime)
	}
	maxSets := Default().Remembered/associativity + 1
	if len(s.unserved.sets) > maxSets || len(s.addresses.sets) != addressSets {
		t.Fatalf("got %d sets of unserved requests and %d of addresses, want at most %d and %d", len(s.unserved.sets), len(s.addresses.sets),
			maxSets, addressSets)
	}
	recognised := 0
	for c := range uint64(100_000) {
		if s.RecordRequest(startTime+ms, Request{Client: rendezvous.Mix(c), Key: c, ClientTimeout: sec}).Retry {
			recognised++
		}
	}
	if recognised < 50_000 {
		t.Fatalf("recognised %d of 100,000 retries with a capacity of %d, want at least 50,000", recognised, Default().Remembered)
	}
}

// TestEqualEventsGiveEqualChanges checks that the detector is deterministic.
func TestEqualEventsGiveEqualChanges(t *testing.T) {
	play := func() []Change {
		h := newHarness(t, nil)
		h.run(2*sec, h.retryingClients(37))
		h.run(5*sec, nil)
		return h.changes
	}
	a, b := play(), play()
	if len(a) == 0 || !slices.Equal(a, b) {
		t.Fatalf("got different or no changes:\n%v\n%v", a, b)
	}
}

// TestSingleRetryingClientIsNoStorm checks that a request counts as a retry only once per second, so that a single client with
// frequent retries is no storm.
func TestSingleRetryingClientIsNoStorm(t *testing.T) {
	h := newHarness(t, nil)
	next := uint64(0)
	h.run(3*sec, func() {
		for range 50 {
			h.reject(1, 1)
		}
		for range 2 {
			next++
			h.request(next, next+10)
		}
	})
	if len(h.changes) > 0 {
		t.Fatalf("got state changes %v, want none", h.changes)
	}
}

// TestFewRetriesAreNoStorm checks that retries below MinRetryRate are no storm.
func TestFewRetriesAreNoStorm(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.MinRetryRate = 50 })
	h.run(3*sec, h.retryingClients(2))
	if len(h.changes) > 0 {
		t.Fatalf("got state changes %v, want none", h.changes)
	}
}

// TestShortRecoveryTimeEnds checks that a storm ends with a recovery time of a single step.
func TestShortRecoveryTimeEnds(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.RecoveryTime = 100 * time.Millisecond })
	h.run(sec, h.retryingClients(50))
	h.run(10*sec, nil)
	h.wantState(Calm)
}

func BenchmarkRequested(b *testing.B) {
	s := New(Default())
	b.ReportAllocs()
	for i := range b.N {
		a := Request{Client: rendezvous.Mix(uint64(i % 100_000)), Key: uint64(i % 100_000), ClientTimeout: sec}
		now := startTime + Time(i)
		s.RecordUnserved(now, a, s.RecordRequest(now, a), now)
	}
}

// TestLostConnectionsAreNoStorm checks that retries after broken connections count as first requests, and that later rejections
// still lead to a storm.
func TestLostConnectionsAreNoStorm(t *testing.T) {
	h := newHarness(t, nil)
	isRetry := false
	h.run(10*sec, func() {
		for c := range uint64(40) {
			a := Request{Client: c, Key: c, ClientTimeout: sec, MarkedRetry: isRetry}
			if verdict := h.detector.RecordRequest(h.now, a); verdict.Retry || verdict.FirstRequestedAt != 0 {
				t.Fatalf("retry after a broken connection: got %+v, want no retry", verdict)
			}
			if !isRetry {
				h.detector.ConnectionLost(h.now, a, h.now)
			}
		}
		isRetry = !isRetry
	})
	h.wantState(Calm)
	h.run(2*sec, h.retryingClients(100))
	h.wantState(Storm)
}
