package sim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"starlingwinch/internal/machine"
)

// HostOptions describe a host. The zero value of a field stands for its default.
type HostOptions struct {
	Zone        string
	Descriptors int  // a process may hold; default 1024
	ClockOffset Time // of the host's clock from the true time
	Window      int  // bytes of a connection that are unread here or in transit; default 64 KiB
	Backlog     int  // connections that wait for a listener; default 128
	RefuseFull  bool // a full backlog refuses dials instead of dropping them
}

// Host is one computer with a kernel and, at a time, one process. The kernel's part goes on while the
// process is stalled: connections are established and bytes received as far as there is space.
type Host struct {
	// Logged is called with each line of the log.
	Logged func(line string)
	// Worker plays the workers that the process starts: it gets a worker's command line and its end of the connection, and
	// names the handler, in the process's own loop (nil ends the worker at once). A worker that closes its end has
	// ended. Nil refuses all.
	Worker func(args []string, c machine.Conn) machine.Handler

	world       *World
	id          uint64
	name        string
	ip          netip.Addr
	options     HostOptions
	loopback    *Link
	entropy     *rand.Rand
	work        *rand.Rand
	clockOffset Time // Wall minus Now
	process     *Process
	disk        *disk
	listeners   map[netip.AddrPort]*listener
	packets     map[netip.AddrPort]*packetConn
	lastPort    uint16

	vanished       bool
	silent         bool
	stallUntil     Time
	deferred       []*event // events that wait for the stalled process
	refusesDials   bool
	dropsDials     bool
	resetsAccepted bool
	failing        FailingCalls
	failures       *rand.Rand
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
		world:       w,
		id:          uint64(len(w.hosts) + 1),
		name:        name,
		ip:          addr,
		options:     o,
		loopback:    &Link{Latency: 20, rand: w.Rand("loopback " + name)},
		entropy:     w.Rand("entropy " + name),
		work:        w.Rand("work " + name),
		clockOffset: o.ClockOffset,
		disk:        newDisk(w.Rand("disk " + name)),
		listeners:   map[netip.AddrPort]*listener{},
		packets:     map[netip.AddrPort]*packetConn{},
		lastPort:    firstPort - 1,
		failures:    w.Rand("failing calls " + name),
	}
	w.hosts = append(w.hosts, h)
	w.byIP[addr] = h
	h.process = newProcess(h)
	return h
}

// Name is the host's name.
func (h *Host) Name() string { return h.name }

// IP is the host's address.
func (h *Host) IP() string { return h.ip.String() }

// Machine is the host as its present process sees it.
func (h *Host) Machine() machine.Machine { return h.process }

// Descriptors is the number of descriptors that the process holds.
func (h *Host) Descriptors() int { return h.process.descriptors }

// Pending is the number of timers that the process has set and that neither fired nor were stopped.
func (h *Host) Pending() int { return h.process.timers }

// Alive reports whether a process runs.
func (h *Host) Alive() bool { return !h.process.dead }

// Kill ends the process at once: its connections are reset towards the peers, its timers, listeners and handlers are
// gone. A machine call of it panics from then on, but for those that give something back.
func (h *Host) Kill() {
	p := h.process
	if p.dead {
		return
	}
	p.dead = true
	h.disk.killed(p)
	for _, c := range p.conns {
		c.abandon()
	}
	for _, d := range p.dials {
		d.finished = true
		if d.established {
			d.conn.abandon()
		}
	}
	for _, l := range p.listeners {
		l.discard()
	}
	for _, pc := range p.packets {
		pc.closed = true
		delete(h.packets, pc.addr)
	}
	p.conns, p.dials, p.listeners, p.packets = nil, nil, nil, nil
	p.descriptors, p.timers, p.signals = 0, 0, nil
	for _, ev := range h.deferred {
		h.world.release(ev)
	}
	h.deferred = nil
	h.silent = false
	h.stallUntil = 0
}

// Restart starts a process anew, and kills the one before it where it still runs. Files stay.
func (h *Host) Restart() machine.Machine {
	h.Kill()
	h.process = newProcess(h)
	return h.process
}

// Vanish disconnects the host from all others: its connections stay open and silent, and new ones are not established. Its
// process runs on.
func (h *Host) Vanish() {
	h.vanished = true
	h.eachConn(func(c *Conn) { c.forget(false) })
}

// Return ends a Vanish. Connections from before it are reset when one side sends on them.
func (h *Host) Return() { h.vanished = false }

// DropIdleConns has everything between this host and others forget the connections that are open: both sides
// believe in them, and get a reset when they send; or nothing, where silent is set.
func (h *Host) DropIdleConns(silent bool) {
	h.eachConn(func(c *Conn) { c.forget(silent) })
}

// eachConn calls f with each connection that the kernel has as open.
func (h *Host) eachConn(f func(*Conn)) {
	for _, c := range h.process.conns {
		f(c)
	}
	for _, d := range h.process.dials {
		if d.established {
			f(d.conn)
		}
	}
	for _, l := range h.process.listeners {
		for _, c := range l.queue {
			f(c)
		}
	}
}

// RefuseAll sets whether the host refuses all new connections.
func (h *Host) RefuseAll(on bool) { h.refusesDials = on }

// SwallowDials sets whether the host gives no answer to new connections.
func (h *Host) SwallowDials(on bool) { h.dropsDials = on }

// ResetOnAccept sets whether each new connection is established and reset at once.
func (h *Host) ResetOnAccept(on bool) { h.resetsAccepted = on }

// Stall keeps the process from running for a span, as garbage collection or a lack of CPU does. Events of that time are
// deferred, and happen in order afterwards.
func (h *Host) Stall(d Time) {
	h.stallUntil = max(h.stallUntil, h.world.now+d)
	ev := h.world.event(HostResumed)
	ev.host = h
	h.world.schedule(ev, h.stallUntil, 0)
}

// Silence stalls the process without an end, or lets it run again.
func (h *Host) Silence(on bool) {
	h.silent = on
	h.resume()
}

// stalled reports whether the process does not run now.
func (h *Host) stalled() bool { return h.silent || h.world.now < h.stallUntil }

// resume has all deferred events happen at this instant, in order.
func (h *Host) resume() {
	if h.stalled() {
		return
	}
	pile := h.deferred
	h.deferred = nil
	for _, ev := range pile {
		if ev.stopped {
			h.world.drop(ev)
			continue
		}
		h.world.schedule(ev, h.world.now, ev.lane)
	}
}

// Signal sends the process a signal.
func (h *Host) Signal(s machine.Signal) {
	p := h.process
	switch {
	case p.dead:
	case p.signals == nil:
		p.pendingSignals = append(p.pendingSignals, s)
	default:
		p.signal(s)
	}
}

// StepClock moves the host's clock by d: Wall jumps, Now does not.
func (h *Host) StepClock(d Time) { h.clockOffset += d }

// linkTo is the link to another host.
func (h *Host) linkTo(to *Host) *Link {
	if h == to {
		return h.loopback
	}
	return h.world.Link(h.options.Zone, to.options.Zone)
}

// Ports that a host gives out by itself.
const (
	firstPort = 32768
	lastPort  = 60999
)

// freePort returns the next port for which free is true.
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

// bind resolves the address to listen on, with a free port where it names none.
func (h *Host) bind(addr string, taken func(netip.AddrPort) bool) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return at, fmt.Errorf("sim: listen at %q: %w", addr, err)
	}
	if at.Addr() != h.ip && !at.Addr().IsUnspecified() && !at.Addr().IsLoopback() {
		return at, fmt.Errorf("sim: listen at %s of %s: %w", addr, h.name, machine.ErrAddressNotAvailable)
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

// hostAt is the host that an address leads to from here, nil for none.
func (h *Host) hostAt(ip netip.Addr) *Host {
	if ip.IsLoopback() || ip.IsUnspecified() {
		return h
	}
	return h.world.byIP[ip]
}

// unreachable reports whether one of two hosts has vanished from the other.
func (h *Host) unreachable(to *Host) bool {
	return h != to && (h.vanished || to.vanished)
}
