package decide

import "starlingwinch/internal/rendezvous"

// Hashing.

func mix(x uint64) uint64 { return rendezvous.Mix(x) }

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// unit maps a hash to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

func (r *Router) random() float64 { return draw(&r.rng) }

// draw advances a stream of random numbers.
func draw(stream *uint64) float64 {
	*stream += 0x9e3779b97f4a7c15
	return unit(mix(*stream))
}
