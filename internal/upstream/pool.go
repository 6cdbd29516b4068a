// Package upstream is the router's side towards the caches: for each cache a bounded pool of
// connections, the attempts that wait for one or are out on one, and what the log is told of caches
// that serve nothing.
//
// It carries out what it is told. Where a request goes, whether it is repeated and when it is given up
// is not its affair; what it guarantees is that each attempt has exactly one outcome, that the outcome
// says truly whether the attempt may have run (PROTOCOL's table), and that not a byte goes out for a
// request that is over, to a cache that takes no work, or after the attempt's time.
package upstream

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/structuredlog"
	"starlingwinch/internal/timerqueue"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

// Request is what an attempt sends.
type Request interface {
	// Encode appends the command as it goes over the wire. wait is how long the router waits.
	Encode(b []byte, wait Time) []byte
	// MaySend is the last look before the first byte: whether it may be written now.
	MaySend(now Time) bool
	// WriteStarted tells that the first byte was written, and that the cache was told to have so long; whole says that the last
	// one was too. Where it was not, Whole tells when it is.
	WriteStarted(now, wait Time, whole bool)
	WriteCompleted()
	// KeyHash is a hash of what it asks for. Unsafe reports whether a wrong word that the answer was lost does harm.
	KeyHash() uint64
	NonIdempotent() bool
}

// Owner is told what becomes of attempts.
type Owner interface {
	// AttemptEnded gives an attempt its outcome, once. rep is the answer, where one came; it and its value are the
	// owner's until the call returns. The owner notes it and calls nothing here before Settle.
	AttemptEnded(a *Attempt, result decide.Result, rep *resp.Reply)
	// ProcessEvents follows in the same turn, when all is in order here: the owner may act on what it was told.
	ProcessEvents()
}

// Options are the bounds of a pool. Times are in microseconds.
type Options struct {
	Limits       limits.Caches
	Routers      int               // that share each cache's connections
	Descriptors  int               // connections to all caches that are not idle, those coming up included; with idle ones, but for Lend
	DialTimeout  Time              // for a connection to come up
	Keepalive    Time              // a cache closes a connection that has stood idle so long
	StalledAfter Time              // an attempt that is called off after that long counts as not answered, for the log
	Clock        *timerqueue.Queue // for the ends of attempts; nil for one of the pool's own
	Logger       *slog.Logger      // nil discards
}

// Pool holds the connections to all caches.
type Pool struct {
	m       machine.Machine
	o       Options
	owner   Owner
	logger  *slog.Logger
	caches  map[string]*cache
	order   []*cache   // the same by name: nothing may depend on a map's order
	conns   int        // to all caches, those coming up included
	idle    int        // of them
	lent    int        // descriptors beyond its own, for idle ones alone
	starved bool       // an attempt waits for a descriptor
	held    bool       // no attempt is begun for now
	gentle  bool       // caches that were away are dialled one at a time at first
	in, out []byte     // what is read into, and written from, within one call
	rep     resp.Reply // what was read last, within one call
	clock   *timerqueue.Queue

	inTrouble int  // caches that serve nothing, by the log
	deadSaid  Time // when it was last said that none does
}

// New returns a pool without caches.
func New(m machine.Machine, o Options, owner Owner) *Pool {
	if o.Clock == nil {
		o.Clock = timerqueue.New(m)
	}
	if o.Logger == nil {
		o.Logger = structuredlog.Discard()
	}
	return &Pool{m: m, o: o, owner: owner, logger: o.Logger, caches: map[string]*cache{}, in: make([]byte, resp.MaxReplyBytes), clock: o.Clock}
}

// Update takes over what the list says of a cache: up, it may be sent work; gone, it is forgotten once
// nothing is open on it.
func (p *Pool) Update(name, addr string, up, gone bool) {
	u := p.caches[name]
	if u == nil {
		if gone {
			return
		}
		u = newCache(p, name)
		p.caches[name] = u
		at, _ := slices.BinarySearchFunc(p.order, name, byName)
		p.order = slices.Insert(p.order, at, u)
	}
	u.update(addr, up, gone)
}

func byName(u *cache, name string) int { return strings.Compare(u.name, name) }

// CacheRestarted says that a cache's process is a new one: what the log holds against the old one is dropped.
func (p *Pool) CacheRestarted(name string) {
	if u := p.caches[name]; u != nil {
		u.recovered()
	}
}

// Start sends an attempt to a cache, as soon as a connection is free. It reports whether the cache
// is known; where it is not, the attempt has no outcome from here.
func (p *Pool) Start(name string, a *Attempt) bool {
	u := p.caches[name]
	if u == nil {
		return false
	}
	a.cache = u
	u.start(a)
	return true
}

// CloseIdle closes the idle connections to a cache.
func (p *Pool) CloseIdle(name string) {
	if u := p.caches[name]; u != nil {
		u.closeIdle(p.m.Now())
	}
}

// Pause has no attempt begun until Release: what is known of the caches may be old. Those that are asked for wait.
func (p *Pool) Pause() { p.held = true }

// Resume ends a Hold, and begins what waits in a later turn.
func (p *Pool) Resume() {
	p.held = false
	for _, name := range slices.Sorted(maps.Keys(p.caches)) { // equal runs have equal orders
		p.caches[name].wake()
	}
}

// LimitReconnects says whether connections to a cache that was away are to be opened one at a time at first, and more at a
// time with each that comes up. The danger: a cache that has just started can do little, and connections cost it work.
func (p *Pool) LimitReconnects(on bool) { p.gentle = on }

// InFlight is the number of attempts at a cache without an outcome, probes left out.
func (p *Pool) InFlight(name string) int {
	if u := p.caches[name]; u != nil {
		return u.out
	}
	return 0
}

// Connections is the number of connections, those coming up included.
func (p *Pool) Connections() int { return p.conns }

// Attempts is the number of attempts and probes without an outcome.
func (p *Pool) Attempts() (n int) {
	for _, u := range p.order {
		n += len(u.waiting)
		for _, c := range u.conns {
			if c.attempt != nil {
				n++
			}
		}
	}
	return n
}

// Sweep closes connections before their caches do, and says where none serves. It is called about
// once a second.
func (p *Pool) Sweep() {
	for _, u := range slices.Clone(p.order) {
		u.closeIdle(p.m.Now() - p.idleMost())
	}
	if p.inTrouble > 0 {
		p.sayDead()
	}
}

// idleMost is how long a connection may have stood idle. The danger: its cache closes it just then, and the request that is
// written to it may have run or not. One has to rest first, however short the time is.
func (p *Pool) idleMost() Time {
	return max(p.o.Keepalive*3/4, 2*p.o.Limits.MinRestTime.Microseconds())
}

// Close ends all connections. Attempts that are out get no outcome, and nothing is dialled any more.
func (p *Pool) Close() {
	for _, u := range slices.Clone(p.order) {
		u.up = false
		for len(u.waiting) > 0 {
			u.waiting[0].lose()
		}
		for _, c := range slices.Clone(u.conns) {
			if c.attempt != nil {
				c.attempt.lose()
			}
			c.close()
		}
	}
}

// later has f called at t, in a turn that ends with the owner's.
func (p *Pool) later(t Time, f func()) machine.Timer {
	return p.m.At(t, func() {
		f()
		p.owner.ProcessEvents()
	})
}

// LendDescriptors lets the pool keep idle connections beyond its own descriptors, so many of them. They are given back at once
// where the figure falls. The danger: with many caches, each of which is asked now and then, those that wait for
// the next request are closed for one another, and most requests open a connection.
func (p *Pool) LendDescriptors(n int) {
	p.lent = max(n, 0)
	for p.conns > p.o.Descriptors+p.lent && p.closeOldest() {
	}
}

// descriptor takes one for a connection to a cache. Where none is left, the connection that has
// been idle for longest, at whichever cache, makes room.
func (p *Pool) descriptor() bool {
	if p.busy() || p.full() && !p.closeOldest() {
		p.starved = true
		return false
	}
	p.conns++
	return true
}

// full reports whether all descriptors are in use, what was lent included.
func (p *Pool) full() bool { return p.conns >= p.o.Descriptors+p.lent }

// busy reports whether as many connections as the pool has of its own are not idle. So what was lent can
// be given back whenever it is asked for.
func (p *Pool) busy() bool { return p.conns-p.idle >= p.o.Descriptors }

// closeOldest closes the connection that has been idle for longest, at whichever cache.
func (p *Pool) closeOldest() bool {
	var oldest *cache // the one used first stands first
	for _, u := range p.order {
		if len(u.idle) > 0 && (oldest == nil || u.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = u
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].close()
	return true
}

// released takes a connection's descriptor back.
func (p *Pool) released() {
	p.conns--
	p.feed()
}

// feed has all that waits looked at where something waited for a descriptor.
func (p *Pool) feed() {
	if p.starved {
		p.starved = false
		p.later(p.m.Now(), func() {
			for _, u := range slices.Clone(p.order) {
				u.pump()
			}
		})
	}
}
