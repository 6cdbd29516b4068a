// Package retrystorm detects storms of retries and reconnects, and says which bounds they call for. It is fed events with
// the time in them, and is ticked at a fixed interval. It has no goroutine, socket, clock or file, and equal events give
// equal bounds.
//
// A retry storm is load that consists of retries: a metastable failure (Bronson et al., HotOS 2021; Huang et al., OSDI 2022)
// that goes on after its trigger is gone. So the detector does not measure load but retries: a request that was rejected,
// failed or abandoned is remembered until its client's timeout, and a request for the same within that time is its retry,
// whether it is marked or not. First requests are no storm, however many there are. The bounds are those of the retry
// budgets of Envoy and Finagle and of Amazon's papers on load shedding: first requests before retries, and no retries that
// can't be served in time any more.
//
// The detector rejects nothing by itself: the decision module does, within the bounds. What one address requests beyond its
// fair share is marked in the Verdict.
package retrystorm

import (
	"time"

	"starlingwinch/internal/rendezvous"
)

// Time is an instant or a span in microseconds.
type Time = int64

// State is the state of a storm.
type State uint8

// States, in the order in which a storm goes through them.
const (
	Calm       State = iota // there is no storm
	Rising                  // there may be one, which is to be confirmed
	Stormy                  // there is one
	Recovering              // it is over, and the bounds are relaxed step by step
	states
)

var stateNames = [...]string{Calm: "calm", Rising: "rising", Stormy: "storm", Recovering: "recovering"}

// String returns the state as the log has it.
func (s State) String() string { return stateNames[s] }

// Step is the interval at which Tick is called.
const Step Time = 100_000

// Bounds hold until the next Tick.
type Bounds struct {
	Active              bool    // there is or may be a storm; otherwise the other fields bound nothing
	Outage              bool    // caches can't be reached, or came back during this storm
	RetryBudgetFraction float64 // the fraction of the retry budget that is left, 0 to 1
	RetryAfterJitter    Time    // rejections name times that differ by up to so much
}

// calm are the bounds without a storm.
var calm = Bounds{RetryBudgetFraction: 1}

// Request is a client's request.
type Request struct {
	Client            uint64 // hash of its address
	Key               uint64 // hash of key and class
	ClientTimeout     Time   // the longest time for which its client tries
	MarkedRetry       bool   // the client says that it is a retry
	FirstOnConnection bool   // it is the first on its connection
}

// Verdict is what the detector knows of a request.
type Verdict struct {
	Retry            bool
	FirstRequestedAt Time // when its client requested it first; 0 where it is not known to be a retry
	OverFairShare    bool // its address requests more than its fair share in a storm

	countedAt uint32 // when it was counted as a retry last, in the detector's milliseconds; 0 where it never was
}

// Detector watches one router's clients and caches. Use New.
type Detector struct {
	cfg    Config
	state  State
	bounds Bounds

	aboveSince Time // since when rates call for a storm; 0 where they do not
	belowSince Time // since when rates call for none; 0 where they do not
	turnAt     Time // when the present turn of addresses began

	refusals  refusals
	addresses addresses
	window    window
	epoch     Time // zero of the times in refusals; 0 before the first one
}

// New returns a detector that has seen nothing.
func New(c Config) *Detector {
	return &Detector{cfg: c, bounds: calm, refusals: refusals{capacity: c.Remembered}}
}

// Bounds returns the bounds that hold now.
func (d *Detector) Bounds() Bounds { return d.bounds }

// State returns the present state.
func (d *Detector) State() State { return d.state }

// Connected notes a new connection of a client.
func (d *Detector) Connected() { d.window.current().connections++ }

// minCountInterval is how often one request counts as a retry, in ms. Otherwise a single client that retries a hundred times
// a second is taken for a storm.
const minCountInterval = 1000

// Requested notes a request and returns what is known of it. It is called once for each request, before it is decided.
func (d *Detector) Requested(now Time, r Request) Verdict {
	counts, ms := d.window.current(), d.milliseconds(now)
	counts.requests++
	if r.FirstOnConnection {
		counts.firstRequests++
	}
	verdict := d.recognise(r, ms)
	switch {
	case !verdict.Retry:
	case verdict.countedAt == 0 || ms-verdict.countedAt >= minCountInterval:
		verdict.countedAt = ms
		counts.retries++
	default:
		counts.repeats++
	}
	if d.cfg.FairShareFactor > 0 {
		verdict.OverFairShare = d.overFairShare(d.addresses.count(r.Client))
	}
	return verdict
}

// recognise reports whether a request is a retry.
func (d *Detector) recognise(r Request, ms uint32) Verdict {
	verdict := Verdict{Retry: r.MarkedRetry}
	refused, found := d.refusals.take(identity(r), ms)
	if !found {
		return verdict
	}
	if refused.countedAt == connectionLost {
		return Verdict{} // a first request, marked or not: a broken connection says nothing about load
	}
	return Verdict{Retry: true, FirstRequestedAt: d.epoch + Time(refused.since)*1000, countedAt: refused.countedAt}
}

// overFairShare reports whether so many requests of one address in this turn are too many.
func (d *Detector) overFairShare(requests uint32) bool {
	return d.state == Stormy && d.addresses.previousAddresses >= d.cfg.MinAddresses &&
		float64(requests) > d.cfg.FairShareFactor*d.addresses.previousMean
}

// Unserved notes that a request ended without a value: it was rejected, it failed, or its client left. The verdict is that
// of Requested, and readAt is when the request was read.
func (d *Detector) Unserved(now Time, r Request, verdict Verdict, readAt Time) {
	d.window.current().unserved++
	first := readAt
	if verdict.FirstRequestedAt > 0 {
		first = verdict.FirstRequestedAt
	}
	d.remember(now, r, first, verdict.countedAt)
}

// ConnectionLost notes that a request ended because a connection broke, its client's or a cache's. Its retry counts as a
// first request: connections that are reset while caches have capacity are no storm.
func (d *Detector) ConnectionLost(now Time, r Request, readAt Time) {
	d.remember(now, r, readAt, connectionLost)
}

func (d *Detector) remember(now Time, r Request, since Time, countedAt uint32) {
	e := refusal{since: d.milliseconds(since), until: d.milliseconds(since + r.ClientTimeout), countedAt: countedAt}
	d.refusals.put(identity(r), e, d.milliseconds(now))
}

// AttemptEnded notes whether an attempt reached its cache.
func (d *Detector) AttemptEnded(reached bool) {
	if reached {
		d.window.current().reached++
	} else {
		d.window.current().unreached++
	}
}

// epochLead is how far the epoch lies before the first time that is converted. Times before the epoch count as the epoch.
const epochLead Time = 60_000_000

// milliseconds returns a time as refusals hold it.
func (d *Detector) milliseconds(t Time) uint32 {
	if d.epoch == 0 {
		d.epoch = max(1, t-epochLead)
	}
	return uint32(max(0, t-d.epoch) / 1000)
}

// identity is a hash by which a retry is recognised.
func identity(r Request) uint64 {
	return rendezvous.Mix(r.Client*0x9e3779b97f4a7c15 + rendezvous.Mix(r.Key))
}

const (
	// lowRateFraction is the fraction of the minimum retry rate below which retries do not keep a storm up.
	lowRateFraction = 0.8
	// minUnreachedRate is the number of attempts a second without a cache from which on they are an outage.
	minUnreachedRate = 3
)

// Tick moves the state on. It is called every Step, and reports whether the state has changed.
func (d *Detector) Tick(now Time) (change Change, changed bool) {
	if now-d.turnAt >= windowSteps*Step {
		d.turnAt = now
		d.addresses.nextTurn()
	}
	rates := d.window.rates()
	d.window.advance()
	outage := rates.outageRatio >= d.cfg.EnterOutage && rates.unreached >= minUnreachedRate
	above := d.above(rates) || outage
	d.updateSince(now, above, d.below(rates))
	before := d.state
	d.step(now, above)
	d.bounds.Outage = d.bounds.Outage || outage
	if d.state == Calm {
		d.bounds = calm
	}
	if d.state == before {
		return Change{}, false
	}
	return newChange(before, d.state, rates, d.bounds), true
}

// above reports whether retries call for a storm.
func (d *Detector) above(r rates) bool {
	return r.retries >= d.cfg.MinRetryRate && r.retryRatio >= d.cfg.Enter
}

// below reports whether neither retries nor an outage keep a storm up. Few retries do not, whatever their ratio: of few
// requests, one retry a second is a ratio that never gets low.
func (d *Detector) below(r rates) bool {
	fewRetries := r.retryRatio < d.cfg.Leave || r.retries < d.cfg.MinRetryRate*lowRateFraction
	noOutage := r.outageRatio < d.cfg.EnterOutage/2 || r.unreached < minUnreachedRate
	return fewRetries && noOutage
}

// updateSince notes since when rates are above or below.
func (d *Detector) updateSince(now Time, above, below bool) {
	if !above {
		d.aboveSince = 0
	} else if d.aboveSince == 0 {
		d.aboveSince = now
	}
	if !below {
		d.belowSince = 0
	} else if d.belowSince == 0 {
		d.belowSince = now
	}
}

// lasted reports whether something that holds since then has held for a duration.
func lasted(now, since Time, d time.Duration) bool { return since > 0 && now-since >= d.Microseconds() }

// step goes from state to state. Entering a storm takes higher rates than staying in one (hysteresis), so that the state does
// not change with each rejection.
func (d *Detector) step(now Time, above bool) {
	switch d.state {
	case Calm:
		if above {
			d.state = Rising
			d.bounds = Bounds{
				Active:              true,
				RetryBudgetFraction: (1 + d.cfg.RetryBudgetFraction) / 2,
				RetryAfterJitter:    d.cfg.MinRetryAfterJitter.Microseconds(),
			}
		}
	case Rising:
		if lasted(now, d.aboveSince, d.cfg.Confirm) {
			d.enterStorm()
		} else if lasted(now, d.belowSince, d.cfg.Settle) {
			d.state = Calm
		}
	case Stormy:
		if lasted(now, d.belowSince, d.cfg.Settle) {
			d.state = Recovering
		} else if above {
			d.growJitter()
		}
	case Recovering:
		if lasted(now, d.aboveSince, d.cfg.Confirm) {
			d.enterStorm()
		} else {
			d.relax()
		}
	}
}

func (d *Detector) enterStorm() {
	d.state = Stormy
	d.bounds.RetryBudgetFraction = d.cfg.RetryBudgetFraction
}

// growJitter raises the jitter by a twentieth, which doubles it in 1.4 s.
func (d *Detector) growJitter() {
	d.bounds.RetryAfterJitter = min(d.bounds.RetryAfterJitter*21/20, d.cfg.MaxRetryAfterJitter.Microseconds())
}

// relax raises the retry budget by one step and lowers the jitter by a twentieth. If the budget were full again at once, all
// clients that wait would retry together.
func (d *Detector) relax() {
	steps := max(1, float64(d.cfg.RecoveryTime.Microseconds())/float64(Step))
	d.bounds.RetryBudgetFraction = min(1, d.bounds.RetryBudgetFraction+(1-d.cfg.RetryBudgetFraction)/steps)
	d.bounds.RetryAfterJitter = max(d.cfg.MinRetryAfterJitter.Microseconds(), d.bounds.RetryAfterJitter*19/20)
	if d.bounds.RetryBudgetFraction >= 1 {
		d.state = Calm
	}
}
