package gossip

import (
	"fmt"
	"log/slog"
	"math/bits"
	"slices"

	"starlingwinch/internal/rendezvous"
)

const (
	// settledCompareRounds and unsettledCompareRounds are the rounds between comparisons of digests while the view is settled
	// and unsettled.
	settledCompareRounds   = 5
	unsettledCompareRounds = 2
	// leftAnnounceTime is how long the answer to a comparison includes a member that left. No digest covers members that left,
	// so without this limit a router that missed that a member left would be sent all other members repeatedly.
	leftAnnounceTime Time = 60_000_000
	// unsettledRetention is how long after a member announced an unsettled view or another digest this router sends it the
	// agreed members.
	unsettledRetention Time = 2_000_000
	// agreedFieldOverhead is the maximum number of bytes that the field of agreed members takes besides the bit set.
	agreedFieldOverhead = 3
)

// agreement tracks whether all members have the same view.
type agreement struct {
	digest           uint64 // digest of this view
	settled          bool   // all members that are alive have announced digest
	settledChangedAt Time

	names      []string // sorted names of the members in the digest; views with the same digest have the same names
	namesStale bool     // names must be rebuilt

	agreed       []uint64 // bit set over names of the members that have announced agreedDigest
	agreedDigest uint64
}

// updateNames rebuilds the sorted names if members were added or have left.
func (v *View) updateNames() {
	a := &v.agreement
	if !a.namesStale {
		return
	}
	a.namesStale = false
	a.names = a.names[:0]
	for name, m := range v.members { // any order: sorted below
		if m.State != Left {
			a.names = append(a.names, name)
		}
	}
	slices.Sort(a.names)
}

// markAgreed records that a member has announced this view's digest.
func (a *agreement) markAgreed(name string) {
	if i, found := slices.BinarySearch(a.names, name); found {
		a.agreed[i/64] |= 1 << (i % 64)
	}
}

// mergeAgreed adds the members that another router knows to have announced this view's digest.
func (a *agreement) mergeAgreed(other []byte) {
	for i := 0; i < len(other) && i/8 < len(a.agreed); i++ {
		a.agreed[i/8] |= uint64(other[i]) << (8 * (i % 8))
	}
	if last := len(a.names) % 64; last != 0 && len(a.agreed) > 0 {
		a.agreed[len(a.agreed)-1] &= 1<<last - 1
	}
}

// agreedBytes returns the bit set of the members that have announced this view's digest. It returns nil if only this router
// has, because the header of each datagram holds this router's digest.
func (a *agreement) agreedBytes() []byte {
	if a.agreedDigest != a.digest {
		return nil
	}
	count := 0
	for _, word := range a.agreed {
		count += bits.OnesCount64(word)
	}
	if count < 2 {
		return nil
	}
	raw := make([]byte, (len(a.names)+7)/8)
	for i := range raw {
		raw[i] = byte(a.agreed[i/8] >> (8 * (i % 8)))
	}
	return raw
}

// updateSettled determines whether all members that are alive have announced the digest of this view.
func (v *View) updateSettled() {
	a := &v.agreement
	v.updateNames()
	words := (len(a.names) + 63) / 64
	if a.agreedDigest != a.digest || len(a.agreed) != words {
		a.agreedDigest = a.digest
		a.agreed = make([]uint64, words)
		a.markAgreed(v.cfg.Name)
	}
	settled := !v.retired && !v.ended && v.allAgreed()
	if settled && !a.settled && v.cfg.Defect != UpdatesNeverDropped {
		// All members know the members' states, so updates that carry nothing else can be dropped.
		v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool { return q.update.revision <= 1 && q.update.addr == "" })
	}
	if settled == a.settled {
		return
	}
	a.settled, a.settledChangedAt = settled, v.now
	v.addAction(Changed{})
	digest := slog.String("digest", fmt.Sprintf("%016x", a.digest))
	if settled {
		v.log(slog.LevelInfo, "gossip view settled", slog.Int("alive", v.countAlive()), slog.Int("known", len(a.names)), digest)
	} else {
		v.log(slog.LevelInfo, "gossip view unsettled", digest)
	}
}

// allAgreed reports whether every member that is alive has announced this view's digest.
func (v *View) allAgreed() bool {
	if v.cfg.Defect == SettledEarly {
		return true
	}
	for i, name := range v.agreement.names {
		agreed := v.agreement.agreed[i/64]&(1<<(i%64)) != 0
		if !agreed && v.members[name].State.IsAlive() {
			return false
		}
	}
	return true
}

// Settled reports whether all members that are alive have announced the digest of this view, when this last changed, and the
// digest.
func (v *View) Settled() (settled bool, since Time, digest uint64) {
	return v.agreement.settled, v.agreement.settledChangedAt, v.agreement.digest
}

// applyAgreement records the members that have announced this view's digest: the sender of a datagram and the members that the
// datagram lists.
func (v *View) applyAgreement(m *member, d *datagram) {
	v.updateSettled()
	if d.digest != v.agreement.digest {
		if d.settled || v.agreement.settled {
			v.compareNextRound() // one of the two routers has missed an update
		}
		m.unsettledAt = v.now
		return
	}
	if m.unsettledAt = 0; !d.settled {
		m.unsettledAt = v.now
	}
	v.agreement.markAgreed(m.Name)
	v.agreement.mergeAgreed(d.agreed)
}

// needsAgreement reports whether a datagram to receiver, which may be nil, should list the agreed members.
func (v *View) needsAgreement(receiver *member) bool {
	return !v.agreement.settled || receiver != nil && receiver.unsettledAt > 0 && v.now < receiver.unsettledAt+unsettledRetention
}

// appendAgreement appends, if the receiver needs them and as far as they fit, this router's own state, which the receiver may not
// know yet, and the agreed members.
func (v *View) appendAgreement(b []byte, receiver *member, maxBytes int) []byte {
	if !v.needsAgreement(receiver) {
		return b
	}
	if v.self.State != Left {
		u := v.updateOf(v.self, "")
		b, _ = appendUpdate(b, &u, maxBytes)
	}
	if len(b)+len(v.agreement.agreed)*8+agreedFieldOverhead > maxBytes {
		return b
	}
	if raw := v.agreement.agreedBytes(); len(raw) > 0 {
		b = appendBytes(b, fieldAgreed, raw)
	}
	return b
}

// compareDigests sends the digests of the parts of this view to a random member, and schedules the next comparison, which comes
// earlier while the view is unsettled.
func (v *View) compareDigests() {
	v.compareRound = v.rounds + settledCompareRounds
	if !v.agreement.settled {
		v.compareRound = v.rounds + unsettledCompareRounds
	}
	if m := v.randomMember(""); m != nil {
		v.emitPadded(m.Addr, datagram{header: header{kind: digests}, parts: v.partDigests()})
	}
}

// compareNextRound schedules a comparison of digests for the next round.
func (v *View) compareNextRound() { v.compareRound = min(v.compareRound, v.rounds+1) }

// partDigests returns a digest of each part of the view. The digests cover the data that members announce about themselves.
func (v *View) partDigests() []uint32 {
	parts := make([]uint32, viewParts)
	for _, m := range v.members { // any order: a sum
		if m.State != Left {
			parts[partOf(m.Name)] += uint32(rendezvous.Mix(m.digest() + m.revision ^ rendezvous.Hash(m.announcedAddr)))
		}
	}
	return parts
}

// partOf returns the index of the part of the view that a member belongs to.
func partOf(name string) int { return int(rendezvous.Hash(name+"/") % viewParts) }

// answerDigests sends the members of the parts that differ, and schedules a comparison in which this router sends its digests.
func (v *View) answerDigests(from string, d *datagram, size int) {
	if len(d.parts) != viewParts {
		return
	}
	own := v.partDigests()
	var names []string
	for name, m := range v.members { // any order: sorted below
		announced := m.State != Left || v.now < m.Since+leftAnnounceTime
		if part := partOf(name); own[part] != d.parts[part] && announced {
			names = append(names, name)
		}
	}
	if len(names) == 0 && slices.Equal(own, d.parts) {
		return
	}
	v.compareNextRound()
	slices.Sort(names)
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	b := v.beginDatagram(&datagram{header: header{kind: differences}})
	for i, name := range names {
		u := v.updateOf(v.members[name], "")
		var fits bool
		if b, fits = appendUpdate(b, &u, min(size, MaxDatagramBytes)); !fits || i == maxUpdatesSent {
			break
		}
	}
	if len(b) <= size {
		v.emit(from, b)
	}
}
