package gossip

import (
	"math"
	"slices"
	"strings"
)

const (
	maxProbes = 32 // maximum number of probes in flight
	maxRelays = 64 // maximum number of probes in flight that other members requested

	// indirectProbers is the maximum number of members that this router asks for an indirect probe (SWIM's k).
	indirectProbers = 3
	// isolationRounds is the number of intervals without a datagram from any member after which this router considers itself
	// isolated.
	isolationRounds = 8

	// minPollDelay and maxPollDelay bound the delay between polls of an address at which no member is alive. The delay is
	// randomized by up to half in either direction.
	minPollDelay Time = 400_000
	maxPollDelay Time = 5_000_000
	// maxPollsPerRound is the maximum number of polls in a round in addition to the first one.
	maxPollsPerRound = 3
	// contactsPerPoll is the number of absent contacts for which a round has one additional poll.
	contactsPerPoll = 4
)

// prober holds the probes in flight, the probes in flight for other members, and the members to probe next.
type prober struct {
	probes []*probe
	relays []relay
	order  []string // names of the members still to be probed in this pass, the next one first
}

// probe is a ping that has not been acknowledged yet.
type probe struct {
	nonce    uint32
	name     string // name of the member; empty if unknown
	addr     string
	resendAt Time // when the ping is resent and other members are asked to probe
	endsAt   Time // when the probe fails
	indirect int  // number of members that were asked to probe
	nacks    int  // number of nacks from those members
	poll     bool // a failure causes no suspicion; set for polls and for most notifications of suspects
}

// relay is a probe that another member requested.
type relay struct {
	nonce          uint32
	requesterNonce uint32
	requesterAddr  string
	target         string // name of the member probed
	endsAt         Time
}

func (p *prober) full() bool { return len(p.probes) >= maxProbes }

// abandonAll drops all probes in flight, including those for other members.
func (p *prober) abandonAll() {
	p.probes = p.probes[:0]
	p.relays = p.relays[:0]
}

// nextTimeout returns the time of the next timeout of a probe or relay.
func (p *prober) nextTimeout() Time {
	at := Time(math.MaxInt64)
	for _, probe := range p.probes {
		at = min(at, probe.resendAt, probe.endsAt)
	}
	for _, relay := range p.relays {
		at = min(at, relay.endsAt)
	}
	return at
}

// takeRelay removes and returns the relay that an acknowledgement answers.
func (p *prober) takeRelay(nonce uint32, target string) (relay, bool) {
	i := slices.IndexFunc(p.relays, func(r relay) bool { return r.nonce == nonce && r.target == target })
	if i < 0 {
		return relay{}, false
	}
	found := p.relays[i]
	p.relays = slices.Delete(p.relays, i, i+1)
	return found, true
}

// beginRound probes one member, polls addresses at which no member is alive, and compares digests if a comparison is due.
func (v *View) beginRound() {
	v.rounds++
	v.pruneLeft()
	if v.retired {
		return
	}
	if v.isolatedFor() > isolationRounds*v.cfg.Interval && !v.cfg.PlainSWIM {
		// All members are unreachable for a single cause, so each is suspected without a probe.
		for _, name := range v.agreement.names {
			v.suspect(v.members[name], v.cfg.Name)
		}
	}
	if m := v.nextMember(); m != nil {
		v.probe(m.Name, m.Addr, false)
	}
	v.pollContacts()
	if v.rounds >= v.compareRound {
		v.compareDigests()
	}
}

// isolatedFor returns the time since this router last accepted a datagram from a member, or since its start.
func (v *View) isolatedFor() Time { return v.now - max(v.lastReceivedAt, v.startAt) }

// nextMember returns the next member to probe, or nil if there is none. It passes through all members in a random order that
// changes with each pass (SWIM, 4.3).
func (v *View) nextMember() *member {
	if m := v.nextInOrder(); m != nil {
		return m
	}
	for name, m := range v.members { // any order: sorted and shuffled below
		if m != v.self && m.State.IsAlive() && m.Addr != "" {
			v.prober.order = append(v.prober.order, name)
		}
	}
	order := v.prober.order
	slices.Sort(order)
	v.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return v.nextInOrder()
}

// nextInOrder returns the next member of this pass that can be probed, or nil at the end of the pass.
func (v *View) nextInOrder() *member {
	for len(v.prober.order) > 0 {
		name := v.prober.order[0]
		v.prober.order = v.prober.order[1:]
		if m := v.members[name]; m != nil && m != v.self && m.State.IsAlive() && m.Addr != "" {
			return m
		}
	}
	return nil
}

// randomMember returns a random member that is alive or leaving and whose address is known, but neither this router nor the member
// named except. It returns nil if there is none.
func (v *View) randomMember(except string) *member {
	var names []string
	for name, m := range v.members { // any order: sorted below
		if m != v.self && name != except && m.State.IsAlive() && m.State != Suspect && m.Addr != "" {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return v.members[names[v.rng.IntN(len(names))]]
}

// pollContacts pings some of the addresses at which no member is known to be alive, each with a growing delay. Without polls no
// router would contact faulty members, and the two sides of a partition would stay separate after the partition ends.
func (v *View) pollContacts() {
	var due []*contact
	absent := 0
	for _, c := range v.contacts { // any order: sorted below
		if m := v.members[c.name]; c.name != "" && m != nil && m.Addr == c.addr && m.State.IsAlive() {
			c.pollDelay = 0
			continue
		}
		absent++
		if (v.cfg.PlainSWIM || v.cfg.Defect == FaultyNeverProbed) && c.name != "" {
			continue
		}
		if v.now >= c.pollAt {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, comparePollTime)
	for _, c := range due[:min(len(due), 1+min(maxPollsPerRound, absent/contactsPerPoll))] {
		c.pollDelay = min(max(minPollDelay, 2*c.pollDelay), maxPollDelay)
		c.pollAt = v.now + c.pollDelay/2 + Time(v.rng.Int64N(c.pollDelay))
		v.probe(c.name, c.addr, true)
	}
}

// comparePollTime orders contacts by the time of their next poll, then by address.
func comparePollTime(a, b *contact) int {
	if a.pollAt != b.pollAt {
		return int(min(1, max(-1, a.pollAt-b.pollAt)))
	}
	return strings.Compare(a.addr, b.addr)
}

// pollAllSoon makes polls of all contacts due, because a faulty member or this router itself is reachable again.
func (v *View) pollAllSoon() {
	if v.now < v.lastPollAllAt+minPollDelay || v.cfg.PlainSWIM {
		return
	}
	v.lastPollAllAt = v.now
	for _, c := range v.contacts { // any order: contacts are independent
		c.pollDelay, c.pollAt = 0, min(c.pollAt, v.now)
	}
}

// probe pings a member, or polls an address.
func (v *View) probe(name, addr string, poll bool) {
	if v.prober.full() {
		return
	}
	p := &probe{nonce: v.newNonce(), name: name, addr: addr, poll: poll}
	if poll {
		p.resendAt, p.endsAt = v.now+v.scaleTimeout(v.cfg.Interval), v.now+v.cfg.Interval
	} else {
		p.resendAt, p.endsAt = v.now+v.scaleTimeout(v.cfg.Timeout), v.now+v.scaleTimeout(v.cfg.Interval)
	}
	v.prober.probes = append(v.prober.probes, p)
	v.sendPing(p)
}

func (v *View) sendPing(p *probe) {
	v.send(p.addr, datagram{header: header{kind: ping}, nonce: p.nonce}, v.members[p.name], MaxDatagramBytes)
}

// newNonce returns a random number other than 0.
func (v *View) newNonce() uint32 { return max(1, v.rng.Uint32()) }

// expireProbes probes indirectly where a probe's timeout has passed, and ends the probes that have failed.
func (v *View) expireProbes() {
	for _, p := range slices.Clone(v.prober.probes) {
		switch {
		case v.now >= p.endsAt:
			v.probeFailed(p)
		case v.now >= p.resendAt:
			p.resendAt = p.endsAt
			v.probeIndirectly(p)
		}
	}
}

// probeIndirectly resends the ping and asks other members to probe, because the path between the two routers may be broken or a
// single datagram may have been lost.
func (v *View) probeIndirectly(p *probe) {
	if !v.cfg.PlainSWIM {
		v.sendPing(p)
	}
	chosen := map[string]bool{p.name: true}
	for range indirectProbers {
		m := v.randomMember(p.name)
		if m == nil || chosen[m.Name] {
			continue
		}
		chosen[m.Name] = true
		p.indirect++
		v.send(m.Addr, datagram{header: header{kind: pingRequest}, nonce: p.nonce, target: p.name}, nil, MaxDatagramBytes)
	}
}

// probeFailed ends a probe that was not acknowledged and suspects the member, unless the probe was a poll.
func (v *View) probeFailed(p *probe) {
	v.prober.probes = slices.DeleteFunc(v.prober.probes, func(other *probe) bool { return other == p })
	if p.poll {
		return
	}
	if p.indirect > 0 && p.nacks == 0 && !v.cfg.PlainSWIM {
		// The members that were asked should have sent a nack. As none arrived, this router itself may be slow or unable to
		// receive.
		v.addAwareness(1)
	}
	if m := v.members[p.name]; m != nil && m.State.IsAlive() {
		v.suspect(m, v.cfg.Name)
	}
}

// probeAcknowledged ends a probe. A direct acknowledgement counts only from the address that was pinged.
func (v *View) probeAcknowledged(nonce uint32, from string, direct bool) {
	i := slices.IndexFunc(v.prober.probes, func(p *probe) bool { return p.nonce == nonce })
	if i < 0 || direct && v.prober.probes[i].addr != from {
		return
	}
	v.prober.probes = slices.Delete(v.prober.probes, i, i+1)
	v.addAwareness(-1)
}

// relayPing probes a member on behalf of another member.
func (v *View) relayPing(from string, d *datagram) {
	target := v.members[d.target]
	if target == nil || target == v.self || target.Addr == "" || len(v.prober.relays) >= maxRelays {
		return
	}
	r := relay{nonce: v.newNonce(), requesterNonce: d.nonce, requesterAddr: from, target: d.target, endsAt: v.now + v.cfg.Timeout}
	v.prober.relays = append(v.prober.relays, r)
	v.send(target.Addr, datagram{header: header{kind: ping}, nonce: r.nonce}, target, MaxDatagramBytes)
}

// expireRelays sends a nack to the requester of each relay that was not acknowledged in time.
func (v *View) expireRelays() {
	v.prober.relays = slices.DeleteFunc(v.prober.relays, func(r relay) bool {
		if v.now < r.endsAt {
			return false
		}
		v.answerRequester(r, nack)
		return true
	})
}

func (v *View) answerRequester(r relay, k kind) {
	v.send(r.requesterAddr, datagram{header: header{kind: k}, nonce: r.requesterNonce, target: r.target}, nil, MaxDatagramBytes)
}
