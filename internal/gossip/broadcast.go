package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// retransmitFactor is the number of times an update is sent per binary logarithm of the number of members.
	retransmitFactor = 3
	// sendsPerReceived is the number of transmissions that a copy of a queued update received from another router counts as.
	sendsPerReceived = 2
	// maxUpdatesSent is the index of the update at which this router stops appending queued updates, or the updates that answer
	// digests, to a datagram.
	maxUpdatesSent = maxUpdates - 1
)

// queuedUpdate is an update that is piggybacked on datagrams.
type queuedUpdate struct {
	update   update
	sent     int    // transmissions so far
	sequence uint64 // position in the order of queueing; of equally often sent updates, the latest is sent first
}

// broadcast queues this view's state of a member. The update replaces all queued updates about the member.
func (v *View) broadcast(m *member) { v.enqueue(m, "") }

// broadcastSuspicion queues the claim that the router by suspects a member. The update replaces queued updates about the
// member that are from the same router or about another incarnation.
func (v *View) broadcastSuspicion(m *member, by string) { v.enqueue(m, by) }

func (v *View) enqueue(m *member, by string) {
	v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool {
		return q.update.name == m.Name && (by == "" || q.update.by == by || q.update.incarnation != m.Incarnation)
	})
	v.sequence++
	v.updates = append(v.updates, &queuedUpdate{update: v.updateOf(m, by), sequence: v.sequence})
}

// dropUpdatesOf drops the queued updates about a member, except suspicions.
func (v *View) dropUpdatesOf(m *member) {
	v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool { return q.update.name == m.Name && q.update.by == "" })
}

// PendingUpdates returns the number of queued updates.
func (v *View) PendingUpdates() int { return len(v.updates) }

// countAsSent counts a copy of a queued update that another router sent toward this router's transmissions of the update,
// because the update has already spread that far.
func (v *View) countAsSent(u *update) {
	for _, q := range v.updates {
		if q.update.sameClaim(u) {
			q.sent += sendsPerReceived
			return
		}
	}
}

// sameClaim reports whether two updates make the same claim about the same member.
func (u *update) sameClaim(other *update) bool {
	return u.name == other.name && u.state == other.state && u.incarnation == other.incarnation && u.boot == other.boot &&
		u.revision == other.revision && u.by == other.by
}

// updateOf returns an update with this view's state of a member. If by is not empty, the update claims that the router by
// suspects the member or holds it faulty. If by is empty, the update gives a suspect the state that the member
// announced.
func (v *View) updateOf(m *member, by string) update {
	u := update{name: m.Name, state: m.State, incarnation: m.Incarnation, boot: m.boot, by: by}
	if by != "" {
		return u
	}
	if m.State == Suspect {
		u.state = m.announcedState
	}
	if m.revision > 0 {
		u.revision, u.info, u.addr = m.revision, m.Info, m.announcedAddr
	}
	return u
}

// send sends a datagram and fills it up to maxBytes with updates: first the suspicion of the receiver, which may be nil, then the
// data for agreement, then queued updates.
func (v *View) send(addr string, d datagram, receiver *member, maxBytes int) {
	if addr == "" {
		return
	}
	b := v.beginDatagram(&d)
	if receiver != nil && receiver != v.self && (receiver.State == Suspect || receiver.State == Faulty) {
		u := v.updateOf(receiver, v.cfg.Name)
		b, _ = appendUpdate(b, &u, maxBytes)
	}
	b = v.appendAgreement(b, receiver, maxBytes)
	b = v.appendQueued(b, maxBytes)
	v.emit(addr, b)
}

// beginDatagram writes a datagram except its updates into a buffer that is valid until the next event.
func (v *View) beginDatagram(d *datagram) []byte {
	v.sequence++
	d.name, d.boot, d.sequence, d.incarnation = v.cfg.Name, v.self.boot, v.sequence, v.self.Incarnation
	d.runTime = v.runTime()
	d.leaving = v.self.State == Leaving || v.self.State == Left
	d.digest, d.settled = v.agreement.digest, v.agreement.settled
	if v.usedBuffers == len(v.buffers) {
		v.buffers = append(v.buffers, make([]byte, 0, MaxDatagramBytes))
	}
	return d.append(v.buffers[v.usedBuffers][:0])
}

// runTime returns how long this process has run, in tenths of a second plus 1.
func (v *View) runTime() uint64 { return uint64(v.now-v.startAt)/100_000 + 1 }

// emit sends the datagram b, which was begun by the latest call of beginDatagram.
func (v *View) emit(addr string, b []byte) {
	v.buffers[v.usedBuffers] = b
	v.usedBuffers++
	v.counts.Sent++
	v.counts.SentBytes += len(b)
	v.counts.LongestBytes = max(v.counts.LongestBytes, len(b))
	v.addAction(Send{addr, b})
}

// appendQueued appends as many queued updates as fit, least often sent first.
func (v *View) appendQueued(b []byte, maxBytes int) []byte {
	if len(v.updates) == 0 {
		return b
	}
	slices.SortFunc(v.updates, func(x, y *queuedUpdate) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(y.sequence, x.sequence))
	})
	for i, q := range v.updates {
		var fits bool
		if b, fits = appendUpdate(b, &q.update, maxBytes); !fits || i == maxUpdatesSent {
			break
		}
		q.sent++
	}
	if v.cfg.Defect == UpdatesNeverDropped {
		return b
	}
	limit := v.retransmitLimit()
	v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool { return q.sent >= limit })
	return b
}

// retransmitLimit returns the number of times an update is sent. Updates that were sent without limit would leave no space for
// newer ones.
func (v *View) retransmitLimit() int { return retransmitFactor * bits.Len(uint(len(v.members)+1)) }

// emitPadded sends a datagram padded to MaxDatagramBytes, because an answer may be no longer than the datagram it answers.
func (v *View) emitPadded(addr string, d datagram) {
	v.emit(addr, pad(v.beginDatagram(&d), MaxDatagramBytes))
}
