package load

import (
	"math"
	"math/bits"
)

const (
	// bucketsPerDoubling is the number of buckets between a time and its double.
	bucketsPerDoubling = 16
	// histogramDoublings is the number of doublings, which cover 1 µs to over an hour.
	histogramDoublings = 40
)

// Histogram counts times in buckets that are at most 1/16 apart.
type Histogram struct {
	counts [histogramDoublings * bucketsPerDoubling]int64
	total  int64
	sum    Time
}

// Add counts one time.
func (h *Histogram) Add(t Time) {
	h.total++
	h.sum += t
	h.counts[bucketOf(t)]++
}

// Join adds the times of another histogram.
func (h *Histogram) Join(other *Histogram) {
	h.total += other.total
	h.sum += other.sum
	for i, n := range other.counts {
		h.counts[i] += n
	}
}

// bucketOf returns the index of the bucket for a time.
func bucketOf(t Time) int {
	if t < bucketsPerDoubling {
		return int(max(t, 0))
	}
	exponent := bits.Len64(uint64(t)) - 5 // t >> exponent lies in [16, 32)
	return min((exponent+1)*bucketsPerDoubling+int(t>>exponent)-bucketsPerDoubling, histogramDoublings*bucketsPerDoubling-1)
}

// N returns the number of recorded times.
func (h *Histogram) N() int64 { return h.total }

// Mean returns the mean of the times; 0 if there are none.
func (h *Histogram) Mean() float64 { return float64(h.sum) / math.Max(1, float64(h.total)) }

// Quantile returns the upper end of the bucket that contains the quantile q of the times.
func (h *Histogram) Quantile(q float64) Time {
	left := int64(math.Ceil(q * float64(h.total)))
	for i, n := range h.counts {
		if left -= n; left <= 0 {
			if i < bucketsPerDoubling {
				return Time(i)
			}
			return Time(i%bucketsPerDoubling+bucketsPerDoubling+1) << (i/bucketsPerDoubling - 1)
		}
	}
	return 0
}
