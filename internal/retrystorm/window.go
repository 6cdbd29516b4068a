package retrystorm

// windowSteps is the number of steps in the window, which lasts one second. The window has no exponential decay: decayed
// counts of a larger storm would affect the rates for longer.
const windowSteps = 10

// window counts the events of the latest windowSteps steps.
type window struct {
	steps [windowSteps]counts
	index int // of the current step
}

// counts are the events of one step.
type counts struct {
	requests      int
	firstRequests int // requests that are the first on their connections
	retries       int // requests that were not served before; counted once per second for each request
	repeats       int // retries that are not counted in retries
	unserved      int
	reached       int // attempts that reached their cache
	unreached     int // attempts that did not reach their cache
	connections   int // new client connections
}

func (w *window) current() *counts { return &w.steps[w.index] }

// advance begins the next step and discards the counts of the oldest step.
func (w *window) advance() {
	w.index = (w.index + 1) % windowSteps
	w.steps[w.index] = counts{}
}

// rates are the inputs of the state: events per second, and ratios of events.
type rates struct {
	requests    float64
	retries     float64
	connections float64
	unreached   float64

	retryRatio        float64 // retries to requests, without repeats
	unservedRatio     float64 // unserved requests to requests
	outageRatio       float64 // unreached attempts to attempts
	firstRequestRatio float64 // first requests on their connections to requests
}

// rates returns the rates over the window.
func (w *window) rates() rates {
	var sum counts
	for _, c := range w.steps {
		sum.requests += c.requests
		sum.firstRequests += c.firstRequests
		sum.retries += c.retries
		sum.repeats += c.repeats
		sum.unserved += c.unserved
		sum.reached += c.reached
		sum.unreached += c.unreached
		sum.connections += c.connections
	}
	return rates{
		requests:          float64(sum.requests),
		retries:           float64(sum.retries),
		connections:       float64(sum.connections),
		unreached:         float64(sum.unreached),
		retryRatio:        ratio(sum.retries, sum.requests-sum.repeats),
		unservedRatio:     ratio(sum.unserved, sum.requests),
		outageRatio:       ratio(sum.unreached, sum.reached+sum.unreached),
		firstRequestRatio: ratio(sum.firstRequests, sum.requests),
	}
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
