package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Keys is a set of keys with a Zipf distribution: the key of rank i is drawn in proportion to 1/(i+offset)^exponent.
type Keys struct {
	cumulative  []float64 // cumulative weights of the keys, by rank
	salt        uint64    // salt of the keys' names
	hotKeys     int       // number of keys that Heat added
	hotFraction float64   // fraction of all requests that go to the hot keys
}

// NewKeys returns a set of n keys, whose names are derived from a salt drawn from rng.
func NewKeys(n int, exponent, offset float64, rng *rand.Rand) *Keys {
	k := &Keys{cumulative: make([]float64, n), salt: rng.Uint64()}
	sum := 0.0
	for i := range k.cumulative {
		sum += math.Pow(float64(i)+max(offset, 1), -exponent)
		k.cumulative[i] = sum
	}
	return k
}

// Heat adds hot keys that together receive a fraction of all requests; 0 keys ends this.
func (k *Keys) Heat(keys int, fraction float64) { k.hotKeys, k.hotFraction = keys, fraction }

// Draw draws the key of a request.
func (k *Keys) Draw(rng *rand.Rand) string {
	if k.hotKeys > 0 && chance(rng, k.hotFraction) {
		return k.Name(len(k.cumulative) + rng.IntN(k.hotKeys)) // ranks above all other keys, so that no cache holds them
	}
	at, _ := slices.BinarySearch(k.cumulative, rng.Float64()*k.cumulative[len(k.cumulative)-1])
	return k.Name(min(at, len(k.cumulative)-1))
}

// Name returns the key of a rank, 16 hexadecimal digits.
func (k *Keys) Name(rank int) string { return fmt.Sprintf("%016x", mix(k.salt+uint64(rank))) }

// Fraction returns the fraction of all requests that are for the key of a rank.
func (k *Keys) Fraction(rank int) float64 {
	before := 0.0
	if rank > 0 {
		before = k.cumulative[rank-1]
	}
	return (k.cumulative[rank] - before) / k.cumulative[len(k.cumulative)-1]
}

// Mass returns the fraction of all requests that are for the first n keys.
func (k *Keys) Mass(n int) float64 {
	if n <= 0 {
		return 0
	}
	return k.cumulative[min(n, len(k.cumulative))-1] / k.cumulative[len(k.cumulative)-1]
}

// Popular returns the first n keys, the most popular last.
func (k *Keys) Popular(n int) []string {
	var names []string
	for i := min(n, len(k.cumulative)) - 1; i >= 0; i-- {
		names = append(names, k.Name(i))
	}
	return names
}

// mix is the finisher of splitmix64, a bijection that spreads close numbers.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
