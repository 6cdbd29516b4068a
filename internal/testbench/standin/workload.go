package standin

import "math/rand/v2"

// Workload determines the work of each request. Within a class the work depends on the request's id alone, so that it is the same at every cache
// and in runs that differ in other random draws.
type Workload struct {
	classes map[string]Class
	salt    uint64
}

// NewWorkload returns a workload for the classes, with a salt from rng.
func NewWorkload(classes []Class, rng *rand.Rand) *Workload {
	w := &Workload{classes: make(map[string]Class, len(classes)), salt: rng.Uint64()}
	for _, c := range classes {
		w.classes[c.Name] = c
	}
	return w
}

// Constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Of returns the work of a request, in µs on one core.
func (w *Workload) Of(class, id string) Time {
	c := w.classes[class]
	hash := uint64(fnvOffset)
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * fnvPrime
	}
	rng := rand.New(rand.NewPCG(w.salt, hash))
	return max(1, lognormal(rng, c.Work, c.CV))
}

// window returns how long the caches drop repeats of a class.
func (w *Workload) window(class string) Time { return w.classes[class].IdempotencyWindow }
