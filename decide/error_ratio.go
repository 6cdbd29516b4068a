package decide

const (
	// errorWindow is the number of answers of one cache over which its error ratio fades.
	errorWindow = 8
	// fleetErrorWindow is the number of answers of all caches over which their error ratio fades.
	fleetErrorWindow = 16
	// errorDecayGraces is the time in which an error ratio falls to 1/e without answers, in drain graces. A
	// cache that is passed over is tried again for that.
	errorDecayGraces = 4
	// minFailingErrorRatio is the error ratio above which a cache may count as failing.
	minFailingErrorRatio = .5
	// failingErrorMultiple is how many times the error ratio of all caches a failing one has.
	failingErrorMultiple = 3
)

// errorRatio is the ratio of errors among the latest answers of a cache. It fades with time too.
type errorRatio struct {
	ratio     float64 // as of updatedAt
	updatedAt Time
}

func (e *errorRatio) observe(current float64, failed bool, now Time) {
	e.ratio = current*(errorWindow-1)/errorWindow + float64(boolToInt(failed))/errorWindow
	e.updatedAt = now
}

// errorRatioOf returns the error ratio of a cache as of now.
func (r *Router) errorRatioOf(c *cache) float64 {
	return c.errors.ratio * decay(r.now-c.errors.updatedAt, errorDecayGraces*r.settings.DrainGrace)
}

// answersErrors reports whether a cache has just answered mostly errors, far more than others do. A cache
// that fails at once looks idle and passes its health checks, and its errors would be blamed on the origin.
func (r *Router) answersErrors(c *cache) bool {
	return r.errorRatioOf(c) > max(minFailingErrorRatio, failingErrorMultiple*r.errorRatio.value)
}

// learnErrors takes the result of an attempt into the error ratios.
func (r *Router) learnErrors(result *finishedAttempt) {
	failed := result.result == Errored
	if !failed && result.result != Served {
		return
	}
	result.cache.errors.observe(r.errorRatioOf(result.cache), failed, r.now)
	r.errorRatio.observeBool(failed)
}
