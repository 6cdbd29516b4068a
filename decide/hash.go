package decide

// Hashing.

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// unit maps a hash to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// hash maps an id to a number, by FNV-1a.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

func (r *Router) random() float64 {
	r.rng += 0x9e3779b97f4a7c15
	return unit(mix(r.rng))
}
