// Package retrystorm detects storms of retries and reconnects, and determines the bounds on retries during a storm. The caller
// passes events with their times to a Detector and calls Tick at a fixed interval. The package uses no goroutines, sockets,
// clocks or files, and the same events result in the same bounds.
//
// A retry storm is load that consists of retries. It is a metastable failure (Bronson et al., HotOS 2021; Huang et al., OSDI
// 2022) that persists after its trigger is gone. The detector therefore measures retries and not load. It stores each request
// that was rejected, failed or abandoned until the client timeout. A matching request within that time is a retry, whether or
// not the client marks it as one. First requests are never a storm, regardless of their number. The bounds follow the retry
// budgets of Envoy and Finagle and Amazon's papers on load shedding: the router serves first requests before retries, and does
// not serve retries that can't finish in time.
//
// The detector does not reject requests. The decision module rejects requests according to the bounds. A Verdict marks requests
// of an address that exceeds its fair share.
package retrystorm

import (
	"time"

	"starlingwinch/internal/rendezvous"
)

// Time is an instant or a duration in microseconds.
type Time = int64

// State is the state of the detector.
type State uint8

// States, in the order in which a storm goes through them.
const (
	Calm       State = iota // there is no storm
	Rising                  // there may be a storm, which is not confirmed yet
	Storm                   // there is a storm
	Recovering              // the storm is over, and the bounds are relaxed in steps
	stateCount
)

var stateNames = [...]string{Calm: "calm", Rising: "rising", Storm: "storm", Recovering: "recovering"}

// String returns the state as it appears in logs.
func (s State) String() string { return stateNames[s] }

// Step is the interval between calls of Tick.
const Step Time = 100_000

// Bounds are the bounds on retries until the next Tick.
type Bounds struct {
	Active              bool    // there is or may be a storm; if false, the other fields have no effect
	Outage              bool    // caches can't be reached, or became reachable again during this storm
	RetryBudgetFraction float64 // the available fraction of the retry budget, 0 to 1
	RetryAfterJitter    Time    // maximum jitter of the retry-after times of rejections
}

// calmBounds are the bounds without a storm.
var calmBounds = Bounds{RetryBudgetFraction: 1}

// Request is a client's request.
type Request struct {
	Client            uint64 // hash of the client's address
	Key               uint64 // hash of the key and the class
	ClientTimeout     Time   // the maximum time for which the client retries
	MarkedRetry       bool   // the client marked the request as a retry
	FirstOnConnection bool   // the request is the first on its connection
}

// Verdict is the detector's classification of a request.
type Verdict struct {
	Retry            bool
	FirstRequestedAt Time // time of the client's first request; 0 if unknown or if the request is no retry
	OverFairShare    bool // the client's address exceeds its fair share in a storm

	countedAt uint32 // time of the last count as a retry, in ms since the detector's epoch; 0 for never
}

// Detector detects retry storms from the events of one router's clients and caches. Use New to create one.
type Detector struct {
	cfg    Config
	state  State
	bounds Bounds

	aboveSince    Time // time from which the rates are above the thresholds of a storm; 0 while they are not
	belowSince    Time // time from which the rates are below the thresholds of a storm; 0 while they are not
	intervalStart Time // start of the current interval of addresses

	unserved  unservedTable
	addresses addressTable
	window    window
	epoch     Time // origin of the times in unserved; 0 before the first event
}

// New returns a detector in the state Calm.
func New(c Config) *Detector {
	return &Detector{cfg: c, bounds: calmBounds, unserved: unservedTable{capacity: c.Remembered}}
}

// Bounds returns the current bounds.
func (d *Detector) Bounds() Bounds { return d.bounds }

// State returns the current state.
func (d *Detector) State() State { return d.state }

// Connected counts a new client connection.
func (d *Detector) Connected() { d.window.current().connections++ }

// minCountInterval is the minimum time in ms between two counts of a request as a retry. Without a limit, a single client
// that retries a hundred times per second would count as a storm.
const minCountInterval = 1000

// RecordRequest counts a request and classifies it. The router calls RecordRequest once for each request, before the decision
// module decides on the request.
func (d *Detector) RecordRequest(now Time, r Request) Verdict {
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

// recognise returns the verdict on a request, without the fair share of its address.
func (d *Detector) recognise(r Request, ms uint32) Verdict {
	verdict := Verdict{Retry: r.MarkedRetry}
	unserved, found := d.unserved.take(identity(r), ms)
	if !found {
		return verdict
	}
	if unserved.countedAt == connectionLost {
		return Verdict{} // a first request, even if marked: a broken connection does not indicate load
	}
	return Verdict{Retry: true, FirstRequestedAt: d.epoch + Time(unserved.since)*1000, countedAt: unserved.countedAt}
}

// overFairShare reports whether a number of requests of one address in the current interval exceeds the fair share.
func (d *Detector) overFairShare(requests uint32) bool {
	return d.state == Storm && d.addresses.previousAddresses >= d.cfg.MinAddresses &&
		float64(requests) > d.cfg.FairShareFactor*d.addresses.previousMean
}

// RecordUnserved records a request that ended without a value because it was rejected, it failed, or the client abandoned it. The
// verdict is the result of RecordRequest, and readAt is the time at which the router read the request.
func (d *Detector) RecordUnserved(now Time, r Request, verdict Verdict, readAt Time) {
	d.window.current().unserved++
	first := readAt
	if verdict.FirstRequestedAt > 0 {
		first = verdict.FirstRequestedAt
	}
	d.remember(now, r, first, verdict.countedAt)
}

// ConnectionLost records a request that ended because the connection to the client or to a cache broke. A retry of the request
// counts as a first request, because connection resets while caches have capacity are not a storm.
func (d *Detector) ConnectionLost(now Time, r Request, readAt Time) {
	d.remember(now, r, readAt, connectionLost)
}

func (d *Detector) remember(now Time, r Request, since Time, countedAt uint32) {
	e := unservedRequest{since: d.milliseconds(since), until: d.milliseconds(since + r.ClientTimeout), countedAt: countedAt}
	d.unserved.put(identity(r), e, d.milliseconds(now))
}

// AttemptEnded counts an attempt that has ended. reached is set if the cache answered, and unset if no connection to it came up.
// The router reports no other attempts, such as those that the cache answered as not stored.
func (d *Detector) AttemptEnded(reached bool) {
	if reached {
		d.window.current().reached++
	} else {
		d.window.current().unreached++
	}
}

// epochLead is the time between the epoch and the first converted time. Times before the epoch are converted to 0.
const epochLead Time = 60_000_000

// milliseconds converts a time to ms since the epoch, the unit of unservedRequest.
func (d *Detector) milliseconds(t Time) uint32 {
	if d.epoch == 0 {
		d.epoch = max(1, t-epochLead)
	}
	return uint32(max(0, t-d.epoch) / 1000)
}

// identity returns a hash of the client and the key. A retry has the same identity as the unserved request.
func identity(r Request) uint64 {
	return rendezvous.Mix(r.Client*0x9e3779b97f4a7c15 + rendezvous.Mix(r.Key))
}

const (
	// lowRateFraction is the fraction of the minimum retry rate below which retries do not sustain a storm.
	lowRateFraction = 0.8
	// minUnreachedRate is the minimum number of unreached attempts per second in an outage.
	minUnreachedRate = 3
)

// Tick updates the state and the bounds. The router calls Tick once per Step. Tick returns the state change, and whether there
// was one.
func (d *Detector) Tick(now Time) (change Change, changed bool) {
	if now-d.intervalStart >= windowSteps*Step {
		d.intervalStart = now
		d.addresses.nextInterval()
	}
	rates := d.window.rates()
	d.window.advance()
	outage := rates.outageRatio >= d.cfg.EnterOutage && rates.unreached >= minUnreachedRate
	above := d.above(rates) || outage
	d.updateSince(now, above, d.below(rates))
	before := d.state
	d.updateState(now, above)
	d.bounds.Outage = d.bounds.Outage || outage
	if d.state == Calm {
		d.bounds = calmBounds
	}
	if d.state == before {
		return Change{}, false
	}
	return newChange(before, d.state, rates, d.bounds), true
}

// above reports whether the rates of retries reach the thresholds of a storm.
func (d *Detector) above(r rates) bool {
	return r.retries >= d.cfg.MinRetryRate && r.retryRatio >= d.cfg.Enter
}

// below reports whether neither retries nor an outage sustain a storm. A low rate of retries does not sustain a storm, regardless
// of the ratio: with few requests, a single retry per second gives a ratio that is never low.
func (d *Detector) below(r rates) bool {
	fewRetries := r.retryRatio < d.cfg.Leave || r.retries < d.cfg.MinRetryRate*lowRateFraction
	noOutage := r.outageRatio < d.cfg.EnterOutage/2 || r.unreached < minUnreachedRate
	return fewRetries && noOutage
}

// updateSince updates aboveSince and belowSince.
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

// hasLasted reports whether a condition that began at since, or 0 if it does not hold, has lasted for a duration.
func hasLasted(now, since Time, d time.Duration) bool {
	return since > 0 && now-since >= d.Microseconds()
}

// updateState moves to the next state if its condition holds. Entering a storm requires higher rates than staying in a storm
// (hysteresis), so that the state does not change with each rejection.
func (d *Detector) updateState(now Time, above bool) {
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
		if hasLasted(now, d.aboveSince, d.cfg.Confirm) {
			d.enterStorm()
		} else if hasLasted(now, d.belowSince, d.cfg.Settle) {
			d.state = Calm
		}
	case Storm:
		if hasLasted(now, d.belowSince, d.cfg.Settle) {
			d.state = Recovering
		} else if above {
			d.growJitter()
		}
	case Recovering:
		if hasLasted(now, d.aboveSince, d.cfg.Confirm) {
			d.enterStorm()
		} else {
			d.relax()
		}
	}
}

func (d *Detector) enterStorm() {
	d.state = Storm
	d.bounds.RetryBudgetFraction = d.cfg.RetryBudgetFraction
}

// growJitter raises the jitter by a twentieth, up to its maximum. With a call per Step, the jitter doubles in 1.4 s.
func (d *Detector) growJitter() {
	d.bounds.RetryAfterJitter = min(d.bounds.RetryAfterJitter*21/20, d.cfg.MaxRetryAfterJitter.Microseconds())
}

// relax raises the retry budget by one step and lowers the jitter by a twentieth. If the full budget were available at once, all
// waiting clients would retry at the same time.
func (d *Detector) relax() {
	steps := max(1, float64(d.cfg.RecoveryTime.Microseconds())/float64(Step))
	d.bounds.RetryBudgetFraction = min(1, d.bounds.RetryBudgetFraction+(1-d.cfg.RetryBudgetFraction)/steps)
	d.bounds.RetryAfterJitter = max(d.cfg.MinRetryAfterJitter.Microseconds(), d.bounds.RetryAfterJitter*19/20)
	if d.bounds.RetryBudgetFraction >= 1 {
		d.state = Calm
	}
}
