package gossip

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
)

const (
	mostProbes  = 32        // probes that are out
	mostRelays  = 64        // probes made for others
	helpers     = 3         // members that are asked to probe for this one
	confirms    = 3         // of others, from which on a suspicion lasts as short as it may
	lookers     = 4         // routers that probe a member at once that another one suspects
	longer      = 6         // times as long a suspicion lasts that nobody confirms
	mostHealth  = 8         // by which a router that is slow itself stretches its time-outs
	askFirst    = 400_000   // between the first asks of an address that does not answer ...
	askMost     = 5_000_000 // ... to so long
	forget      = 600_000_000
	outbids     = 5 // raises over another life of this name, in ...
	outbidIn    = 10_000_000
	untold      = 60_000_000 // for which those that missed it are told that a member has left
	told        = 2_000_000  // for which it counts that a member was not settled
	cutOff      = 8          // intervals without a word from anybody, from which on this router is held to be cut off
	compareIn   = 5          // rounds between comparisons, where the last one found nothing
	strangers   = 100        // answers a second to those that are no members
	resendTimes = 3          // of the logarithm of the members, that a rumour is sent
)

// View is a router's view. Use New.
type View struct {
	cfg       Config
	rng       *rand.Rand
	now       Time
	out       []Action
	bufs      [][]byte // behind out
	used      int
	self      *member
	members   map[string]*member // itself too
	names     []string           // of those that stand in the digest, sorted
	touched   bool               // names have to be made anew
	contact   map[string]*contact
	order     []string // to be probed in this turn
	probes    []*probe
	relays    []relay
	news      []*entry
	seq       uint64
	round     Time // the next one
	woken     Time // the Wake that was asked for
	started   bool
	begun     Time // the first event
	health    int
	digest    uint64
	agreedOn  uint64   // the digest that agreed counts for
	agreed    []uint64 // members, by their place in names, that have said the digest
	settled   bool
	changed   Time // when settled last changed
	rounds    int
	compare   int // the round of the next comparison
	spare     float64
	spareAt   Time
	raised    int  // how often another life of this name was outbid, ...
	raisedAt  Time // since then
	taken     Time // when a member was heard last
	askedSoon Time
	retired   bool // another router with its name has started later
	gone      bool
	counts    Counts
}

// New returns a view of a router that knows nobody yet. The error names a wrong field.
func New(cfg Config) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	f := &View{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot))), members: map[string]*member{},
		contact: map[string]*contact{}, touched: true}
	f.self = &member{Member: Member{Name: cfg.Name, Incarnation: max(1, cfg.Start), Info: cfg.Info, Configured: true},
		boot: max(1, cfg.Boot), rev: 1}
	if len(cfg.Seeds) > 0 {
		f.self.told = cfg.Addr
	}
	f.members[cfg.Name] = f.self
	for _, a := range cfg.Peers {
		f.contact[a] = &contact{addr: a, configured: true}
	}
	for _, a := range cfg.Seeds {
		f.contact[a] = &contact{addr: a, configured: true}
	}
	f.digest = f.self.print()
	return f, nil
}

// Handle takes one event and returns what is to be done, in order. The slice holds until the next call.
func (f *View) Handle(now Time, ev Event) []Action {
	f.now, f.out, f.used = now, f.out[:0], 0
	var heard datagram
	if h, is := ev.(*DatagramReceived); is {
		var ok bool
		// The danger: what is thrown at the address in masses costs a look at all members each.
		if heard, ok = f.read(h); !ok {
			return nil
		}
	}
	if !f.started {
		f.started, f.begun = true, now
		f.round = now + Time(f.rng.Int64N(f.cfg.Interval)) // routers started together must not probe on one beat
		f.changed, f.self.Since = now, now
		f.spread(f.self)
	} else if late := now - f.woken; late > f.cfg.Interval && !f.cfg.Plain {
		f.stalled(late)
	}
	switch ev := ev.(type) {
	case *DatagramReceived:
		f.heard(ev, &heard)
	case *Tick:
	case *UpdateInfo:
		f.self.Info = ev.Info
		f.self.rev++
		f.spread(f.self)
	case *Leave:
		f.leave(ev.Gone)
	case *Peers:
		f.peers(ev.Peers)
	}
	if !f.gone {
		f.due()
	}
	f.settle()
	f.wake()
	return f.out
}

// stalled makes up for a span in which this process did not run. The danger: it wakes up, finds that nobody has
// answered in time, and accuses everybody.
func (f *View) stalled(late Time) {
	f.counts.Stalls++
	f.health = mostHealth
	f.probes = f.probes[:0]
	f.relays = f.relays[:0]
	for _, m := range f.members { // any order: each by itself
		if m.State == Suspect {
			m.suspected += late
			if m.confirmed > 0 {
				m.confirmed += late
			}
		}
	}
	f.round = f.now
	f.logf("fleet: this router stood still for %.1f s", float64(late)/1e6)
}

// due does what its time has come for.
func (f *View) due() {
	if f.now >= f.round {
		f.round = max(f.round+f.cfg.Interval, f.now+f.cfg.Interval/2)
		f.turn()
	}
	for _, p := range slices.Clone(f.probes) {
		switch {
		case f.now >= p.ends:
			f.failed(p)
		case f.now >= p.resend:
			p.resend = p.ends
			f.again(p)
		}
	}
	f.relays = slices.DeleteFunc(f.relays, func(r relay) bool {
		if f.now < r.ends {
			return false
		}
		f.send(r.addr, datagram{header: header{kind: nack}, nonce: r.theirs, target: r.target}, nil, MaxDatagramBytes)
		return true
	})
	for _, name := range f.suspects() {
		if m := f.members[name]; f.now >= f.suspicionEnds(m) {
			f.condemn(m)
		}
	}
}

// wake asks for the next Tick.
func (f *View) wake() {
	if f.gone {
		f.woken = math.MaxInt64 / 2
		return
	}
	at := f.round
	for _, p := range f.probes {
		at = min(at, p.resend, p.ends)
	}
	for _, r := range f.relays {
		at = min(at, r.ends)
	}
	for _, m := range f.members { // any order: a minimum
		if m.State == Suspect {
			at = min(at, f.suspicionEnds(m))
		}
	}
	f.woken = max(at, f.now+1)
	f.do(Wake{f.woken})
}

// Retired reports whether another router with this one's name has started later.
func (f *View) Retired() bool { return f.retired }

// Counts tells what the view has come across.
func (f *View) Counts() Counts { return f.counts }

func (f *View) do(a Action) { f.out = append(f.out, a) }

func (f *View) logf(format string, args ...any) { f.do(Log{Message: fmt.Sprintf(format, args...)}) }

// window tells datagrams that come once more from new ones, after RFC 4303, 3.4.3.
type window struct {
	top  uint64
	bits uint64
}

// fresh reports whether a number has not come yet, and notes it.
func (w *window) fresh(n uint64) bool {
	switch {
	case n > w.top:
		if shift := n - w.top; shift < 64 {
			w.bits = w.bits<<shift | 1
		} else {
			w.bits = 1
		}
		w.top = n
		return true
	case w.top-n >= 64 || w.bits&(1<<(w.top-n)) != 0:
		return false
	}
	w.bits |= 1 << (w.top - n)
	return true
}

// sendsOfRumour is how often a rumour is sent. The danger: one that is sent for ever leaves no room for others.
func (f *View) sendsOfRumour() int { return resendTimes * bits.Len(uint(len(f.members)+1)) }
