package sim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"starlingwinch/internal/machine"
)

// HostOptions are what a host is made of. The zero value of a field stands for its usual figure.
type HostOptions struct {
	Zone        string
	Descriptors int  // that a process may hold; 1024
	ClockOffset Time // by which the clock is wrong
	Window      int  // bytes of a connection that wait here unread or are on their way; 64 KiB
	Backlog     int  // connections that wait for a listener to take them; 128
	RefuseFull  bool // where a backlog is full, refuse instead of saying nothing
}

// Host is one computer with a kernel and, at a time, one process. The kernel's part goes on while the
// process hangs: connections come up and bytes are taken in as far as there is room.
type Host struct {
	// Logged is called with each line of the log.
	Logged func(line string)
	// Worker plays the workers that the process starts: it gets a worker's command line and its end of the connection, and
	// names the handler, in the process's own loop (nil ends the worker at once). A worker that closes its end has
	// ended. Nil refuses all.
	Worker func(args []string, c machine.Conn) machine.Handler

	w         *World
	id        uint64
	name      string
	ip        netip.Addr
	opts      HostOptions
	loopback  *Link
	entropy   *rand.Rand
	work      *rand.Rand
	clock     Time // by which Wall is ahead of Now
	proc      *Process
	disk      *disk
	listeners map[netip.AddrPort]*listener
	packets   map[netip.AddrPort]*packetConn
	lastPort  uint16

	gone       bool
	silent     bool
	stallUntil Time
	pile       []*event // what a process that hangs has before it
	refuse     bool
	swallow    bool
	resetNew   bool
	failing    FailingCalls
	failures   *rand.Rand
}

// Host adds a host with a process that has just started. It panics where the name or the address is taken.
func (w *World) Host(name, ip string, o HostOptions) *Host {
	addr := netip.MustParseAddr(ip)
	if w.byIP[addr] != nil {
		panic("sim: two hosts at " + ip)
	}
	if o.Descriptors == 0 {
		o.Descriptors = 1024
	}
	if o.Window == 0 {
		o.Window = 64 << 10
	}
	if o.Backlog == 0 {
		o.Backlog = 128
	}
	h := &Host{
		w:         w,
		id:        uint64(len(w.hosts) + 1),
		name:      name,
		ip:        addr,
		opts:      o,
		loopback:  &Link{Latency: 20, rand: w.Rand("loopback " + name)},
		entropy:   w.Rand("entropy " + name),
		work:      w.Rand("work " + name),
		clock:     o.ClockOffset,
		disk:      newDisk(w.Rand("disk " + name)),
		listeners: map[netip.AddrPort]*listener{},
		packets:   map[netip.AddrPort]*packetConn{},
		lastPort:  firstPort - 1,
		failures:  w.Rand("failing calls " + name),
	}
	w.hosts = append(w.hosts, h)
	w.byIP[addr] = h
	h.proc = newProcess(h)
	return h
}

// Name is the host's name.
func (h *Host) Name() string { return h.name }

// IP is the host's address.
func (h *Host) IP() string { return h.ip.String() }

// Machine is the host as its present process sees it.
func (h *Host) Machine() machine.Machine { return h.proc }

// Descriptors is the number of descriptors that the process holds.
func (h *Host) Descriptors() int { return h.proc.descriptors }

// Pending is the number of timers that the process has set and that neither fired nor were stopped.
func (h *Host) Pending() int { return h.proc.timers }

// Alive reports whether a process runs.
func (h *Host) Alive() bool { return !h.proc.dead }

// Kill ends the process at once: its connections are reset towards the peers, its timers, listeners and handlers are
// gone. A machine call of it panics from then on, but for those that give something back.
func (h *Host) Kill() {
	p := h.proc
	if p.dead {
		return
	}
	p.dead = true
	h.disk.killed(p)
	for _, c := range p.conns {
		c.abandon()
	}
	for _, d := range p.dials {
		d.over = true
		if d.up {
			d.conn.abandon()
		}
	}
	for _, l := range p.listeners {
		l.shut()
	}
	for _, pc := range p.packets {
		pc.closed = true
		delete(h.packets, pc.addr)
	}
	p.conns, p.dials, p.listeners, p.packets = nil, nil, nil, nil
	p.descriptors, p.timers, p.signals = 0, 0, nil
	for _, ev := range h.pile {
		h.w.release(ev)
	}
	h.pile = nil
	h.silent = false
	h.stallUntil = 0
}

// Restart starts a process anew, and kills the one before it where it still runs. Files stay.
func (h *Host) Restart() machine.Machine {
	h.Kill()
	h.proc = newProcess(h)
	return h.proc
}

// Vanish cuts the host off from all others: its connections stay open and silent, new ones do not come up. Its
// process goes on.
func (h *Host) Vanish() {
	h.gone = true
	h.eachConn(func(c *Conn) { c.forget(false) })
}

// Return ends a Vanish. Connections from before it are reset when one side sends on them.
func (h *Host) Return() { h.gone = false }

// DropIdleConns has everything between this host and others forget the connections that are open: both sides
// believe in them, and get a reset when they send; or nothing, where silent is set.
func (h *Host) DropIdleConns(silent bool) {
	h.eachConn(func(c *Conn) { c.forget(silent) })
}

func (h *Host) eachConn(f func(*Conn)) {
	for _, c := range h.proc.conns {
		f(c)
	}
	for _, d := range h.proc.dials {
		if d.up {
			f(d.conn)
		}
	}
	for _, l := range h.proc.listeners {
		for _, c := range l.queue {
			f(c)
		}
	}
}

// RefuseAll has the host refuse all new connections, or not any more.
func (h *Host) RefuseAll(on bool) { h.refuse = on }

// SwallowDials has the host give no answer to new connections, or not any more.
func (h *Host) SwallowDials(on bool) { h.swallow = on }

// ResetOnAccept has each new connection come up and be reset at once, or not any more.
func (h *Host) ResetOnAccept(on bool) { h.resetNew = on }

// Stall keeps the process from running for a span, as a collection of garbage or a lack of CPU
// does. What happens meanwhile waits, and comes in order afterwards.
func (h *Host) Stall(d Time) {
	h.stallUntil = max(h.stallUntil, h.w.now+d)
	ev := h.w.event(Resumes)
	ev.host = h
	h.w.schedule(ev, h.stallUntil, 0)
}

// Silence hangs the process, or lets it go on: it is Stall without an end.
func (h *Host) Silence(on bool) {
	h.silent = on
	h.resume()
}

func (h *Host) stalled() bool { return h.silent || h.w.now < h.stallUntil }

// resume has all that was put off happen at this instant, in order.
func (h *Host) resume() {
	if h.stalled() {
		return
	}
	pile := h.pile
	h.pile = nil
	for _, ev := range pile {
		if ev.stopped {
			h.w.drop(ev)
			continue
		}
		h.w.schedule(ev, h.w.now, ev.lane)
	}
}

// Signal sends the process a signal.
func (h *Host) Signal(s machine.Signal) {
	p := h.proc
	switch {
	case p.dead:
	case p.signals == nil:
		p.kept = append(p.kept, s)
	default:
		p.signal(s)
	}
}

// StepClock moves the host's clock by d: Wall jumps, Now does not.
func (h *Host) StepClock(d Time) { h.clock += d }

// linkTo is the way to another host.
func (h *Host) linkTo(to *Host) *Link {
	if h == to {
		return h.loopback
	}
	return h.w.Link(h.opts.Zone, to.opts.Zone)
}

// Ports that a host gives out by itself.
const (
	firstPort = 32768
	lastPort  = 60999
)

// freePort is the next port that free accepts.
func (h *Host) freePort(free func(port uint16) bool) (uint16, error) {
	for range lastPort - firstPort + 1 {
		h.lastPort++
		if h.lastPort > lastPort {
			h.lastPort = firstPort
		}
		if free(h.lastPort) {
			return h.lastPort, nil
		}
	}
	return 0, fmt.Errorf("sim: %s has no port left", h.name)
}

// bind finds out the address to listen at.
func (h *Host) bind(addr string, taken func(netip.AddrPort) bool) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return at, fmt.Errorf("sim: listen at %q: %w", addr, err)
	}
	if at.Addr() != h.ip && !at.Addr().IsUnspecified() && !at.Addr().IsLoopback() {
		return at, fmt.Errorf("sim: listen at %s of %s: %w", addr, h.name, machine.ErrAddressMissing)
	}
	if at.Port() != 0 {
		if taken(at) {
			return at, fmt.Errorf("sim: listen at %s: %w", addr, machine.ErrAddressInUse)
		}
		return at, nil
	}
	port, err := h.freePort(func(port uint16) bool { return !taken(netip.AddrPortFrom(at.Addr(), port)) })
	return netip.AddrPortFrom(at.Addr(), port), err
}

// anyAddr is the address that stands for all of a host's.
func anyAddr(ip netip.Addr) netip.Addr {
	if ip.Is4() {
		return netip.IPv4Unspecified()
	}
	return netip.IPv6Unspecified()
}

// reach is the host that an address leads to from here, nil for none.
func (h *Host) reach(ip netip.Addr) *Host {
	if ip.IsLoopback() || ip.IsUnspecified() {
		return h
	}
	return h.w.byIP[ip]
}

// apart reports whether nothing gets from one host to the other.
func (h *Host) apart(to *Host) bool {
	return h != to && (h.gone || to.gone)
}
