package gossip

import (
	"fmt"
	"log/slog"
	"math/bits"
	"slices"

	"starlingwinch/internal/rendezvous"
)

const (
	// settledCompareRounds and unsettledCompareRounds are the numbers of rounds between comparisons of digests.
	settledCompareRounds   = 5
	unsettledCompareRounds = 2
	// leftAnnounceTime is for how long a comparison names members that have left. A member that left is in no digest: without
	// a bound, a router that missed its leaving would be sent all other members again and again.
	leftAnnounceTime Time = 60_000_000
	// unsettledMemory is for how long a member that was not settled is sent who agrees.
	unsettledMemory Time = 2_000_000
	// agreedOverhead is the number of bytes that a field of agreed members takes beside them.
	agreedOverhead = 3
)

// agreement is what a view knows about whether all members have the same view.
type agreement struct {
	digest           uint64 // of this view
	settled          bool   // all members that are alive have announced this digest
	settledChangedAt Time

	names      []string // of the members in the digest, in order; members with the same digest have the same names
	namesStale bool     // names have to be made anew

	agreed       []uint64 // bit set over names: members that have announced agreedDigest
	agreedDigest uint64
}

// updateNames makes the ordered names anew where members have come or gone.
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

// markAgreed notes that a member has announced this view's digest.
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

// agreedBytes returns the members that have announced this view's digest; nil where it is this router alone, as its digest
// is in the header.
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

// updateSettled judges whether all members that are alive have announced the digest of this view.
func (v *View) updateSettled() {
	a := &v.agreement
	v.updateNames()
	words := (len(a.names) + 63) / 64
	if a.agreedDigest != a.digest || len(a.agreed) != words {
		a.agreedDigest = a.digest
		a.agreed = make([]uint64, words)
		a.markAgreed(v.cfg.Name)
	}
	settled := !v.retired && !v.gone && v.allAgreed()
	if settled && !a.settled && v.cfg.Defect != UpdatesForever {
		// Everybody has the members' states: updates of nothing else need not be sent any more.
		v.updates = slices.DeleteFunc(v.updates, func(q *queuedUpdate) bool { return q.update.revision <= 1 && q.update.addr == "" })
	}
	if settled == a.settled {
		return
	}
	a.settled, a.settledChangedAt = settled, v.now
	v.do(Changed{})
	digest := slog.String("digest", fmt.Sprintf("%016x", a.digest))
	if settled {
		v.log(slog.LevelInfo, "gossip view settled", slog.Int("alive", v.countAlive()), slog.Int("known", len(a.names)), digest)
	} else {
		v.log(slog.LevelInfo, "gossip view unsettled", digest)
	}
}

// allAgreed reports whether every member that is alive has announced the digest.
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

// Settled reports whether all members that are alive have announced the digest of this view, since when that is or is not
// so, and the digest.
func (v *View) Settled() (settled bool, since Time, digest uint64) {
	return v.agreement.settled, v.agreement.settledChangedAt, v.agreement.digest
}

// applyAgreement notes who has announced this view's digest: the sender of a datagram, and those that it knows of.
func (v *View) applyAgreement(m *member, d *datagram) {
	v.updateSettled()
	if d.digest != v.agreement.digest {
		if d.settled || v.agreement.settled {
			v.compareSoon() // one of the two has missed an update
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

// needsAgreement reports whether a datagram to a member, which may be nil, should say who agrees.
func (v *View) needsAgreement(receiver *member) bool {
	return !v.agreement.settled || receiver != nil && receiver.unsettledAt > 0 && v.now < receiver.unsettledAt+unsettledMemory
}

// appendAgreement adds this router's own state, which a receiver that does not know it yet needs, and who agrees.
func (v *View) appendAgreement(b []byte, receiver *member, maxBytes int) []byte {
	if !v.needsAgreement(receiver) {
		return b
	}
	if v.self.State != Left {
		u := v.updateOf(v.self, "")
		b, _ = appendUpdate(b, &u, maxBytes)
	}
	if len(b)+len(v.agreement.agreed)*8+agreedOverhead > maxBytes {
		return b
	}
	if raw := v.agreement.agreedBytes(); len(raw) > 0 {
		b = appendBytes(b, fieldAgreed, raw)
	}
	return b
}

// compareDigests sends the digests of the parts of this view to a random member.
func (v *View) compareDigests() {
	v.compareRound = v.rounds + settledCompareRounds
	if !v.agreement.settled {
		v.compareRound = v.rounds + unsettledCompareRounds
	}
	if m := v.randomMember(""); m != nil {
		v.emitPadded(m.Addr, datagram{header: header{kind: digests}, parts: v.partDigests()})
	}
}

// compareSoon has digests be compared in the next round.
func (v *View) compareSoon() { v.compareRound = min(v.compareRound, v.rounds+1) }

// partDigests returns digests of the parts of the view, with what members announce of themselves.
func (v *View) partDigests() []uint32 {
	parts := make([]uint32, viewParts)
	for _, m := range v.members { // any order: a sum
		if m.State != Left {
			parts[partOf(m.Name)] += uint32(rendezvous.Mix(m.digest() + m.revision ^ rendezvous.Hash(m.announcedAddr)))
		}
	}
	return parts
}

// partOf returns the part of the view that a member belongs to.
func partOf(name string) int { return int(rendezvous.Hash(name+"/") % viewParts) }

// answerDigests sends the members of the parts that differ, and compares the other way round soon.
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
	v.compareSoon()
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
