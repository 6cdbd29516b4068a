package decide

const (
	// errorWindow is the number of answers of one cache over which its error ratio decays.
	errorWindow = 8
	// fleetErrorWindow is the number of answers of all caches over which their error ratio decays.
	fleetErrorWindow = 16
	// errorDecayGraces is the time, in drain graces, in which an error ratio falls to 1/e without answers.
	// The decay ensures that a cache that is passed over is tried again.
	errorDecayGraces = 4
	// minFailingErrorRatio is the error ratio above which a cache may count as failing.
	minFailingErrorRatio = .5
	// failingErrorMultiple is the factor by which the error ratio of a failing cache exceeds the error ratio
	// of all caches.
	failingErrorMultiple = 3
)

// errorRatio is the ratio of errors among the recent answers of a cache. It also decays with time.
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

// answersErrors reports whether most recent answers of a cache are errors, far more than at other caches. A
// cache that fails immediately looks idle and passes its health checks, and its errors would otherwise count
// against the origin.
func (r *Router) answersErrors(c *cache) bool {
	return r.errorRatioOf(c) > max(minFailingErrorRatio, failingErrorMultiple*r.errorRatio.value)
}

// recordErrors applies the result of an attempt to the error ratios.
func (r *Router) recordErrors(result *finishedAttempt) {
	failed := result.result == Errored
	if !failed && result.result != Served {
		return
	}
	result.cache.errors.observe(r.errorRatioOf(result.cache), failed, r.now)
	r.errorRatio.observeBool(failed)
}
