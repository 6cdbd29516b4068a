package sim

import (
	"fmt"
	"net/netip"

	"starlingwinch/internal/machine"
)

const (
	mostDatagram = 65507 // bytes that UDP over IPv4 carries
	mostWaiting  = 256   // datagrams that wait for a process that hangs
)

// packetConn is a machine.PacketConn.
type packetConn struct {
	p       *Process
	addr    netip.AddrPort
	from    string // as others see it
	got     func(from string, b []byte)
	lane    uint64
	waiting int
	closed  bool
}

func (p *Process) ListenPacket(addr string, got func(from string, b []byte)) (machine.PacketConn, error) {
	p.enter()
	if p.full() {
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
	pc := &packetConn{p: p, addr: at, from: from.String(), got: got, lane: p.w.lane()}
	p.descriptors++
	p.packets = append(p.packets, pc)
	h.packets[at] = pc
	return pc, nil
}

func (pc *packetConn) Addr() string { return pc.addr.String() }

func (pc *packetConn) Send(to string, b []byte) error {
	pc.p.enter()
	if pc.closed {
		return machine.ErrClosed
	}
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("sim: send to %q: %w", to, err)
	}
	if len(b) > mostDatagram {
		return fmt.Errorf("sim: send to %s: %d bytes are more than a datagram holds", to, len(b))
	}
	here := pc.p.host
	there := here.reach(at.Addr())
	if there == nil || here.apart(there) {
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
		ev := pc.p.w.event(DatagramCame)
		ev.host, ev.link, ev.to, ev.from = there, l, at, pc.from
		ev.data = append(ev.data, b...)
		pc.p.w.schedule(ev, pc.p.w.now+delay, pc.lane)
	}
	return nil
}

func (pc *packetConn) Close() {
	if pc.closed {
		return
	}
	p := pc.p
	p.enter()
	pc.closed = true
	delete(p.host.packets, pc.addr)
	p.packets = remove(p.packets, pc)
	p.giveBack()
}

// datagramCame hands a datagram to whoever listens, and reports whether the event is done with.
func (w *World) datagramCame(ev *event) bool {
	h := ev.host
	if h.gone && ev.link != h.loopback || ev.link.cut {
		return true
	}
	pc := h.packets[ev.to]
	if pc == nil {
		pc = h.packets[netip.AddrPortFrom(anyAddr(ev.to.Addr()), ev.to.Port())]
	}
	if pc == nil || pc.waiting >= mostWaiting {
		return true
	}
	pc.waiting++
	if !h.stalled() {
		pc.read(ev)
		return true
	}
	ev.kind, ev.proc, ev.packets = DatagramRead, pc.p, pc
	w.schedule(ev, w.now, pc.lane)
	return false
}

// read gives a datagram to the process.
func (pc *packetConn) read(ev *event) {
	pc.waiting--
	if pc.closed {
		return
	}
	pc.got(ev.from, ev.data)
	for i := range ev.data {
		ev.data[i] = 0xdb // The danger: a user that keeps b, which it must not, would go unseen.
	}
}
