package standin

import (
	"math"
	"math/rand/v2"
)

// maxDrawFactor bounds a draw, as a multiple of the mean. Without it a rare request of minutes would overload a cache by itself.
const maxDrawFactor = 12

// lognormal draws from the lognormal distribution with a mean and a coefficient of variation, capped at maxDrawFactor
// means.
func lognormal(rng *rand.Rand, mean Time, cv float64) Time {
	if cv <= 0 || mean <= 0 {
		return mean
	}
	sigma2 := math.Log(1 + cv*cv)
	mu := math.Log(float64(mean)) - sigma2/2
	return Time(min(math.Exp(mu+math.Sqrt(sigma2)*rng.NormFloat64()), maxDrawFactor*float64(mean)))
}

// between draws a time uniformly from lo to hi, inclusive.
func between(rng *rand.Rand, lo, hi Time) Time {
	if hi <= lo {
		return lo
	}
	return lo + rng.Int64N(hi-lo+1)
}

// chance returns true with probability p. It draws only if p is between 0 and 1, so that an inactive fault
// does not change other draws.
func chance(rng *rand.Rand, p float64) bool { return p > 0 && (p >= 1 || rng.Float64() < p) }
