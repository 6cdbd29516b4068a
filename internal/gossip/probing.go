// Which member is asked next, and what becomes of a question.

package gossip

import (
	"slices"
)

// probe is one that is out.
type probe struct {
	nonce        uint32
	to           string // name
	addr         string
	resend, ends Time
	asked        int // helpers
	nacks        int
	ask          bool // of an address where nobody is known to be here
}

// relay is a probe for another member.
type relay struct {
	nonce, theirs uint32
	addr          string // who asked
	target        string
	ends          Time
}

// turn begins a round: one member is probed, and those that are not here are asked at their pace.
func (f *View) turn() {
	f.rounds++
	f.forgotten()
	if f.retired {
		return
	}
	if silent := f.now - max(f.taken, f.begun); silent > cutOff*f.cfg.Interval && !f.cfg.Plain {
		for _, name := range f.names { // one cause: it does not take a probe of each to see it
			f.suspect(f.members[name], f.cfg.Name)
		}
	}
	if m := f.next(); m != nil {
		f.probe(m.Name, m.Addr, false)
	}
	f.askAround()
	if f.rounds >= f.compare {
		f.compare = f.rounds + compareIn
		if !f.settled {
			f.compare = f.rounds + 2
		}
		if m := f.any(""); m != nil {
			d := datagram{header: header{kind: compare}, parts: f.parts()}
			f.sendPadded(m.Addr, d)
		}
	}
}

// next is the member to be probed: each once, then each once more in another order (SWIM, 4.3).
func (f *View) next() *member {
	for range 2 {
		for len(f.order) > 0 {
			name := f.order[0]
			f.order = f.order[1:]
			if m := f.members[name]; m != nil && m != f.self && m.State.IsAlive() && m.Addr != "" {
				return m
			}
		}
		for name, m := range f.members {
			if m != f.self && m.State.IsAlive() && m.Addr != "" {
				f.order = append(f.order, name)
			}
		}
		slices.Sort(f.order)
		f.rng.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	}
	return nil
}

// any is a member that is here and can be reached, by chance.
func (f *View) any(but string) *member {
	var names []string
	for name, m := range f.members {
		if m != f.self && name != but && m.State.IsAlive() && m.State != Suspect && m.Addr != "" {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return f.members[names[f.rng.IntN(len(names))]]
}

// askAround asks addresses where nobody is known to be here, at a falling pace. Without it, members that are held
// faulty are forgotten, and the halves of a partition that has healed never meet again.
func (f *View) askAround() {
	var due []*contact
	absent := 0
	for _, c := range f.contact { // sorted below
		if m := f.members[c.name]; c.name != "" && m != nil && m.Addr == c.addr && m.State.IsAlive() {
			c.wait = 0
			continue
		}
		absent++
		if (f.cfg.Plain || f.cfg.Defect == FaultyNeverProbed) && c.name != "" {
			continue
		}
		if f.now >= c.next {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *contact) int {
		switch {
		case a.next != b.next:
			return int(min(1, max(-1, a.next-b.next)))
		case a.addr < b.addr:
			return -1
		}
		return 1
	})
	for _, c := range due[:min(len(due), 1+min(3, absent/4))] {
		c.wait = min(max(askFirst, 2*c.wait), askMost)
		c.next = f.now + c.wait/2 + Time(f.rng.Int64N(int64(c.wait)))
		f.probe(c.name, c.addr, true)
	}
}

// askSoon has all be asked soon that are not here: one of them is back, or this router is.
func (f *View) askSoon() {
	if f.now < f.askedSoon+askFirst || f.cfg.Plain {
		return
	}
	f.askedSoon = f.now
	for _, c := range f.contact { // any order: each by itself
		c.wait, c.next = 0, min(c.next, f.now)
	}
}

// stretch is a time-out as this router's own health makes it (Lifeguard, IV-A).
func (f *View) stretch(t Time) Time { return t * Time(1+f.health) }

func (f *View) probe(name, addr string, ask bool) {
	if len(f.probes) >= mostProbes {
		return
	}
	p := &probe{nonce: f.nonce(), to: name, addr: addr, ask: ask,
		resend: f.now + f.stretch(f.cfg.Timeout), ends: f.now + f.stretch(f.cfg.Interval)}
	if ask {
		p.resend, p.ends = p.ends, f.now+f.cfg.Interval
	}
	f.probes = append(f.probes, p)
	f.send(addr, datagram{header: header{kind: ping}, nonce: p.nonce}, f.members[name], MaxDatagramBytes)
}

// again asks once more, and others to ask: the way between two routers may be lost, or one datagram.
func (f *View) again(p *probe) {
	if !f.cfg.Plain {
		f.send(p.addr, datagram{header: header{kind: ping}, nonce: p.nonce}, f.members[p.to], MaxDatagramBytes)
	}
	asked := map[string]bool{p.to: true}
	for range helpers {
		m := f.any(p.to)
		if m == nil || asked[m.Name] {
			continue
		}
		asked[m.Name] = true
		p.asked++
		f.send(m.Addr, datagram{header: header{kind: pingFor}, nonce: p.nonce, target: p.to}, nil, MaxDatagramBytes)
	}
}

func (f *View) nonce() uint32 { return max(1, f.rng.Uint32()) }

// failed judges a probe that nobody has answered.
func (f *View) failed(p *probe) {
	f.probes = slices.DeleteFunc(f.probes, func(q *probe) bool { return q == p })
	if p.ask {
		return
	}
	if p.asked > 0 && p.nacks == 0 && !f.cfg.Plain {
		// Those that were asked would have said that they heard nothing: it may be this router that does not hear.
		f.health = min(mostHealth, f.health+1)
	}
	if m := f.members[p.to]; m != nil && m.State.IsAlive() {
		f.suspect(m, f.cfg.Name)
	}
}

// acked notes that a probe was answered.
func (f *View) acked(nonce uint32, from string, direct bool) {
	i := slices.IndexFunc(f.probes, func(p *probe) bool { return p.nonce == nonce })
	if i < 0 || direct && f.probes[i].addr != from {
		return
	}
	f.probes = slices.Delete(f.probes, i, i+1)
	f.health = max(0, f.health-1)
}
