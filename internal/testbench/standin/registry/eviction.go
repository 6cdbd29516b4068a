package registry

import "slices"

const minute = 60 * Second

// updateMinute moves on to the minute that it is. The real server counts renewals by whole minutes too, from its start.
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

// Preserves reports whether too few renewals come for anything to be evicted: the registry takes it that
// the network is at fault.
func (r *Registry) Preserves() bool {
	if r.options.NoPreservation {
		return false
	}
	r.updateMinute()
	expected := float64(len(r.leases)) * float64(minute) / float64(r.options.RenewEvery)
	least := int64(expected * r.options.RenewalThreshold)
	return least == 0 || r.lastRenewals <= least
}

// evict takes out instances whose leases are over, drawn by lot, so many at a time that the share of renewals is kept.
func (r *Registry) evict() {
	r.evictTimer = r.machine.At(r.machine.Now()+r.options.EvictEvery, r.evict)
	if r.Preserves() {
		return
	}
	var over []*lease
	for _, l := range r.leases {
		if r.machine.Now() > l.renewedAt+l.duration() {
			over = append(over, l)
		}
	}
	most := len(r.leases) - int(float64(len(r.leases))*r.options.RenewalThreshold)
	r.rng.Shuffle(len(over), func(i, k int) { over[i], over[k] = over[k], over[i] })
	for _, l := range over[:min(most, len(over))] {
		// Each replica evicts by itself.
		r.cancel(l.App, l.ID, true)
	}
}

// sweepEvery is how often the delta queue is swept, counted from the start.
const sweepEvery = 30 * Second

// sweep drops the changes from the delta queue whose time is over.
func (r *Registry) sweep() {
	last := r.machine.Now() - (r.machine.Now()-r.start)%sweepEvery
	over := slices.IndexFunc(r.deltaQueue, func(q queuedChange) bool { return q.at >= last-r.options.DeltaTime })
	if over < 0 {
		over = len(r.deltaQueue)
	}
	if over > 0 {
		r.deltaQueue = slices.Clone(r.deltaQueue[over:])
		r.version++
	}
}
