package standin

import "math"

// Tally counts the requests of a class by outcome. A request with all its attempts counts once.
type Tally struct {
	Class    string
	Requests int // requests that were made
	OnTime   int // served within the latency objective
	Late     int // served after the latency objective
	Rejected int
	Failed   int
	Lost     int // the connection ended without a complete reply, or no reply arrived in time
	Left     int // the client abandoned the request early

	Tries  int // attempts that were sent
	Resent int // attempts resent because the router closed the connection before it read them
	// ResentAgain counts the resent attempts of requests that had been resent before: clients of the platform resend only once.
	ResentAgain int
	Latency     Histogram // of the served requests
	Earned      float64   // points for the served requests
	Offered     float64   // points of all requests
}

// Histogram counts times in fixed buckets, each a fifth wider than the previous bucket.
type Histogram struct {
	Counts [buckets]int
	N      int // times counted
}

const (
	buckets    = 72
	firstBound = 100.0 // µs; the last bound is about 40 s
	bucketStep = 1.2
)

// Add counts a time.
func (h *Histogram) Add(t Time) {
	at := 0
	if float64(t) > firstBound {
		at = int(math.Ceil(math.Log(float64(t)/firstBound) / math.Log(bucketStep)))
	}
	h.Counts[min(at, buckets-1)]++
	h.N++
}

// Quantile returns a bound that a fraction q of the times does not exceed; 0 without times.
func (h *Histogram) Quantile(q float64) Time {
	need := int(math.Ceil(q * float64(h.N)))
	have := 0
	for i, n := range h.Counts {
		have += n
		if have >= need && have > 0 {
			return Time(firstBound * math.Pow(bucketStep, float64(i)))
		}
	}
	return 0
}

// Service returns the ratio of earned to offered points over several tallies; 1 without requests.
func Service(all []*Tally) float64 {
	earned, offered := 0.0, 0.0
	for _, t := range all {
		earned += t.Earned
		offered += t.Offered
	}
	if offered == 0 {
		return 1
	}
	return earned / offered
}

// Add adds the counts of another tally.
func (t *Tally) Add(o *Tally) {
	t.Requests += o.Requests
	t.OnTime += o.OnTime
	t.Late += o.Late
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Lost += o.Lost
	t.Left += o.Left
	t.Tries += o.Tries
	t.Resent += o.Resent
	t.ResentAgain += o.ResentAgain
	t.Earned += o.Earned
	t.Offered += o.Offered
	t.Latency.N += o.Latency.N
	for i, n := range o.Latency.Counts {
		t.Latency.Counts[i] += n
	}
}
