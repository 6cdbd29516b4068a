package snapshot

import (
	"math"

	"starlingwinch/decide"
)

// minFlagWeight is the weight from which on a flag is believed: it holds for one half-life.
const minFlagWeight = 0.5

// HalfLives say how fast each figure decays towards the value of a router that has just started: after one half-life half
// of the difference is left. A flag holds for one half-life. 0 means that the figure is never believed.
type HalfLives struct {
	ConcurrencyLimit Time // concurrency limits of caches
	LateRatio        Time // ratios of late answers, and whether the last likely hit came in time
	ErrorRatio       Time // ratios of errors, of each cache and of all
	Health           Time // health, and failed health checks in a row
	Keys             Time // keys that a cache likely holds
	Zones            Time // failed connections to zones
	Origin           Time // the origin's concurrency limit and miss ratio
	Retry            Time // the retry budget and the ratio of lost attempts
}

// weight is the part of a figure's difference to its default that is left at an age, 1 to 0.
func weight(age, halfLife Time) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// decay moves a figure towards its default.
func decay(value, usual, weight float64) float64 { return usual + (value-usual)*weight }

// DecayEndpoint returns a cache's entry as it is believed at an instant, where usual is the entry of a cache that nothing is
// known of. It reports false for an entry that was known more than maxAge ago.
func (h HalfLives) DecayEndpoint(c Endpoint, usual decide.EndpointSnapshot, now, maxAge Time) (decide.EndpointSnapshot, bool) {
	age := now - c.At
	if age > maxAge {
		return usual, false
	}
	decayed := decide.EndpointSnapshot{ID: c.ID, StartedAt: c.StartedAt, Healthy: usual.Healthy, Responsive: usual.Responsive}
	decayed.ConcurrencyLimit = decayLimit(c.ConcurrencyLimit, usual.ConcurrencyLimit, weight(age, h.ConcurrencyLimit))
	lateWeight := weight(age, h.LateRatio)
	decayed.LateRatio = decay(c.LateRatio, usual.LateRatio, lateWeight)
	if lateWeight >= minFlagWeight {
		decayed.Responsive = c.Responsive
	}
	decayed.ErrorRatio = decay(c.ErrorRatio, usual.ErrorRatio, weight(age, h.ErrorRatio))
	if weight(age, h.Health) >= minFlagWeight {
		decayed.Healthy, decayed.FailedHealthChecks = c.Healthy, c.FailedHealthChecks
	}
	if keysAge := now - c.KeysAt; keysAge <= maxAge {
		decayed.CachedKeys = sampleKeys(c.CachedKeys, weight(keysAge, h.Keys))
	}
	return decayed, true
}

// decayLimit moves a concurrency limit towards the usual one by its factor, as limits grow and shrink by factors.
func decayLimit(limit, usual, weight float64) float64 {
	known := limit > 0 && usual > 0 // neither is NaN
	if !known {
		return usual
	}
	return usual * math.Pow(limit/usual, weight)
}

// sampleKeys returns a fraction of the keys, in their order. Which ones depends on the keys alone, so that a smaller sample is
// part of a larger one.
func sampleKeys(keys []uint64, fraction float64) []uint64 {
	if fraction >= 1 {
		return keys
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // multiplicative hashing (Knuth, 6.4)
	var sample []uint64
	for _, key := range keys {
		if float64(key*goldenRatio>>11)/(1<<53) < fraction {
			sample = append(sample, key)
		}
	}
	return sample
}

// DecayShared returns the figures of the whole router and of zones as they are believed at an instant, where usual are those
// of a router that has just started. It reports false for a snapshot that is older than maxAge.
func (h HalfLives) DecayShared(s Snapshot, usual decide.Snapshot, now, maxAge Time) (decide.Snapshot, bool) {
	age := now - s.At
	if age > maxAge {
		return usual, false
	}
	originWeight, retryWeight := weight(age, h.Origin), weight(age, h.Retry)
	decayed := decide.Snapshot{
		OriginLimit:     decay(s.Router.OriginLimit, usual.OriginLimit, originWeight),
		OriginMissRatio: decay(s.Router.OriginMissRatio, usual.OriginMissRatio, originWeight),
		RetryBudget:     decay(s.Router.RetryBudget, usual.RetryBudget, retryWeight),
		LostRatio:       decay(s.Router.LostRatio, usual.LostRatio, retryWeight),
		ErrorRatio:      decay(s.Router.ErrorRatio, usual.ErrorRatio, weight(age, h.ErrorRatio)),
	}
	if weight(age, h.Zones) >= minFlagWeight {
		decayed.Zones = s.Router.Zones
	}
	return decayed, true
}
