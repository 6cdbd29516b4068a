package snapshot

import (
	"math"

	"starlingwinch/decide"
)

// minFlagWeight is the lowest weight at which a flag is restored. A weight of 0.5 is reached after one half-life.
const minFlagWeight = 0.5

// HalfLives are the rates at which figures decay towards the defaults of a router that has just started. After one
// half-life, half of the difference to the default is left. A flag is restored for one half-life and then has its default.
// A half-life of 0 means that the figure is never restored.
type HalfLives struct {
	ConcurrencyLimit Time // concurrency limits of caches
	LateRatio        Time // ratios of late responses, and whether the last likely hit was in time
	ErrorRatio       Time // error ratio of each cache and of the router as a whole
	Health           Time // health, and consecutive failed health checks
	Keys             Time // keys that a cache likely holds
	Zones            Time // failed connections to zones
	Origin           Time // the origin limit and the miss ratio of the origin
	Retry            Time // the retry budget and the ratio of lost attempts
}

// weight returns the fraction of a figure's difference to its default that is left at an age, from 1 down to 0.
func weight(age, halfLife Time) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// decay moves a figure towards its default.
func decay(value, initial, weight float64) float64 { return initial + (value-initial)*weight }

// DecayEndpoint returns a cache's entry, decayed by its age at the instant now. initial is the entry of a cache without
// learned state. If the entry is older than maxAge, DecayEndpoint returns initial and false.
func (h HalfLives) DecayEndpoint(c Endpoint, initial decide.EndpointSnapshot, now, maxAge Time) (decide.EndpointSnapshot, bool) {
	age := now - c.At
	if age > maxAge {
		return initial, false
	}
	decayed := decide.EndpointSnapshot{ID: c.ID, StartedAt: c.StartedAt, Healthy: initial.Healthy, Responsive: initial.Responsive}
	decayed.ConcurrencyLimit = decayLimit(c.ConcurrencyLimit, initial.ConcurrencyLimit, weight(age, h.ConcurrencyLimit))
	lateWeight := weight(age, h.LateRatio)
	decayed.LateRatio = decay(c.LateRatio, initial.LateRatio, lateWeight)
	if lateWeight >= minFlagWeight {
		decayed.Responsive = c.Responsive
	}
	decayed.ErrorRatio = decay(c.ErrorRatio, initial.ErrorRatio, weight(age, h.ErrorRatio))
	if weight(age, h.Health) >= minFlagWeight {
		decayed.Healthy, decayed.FailedHealthChecks = c.Healthy, c.FailedHealthChecks
	}
	if keysAge := now - c.KeysAt; keysAge <= maxAge {
		decayed.CachedKeys = sampleKeys(c.CachedKeys, weight(keysAge, h.Keys))
	}
	return decayed, true
}

// decayLimit moves a concurrency limit towards the initial limit on a logarithmic scale, because limits grow and shrink by factors.
func decayLimit(limit, initial, weight float64) float64 {
	valid := limit > 0 && initial > 0 // false for NaN
	if !valid {
		return initial
	}
	return initial * math.Pow(limit/initial, weight)
}

// sampleKeys returns a fraction of the keys, in the given order. The choice depends on the keys alone, so that a smaller
// sample is a subset of a larger one.
func sampleKeys(keys []uint64, fraction float64) []uint64 {
	if fraction >= 1 {
		return keys
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // multiplicative hashing (Knuth, The Art of Computer Programming, section 6.4)
	var sample []uint64
	for _, key := range keys {
		if float64(key*goldenRatio>>11)/(1<<53) < fraction {
			sample = append(sample, key)
		}
	}
	return sample
}

// DecayShared returns the figures of the router as a whole and of zones, decayed by their age at the instant now. initial
// holds the figures of a router that has just started. If the snapshot is older than maxAge, DecayShared returns initial
// and false.
func (h HalfLives) DecayShared(s Snapshot, initial decide.Snapshot, now, maxAge Time) (decide.Snapshot, bool) {
	age := now - s.At
	if age > maxAge {
		return initial, false
	}
	originWeight, retryWeight := weight(age, h.Origin), weight(age, h.Retry)
	decayed := decide.Snapshot{
		OriginLimit:     decay(s.Router.OriginLimit, initial.OriginLimit, originWeight),
		OriginMissRatio: decay(s.Router.OriginMissRatio, initial.OriginMissRatio, originWeight),
		RetryBudget:     decay(s.Router.RetryBudget, initial.RetryBudget, retryWeight),
		LostRatio:       decay(s.Router.LostRatio, initial.LostRatio, retryWeight),
		ErrorRatio:      decay(s.Router.ErrorRatio, initial.ErrorRatio, weight(age, h.ErrorRatio)),
	}
	if weight(age, h.Zones) >= minFlagWeight {
		decayed.Zones = s.Router.Zones
	}
	return decayed, true
}
