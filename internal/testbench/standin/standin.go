// Package standin plays what surrounds a router: cache servers, the store behind them, discovery and
// clients. It follows the project's protocol page and RESP2; discovery speaks HTTP/1.1 by package httpd,
// and a Eureka registry has a package of its own below. It is written against machine.Machine alone: it
// starts no goroutine, reads no clock but the machine's and draws all chance from the generator that it is
// given, so that the same code runs on a virtual network, where equal seeds give equal runs, and on
// loopback sockets.
//
// The stand-ins tell a rules.Observer what they see on their sockets. They never look into a router
// and never judge what one does.
package standin

import (
	"math"
	"math/rand/v2"

	"starlingwinch/internal/testbench/rules"
)

// Time is an instant or a span in microseconds.
type Time = int64

const (
	Millisecond Time = 1000               // Millisecond is a thousandth of a second.
	Second      Time = 1000 * Millisecond // Second is a million microseconds.
)

// Class is one kind of request, as clients ask and as caches work.
type Class struct {
	Name               string
	TrafficFraction    float64 // of all requests
	Semantics          Semantics
	Write              bool                     // goes on to the store
	LatencyObjective   Time                     // wanted within
	ClientTimeout      Time                     // the client's whole patience
	IdempotencyWindow  Time                     // for which the caches drop a repeat, of an IdempotentByKey class
	Scope              rules.DeduplicationScope // which caches do
	PriorityWeight     float64                  // of an answer within LatencyObjective
	LateWeightFraction float64                  // fraction of PriorityWeight that a late answer earns
	Work               Time                     // mean, on one core
	CV                 float64                  // of the work: its standard deviation over its mean
}

// Semantics says what may happen when a request runs twice.
type Semantics uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Semantics = iota
	// IdempotentByKey requests carry a key, and caches drop repeats of it inside the class's window.
	IdempotentByKey
	// NonIdempotent requests have their effect each time they run.
	NonIdempotent
)

// DefaultClasses are the operators' classes.
func DefaultClasses() []Class {
	return []Class{
		{
			Name: "call-lookup", TrafficFraction: 0.49, Semantics: Idempotent,
			LatencyObjective: 500 * Millisecond, ClientTimeout: 1200 * Millisecond,
			PriorityWeight: 2, LateWeightFraction: 0.5,
			Work: 60 * Millisecond, CV: 2,
		},
		{
			Name: "log-page", TrafficFraction: 0.473, Semantics: Idempotent,
			LatencyObjective: Second, ClientTimeout: 3 * Second,
			PriorityWeight: 5, LateWeightFraction: 0.2,
			Work: 175 * Millisecond, CV: 2,
		},
		{
			Name: "add-contact", TrafficFraction: 0.026, Semantics: IdempotentByKey, Write: true,
			LatencyObjective: 600 * Millisecond, ClientTimeout: 1200 * Millisecond,
			IdempotencyWindow: 1200 * Millisecond, Scope: rules.ScopeAll,
			PriorityWeight: 3, LateWeightFraction: 0.25,
			Work: 100 * Millisecond, CV: 2,
		},
		{
			Name: "confirm-contact", TrafficFraction: 0.011, Semantics: IdempotentByKey, Write: true,
			LatencyObjective: 1200 * Millisecond, ClientTimeout: 2500 * Millisecond,
			IdempotencyWindow: 4 * Second, Scope: rules.ScopeAll,
			PriorityWeight: 5, LateWeightFraction: 0.2,
			Work: 175 * Millisecond, CV: 2,
		},
	}
}

// Workload knows the work of each request. It depends on the request's id alone, and so is the same at
// every cache and whatever else is going on.
type Workload struct {
	classes map[string]Class
	salt    uint64
}

// NewWorkload draws a workload for the classes.
func NewWorkload(classes []Class, rng *rand.Rand) *Workload {
	w := &Workload{classes: make(map[string]Class, len(classes)), salt: rng.Uint64()}
	for _, c := range classes {
		w.classes[c.Name] = c
	}
	return w
}

// Of is the work of a request, in µs on one core.
func (w *Workload) Of(class, id string) Time {
	c := w.classes[class]
	const prime = 1099511628211 // FNV-1a
	hash := uint64(14695981039346656037)
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * prime
	}
	rng := rand.New(rand.NewPCG(w.salt, hash))
	return max(1, lognormal(rng, c.Work, c.CV))
}

// window is how long the caches drop repeats of a class.
func (w *Workload) window(class string) Time { return w.classes[class].IdempotencyWindow }

// maxDrawFactor bounds a draw, in means. The danger: one in millions takes minutes, and pushes a cache over by itself.
const maxDrawFactor = 12

// lognormal draws from the lognormal distribution of that mean and coefficient of variation, cut at longTail.
func lognormal(rng *rand.Rand, mean Time, cv float64) Time {
	if cv <= 0 || mean <= 0 {
		return mean
	}
	sigma2 := math.Log(1 + cv*cv)
	mu := math.Log(float64(mean)) - sigma2/2
	return Time(min(math.Exp(mu+math.Sqrt(sigma2)*rng.NormFloat64()), maxDrawFactor*float64(mean)))
}

// between draws a time evenly from lo to hi.
func between(rng *rand.Rand, lo, hi Time) Time {
	if hi <= lo {
		return lo
	}
	return lo + rng.Int64N(hi-lo+1)
}

// chance comes true with probability p. It draws only where that is open, so that a fault that is
// off changes no other draw.
func chance(rng *rand.Rand, p float64) bool { return p > 0 && (p >= 1 || rng.Float64() < p) }

// slidingWork is the work that something was sent within a sliding span of time.
type slidingWork struct {
	span    Time
	sum     Time
	samples []workSample
}

type workSample struct{ at, work Time }

// add takes in an offer and returns the sum over the span that ends now.
func (o *slidingWork) add(now, work Time) Time {
	gone := 0
	for gone < len(o.samples) && o.samples[gone].at <= now-o.span {
		o.sum -= o.samples[gone].work
		gone++
	}
	o.samples = append(o.samples[gone:], workSample{now, work})
	o.sum += work
	return o.sum
}

// Blind is an Observer that takes no notice.
type Blind struct{}

func (Blind) Asked(Time, rules.Request)                          {}
func (Blind) Answered(Time, string, rules.Answer, string)        {}
func (Blind) Left(Time, string)                                  {}
func (Blind) Broken(Time, string)                                {}
func (Blind) Behind(Time, string, Time)                          {}
func (Blind) Began(Time, rules.Attempt)                          {}
func (Blind) Bad(Time, string, string)                           {}
func (Blind) Ran(Time, rules.Attempt, bool)                      {}
func (Blind) Replied(Time, string, string, rules.Answer, string) {}
func (Blind) Ended(Time, string, string)                         {}
func (Blind) Listed(Time, string, string, bool)                  {}
func (Blind) CacheUp(Time, string, float64, float64, Time)       {}
func (Blind) CacheDown(Time, string, bool)                       {}
func (Blind) Offered(Time, string, string, Time)                 {}
func (Blind) StartNotified(Time, string, string, Time)           {}
func (Blind) StoreOffered(Time, Time, string)                    {}
func (Blind) StoreFell(Time)                                     {}
func (Blind) RouterUp(Time, string)                              {}
func (Blind) RouterDown(Time, string, bool)                      {}
func (Blind) Usage(Time, string, int, int)                       {}
func (Blind) Leftover(Time, string, string, int)                 {}

// observerOrBlind is the observer, or one that takes no notice where there is none.
func observerOrBlind(o rules.Observer) rules.Observer {
	if o == nil {
		return Blind{}
	}
	return o
}
