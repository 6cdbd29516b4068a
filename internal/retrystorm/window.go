package retrystorm

// windowSteps is the number of steps in the window: a second. All counts leave it together, as ones that fade would stay a
// part of the rates for the longer the larger a storm was.
const windowSteps = 10

// window counts events over the latest steps.
type window struct {
	steps [windowSteps]counts
	at    int // index of the present step
}

// counts are the events of one step.
type counts struct {
	requests      int
	firstRequests int // the first on their connections
	retries       int // requests that were not served before; each counts once a second
	repeats       int // retries beyond that
	unserved      int
	reached       int // attempts that reached their cache
	unreached     int // attempts that did not
	connections   int // new ones of clients
}

func (w *window) current() *counts { return &w.steps[w.at] }

// advance begins the next step, in place of the oldest one.
func (w *window) advance() {
	w.at = (w.at + 1) % windowSteps
	w.steps[w.at] = counts{}
}

// rates are what the state depends on: events a second, and ratios of them.
type rates struct {
	requests    float64
	retries     float64
	connections float64
	unreached   float64

	retryRatio        float64 // of retries among requests, repeats left out
	unservedRatio     float64 // of unserved among requests
	outageRatio       float64 // of unreached among attempts
	firstRequestRatio float64 // of first requests on their connections among requests
}

// rates sums the window up.
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
