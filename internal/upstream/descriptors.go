package upstream

import "slices"

// LendDescriptors lets the pool keep n idle connections beyond its own descriptors. They are closed at once when n falls. With
// many caches that are each used now and then, idle connections would otherwise be closed for one another, and most requests
// open a new one.
func (p *Pool) LendDescriptors(n int) {
	p.lentDescriptors = max(n, 0)
	for p.connections > p.options.Descriptors+p.lentDescriptors && p.closeLongestIdle() {
	}
}

// takeDescriptor takes a descriptor for a new connection, and reports whether there is one. Where all are in use, the
// connection that was idle for longest, to whichever cache, is closed for it.
func (p *Pool) takeDescriptor() bool {
	if p.ownDescriptorsInUse() || p.descriptorsExhausted() && !p.closeLongestIdle() {
		p.descriptorWanted = true
		return false
	}
	p.connections++
	return true
}

// releaseDescriptor gives back the descriptor of a connection that was closed.
func (p *Pool) releaseDescriptor() {
	p.connections--
	p.dispatchIfDescriptorWanted()
}

// descriptorsExhausted reports whether all descriptors are in use, those lent included.
func (p *Pool) descriptorsExhausted() bool {
	return p.connections >= p.options.Descriptors+p.lentDescriptors
}

// ownDescriptorsInUse reports whether as many connections as the pool has descriptors of its own are not idle. Lent descriptors
// hold idle connections alone, so that they can be given back at any time.
func (p *Pool) ownDescriptorsInUse() bool {
	return p.connections-p.idleConnections >= p.options.Descriptors
}

// closeLongestIdle closes the connection that was idle for longest, to whichever cache, and reports whether there was one.
func (p *Pool) closeLongestIdle() bool {
	var longest *cache
	for _, c := range p.sorted {
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

// dispatchIfDescriptorWanted dispatches the waiting attempts of all caches in a later turn, if one waits for a descriptor.
func (p *Pool) dispatchIfDescriptorWanted() {
	if !p.descriptorWanted {
		return
	}
	p.descriptorWanted = false
	p.runAt(p.machine.Now(), func() {
		for _, c := range slices.Clone(p.sorted) {
			c.dispatch()
		}
	})
}
