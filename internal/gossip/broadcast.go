package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// retransmitFactor is how often an update is sent, in logarithms of the number of members.
	retransmitFactor = 3
	// receivedCountsAs is the number of sendings that an update counts which another router sends too.
	receivedCountsAs = 2
	// maxUpdatesSent is the number of updates in a datagram, at most.
	maxUpdatesSent = maxUpdates - 1
)

// queuedUpdate is an update that is piggybacked on datagrams.
type queuedUpdate struct {
	update   update
	sent     int    // sendings so far
	sequence uint64 // of queueing; the latest is sent first
}

// broadcast queues what this view holds of a member, in place of all earlier updates of it.
func (v *View) broadcast(m *member) { v.enqueue(m, "") }

// broadcastSuspicion queues that a router suspects a member, in place of that router's earlier suspicions.
func (v *View) broadcastSuspicion(m *member, by string) { v.enqueue(m, by) }

func (v *View) enqueue(m *member, by string) {
	v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool {
		return q.update.name == m.Name && (by == "" || q.update.by == by || q.update.incarnation != m.Incarnation)
	})
	v.sequence++
	v.updates = append(v.updates, &queuedUpdate{update: v.updateOf(m, by), sequence: v.sequence})
}

// dropUpdatesOf drops the queued updates of a member, but for suspicions.
func (v *View) dropUpdatesOf(m *member) {
	v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool { return q.update.name == m.Name && q.update.by == "" })
}

// PendingUpdates returns the number of updates that are still being sent.
func (v *View) PendingUpdates() int { return len(v.updates) }

// countAsSent counts an update that another router sends as sent by this one: it has spread so far already.
func (v *View) countAsSent(u *update) {
	for _, q := range v.updates {
		if q.update.sameClaim(u) {
			q.sent += receivedCountsAs
			return
		}
	}
}

// sameClaim reports whether two updates claim the same of the same member.
func (u *update) sameClaim(other *update) bool {
	return u.name == other.name && u.state == other.state && u.incarnation == other.incarnation && u.boot == other.boot &&
		u.revision == other.revision && u.by == other.by
}

// updateOf returns what this view holds of a member. With the name of a router, it is the claim that the router suspects the
// member; without, a suspect is described as it announced itself.
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

// send sends a datagram of at most so many bytes, filled up with updates: first what its receiver, which may be nil, is
// suspected of, then what agreement needs, then queued updates.
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

// beginDatagram writes a datagram up to its updates, into a buffer that is valid until the next event.
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

// runTime returns for how long this process has run, in tenths of a second, counted from 1.
func (v *View) runTime() uint64 { return uint64(v.now-v.startAt)/100_000 + 1 }

// emit sends the datagram that was begun last.
func (v *View) emit(addr string, b []byte) {
	v.buffers[v.usedBuffers] = b
	v.usedBuffers++
	v.counts.Sent++
	v.counts.SentBytes += len(b)
	v.counts.Longest = max(v.counts.Longest, len(b))
	v.do(Send{addr, b})
}

// appendQueued adds as many queued updates as fit, those that were sent least often first.
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
	if v.cfg.Defect == UpdatesForever {
		return b
	}
	limit := v.retransmitLimit()
	v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool { return q.sent >= limit })
	return b
}

// retransmitLimit is how often an update is sent. An update that is sent without a bound leaves no space for others.
func (v *View) retransmitLimit() int { return retransmitFactor * bits.Len(uint(len(v.members)+1)) }

// emitPadded sends a datagram of full length, so that the answer may be as long.
func (v *View) emitPadded(addr string, d datagram) {
	v.emit(addr, pad(v.beginDatagram(&d), MaxDatagramBytes))
}
