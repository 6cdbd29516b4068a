// Package retrystorm notices storms of retries and reconnects, and says what bounds they call for. It is fed events with
// the time in them and is asked for its bounds at a steady pace; it has no goroutine, socket, clock or file, and equal
// events give equal bounds.
//
// A storm is more load made of refusals than of wants: metastable failures (Bronson et al., HotOS 2021; Huang et al.,
// OSDI 2022) live on it after their trigger is gone. So what is counted is not load but what came back: a request that
// was refused, failed or left is remembered until its client's patience is over, and an ask for the same is its
// retry, marked or not. A crowd that asks for the first time is no storm, however large. The bounds are those of the
// retry budgets of Envoy and Finagle and of Amazon's papers on load shedding: first tries before retries, and none
// for what can't be served in time any more.
//
// It never refuses anything by itself but what an address asks for beyond its fair share: the decision module does,
// within the bounds.
package retrystorm

import (
	"fmt"
	"time"
)

// Time is an instant or a span in microseconds.
type Time = int64

// State is how far a storm has come.
type State uint8

const (
	Calm       State = iota
	Rising           // it may be one
	Stormy           // it is one
	Recovering       // it is over, bounds rise again
)

var stateNames = [...]string{"calm", "rising", "storm", "recovering"}

func (s State) String() string { return stateNames[s] }

// Step is how often Tick wants to be called.
const Step Time = 100_000

// steps is how many steps counts go over: a second. They end all at once. The danger: counts that fade are a share of a
// storm long after it, the longer the greater it was.
const steps = 10

// Bounds are what holds until the next Tick.
type Bounds struct {
	Active              bool
	Outage              bool    // caches are away, or came back in this storm
	RetryBudgetFraction float64 // of the budget of retries, the share that is left
	RetryAfterJitter    Time    // refusals name times that differ by up to so much
}

// calm are the bounds without a storm.
var calm = Bounds{RetryBudgetFraction: 1}

// Request is a request as a client asks for it.
type Request struct {
	Client            uint64 // a hash of its address
	Key               uint64 // a hash of key and class
	ClientTimeout     Time   // how long its client will try, at most
	MarkedRetry       bool   // the client says that it is a retry
	FirstOnConnection bool   // it is the first on its connection
}

// Verdict is what is known of an ask.
type Verdict struct {
	Retry            bool
	FirstRequestedAt Time // when its client first asked; 0 where it is not known to be a retry
	OverFairShare    bool // its address asks for more than its fair share

	counted uint32 // when it was counted last as one that came back, in ms; 0 where it never was
}

// Detector watches one router's clients and caches. Use New.
type Detector struct {
	c      Config
	state  State
	low    Time // since when the shares are low; 0 where they are not
	high   Time // since when they are high
	turned Time // turn of the addresses
	bounds Bounds

	memory    refusals
	addresses addresses
	start     Time

	counts [steps]counts // of the latest steps
	at     int           // the present one
}

// counts are those of one step.
type counts struct{ asked, retries, repeats, refused, met, missed, fresh, conns int }

// New returns a watch of a storm.
func New(c Config) *Detector {
	return &Detector{c: c, bounds: calm, memory: refusals{most: c.Remembered}}
}

// Bounds are those that hold now.
func (s *Detector) Bounds() Bounds { return s.bounds }

// State is the state now.
func (s *Detector) State() State { return s.state }

// Connected notes a new connection of a client.
func (s *Detector) Connected() { s.counts[s.at].conns++ }

// Requested takes an ask in and tells what it is.
func (s *Detector) Requested(now Time, a Request) Verdict {
	c, ms := &s.counts[s.at], s.ms(now)
	c.asked++
	if a.FirstOnConnection {
		c.fresh++
	}
	t := Verdict{Retry: a.MarkedRetry}
	if e, found := s.memory.take(identity(a), ms); found {
		t.Retry, t.FirstRequestedAt, t.counted = true, s.start+Time(e.since)*1000, e.counted
		if e.counted == lost {
			t = Verdict{} // marked or not: what brought it back was no want of room
		}
	}
	switch {
	case !t.Retry:
	case t.counted == 0 || ms-t.counted >= onceIn:
		t.counted = ms
		c.retries++
	default:
		c.repeats++
	}
	if s.c.FairShareFactor > 0 {
		n := s.addresses.count(a.Client)
		t.OverFairShare = s.state == Stormy && s.addresses.many >= s.c.MinAddresses &&
			float64(n) > s.c.FairShareFactor*s.addresses.mean
	}
	return t
}

// onceIn is how often a request counts as one that came back, in ms. The danger: a single client that asks again at
// once, a hundred times a second, passes for a storm.
const onceIn = 1000

// Unserved notes that an ask got no value: it was refused, it failed, or its client left. t is what was told of it, read
// when it came.
func (s *Detector) Unserved(now Time, a Request, t Verdict, read Time) {
	s.counts[s.at].refused++
	first := read
	if t.FirstRequestedAt > 0 {
		first = t.FirstRequestedAt
	}
	s.memory.put(identity(a), refusal{since: s.ms(first), until: s.ms(first + a.ClientTimeout), counted: t.counted}, s.ms(now))
}

// ConnectionLost notes that an ask got no value because a connection broke under it, its client's or a cache's. What comes back of
// it is a first try.
//
// The danger: connections that are reset while all caches have room bring back a fifth of what is asked, which passes for a
// storm, and retries are refused that would have been served.
func (s *Detector) ConnectionLost(now Time, a Request, read Time) {
	s.memory.put(identity(a), refusal{since: s.ms(read), until: s.ms(read + a.ClientTimeout), counted: lost}, s.ms(now))
}

// AttemptEnded notes whether an attempt met its cache.
func (s *Detector) AttemptEnded(met bool) {
	if met {
		s.counts[s.at].met++
	} else {
		s.counts[s.at].missed++
	}
}

// ms is an instant in what is remembered of it.
func (s *Detector) ms(t Time) uint32 {
	if s.start == 0 {
		s.start = max(1, t-60_000_000) // what came before is as old as that
	}
	return uint32(max(0, t-s.start) / 1000)
}

func identity(a Request) uint64 { return mix(a.Client*0x9e3779b97f4a7c15 + mix(a.Key)) }

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// shares are what the state goes by.
type shares struct {
	asked, again, conns, missed   float64 // a second
	retries, refused, away, fresh float64 // of all; of requests that came back, each counts once in a second
}

func (s *Detector) shares() shares {
	var sum counts
	for _, c := range s.counts {
		sum.asked, sum.retries, sum.repeats = sum.asked+c.asked, sum.retries+c.retries, sum.repeats+c.repeats
		sum.refused += c.refused
		sum.met, sum.missed = sum.met+c.met, sum.missed+c.missed
		sum.fresh, sum.conns = sum.fresh+c.fresh, sum.conns+c.conns
	}
	of := func(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
	return shares{asked: float64(sum.asked), again: float64(sum.retries), conns: float64(sum.conns),
		missed: float64(sum.missed), retries: of(sum.retries, sum.asked-sum.repeats), refused: of(sum.refused, sum.asked),
		away: of(sum.missed, sum.met+sum.missed), fresh: of(sum.fresh, sum.asked)}
}

// littleShare is the share of the least rate below which retries are too few to keep a storm up.
const littleShare = 0.8

// leastMissed is how many attempts a second have to meet no cache before that is a share of anything.
const leastMissed = 3

// Tick is called every Step. It returns a line for the log where the state changes, else the empty string.
func (s *Detector) Tick(now Time) (line string) {
	if now-s.turned >= steps*Step {
		s.turned = now
		s.addresses.next()
	}
	f := s.shares()
	s.at = (s.at + 1) % steps
	s.counts[s.at] = counts{}
	away := f.away >= s.c.EnterOutage && f.missed >= leastMissed
	high := f.again >= s.c.MinRetryRate && f.retries >= s.c.Enter || away
	// The danger: where little is asked, one retry a second is a share that never gets low.
	low := (f.retries < s.c.Leave || f.again < s.c.MinRetryRate*littleShare) && (f.away < s.c.EnterOutage/2 || f.missed < leastMissed)
	s.mark(now, high, low)
	was := s.state
	s.step(now, high)
	if s.bounds.Outage = s.bounds.Outage || away; s.state == Calm {
		s.bounds = calm
	}
	if s.state == was {
		return ""
	}
	return fmt.Sprintf("storm: %v -> %v: asked %.0f/s, retries %.0f%%, unserved %.0f%%, caches away %.0f%%, "+
		"connections %.0f/s, fresh %.0f%%; bounds: retries %.2f, waits up to %v", was, s.state, f.asked,
		100*f.retries, 100*f.refused, 100*f.away, f.conns, 100*f.fresh, s.bounds.RetryBudgetFraction,
		time.Duration(s.bounds.RetryAfterJitter)*time.Microsecond)
}

// mark keeps since when shares are high, or low.
func (s *Detector) mark(now Time, high, low bool) {
	if !high {
		s.high = 0
	} else if s.high == 0 {
		s.high = now
	}
	if !low {
		s.low = 0
	} else if s.low == 0 {
		s.low = now
	}
}

// lasted reports whether something that holds since then has held for a while.
func lasted(now, since Time, d time.Duration) bool { return since > 0 && now-since >= d.Microseconds() }

// step goes from state to state. What leads into a storm is more than what keeps it up: the danger is a state that
// flaps with each refusal, and bounds that never hold.
func (s *Detector) step(now Time, high bool) {
	switch s.state {
	case Calm:
		if high {
			s.state = Rising
			s.bounds = Bounds{Active: true, RetryBudgetFraction: (1 + s.c.RetryBudgetFraction) / 2, RetryAfterJitter: s.c.MinRetryAfterJitter.Microseconds()}
		}
	case Rising:
		if lasted(now, s.high, s.c.Confirm) {
			s.state = Stormy
			s.bounds.RetryBudgetFraction = s.c.RetryBudgetFraction
		} else if lasted(now, s.low, s.c.Settle) {
			s.state = Calm
		}
	case Stormy:
		if lasted(now, s.low, s.c.Settle) {
			s.state = Recovering
		} else if high {
			s.bounds.RetryAfterJitter = min(s.bounds.RetryAfterJitter*21/20, s.c.MaxRetryAfterJitter.Microseconds()) // twice as long in 1.4 s
		}
	case Recovering:
		if lasted(now, s.high, s.c.Confirm) {
			s.state = Stormy
			s.bounds.RetryBudgetFraction = s.c.RetryBudgetFraction
			return
		}
		// The danger: a budget that is full again at once lets all that waited come together.
		steps := max(1, float64(s.c.RecoveryTime.Microseconds())/float64(Step))
		s.bounds.RetryBudgetFraction = min(1, s.bounds.RetryBudgetFraction+(1-s.c.RetryBudgetFraction)/steps)
		s.bounds.RetryAfterJitter = max(s.c.MinRetryAfterJitter.Microseconds(), s.bounds.RetryAfterJitter*19/20)
		if s.bounds.RetryBudgetFraction >= 1 {
			s.state = Calm
		}
	}
}
