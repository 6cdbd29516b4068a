package registry

import "slices"

// minute is the span in which renewals are counted.
const minute = 60 * Second

// updateMinute moves on to the present minute. Renewals are counted by whole minutes from the start, as the real server
// does.
func (r *Registry) updateMinute() {
	now := (r.machine.Now() - r.start) / minute
	if now == r.thisMinute {
		return
	}
	r.lastRenewals = 0
	if now == r.thisMinute+1 {
		r.lastRenewals = r.renewals
	}
	r.thisMinute, r.renewals = now, 0
}

// Preserves reports whether the registry is in self-preservation: so few renewals arrive that it assumes a network
// failure and evicts nothing.
func (r *Registry) Preserves() bool {
	if r.options.NoPreservation {
		return false
	}
	r.updateMinute()
	expected := float64(len(r.leases)) * float64(minute) / float64(r.options.RenewEvery)
	threshold := int64(expected * r.options.RenewalThreshold)
	return threshold == 0 || r.lastRenewals <= threshold
}

// evict removes instances whose leases have expired, drawn at random, as many at a time as self-preservation allows.
func (r *Registry) evict() {
	r.evictTimer = r.machine.At(r.machine.Now()+r.options.EvictEvery, r.evict)
	if r.Preserves() {
		return
	}
	var expired []*lease
	for _, l := range r.leases {
		if r.machine.Now() > l.renewedAt+l.duration() {
			expired = append(expired, l)
		}
	}
	limit := len(r.leases) - int(float64(len(r.leases))*r.options.RenewalThreshold)
	r.rng.Shuffle(len(expired), func(i, k int) { expired[i], expired[k] = expired[k], expired[i] })
	for _, l := range expired[:min(limit, len(expired))] {
		// Each replica evicts by itself.
		r.cancel(l.App, l.ID, true)
	}
}

// sweepEvery is how often the delta queue is swept, counted from the start.
const sweepEvery = 30 * Second

// sweep drops changes that are older than the delta time from the delta queue.
func (r *Registry) sweep() {
	last := r.machine.Now() - (r.machine.Now()-r.start)%sweepEvery
	firstRecent := slices.IndexFunc(r.deltaQueue, func(q queuedChange) bool { return q.at >= last-r.options.DeltaTime })
	if firstRecent < 0 {
		firstRecent = len(r.deltaQueue)
	}
	if firstRecent > 0 {
		r.deltaQueue = slices.Clone(r.deltaQueue[firstRecent:])
		r.version++
	}
}
