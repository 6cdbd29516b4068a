package decide

import "starlingwinch/internal/rendezvous"

// randomSource is a stream of pseudo-random numbers (SplitMix64). Equal seeds give equal streams.
type randomSource uint64

// next returns the next number, in [0, 1).
func (s *randomSource) next() float64 {
	*s += 0x9e3779b97f4a7c15
	return unitInterval(mix(uint64(*s)))
}

// mix returns a hash of a number.
func mix(x uint64) uint64 { return rendezvous.Mix(x) }

// unitInterval maps a hash to [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
