package retrystorm

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	ms   Time = 1000
	sec  Time = 1000 * ms
	zero Time = 1_000 * sec
)

// scene drives a storm as a router does.
type scene struct {
	t     *testing.T
	s     *Detector
	now   Time
	lines []string
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

// run goes on for a while; each is called every step, before the tick.
func (sc *scene) run(d Time, each func()) {
	for end := sc.now + d; sc.now < end; {
		sc.now += Step
		if each != nil {
			each()
		}
		if line := sc.s.Tick(sc.now); line != "" {
			sc.lines = append(sc.lines, line)
		}
	}
}

func (sc *scene) ask(client, key uint64) (Request, Verdict) {
	a := Request{Client: client, Key: key, ClientTimeout: sec}
	return a, sc.s.Requested(sc.now, a)
}

// refused is an ask that is refused.
func (sc *scene) refused(client, key uint64) Verdict {
	a, told := sc.ask(client, key)
	sc.s.Unserved(sc.now, a, told, sc.now)
	return told
}

func (sc *scene) wants(state State) {
	sc.t.Helper()
	if sc.s.State() != state {
		sc.t.Fatalf("state %v, wanted %v; %v", sc.s.State(), state, sc.lines)
	}
}

// storming has as many clients ask, all refused, and come back at each step.
func (sc *scene) storming(clients uint64) func() {
	return func() {
		for c := range clients {
			sc.refused(c, c)
		}
	}
}

func TestRefusalThatComesBackIsARetryAndKeepsItsFirstTime(t *testing.T) {
	sc := newScene(t, nil)
	told, first := sc.refused(1, 7), sc.now
	if told.Retry || told.FirstRequestedAt != 0 {
		t.Fatalf("the first try is told as %+v", told)
	}
	sc.now += 300 * ms
	told = sc.refused(1, 7)
	if !told.Retry || told.FirstRequestedAt/ms != first/ms {
		t.Fatalf("the second try is told as %+v, first asked at %d", told, first)
	}
	sc.now += 300 * ms
	if _, told = sc.ask(1, 7); told.FirstRequestedAt/ms != first/ms {
		t.Fatalf("the third try is told as %+v, first asked at %d", told, first)
	}
}

func TestServedRequestIsForgotten(t *testing.T) {
	sc := newScene(t, nil)
	sc.ask(1, 7)
	if _, told := sc.ask(1, 7); told.Retry {
		t.Fatal("an ask after one that was served passes for a retry")
	}
}

func TestRefusalIsForgottenWithItsClientsPatience(t *testing.T) {
	sc := newScene(t, nil)
	sc.refused(1, 7)
	sc.now += sec + ms
	if _, told := sc.ask(1, 7); told.Retry {
		t.Fatal("an ask after the patience passes for a retry")
	}
}

func TestRefusalAccountsForOneRetry(t *testing.T) {
	sc := newScene(t, nil)
	sc.refused(1, 7)
	_, one := sc.ask(1, 7)
	_, two := sc.ask(1, 7)
	if !one.Retry || two.Retry {
		t.Fatalf("%+v, %+v: one refusal came back once", one, two)
	}
}

func TestMarkedRetryCountsWhoeverRefusedIt(t *testing.T) {
	sc := newScene(t, nil)
	if told := sc.s.Requested(sc.now, Request{Client: 1, Key: 7, ClientTimeout: sec, MarkedRetry: true}); !told.Retry || told.FirstRequestedAt != 0 {
		t.Fatalf("told as %+v", told)
	}
}

func TestOtherClientKeyAndClassAreNoRetry(t *testing.T) {
	sc := newScene(t, nil)
	sc.refused(1, 7)
	for _, other := range [][2]uint64{{2, 7}, {1, 8}, {7, 1}} {
		if _, told := sc.ask(other[0], other[1]); told.Retry {
			t.Errorf("client %d with key %d passes for a retry of client 1 with key 7", other[0], other[1])
		}
	}
}

func TestStormRisesIsOneRecoversAndEnds(t *testing.T) {
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
			sc.ask(next, next)
		}
	}
	sc.run(5*sec, calmly)
	sc.wants(Calm)
	if sc.s.Bounds() != calm {
		t.Fatalf("bounds when calm: %+v", sc.s.Bounds())
	}
	var states []string
	for _, l := range sc.lines {
		c, ok := ParseChange(l)
		if !ok {
			t.Fatalf("the line can't be read back: %s", l)
		}
		states = append(states, c.To)
	}
	if got := strings.Join(states, " "); got != "rising storm recovering calm" {
		t.Fatalf("states: %s", got)
	}
}

func TestCrowdThatAsksForTheFirstTimeIsNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	next := uint64(0)
	sc.run(5*sec, func() {
		for range 5000 {
			next++
			sc.ask(next, next)
			sc.s.Connected()
		}
	})
	if len(sc.lines) > 0 {
		t.Fatalf("%v", sc.lines)
	}
}

func TestCrowdThatIsRefusedOnceAndStaysAwayIsNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	next := uint64(0)
	sc.run(5*sec, func() {
		for range 100 {
			next++
			sc.refused(next, next)
		}
	})
	if len(sc.lines) > 0 {
		t.Fatalf("%v", sc.lines)
	}
}

func TestOutageIsAStormOfItsOwnKind(t *testing.T) {
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

// The danger that each of these tests makes happen is planted in the lab, too.

func TestBoundsRiseSlowly(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(sec, sc.storming(50))
	next := uint64(1000)
	rose := sc.s.Bounds().RetryBudgetFraction
	for sc.s.State() != Calm {
		sc.run(Step, func() {
			for range 20 {
				next++
				sc.ask(next, next)
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

func TestStateDoesNotFlapAboutTheShareAtWhichAStormRises(t *testing.T) {
	sc := newScene(t, nil)
	rng := rand.New(rand.NewPCG(1, 2))
	next := uint64(0)
	sc.run(30*sec, func() {
		for range 20 {
			next++
			if rng.Float64() < 0.25 { // comes back at once, and is served
				sc.refused(next, next)
			}
			sc.ask(next, next)
		}
	})
	if len(sc.lines) > 8 {
		t.Fatalf("%d changes in 30 s: %v", len(sc.lines), sc.lines)
	}
}

func TestRelapseIsAStormAtOnce(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(sec, sc.storming(50))
	next := uint64(1000)
	for sc.s.State() != Recovering {
		sc.run(Step, func() {
			for range 50 {
				next++
				sc.ask(next, next)
			}
		})
	}
	sc.run(500*ms, sc.storming(200))
	sc.wants(Stormy)
}

func TestWaitsGrowWithTheStormUpToABound(t *testing.T) {
	sc := newScene(t, nil)
	sc.run(500*ms, sc.storming(50))
	early := sc.s.Bounds().RetryAfterJitter
	sc.run(10*sec, sc.storming(50))
	if late := sc.s.Bounds().RetryAfterJitter; late <= early || late != Default().MaxRetryAfterJitter.Microseconds() {
		t.Fatalf("waits up to %d at first and %d later", early, late)
	}
}

func TestAddressThatAsksBeyondItsShareIsTold(t *testing.T) {
	sc := newScene(t, nil)
	over := map[uint64]int{}
	sc.run(4*sec, func() {
		sc.storming(1000)()
		for i := range uint64(200) {
			if _, told := sc.ask(1, 1_000_000+i); told.OverFairShare {
				over[1]++
			}
		}
		for c := uint64(2); c < 50; c++ {
			if _, told := sc.ask(c, 2_000_000+c); told.OverFairShare {
				over[c]++
			}
		}
	})
	if over[1] == 0 || len(over) != 1 {
		t.Fatalf("over its share: %v", over)
	}
}

func TestOneAddressForAllHasNoShare(t *testing.T) {
	sc := newScene(t, nil)
	key := uint64(0)
	sc.run(5*sec, func() {
		for range 500 {
			key++
			if sc.refused(1, key%100).OverFairShare {
				t.Fatal("a front layer that speaks for all is held to one client's share")
			}
		}
	})
	sc.wants(Stormy)
}

func TestMemoryIsBoundedWithAHundredThousandAddresses(t *testing.T) {
	s := New(Default())
	for c := range uint64(100_000) {
		a := Request{Client: mix(c), Key: c, ClientTimeout: sec}
		s.Unserved(zero, a, s.Requested(zero, a), zero)
	}
	most := Default().Remembered/ways + 1
	if len(s.memory.sets) > most || len(s.addresses.sets) != addressSets {
		t.Fatalf("%d sets of refusals, %d of addresses", len(s.memory.sets), len(s.addresses.sets))
	}
	known := 0
	for c := range uint64(100_000) {
		if s.Requested(zero+ms, Request{Client: mix(c), Key: c, ClientTimeout: sec}).Retry {
			known++
		}
	}
	if known < 50_000 {
		t.Fatalf("%d of 100,000 are known again, with room for %d", known, Default().Remembered)
	}
}

func TestEqualEventsGiveEqualLines(t *testing.T) {
	play := func() []string {
		sc := newScene(t, nil)
		sc.run(2*sec, sc.storming(37))
		sc.run(5*sec, nil)
		return sc.lines
	}
	a, b := play(), play()
	if len(a) == 0 || strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatalf("%v\n%v", a, b)
	}
}

func TestOneClientThatAsksAgainAndAgainIsNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	next := uint64(0)
	sc.run(3*sec, func() {
		for range 50 {
			sc.refused(1, 1)
		}
		for range 2 {
			next++
			sc.ask(next, next+10)
		}
	})
	if len(sc.lines) > 0 {
		t.Fatalf("%v", sc.lines)
	}
}

func TestLittleTrafficIsNoStorm(t *testing.T) {
	sc := newScene(t, func(c *Config) { c.MinRetryRate = 50 })
	sc.run(3*sec, sc.storming(2))
	if len(sc.lines) > 0 {
		t.Fatalf("%v", sc.lines)
	}
}

func TestEaseIsKeptAlsoWhereItIsShort(t *testing.T) {
	sc := newScene(t, func(c *Config) { c.RecoveryTime = 100 * time.Millisecond })
	sc.run(sec, sc.storming(50))
	sc.run(10*sec, nil)
	sc.wants(Calm)
}

func BenchmarkAskOfAHundredThousandAddresses(b *testing.B) {
	s := New(Default())
	b.ReportAllocs()
	for i := range b.N {
		a := Request{Client: mix(uint64(i % 100_000)), Key: uint64(i % 100_000), ClientTimeout: sec}
		now := zero + Time(i)
		s.Unserved(now, a, s.Requested(now, a), now)
	}
}

// TestResetsAreNoStorm: all that is asked breaks off once and comes back, marked as a retry, while there is room for all.
// Refusals after that still count.
func TestResetsAreNoStorm(t *testing.T) {
	sc := newScene(t, nil)
	again := false
	sc.run(10*sec, func() {
		for c := range uint64(40) {
			a := Request{Client: c, Key: c, ClientTimeout: sec, MarkedRetry: again}
			if told := sc.s.Requested(sc.now, a); told.Retry || told.FirstRequestedAt != 0 {
				t.Fatalf("what broke off comes back as %+v", told)
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
