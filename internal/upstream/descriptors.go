package upstream

import "slices"

// SetExtraIdleConnections allows the pool n idle connections beyond Options.Descriptors. When n decreases, the pool immediately
// closes the excess idle connections. Without lent descriptors, many rarely used caches would evict each other's idle connections,
// and most requests would open a new connection.
func (p *Pool) SetExtraIdleConnections(n int) {
	p.lentDescriptors = max(n, 0)
	for p.connections > p.options.Descriptors+p.lentDescriptors && p.closeLongestIdle() {
	}
}

// takeDescriptor reserves a descriptor for a new connection, and reports whether one was available. If all descriptors are in
// use, the pool closes the longest idle connection to any cache to free one.
func (p *Pool) takeDescriptor() bool {
	if p.ownDescriptorsInUse() || p.descriptorsExhausted() && !p.closeLongestIdle() {
		p.descriptorWanted = true
		return false
	}
	p.connections++
	return true
}

// releaseDescriptor returns the descriptor of a closed connection to the pool.
func (p *Pool) releaseDescriptor() {
	p.connections--
	p.dispatchIfDescriptorWanted()
}

// descriptorsExhausted reports whether all descriptors are in use, including the lent ones.
func (p *Pool) descriptorsExhausted() bool {
	return p.connections >= p.options.Descriptors+p.lentDescriptors
}

// ownDescriptorsInUse reports whether the connections that are not idle use all of Options.Descriptors. Lent descriptors hold
// only idle connections, so that the pool can return them at any time.
func (p *Pool) ownDescriptorsInUse() bool {
	return p.connections-p.idleConnections >= p.options.Descriptors
}

// closeLongestIdle closes the longest idle connection to any cache, and reports whether there was one.
func (p *Pool) closeLongestIdle() bool {
	var longest *cache
	for _, c := range p.sortedCaches {
		if len(c.idle) == 0 {
			continue
		}
		if longest == nil || c.idle[0].idleSince < longest.idle[0].idleSince {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	longest.idle[0].close()
	return true
}

// dispatchIfDescriptorWanted schedules a dispatch of all caches in a later turn, if an attempt waits for a descriptor.
func (p *Pool) dispatchIfDescriptorWanted() {
	if !p.descriptorWanted {
		return
	}
	p.descriptorWanted = false
	p.runAt(p.machine.Now(), func() {
		for _, c := range slices.Clone(p.sortedCaches) {
			c.dispatch()
		}
	})
}
