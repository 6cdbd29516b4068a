package gossip

import (
	"math"
	"slices"
	"strings"
)

const (
	maxProbes = 32 // probes without an acknowledgement
	maxRelays = 64 // probes that are made for other members

	// indirectProbers is the number of members that are asked to probe for this router (SWIM's k).
	indirectProbers = 3
	// isolationRounds is the number of intervals without any member's datagram after which this router takes itself for cut
	// off.
	isolationRounds = 8

	// minPollDelay and maxPollDelay bound the time between polls of an address where no member is alive.
	minPollDelay Time = 400_000
	maxPollDelay Time = 5_000_000
	// maxPollsPerRound bounds the polls of one round, beside a first one.
	maxPollsPerRound = 3
	// contactsPerPoll is the number of absent contacts that another poll in a round is made for.
	contactsPerPoll = 4
)

// prober holds the probes that are out, those that are made for others, and whom to probe next.
type prober struct {
	probes []*probe
	relays []relay
	order  []string // names to be probed in this turn, the next one first
}

// probe is a ping that was not acknowledged yet.
type probe struct {
	nonce    uint32
	name     string // of the member
	addr     string
	resendAt Time // when it is sent again, and others are asked to probe
	endsAt   Time // when it has failed
	indirect int  // members that were asked to probe
	nacks    int  // of them, those that got no acknowledgement either
	poll     bool // the ping of an address where no member is known to be alive; its failure means nothing
}

// relay is a probe that is made for another member.
type relay struct {
	nonce          uint32
	requesterNonce uint32
	requesterAddr  string
	target         string // name of the member that is probed
	endsAt         Time
}

func (p *prober) full() bool { return len(p.probes) >= maxProbes }

// abandonAll forgets all probes that are out.
func (p *prober) abandonAll() {
	p.probes = p.probes[:0]
	p.relays = p.relays[:0]
}

// nextTimeout returns when the next probe or relay is due.
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

// takeRelay removes and returns the relay that an acknowledgement belongs to.
func (p *prober) takeRelay(nonce uint32, target string) (relay, bool) {
	i := slices.IndexFunc(p.relays, func(r relay) bool { return r.nonce == nonce && r.target == target })
	if i < 0 {
		return relay{}, false
	}
	found := p.relays[i]
	p.relays = slices.Delete(p.relays, i, i+1)
	return found, true
}

// beginRound probes one member, polls addresses where none is alive, and compares digests from time to time.
func (v *View) beginRound() {
	v.rounds++
	v.forgetLeft()
	if v.retired {
		return
	}
	if v.isolatedFor() > isolationRounds*v.cfg.Interval && !v.cfg.Plain {
		// All members are out of reach for one cause: it takes no probe of each to find out.
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

// isolatedFor returns for how long no datagram of a member was accepted.
func (v *View) isolatedFor() Time { return v.now - max(v.lastReceivedAt, v.startAt) }

// nextMember returns the member to be probed: each once in random order, then each once in another order (SWIM, 4.3).
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

// nextInOrder returns the next member of this turn that can be probed, or nil at its end.
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

// randomMember returns a random member that is alive and not suspect, other than this router and one of that name; nil if
// there is none.
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

// pollContacts pings some of the addresses where no member is known to be alive, each with a growing delay. Without it faulty
// members would be forgotten, and the two sides of a partition would never meet again.
func (v *View) pollContacts() {
	var due []*contact
	absent := 0
	for _, c := range v.contacts { // any order: sorted below
		if m := v.members[c.name]; c.name != "" && m != nil && m.Addr == c.addr && m.State.IsAlive() {
			c.pollDelay = 0
			continue
		}
		absent++
		if (v.cfg.Plain || v.cfg.Defect == FaultyNeverProbed) && c.name != "" {
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

// comparePollTime orders contacts by when they are due, then by address.
func comparePollTime(a, b *contact) int {
	if a.pollAt != b.pollAt {
		return int(min(1, max(-1, a.pollAt-b.pollAt)))
	}
	return strings.Compare(a.addr, b.addr)
}

// pollAllSoon makes all contacts due: one of them has come back, or this router has.
func (v *View) pollAllSoon() {
	if v.now < v.lastPollAllAt+minPollDelay || v.cfg.Plain {
		return
	}
	v.lastPollAllAt = v.now
	for _, c := range v.contacts { // any order: each by itself
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

// newNonce returns a random number that is not 0.
func (v *View) newNonce() uint32 { return max(1, v.rng.Uint32()) }

// expireProbes sends probes again whose timeout is over, and ends those that have failed.
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

// probeIndirectly pings once more, and asks other members to probe: the path between two routers may be broken, or a single
// datagram lost.
func (v *View) probeIndirectly(p *probe) {
	if !v.cfg.Plain {
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

// probeFailed suspects a member that has not acknowledged a probe.
func (v *View) probeFailed(p *probe) {
	v.prober.probes = slices.DeleteFunc(v.prober.probes, func(other *probe) bool { return other == p })
	if p.poll {
		return
	}
	if p.indirect > 0 && p.nacks == 0 && !v.cfg.Plain {
		// The members that were asked would have sent a nack: this router may be the one that receives nothing.
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

// relayPing probes a member for another one.
func (v *View) relayPing(from string, d *datagram) {
	target := v.members[d.target]
	if target == nil || target == v.self || target.Addr == "" || len(v.prober.relays) >= maxRelays {
		return
	}
	r := relay{nonce: v.newNonce(), requesterNonce: d.nonce, requesterAddr: from, target: d.target, endsAt: v.now + v.cfg.Timeout}
	v.prober.relays = append(v.prober.relays, r)
	v.send(target.Addr, datagram{header: header{kind: ping}, nonce: r.nonce}, target, MaxDatagramBytes)
}

// expireRelays sends a nack for each probe that was made for another member and was not acknowledged in time.
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
