package gossip

import (
	"log/slog"
	"slices"
)

const (
	// maxIncarnationRaises is the maximum number of times within raiseWindow that this router raises its incarnation above the
	// incarnation of another process with its name. Without the limit, two running processes would raise their incarnations endlessly.
	maxIncarnationRaises      = 5
	raiseWindow          Time = 10_000_000
)

// read decodes a datagram and reports whether the view must handle it. It rejects senders that cannot be members.
func (v *View) read(ev *DatagramReceived) (d datagram, ok bool) {
	d, err := parse(ev.Data)
	if err != nil {
		v.counts.Unreadable++
		return d, false
	}
	if d.kind != query && v.contacts[ev.From] == nil && len(v.cfg.Seeds) == 0 && v.members[d.name] == nil {
		v.counts.NonMember++
		return d, false
	}
	return d, true
}

// receive handles a datagram. Its content is trusted only if the datagram is new and comes from a known address.
func (v *View) receive(ev *DatagramReceived, d *datagram) {
	if d.kind == query {
		v.answerQuery(ev.From, d, len(ev.Data))
		return
	}
	c := v.contacts[ev.From]
	if c == nil {
		v.receiveFromUnknown(ev.From, d, len(ev.Data))
		return
	}
	if d.name == v.cfg.Name {
		v.receiveDuplicateName(ev.From, d)
		return
	}
	if !v.plausibleIncarnation(d.incarnation) {
		v.counts.OutOfRange++
		return
	}
	m := v.members[d.name]
	if m != nil && v.isReplay(m, d) {
		v.counts.Replayed++
		return
	}
	v.counts.Accepted++
	if v.isolatedFor() > isolationRounds*v.cfg.Interval {
		v.pollAllSoon()
	}
	v.lastReceivedAt = v.now
	m = v.memberAt(c, m, d)
	if m == nil {
		return
	}
	v.applyHeader(m, d)
	for i := range d.updates {
		v.applyUpdate(&d.updates[i], d.name)
	}
	v.applyAgreement(m, d)
	v.answer(m, ev.From, d, len(ev.Data))
}

// plausibleIncarnation reports whether an incarnation is above 0 and not too far ahead of this router's clock.
func (v *View) plausibleIncarnation(incarnation uint64) bool {
	runFor := uint64(max(0, v.now-v.startAt)) / 1000
	return incarnation > 0 && incarnation <= v.cfg.Start+runFor+maxIncarnationLead
}

// isReplay reports whether a datagram was received before or comes from an earlier process of a member. Without the check,
// recorded datagrams could make a failed member appear alive.
func (v *View) isReplay(m *member, d *datagram) bool {
	if v.cfg.Defect == Replayable {
		return false
	}
	if d.boot != m.boot {
		return d.incarnation <= m.Incarnation
	}
	return !m.replays.accept(d.sequence)
}

// memberAt returns the member that sent a datagram and records its address. It returns nil if the view is full.
func (v *View) memberAt(c *contact, m *member, d *datagram) *member {
	if m == nil {
		if m = v.addMember(d.name, d.incarnation, d.boot, announcedState(d.leaving)); m == nil {
			return nil
		}
		m.replays.accept(d.sequence)
		v.broadcast(m)
	}
	if c.name != d.name || m.Addr != c.addr {
		c.name = d.name
		m.Addr, m.Configured = c.addr, c.configured
	}
	return m
}

func announcedState(leaving bool) State {
	if leaving {
		return Leaving
	}
	return Alive
}

// applyHeader applies the state and incarnation in a datagram's header to its sender, and notifies a sender that this router holds
// suspect or faulty.
func (v *View) applyHeader(m *member, d *datagram) {
	switch {
	case d.incarnation > m.Incarnation:
		v.adopt(m, d.incarnation, d.boot, announcedState(d.leaving))
	case m.State == Suspect:
		v.notifySuspect(m)
	case m.State == Faulty:
		v.notifySuspect(m)
		v.pollAllSoon()
	}
}

// receiveDuplicateName handles a datagram from another router with this router's name. Only the router that started later stays
// in the view, because two routers with one name would refute each other endlessly and hide each other's failure.
func (v *View) receiveDuplicateName(from string, d *datagram) {
	if d.boot == v.self.boot || !v.plausibleIncarnation(d.incarnation) || v.retired {
		v.counts.NonMember++
		return
	}
	// Both routers send their run times, so the comparison does not depend on their clocks.
	runs := v.runTime()
	if d.runTime < runs || d.runTime == runs && d.boot > v.self.boot {
		v.retired = true
		v.addAction(Changed{})
		v.log(slog.LevelError, "gossip name taken by later router", slog.String("address", from), slog.String("name", v.cfg.Name))
		return
	}
	v.log(slog.LevelWarn, "gossip name shared with earlier router", slog.String("address", from), slog.String("name", v.cfg.Name))
	v.send(from, datagram{header: header{kind: ack}}, nil, MaxDatagramBytes) // informs the other router
}

// receiveFromUnknown handles a datagram from an address that is not a contact's.
func (v *View) receiveFromUnknown(from string, d *datagram, size int) {
	v.counts.NonMember++
	if m := v.members[d.name]; m != nil && m.boot == d.boot && d.kind == ping && m != v.self && !v.retired {
		// The sender uses a member's name at an address that this router does not know. The datagram's content is not trusted,
		// but the acknowledgement keeps the member from suspecting this router.
		if v.replies.allow(v.now) {
			v.send(from, datagram{header: header{kind: ack}, nonce: d.nonce}, nil, size)
		}
		return
	}
	if len(v.cfg.Seeds) == 0 && v.self.announcedAddr == "" || d.name == v.cfg.Name || v.retired {
		return
	}
	v.admitThroughSeed(from, d, size)
}

// admitThroughSeed admits a router that contacts this one from an unknown address, having found it through a seed. The router is
// pinged first and becomes a contact when it acknowledges, because a sender's address can be forged. Updates are added to the
// ping only up to the size of the datagram that caused it.
func (v *View) admitThroughSeed(from string, d *datagram, size int) {
	pinged := func(p *probe) bool { return p.nonce == d.nonce && p.addr == from }
	if d.kind == ack && slices.ContainsFunc(v.prober.probes, pinged) {
		if len(v.contacts) < MaxMembers {
			v.contacts[from] = &contact{addr: from, name: d.name}
		}
		v.probeAcknowledged(d.nonce, from, true)
		return
	}
	if d.kind != ping || !v.replies.allow(v.now) || v.prober.full() {
		return
	}
	deadline := v.now + v.cfg.Interval
	p := &probe{nonce: v.newNonce(), name: d.name, addr: from, poll: true, resendAt: deadline, endsAt: deadline}
	v.prober.probes = append(v.prober.probes, p)
	v.send(from, datagram{header: header{kind: ping}, nonce: p.nonce}, nil, size)
}

// applyUpdate handles a claim about a member.
func (v *View) applyUpdate(u *update, from string) {
	if !v.plausibleIncarnation(u.incarnation) {
		v.counts.OutOfRange++
		return
	}
	if u.name == v.cfg.Name {
		v.applyUpdateOfSelf(u)
		return
	}
	m := v.members[u.name]
	if m == nil {
		v.applyUpdateOfUnknown(u, from)
		return
	}
	v.countAsSent(u)
	newer := u.incarnation > m.Incarnation || u.incarnation == m.Incarnation && u.boot > m.boot
	if !newer && (u.incarnation != m.Incarnation || u.boot != m.boot) {
		return
	}
	v.applyDetails(m, u)
	switch u.state {
	case Alive, Leaving:
		if newer {
			v.adopt(m, u.incarnation, u.boot, u.state)
		}
	case Left:
		if newer || m.State != Left && m.announcedState == Leaving {
			v.adopt(m, u.incarnation, u.boot, Left)
		}
	case Suspect, Faulty:
		if newer {
			v.adopt(m, u.incarnation, u.boot, Alive)
		}
		v.applySuspectOrFaulty(m, u, suspectingRouter(u, from))
	}
}

// applyUpdateOfUnknown adds a member that an update names. A suspect is added as alive and then suspected.
func (v *View) applyUpdateOfUnknown(u *update, from string) {
	state := u.state
	if state == Suspect {
		state = Alive
	}
	m := v.addMember(u.name, u.incarnation, u.boot, state)
	if m == nil {
		return
	}
	v.applyDetails(m, u)
	v.broadcast(m)
	if u.state == Suspect {
		v.suspect(m, suspectingRouter(u, from))
	}
}

// suspectingRouter returns the router that suspects the member of an update: the one that the update names, otherwise the sender
// of the datagram.
func suspectingRouter(u *update, from string) string {
	if u.by != "" {
		return u.by
	}
	return from
}

// applySuspectOrFaulty handles another router's claim that a member is suspect or faulty.
func (v *View) applySuspectOrFaulty(m *member, u *update, by string) {
	if !m.State.IsAlive() {
		return
	}
	v.suspect(m, by)
	if u.state != Faulty {
		return
	}
	if v.cfg.PlainSWIM {
		v.declareFaulty(m)
		return
	}
	// The member has half of the minimum suspicion time, without the logarithm of the number of members, to refute the claim. If
	// the claim were trusted at once, the two sides of a partition would declare each other's members faulty after it ends.
	deadline := v.now + v.cfg.Interval*Time(v.cfg.Suspicion)/2
	if m.suspicion.deadline == 0 {
		m.suspicion.deadline = deadline
	}
}

// applyDetails applies the info and the address that a member has announced about itself.
func (v *View) applyDetails(m *member, u *update) {
	if u.boot == m.boot && u.revision > m.revision {
		m.revision, m.Info = u.revision, u.info
		v.broadcast(m)
	}
	if u.addr == "" || m.announcedAddr == u.addr && m.Addr != "" {
		return
	}
	m.announcedAddr = u.addr
	if v.contacts[u.addr] == nil && len(v.contacts) < MaxMembers {
		v.contacts[u.addr] = &contact{addr: u.addr, name: m.Name}
	}
	if m.Addr == "" {
		m.Addr = u.addr
	}
}

// applyUpdateOfSelf handles a claim about this router. It refutes claims that this router has failed or left, and raises this
// router's incarnation above the incarnation of another process with the same name.
func (v *View) applyUpdateOfSelf(u *update) {
	switch {
	case v.retired || v.ended:
	case u.boot != v.self.boot:
		v.raiseAboveOtherProcess(u.incarnation)
	case u.state != Alive && u.state != Leaving && u.incarnation >= v.self.Incarnation:
		v.refute(u.incarnation)
	}
}

// raiseAboveOtherProcess raises this router's incarnation above the incarnation of another process with its name. Otherwise, after a
// restart with a clock that is behind, other routers would take the earlier process for the later one.
func (v *View) raiseAboveOtherProcess(incarnation uint64) {
	if v.now > v.raisesSince+raiseWindow {
		v.incarnationRaises, v.raisesSince = 0, v.now
	}
	if incarnation >= v.self.Incarnation && v.incarnationRaises < maxIncarnationRaises {
		v.incarnationRaises++
		v.raiseIncarnation(incarnation + 1)
	}
}

// answer handles the kind of a member's datagram: it answers requests and matches answers to probes and relays.
func (v *View) answer(m *member, from string, d *datagram, size int) {
	if v.retired {
		return
	}
	switch d.kind {
	case ping:
		v.send(from, datagram{header: header{kind: ack}, nonce: d.nonce}, m, MaxDatagramBytes)
	case pingRequest:
		v.relayPing(from, d)
	case ack:
		if r, found := v.prober.takeRelay(d.nonce, d.name); found {
			v.answerRequester(r, ack)
			return
		}
		v.probeAcknowledged(d.nonce, from, d.target == "")
	case nack:
		i := slices.IndexFunc(v.prober.probes, func(p *probe) bool { return p.nonce == d.nonce && p.name == d.target })
		if i >= 0 {
			v.prober.probes[i].nacks++
		}
	case digests:
		v.answerDigests(from, d, size)
	case differences:
		v.compareNextRound()
	}
}
