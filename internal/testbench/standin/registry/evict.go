package registry

import "slices"

const minute = 60 * Second

// minute moves on to the minute that it is. The real server counts renewals by whole minutes too, from its start.
func (r *Registry) minute() {
	now := (r.m.Now() - r.start) / minute
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
	if r.o.NoPreservation {
		return false
	}
	r.minute()
	expected := float64(len(r.leases)) * float64(minute) / float64(r.o.RenewEvery)
	least := int64(expected * r.o.RenewalThreshold)
	return least == 0 || r.lastRenewals <= least
}

// evict takes out instances whose leases are over, drawn by lot, so many at a time that the share of renewals is kept.
func (r *Registry) evict() {
	r.evicts = r.m.At(r.m.Now()+r.o.EvictEvery, r.evict)
	if r.Preserves() {
		return
	}
	var over []*lease
	for _, l := range r.leases {
		if r.m.Now() > l.heard+l.time() {
			over = append(over, l)
		}
	}
	most := len(r.leases) - int(float64(len(r.leases))*r.o.RenewalThreshold)
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
	last := r.m.Now() - (r.m.Now()-r.start)%sweepEvery
	over := slices.IndexFunc(r.queue, func(q queued) bool { return q.at >= last-r.o.DeltaTime })
	if over < 0 {
		over = len(r.queue)
	}
	if over > 0 {
		r.queue = slices.Clone(r.queue[over:])
		r.version++
	}
}
