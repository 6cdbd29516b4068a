package gossip

import (
	"log/slog"
	"slices"
)

const (
	// maxIncarnationRaises bounds how often this router outbids another process of its name within raiseWindow. Two that
	// run would outbid each other without end.
	maxIncarnationRaises      = 5
	raiseWindow          Time = 10_000_000
)

// read decodes a datagram and reports whether it is worth handling.
func (v *View) read(ev *DatagramReceived) (d datagram, ok bool) {
	d, err := parse(ev.Data)
	if err != nil {
		v.counts.Garbage++
		return d, false
	}
	if d.kind != query && v.contacts[ev.From] == nil && len(v.cfg.Seeds) == 0 && v.members[d.name] == nil {
		v.counts.Foreign++
		return d, false
	}
	return d, true
}

// receive handles a datagram. Nothing in it is believed unless it is new and comes from a known address.
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
	if !v.plausible(d.incarnation) {
		v.counts.Wrong++
		return
	}
	m := v.members[d.name]
	if m != nil && v.isReplay(m, d) {
		v.counts.Replayed++
		return
	}
	v.counts.Taken++
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

// plausible reports whether a member can have an incarnation.
func (v *View) plausible(incarnation uint64) bool {
	runFor := uint64(max(0, v.now-v.startAt)) / 1000
	return incarnation > 0 && incarnation <= v.cfg.Start+runFor+maxIncarnationLead
}

// isReplay reports whether a datagram came before, or is of an earlier process of a member. Otherwise a recording could speak
// for a member that is gone.
func (v *View) isReplay(m *member, d *datagram) bool {
	if v.cfg.Defect == Replayable {
		return false
	}
	if d.boot != m.boot {
		return d.incarnation <= m.Incarnation
	}
	return !m.replays.accept(d.sequence)
}

// memberAt returns the member that has sent a datagram, and notes its address. It returns nil where the view is full.
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

// applyHeader takes over what a member says of itself in each datagram, and notifies one that is suspect or faulty here.
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

// receiveDuplicateName handles a datagram of another router with this one's name. Both would refute each other without end,
// and each would hide the other's failure: the one that started later stays.
func (v *View) receiveDuplicateName(from string, d *datagram) {
	if d.boot == v.self.boot || !v.plausible(d.incarnation) || v.retired {
		v.counts.Foreign++
		return
	}
	// Both say for how long they have run, so that their clocks do not matter.
	runs := v.runTime()
	if d.runTime < runs || d.runTime == runs && d.boot > v.self.boot {
		v.retired = true
		v.do(Changed{})
		v.log(slog.LevelError, "gossip name taken by later router", slog.String("address", from), slog.String("name", v.cfg.Name))
		return
	}
	v.log(slog.LevelWarn, "gossip name shared with earlier router", slog.String("address", from), slog.String("name", v.cfg.Name))
	v.send(from, datagram{header: header{kind: ack}}, nil, MaxDatagramBytes) // the other one has to find out
}

// receiveFromUnknown handles a datagram from an address that is no contact's.
func (v *View) receiveFromUnknown(from string, d *datagram, size int) {
	v.counts.Foreign++
	if m := v.members[d.name]; m != nil && m.boot == d.boot && d.kind == ping && m != v.self && !v.retired {
		// A member at an address that is not configured here: nothing that it says is believed, but the acknowledgement
		// keeps it from suspecting this router.
		if v.replies.take(v.now) {
			v.send(from, datagram{header: header{kind: ack}, nonce: d.nonce}, nil, size)
		}
		return
	}
	if len(v.cfg.Seeds) == 0 && v.self.announcedAddr == "" || d.name == v.cfg.Name || v.retired {
		return
	}
	v.introduce(from, d, size)
}

// introduce accepts a member that comes through a seed. It is pinged first and becomes a contact with its acknowledgement, as
// anybody can claim an address. The ping is no longer than the datagram that caused it.
func (v *View) introduce(from string, d *datagram, size int) {
	pinged := func(p *probe) bool { return p.nonce == d.nonce && p.addr == from }
	if d.kind == ack && slices.ContainsFunc(v.prober.probes, pinged) {
		if len(v.contacts) < MaxMembers {
			v.contacts[from] = &contact{addr: from, name: d.name}
		}
		v.probeAcknowledged(d.nonce, from, true)
		return
	}
	if d.kind != ping || !v.replies.take(v.now) || v.prober.full() {
		return
	}
	deadline := v.now + v.cfg.Interval
	p := &probe{nonce: v.newNonce(), name: d.name, addr: from, poll: true, resendAt: deadline, endsAt: deadline}
	v.prober.probes = append(v.prober.probes, p)
	v.send(from, datagram{header: header{kind: ping}, nonce: p.nonce}, nil, size)
}

// applyUpdate handles one claim on a member.
func (v *View) applyUpdate(u *update, from string) {
	if !v.plausible(u.incarnation) {
		v.counts.Wrong++
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
		v.applyAccusation(m, u, accuser(u, from))
	}
}

// applyUpdateOfUnknown adds a member that another router has named. A suspect is added as alive and then suspected.
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
		v.suspect(m, accuser(u, from))
	}
}

// accuser returns the router that suspects the member of an update.
func accuser(u *update, from string) string {
	if u.by != "" {
		return u.by
	}
	return from
}

// applyAccusation handles another router's claim that a member is suspect or faulty.
func (v *View) applyAccusation(m *member, u *update, by string) {
	if !m.State.IsAlive() {
		return
	}
	v.suspect(m, by)
	if u.state != Faulty {
		return
	}
	if v.cfg.Plain {
		v.declareFaulty(m)
		return
	}
	// The member has half of the minimum suspicion to refute. If the claim were believed at once, the two sides of a partition
	// that has healed would declare each other's members faulty.
	deadline := v.now + v.cfg.Interval*Time(v.cfg.Suspicion)/2
	if m.suspicion.deadline == 0 {
		m.suspicion.deadline = deadline
	}
}

// applyDetails takes over what a member has announced of itself beside its state.
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

// applyUpdateOfSelf refutes claims on this router.
func (v *View) applyUpdateOfSelf(u *update) {
	switch {
	case v.retired || v.gone:
	case u.boot != v.self.boot:
		v.outbidOtherProcess(u.incarnation)
	case u.state != Alive && u.state != Leaving && u.incarnation >= v.self.Incarnation:
		v.refute(u.incarnation)
	}
}

// outbidOtherProcess raises this router's incarnation above that of another process of its name. After a restart with a
// clock that is behind, the earlier process would otherwise be taken for the later one.
func (v *View) outbidOtherProcess(incarnation uint64) {
	if v.now > v.raisesSince+raiseWindow {
		v.incarnationRaises, v.raisesSince = 0, v.now
	}
	if incarnation >= v.self.Incarnation && v.incarnationRaises < maxIncarnationRaises {
		v.incarnationRaises++
		v.raiseIncarnation(incarnation + 1)
	}
}

// answer does what a member's datagram asks for.
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
		v.compareSoon()
	}
}
