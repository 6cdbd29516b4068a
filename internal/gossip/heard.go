package gossip

import (
	"slices"
)

// read reads a datagram, and reports whether anything is to be done about it.
func (f *View) read(ev *DatagramReceived) (d datagram, ok bool) {
	d, err := parse(ev.Data)
	if err != nil {
		f.counts.Garbage++
		return d, false
	}
	if d.kind != ask && f.contact[ev.From] == nil && len(f.cfg.Seeds) == 0 && f.members[d.name] == nil {
		f.counts.Foreign++
		return d, false
	}
	return d, true
}

// heard takes in a datagram. Nothing in it is believed before it is known to be new and from an address that this router
// talks to.
func (f *View) heard(ev *DatagramReceived, d *datagram) {
	if d.kind == ask {
		f.answerAsk(ev.From, d, len(ev.Data))
		return
	}
	c := f.contact[ev.From]
	if c == nil {
		f.stranger(ev.From, d, len(ev.Data))
		return
	}
	if d.name == f.cfg.Name {
		f.twin(ev.From, d)
		return
	}
	if !f.plausible(d.incarnation) {
		f.counts.Wrong++
		return
	}
	m := f.members[d.name]
	if m != nil && f.cfg.Defect != Replayable && (d.boot != m.boot && (d.incarnation <= m.Incarnation) || d.boot == m.boot && !m.seen.fresh(d.seq)) {
		// The danger: a recording, or what an earlier life of the member has sent, speaks for the present one.
		f.counts.Replayed++
		return
	}
	f.counts.Taken++
	if f.now-max(f.taken, f.begun) > cutOff*f.cfg.Interval {
		f.askSoon()
	}
	f.taken = f.now
	m = f.met(c, m, d)
	if m == nil {
		return
	}
	f.header(m, d)
	for i := range d.rumours {
		f.rumour(&d.rumours[i], d.name)
	}
	f.agree(m, d)
	f.body(m, ev.From, d, len(ev.Data))
}

// plausible reports whether an incarnation is one that a member can have.
func (f *View) plausible(incarnation uint64) bool {
	return incarnation > 0 && incarnation <= f.cfg.Start+uint64(max(0, f.now-f.begun))/1000+ahead
}

// met notes who is at an address.
func (f *View) met(c *contact, m *member, d *datagram) *member {
	if m == nil {
		if m = f.newcomer(d.name, d.incarnation, d.boot, stateOf(d.leaving)); m == nil {
			return nil
		}
		m.seen.fresh(d.seq)
		f.spread(m)
	}
	if c.name != d.name || m.Addr != c.addr {
		c.name = d.name
		m.Addr, m.Configured = c.addr, c.configured
	}
	return m
}

func stateOf(leaving bool) State {
	if leaving {
		return Leaving
	}
	return Alive
}

// newcomer adds a member that was not known, while there is room.
func (f *View) newcomer(name string, incarnation uint64, boot uint32, s State) *member {
	if len(f.members) >= MaxMembers {
		f.counts.Wrong++
		return nil
	}
	m := &member{Member: Member{Name: name, State: s, Incarnation: incarnation, Since: f.now}, boot: boot, base: Alive}
	if s == Alive || s == Leaving {
		m.base = s
	}
	f.members[name] = m
	f.digest ^= m.print()
	f.touched = true
	f.do(Changed{})
	f.logf("fleet: %s is %s, incarnation %d", name, s, incarnation)
	return m
}

// header takes over what a member says of itself in each datagram.
func (f *View) header(m *member, d *datagram) {
	switch s := stateOf(d.leaving); {
	case d.incarnation > m.Incarnation:
		f.adopt(m, d.incarnation, d.boot, s)
	case m.State == Suspect:
		f.tell(m)
	case m.State == Faulty:
		f.tell(m) // it runs, and does not know what is held of it here
		f.askSoon()
	}
}

// twin deals with a datagram that bears this router's own name. The danger: two routers with one name refute each other
// for ever, and each hides that the other is gone. The one that started later stays.
func (f *View) twin(from string, d *datagram) {
	if d.boot == f.self.boot || !f.plausible(d.incarnation) || f.retired {
		f.counts.Foreign++
		return
	}
	// Both tell for how long they have run: no clock is asked which of them is the later one.
	if mine := f.runs(); d.runs < mine || d.runs == mine && d.boot > f.self.boot {
		f.retired = true
		f.do(Changed{})
		f.logf("fleet: the router at %s has this one's name, %s, and started later: this one keeps out of the view", from, f.cfg.Name)
		return
	}
	f.logf("fleet: the router at %s has this one's name, %s, and started earlier", from, f.cfg.Name)
	f.send(from, datagram{header: header{kind: ack}}, nil, MaxDatagramBytes) // so that it knows
}

// stranger deals with a datagram from an address that is nobody's here.
func (f *View) stranger(from string, d *datagram, size int) {
	f.counts.Foreign++
	if m := f.members[d.name]; m != nil && m.boot == d.boot && d.kind == ping && m != f.self && !f.retired {
		// A member that is not configured here, and is elsewhere: nothing that it says is believed, but it need not
		// take this router for gone.
		if f.mayAnswer() {
			f.send(from, datagram{header: header{kind: ack}, nonce: d.nonce}, nil, size)
		}
		return
	}
	if len(f.cfg.Seeds) == 0 && f.self.told == "" || d.name == f.cfg.Name || f.retired {
		return
	}
	// One that comes by a seed is pinged, and taken in once it has answered: an address that is only claimed, by who
	// can't hear what is sent there, never is. The ping is no longer than what came.
	if d.kind == ack && slices.ContainsFunc(f.probes, func(p *probe) bool { return p.nonce == d.nonce && p.addr == from }) {
		if len(f.contact) < MaxMembers {
			f.contact[from] = &contact{addr: from, name: d.name}
		}
		f.acked(d.nonce, from, true)
		return
	}
	if d.kind == ping && f.mayAnswer() && len(f.probes) < mostProbes {
		p := &probe{nonce: f.nonce(), to: d.name, addr: from, ask: true, resend: f.now + f.cfg.Interval, ends: f.now + f.cfg.Interval}
		f.probes = append(f.probes, p)
		f.send(from, datagram{header: header{kind: ping}, nonce: p.nonce}, nil, size)
	}
}

// mayAnswer bounds answers to those that are no members.
func (f *View) mayAnswer() bool {
	f.spare = min(strangers, f.spare+float64(f.now-f.spareAt)/1e6*strangers)
	f.spareAt = f.now
	if f.spare < 1 {
		return false
	}
	f.spare--
	return true
}

// rumour takes in a claim.
func (f *View) rumour(r *rumour, from string) {
	if !f.plausible(r.incarnation) {
		f.counts.Wrong++
		return
	}
	if r.name == f.cfg.Name {
		f.onSelf(r)
		return
	}
	m := f.members[r.name]
	if m == nil {
		if m = f.newcomer(r.name, r.incarnation, r.boot, settledState(r.state)); m == nil {
			return
		}
		f.details(m, r)
		f.spread(m)
		if r.state == Suspect {
			f.suspect(m, by(r, from))
		}
		return
	}
	f.known(r)
	newer := r.incarnation > m.Incarnation || r.incarnation == m.Incarnation && r.boot > m.boot
	if !newer && (r.incarnation != m.Incarnation || r.boot != m.boot) {
		return
	}
	f.details(m, r)
	switch r.state {
	case Alive, Leaving:
		if newer {
			f.adopt(m, r.incarnation, r.boot, r.state)
		}
	case Left:
		if newer || m.State != Left && m.base == Leaving {
			f.adopt(m, r.incarnation, r.boot, Left)
		}
	case Suspect, Faulty:
		if newer {
			f.adopt(m, r.incarnation, r.boot, Alive)
		}
		f.accused(m, r, by(r, from))
	}
}

// settledState is what a member is taken for at first by a claim.
func settledState(s State) State {
	if s == Suspect {
		return Alive
	}
	return s
}

func by(r *rumour, from string) string {
	if r.by != "" {
		return r.by
	}
	return from
}

// accused takes in another router's doubt.
func (f *View) accused(m *member, r *rumour, by string) {
	if !m.State.IsAlive() {
		return
	}
	f.suspect(m, by)
	if r.state != Faulty {
		return
	}
	if f.cfg.Plain {
		f.condemn(m)
		return
	}
	// The danger: of the halves of a partition that has healed each brings the other's members down by hearsay. The
	// accused has as long as a suspicion lasts at least to say that it is here.
	if ends := f.now + f.cfg.Interval*Time(f.cfg.Suspicion)/2; m.confirmed == 0 {
		m.confirmed = ends
	}
}

// details takes over what a member says of itself beside its state.
func (f *View) details(m *member, r *rumour) {
	if r.boot == m.boot && r.rev > m.rev {
		m.rev, m.Info = r.rev, r.info
		f.spread(m)
	}
	if r.addr == "" || m.told == r.addr && m.Addr != "" {
		return
	}
	m.told = r.addr
	if c := f.contact[r.addr]; c == nil && len(f.contact) < MaxMembers {
		f.contact[r.addr] = &contact{addr: r.addr, name: m.Name}
	}
	if m.Addr == "" {
		m.Addr = r.addr
	}
}

// onSelf answers claims on this router.
func (f *View) onSelf(r *rumour) {
	switch {
	case f.retired || f.gone:
	case r.boot != f.self.boot:
		if f.now > f.raisedAt+outbidIn {
			f.raised, f.raisedAt = 0, f.now
		}
		if r.incarnation >= f.self.Incarnation && f.raised < outbids {
			// The danger: after a restart with a clock that is behind, the life before is taken for the later one.
			f.raised++
			f.raise(r.incarnation + 1)
		}
	case r.state != Alive && r.state != Leaving && r.incarnation >= f.self.Incarnation:
		f.refute(r.incarnation)
	}
}

// body does what a datagram asks for.
func (f *View) body(m *member, from string, d *datagram, size int) {
	if f.retired {
		return
	}
	switch d.kind {
	case ping:
		f.send(from, datagram{header: header{kind: ack}, nonce: d.nonce}, m, MaxDatagramBytes)
	case pingFor:
		to := f.members[d.target]
		if to == nil || to == f.self || to.Addr == "" || len(f.relays) >= mostRelays {
			return
		}
		r := relay{nonce: f.nonce(), theirs: d.nonce, addr: from, target: d.target, ends: f.now + f.cfg.Timeout}
		f.relays = append(f.relays, r)
		f.send(to.Addr, datagram{header: header{kind: ping}, nonce: r.nonce}, to, MaxDatagramBytes)
	case ack:
		if i := slices.IndexFunc(f.relays, func(r relay) bool { return r.nonce == d.nonce && r.target == d.name }); i >= 0 {
			r := f.relays[i]
			f.relays = slices.Delete(f.relays, i, i+1)
			f.send(r.addr, datagram{header: header{kind: ack}, nonce: r.theirs, target: r.target}, nil, MaxDatagramBytes)
			return
		}
		f.acked(d.nonce, from, d.target == "")
	case nack:
		if i := slices.IndexFunc(f.probes, func(p *probe) bool { return p.nonce == d.nonce && p.to == d.target }); i >= 0 {
			f.probes[i].nacks++
		}
	case compare:
		f.compared(from, d, size)
	case differing:
		f.compare = min(f.compare, f.rounds+1)
	}
}
