package rules

// windowBins is the number of bins of a sliding window.
const windowBins = 12

// slidingWindow sums work over the latest span of time.
type slidingWindow struct {
	binLength Time
	newestBin Time // number of the newest bin, counted from time 0 of the clock
	sums      [windowBins]Time
	total     Time // sum of all bins
}

func (w *slidingWindow) init(span Time) { *w = slidingWindow{binLength: max(span/windowBins, 1)} }

// slide drops the bins that are older than the window.
func (w *slidingWindow) slide(now Time) {
	n := now / w.binLength
	if n-w.newestBin >= windowBins {
		w.sums, w.total = [windowBins]Time{}, 0
		w.newestBin = n
		return
	}
	for w.newestBin < n {
		w.newestBin++
		i := w.newestBin % windowBins
		w.total -= w.sums[i]
		w.sums[i] = 0
	}
}

func (w *slidingWindow) add(now, work Time) {
	w.slide(now)
	w.sums[w.newestBin%windowBins] += work
	w.total += work
}
