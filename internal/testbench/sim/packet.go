package sim

import (
	"fmt"
	"net/netip"

	"starlingwinch/internal/machine"
)

const (
	maxDatagram        = 65507 // bytes that UDP over IPv4 carries
	maxQueuedDatagrams = 256   // datagrams that wait for a stalled process
)

// packetConn is a machine.PacketConn.
type packetConn struct {
	process *Process
	addr    netip.AddrPort
	from    string // as others see it
	receive func(from string, b []byte)
	lane    uint64
	waiting int
	closed  bool
}

// ListenPacket implements machine.Machine.
func (p *Process) ListenPacket(addr string, got func(from string, b []byte)) (machine.PacketConn, error) {
	p.enter()
	if p.outOfDescriptors() {
		return nil, machine.ErrDescriptors
	}
	h := p.host
	at, err := h.bind(addr, func(a netip.AddrPort) bool { return h.packets[a] != nil })
	if err != nil {
		return nil, err
	}
	from := at
	if at.Addr().IsUnspecified() {
		from = netip.AddrPortFrom(h.ip, at.Port())
	}
	pc := &packetConn{process: p, addr: at, from: from.String(), receive: got, lane: p.world.lane()}
	p.descriptors++
	p.packets = append(p.packets, pc)
	h.packets[at] = pc
	return pc, nil
}

// Addr implements machine.PacketConn.
func (pc *packetConn) Addr() string { return pc.addr.String() }

// Send implements machine.PacketConn. The link may lose, repeat and delay a datagram.
func (pc *packetConn) Send(to string, b []byte) error {
	pc.process.enter()
	if pc.closed {
		return machine.ErrClosed
	}
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("sim: send to %q: %w", to, err)
	}
	if len(b) > maxDatagram {
		return fmt.Errorf("sim: send to %s: %d bytes are more than a datagram holds", to, len(b))
	}
	here := pc.process.host
	there := here.hostAt(at.Addr())
	if there == nil || here.unreachable(there) {
		return nil
	}
	l := here.linkTo(there)
	if l.chance(l.Loss) {
		return nil
	}
	copies := 1
	if l.chance(l.Twice) {
		copies = 2
	}
	for range copies {
		delay := l.delay()
		if l.LateBy > 0 && l.chance(l.Late) {
			delay += 1 + l.rand.Int64N(l.LateBy)
		}
		ev := pc.process.world.event(DatagramArrived)
		ev.host, ev.link, ev.to, ev.from = there, l, at, pc.from
		ev.data = append(ev.data, b...)
		pc.process.world.schedule(ev, pc.process.world.now+delay, pc.lane)
	}
	return nil
}

// Close implements machine.PacketConn.
func (pc *packetConn) Close() {
	if pc.closed {
		return
	}
	p := pc.process
	p.enter()
	pc.closed = true
	delete(p.host.packets, pc.addr)
	p.packets = remove(p.packets, pc)
	p.releaseDescriptor()
}

// datagramCame hands a datagram to whoever listens, and reports whether the event is done with.
func (w *World) datagramCame(ev *event) bool {
	h := ev.host
	if h.vanished && ev.link != h.loopback || ev.link.cut {
		return true
	}
	pc := h.packets[ev.to]
	if pc == nil {
		pc = h.packets[netip.AddrPortFrom(anyAddr(ev.to.Addr()), ev.to.Port())]
	}
	if pc == nil || pc.waiting >= maxQueuedDatagrams {
		return true
	}
	pc.waiting++
	if !h.stalled() {
		pc.read(ev)
		return true
	}
	ev.kind, ev.target, ev.packets = DatagramQueued, pc.process, pc
	w.schedule(ev, w.now, pc.lane)
	return false
}

// read gives a datagram to the process.
func (pc *packetConn) read(ev *event) {
	pc.waiting--
	if pc.closed {
		return
	}
	pc.receive(ev.from, ev.data)
	for i := range ev.data {
		ev.data[i] = 0xdb // makes a receiver visible that still uses the bytes after the call
	}
}
